package platform

import (
	"context"
	"net/netip"
	"sync"

	"github.com/gypsumyard/gypsumyard/internal/kernel"
)

// ServiceName is the name of the service in the kernel.
const ServiceName = "platform"

// A Service is a Client as a kernel service. It implements gypsumyard.Store and
// gypsumyard.HostLister.
type Service struct {
	*Client
	done chan struct{}
	stop sync.Once
}

// NewService returns a kernel service that calls the platform at addr.
func NewService(addr netip.AddrPort, options ...Option) *Service {
	return &Service{Client: New(addr, options...), done: make(chan struct{})}
}

// Name returns ServiceName.
func (s *Service) Name() string { return ServiceName }

// Needs returns nil: the client depends on no other service.
func (s *Service) Needs() []string { return nil }

// Start makes no call, so that a host can start while the platform is down.
func (s *Service) Start(context.Context, *kernel.Kernel) error { return nil }

// Stop closes the client.
func (s *Service) Stop(context.Context) error {
	s.stop.Do(func() {
		s.Close()
		close(s.done)
	})
	return nil
}

// Done returns a channel that is closed after Stop.
func (s *Service) Done() <-chan struct{} { return s.done }
