package kerneltest

import (
	"context"

	"github.com/gypsumyard/gypsumyard/internal/kernel"
)

// A Stub is a kernel service that does nothing. Fake services embed it.
type Stub struct {
	name string
	done chan struct{}
}

// New returns a stub of the given name.
func New(name string) Stub { return Stub{name, make(chan struct{})} }

// Name returns the name given to New.
func (s Stub) Name() string { return s.name }

// Needs returns no dependencies.
func (s Stub) Needs() []string { return nil }

// Start does nothing.
func (s Stub) Start(context.Context, *kernel.Kernel) error { return nil }

// Stop closes the channel that Done returns. It must be called only once.
func (s Stub) Stop(context.Context) error {
	close(s.done)
	return nil
}

// Done returns a channel that is closed after Stop.
func (s Stub) Done() <-chan struct{} { return s.done }
