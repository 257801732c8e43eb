package catalog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/sirupsen/logrus"
)

const (
	// registerRetryInterval is the mean pause after a failed registration.
	registerRetryInterval = 300 * time.Millisecond
	// deregisterTimeout bounds the deletion of the host's own entry.
	deregisterTimeout = time.Second
)

// A StaleLister lists objects at a lower cost to the store. The objects that it
// returns may be seconds old.
type StaleLister interface {
	ListStale(ctx context.Context, prefix string) ([]gypsumyard.Object, error)
}

// A Registry is the kernel service "platform". It registers this host in the store
// and lists the registered hosts. It implements [gypsumyard.HostLister].
type Registry struct {
	store  gypsumyard.Store
	lister StaleLister
	prefix string
	self   gypsumyard.Host
	eras   gypsumyard.Eras
	clock  gypsumyard.Clock
	log    logrus.FieldLogger

	stopping context.Context
	stop     context.CancelFunc
	work     sync.WaitGroup
	done     chan struct{}
}

var _ gypsumyard.HostLister = (*Registry)(nil)

// NewRegistry returns the registry of the host self. The names of the hosts'
// entries in the store begin with prefix. The host is registered again in each era
// of the store.
func NewRegistry(store gypsumyard.Store, lister StaleLister, prefix string, self gypsumyard.Host, eras gypsumyard.Eras, log logrus.FieldLogger) *Registry {
	r := &Registry{store: store, lister: lister, prefix: prefix, self: self, eras: eras, clock: clock.System(), log: log, done: make(chan struct{})}
	r.stopping, r.stop = context.WithCancel(context.Background())
	return r
}

// Name returns "platform".
func (r *Registry) Name() string { return "platform" }

// Needs returns nothing.
func (r *Registry) Needs() []string { return nil }

// Done returns a channel that is closed after Stop.
func (r *Registry) Done() <-chan struct{} { return r.done }

// Start registers the host in the background, and again after each restore of the
// store, which may have lost the entry.
func (r *Registry) Start(context.Context, *kernel.Kernel) error {
	r.work.Go(func() {
		for {
			registered, ok := r.registerWithRetries()
			if !ok || !r.awaitEraAfter(registered.Era()) {
				return
			}
		}
	})
	return nil
}

// registerWithRetries registers the host, with retries until the store has accepted
// the entry. It reports false if the registry stops.
func (r *Registry) registerWithRetries() (v gypsumyard.Version, ok bool) {
	for r.stopping.Err() == nil {
		v, err := r.register(r.stopping)
		if err == nil {
			r.eras.Observe(v.Era())
			r.log.WithFields(logrus.Fields{"address": r.self.Addr, "version": v}).Info("host registered")
			return v, true
		}
		r.log.WithError(err).Warn("registration of this host failed, retrying")
		if r.clock.Sleep(r.stopping, registerRetryInterval/2+rand.N(registerRetryInterval)) != nil {
			return 0, false
		}
	}
	return 0, false
}

// awaitEraAfter waits until the store is in a later era than e. It reports false if
// the registry stops.
func (r *Registry) awaitEraAfter(e gypsumyard.Era) bool {
	for {
		changed := r.eras.EraChanges()
		if latest, _ := r.eras.Era(); latest > e {
			return true
		}
		select {
		case <-changed:
		case <-r.stopping.Done():
			return false
		}
	}
}

// Stop ends the attempts to register the host.
func (r *Registry) Stop(context.Context) error {
	r.stop()
	r.work.Wait()
	close(r.done)
	return nil
}

// register writes the host's entry and returns its version. It overwrites the entry
// of an earlier process with the same host name.
func (r *Registry) register(ctx context.Context) (gypsumyard.Version, error) {
	value, err := json.Marshal(r.self)
	if err != nil {
		return 0, fmt.Errorf("encode host: %w", err)
	}
	name := r.prefix + r.self.Name
	v, err := r.store.Put(ctx, name, 0, value)
	if !errors.Is(err, gypsumyard.ErrConflict) {
		return v, err
	}
	old, err := r.store.Get(ctx, name)
	if err != nil {
		return 0, err
	}
	if string(old.Value) == string(value) {
		return old.Version, nil
	}
	return r.store.Put(ctx, name, old.Version, value)
}

// Deregister removes the host's entry. Other hosts learn from this host's
// announcement that it has left; a remaining entry would only cost them attempts
// to reach it.
func (r *Registry) Deregister(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, deregisterTimeout)
	defer cancel()
	return r.store.Delete(ctx, r.prefix+r.self.Name, 0)
}

// Hosts returns the registered hosts.
func (r *Registry) Hosts(ctx context.Context) (hosts []gypsumyard.Host, err error) {
	list, err := r.lister.ListStale(ctx, r.prefix)
	if err != nil {
		return nil, err
	}
	for _, o := range list {
		var h gypsumyard.Host
		if err := json.Unmarshal(o.Value, &h); err != nil {
			r.log.WithField("object", o.Name).WithError(err).Warn("cannot decode entry of host")
			continue
		}
		hosts = append(hosts, h)
	}
	return hosts, nil
}
