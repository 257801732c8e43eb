package lineowner

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/sirupsen/logrus"
)

const (
	// relayFirstPeriod is how long after a failed call other hosts are asked first.
	relayFirstPeriod = 2 * time.Second
	// maxRelays is how many other hosts are asked.
	maxRelays = 2
)

// A relayedStore makes the calls to the store for the claims on promotions. If the
// store does not serve this host, it makes them through other hosts: the store may
// turn away some hosts only, and a database must not wait until it serves the owner.
type relayedStore struct {
	store  gypsumyard.Store
	prefix string
	clock  gypsumyard.Clock
	log    logrus.FieldLogger
	// peers and hosts give access to the other hosts. They are set at the start.
	peers gypsumyard.PeerClient
	hosts func() []gypsumyard.Host

	mu       sync.Mutex
	failedAt time.Time
}

// CallClaim makes a call for a claim to the store itself. Other hosts call it through
// the service "peer".
func (s *Service) CallClaim(ctx context.Context, c gypsumyard.ClaimCall) (gypsumyard.Object, error) {
	return s.claims.store.callStore(ctx, c)
}

// callStore makes one call to the store.
func (r *relayedStore) callStore(ctx context.Context, c gypsumyard.ClaimCall) (o gypsumyard.Object, err error) {
	name := r.prefix + c.Database
	if c.Value == nil {
		return r.store.Get(ctx, name)
	}
	v, err := r.store.Put(ctx, name, c.Expected, c.Value)
	return gypsumyard.Object{Name: name, Version: v}, err
}

// call makes a call for a claim, through other hosts if need be. The call goes on only
// if the one before has certainly done nothing.
func (r *relayedStore) call(ctx context.Context, c gypsumyard.ClaimCall) (o gypsumyard.Object, err error) {
	ways := []func(context.Context, gypsumyard.ClaimCall) (gypsumyard.Object, error){r.callOwn, r.relay}
	if r.relaysFirst() {
		slices.Reverse(ways)
	}
	for _, w := range ways {
		o, err = w(ctx, c)
		if !errors.Is(err, gypsumyard.ErrUnavailable) {
			return o, err
		}
	}
	return o, err
}

// callOwn makes the call to the store, and remembers whether the store serves this
// host.
func (r *relayedStore) callOwn(ctx context.Context, c gypsumyard.ClaimCall) (gypsumyard.Object, error) {
	ctx, cancel := r.storeContext(ctx, c)
	defer cancel()
	o, err := r.callStore(ctx, c)
	r.noteResult(err)
	return o, err
}

// storeContext leaves half of the time for a read to other hosts. A write gets all of
// it: without an answer its outcome is unknown.
func (r *relayedStore) storeContext(ctx context.Context, c gypsumyard.ClaimCall) (context.Context, context.CancelFunc) {
	end, ok := ctx.Deadline()
	if c.Value != nil || !ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Until(end)/2)
}

// relaysFirst reports whether the store has not served this host recently.
func (r *relayedStore) relaysFirst() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.failedAt.IsZero() && r.clock.Since(r.failedAt) < relayFirstPeriod
}

func (r *relayedStore) noteResult(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case errors.Is(err, gypsumyard.ErrUnavailable):
		r.failedAt = r.clock.Now()
	case !errors.Is(err, gypsumyard.ErrOutcomeUnknown):
		r.failedAt = time.Time{}
	}
}

// relay makes the call through random other hosts. It fails with ErrUnavailable if none
// of them has reached the store.
func (r *relayedStore) relay(ctx context.Context, c gypsumyard.ClaimCall) (o gypsumyard.Object, err error) {
	hosts := r.hosts()
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	for _, h := range hosts[:min(len(hosts), maxRelays)] {
		o, err = r.peers.RelayClaim(ctx, h, c)
		log := r.log.WithFields(logrus.Fields{"database": c.Database, "member": h.Name, "write": c.Value != nil, "version": o.Version})
		if !errors.Is(err, gypsumyard.ErrUnavailable) {
			log.WithError(err).Info("store called through another host")
			return o, err
		}
		log.WithError(err).Debug("store not reached through another host")
	}
	return o, fmt.Errorf("through %d hosts: %w", min(len(hosts), maxRelays), gypsumyard.ErrUnavailable)
}
