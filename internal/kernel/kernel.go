package kernel

import (
	"context"
	"errors"
	"fmt"
	"sync"
)

// A Service is a component of a host with its own lifecycle.
type Service interface {
	// Name returns a name that is unique in the kernel.
	Name() string
	// Needs returns the names of the services that must be running before this
	// one starts.
	Needs() []string
	// Start starts the service and returns once it is ready to be used. The
	// service looks up its dependencies in k. It runs until Stop is called; ctx
	// limits only the start.
	Start(ctx context.Context, k *Kernel) error
	// Stop stops the service. It may take until ctx is done.
	Stop(ctx context.Context) error
	// Done returns a channel that is closed when the service has stopped.
	Done() <-chan struct{}
}

// A Kernel is a set of services that start and stop together.
type Kernel struct {
	mu       sync.Mutex
	services map[string]Service
	order    []string
	started  []Service
}

// New returns a kernel with the given services.
func New(services ...Service) (k *Kernel, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("kernel: %w", err)
		}
	}()
	k = &Kernel{services: map[string]Service{}}
	for _, s := range services {
		if _, ok := k.services[s.Name()]; ok {
			return nil, fmt.Errorf("service %q is registered twice", s.Name())
		}
		k.services[s.Name()] = s
		k.order = append(k.order, s.Name())
	}
	return k, nil
}

// Lookup returns the service of the given name as a T. It fails if there is no
// such service or it does not implement T.
func Lookup[T any](k *Kernel, name string) (t T, err error) {
	k.mu.Lock()
	s, ok := k.services[name]
	k.mu.Unlock()
	if !ok {
		return t, fmt.Errorf("kernel: no service %q", name)
	}
	t, ok = s.(T)
	if !ok {
		return t, fmt.Errorf("kernel: service %q is a %T", name, s)
	}
	return t, nil
}

// Start starts all services, dependencies first. If one fails, those already
// started are stopped again.
func (k *Kernel) Start(ctx context.Context) (err error) {
	order, err := k.startOrder()
	if err != nil {
		return fmt.Errorf("kernel: %w", err)
	}
	for _, s := range order {
		if err := s.Start(ctx, k); err != nil {
			return errors.Join(fmt.Errorf("kernel: start %s: %w", s.Name(), err), k.Stop(ctx))
		}
		k.mu.Lock()
		k.started = append(k.started, s)
		k.mu.Unlock()
	}
	return nil
}

// Stop stops the started services in reverse order and waits for each.
func (k *Kernel) Stop(ctx context.Context) (err error) {
	k.mu.Lock()
	started := k.started
	k.started = nil
	k.mu.Unlock()
	for i := len(started) - 1; i >= 0; i-- {
		s := started[i]
		if e := stop(ctx, s); e != nil {
			err = errors.Join(err, fmt.Errorf("kernel: stop %s: %w", s.Name(), e))
		}
	}
	return err
}

func stop(ctx context.Context, s Service) error {
	if err := s.Stop(ctx); err != nil {
		return err
	}
	select {
	case <-s.Done():
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// startOrder sorts the services so that each follows those it needs.
func (k *Kernel) startOrder() (order []Service, err error) {
	const (
		visiting = 1
		visited  = 2
	)
	state := map[string]int{}
	var visit func(name, neededBy string) error
	visit = func(name, neededBy string) error {
		s, ok := k.services[name]
		switch {
		case !ok:
			return fmt.Errorf("service %q, needed by %q, is not registered", name, neededBy)
		case state[name] == visiting:
			return fmt.Errorf("services %q and %q need each other", name, neededBy)
		case state[name] == visited:
			return nil
		}
		state[name] = visiting
		for _, n := range s.Needs() {
			if err := visit(n, name); err != nil {
				return err
			}
		}
		state[name] = visited
		order = append(order, s)
		return nil
	}
	for _, name := range k.order {
		if err := visit(name, ""); err != nil {
			return nil, err
		}
	}
	return order, nil
}
