package platform

import (
	"context"
	"net/netip"
	"sync"

	"github.com/gypsumyard/gypsumyard/internal/kernel"
)

// ServiceName is the name of the service in the kernel.
const ServiceName = "platform"

// A Service is a client as a kernel service. It is a gypsumyard.Store and a
// gypsumyard.HostLister.
type Service struct {
	*Client
	done chan struct{}
	stop sync.Once
}

// NewService returns the service for the platform at addr.
func NewService(addr netip.AddrPort, options ...Option) *Service {
	return &Service{Client: New(addr, options...), done: make(chan struct{})}
}

// Name returns ServiceName.
func (s *Service) Name() string { return ServiceName }

// Needs returns nothing: the client depends on no other service.
func (s *Service) Needs() []string { return nil }

// Start makes no call, so that a host starts while the platform is down.
func (s *Service) Start(context.Context, *kernel.Kernel) error { return nil }

// Stop ends the open calls.
func (s *Service) Stop(context.Context) error {
	s.stop.Do(func() {
		s.Close()
		close(s.done)
	})
	return nil
}

// Done returns a channel that is closed after Stop.
func (s *Service) Done() <-chan struct{} { return s.done }
