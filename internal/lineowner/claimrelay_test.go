package lineowner

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/gypsumyard/gypsumyard/internal/emulate/memstore"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

// A silentStore accepts calls and does not answer.
type silentStore struct{ gypsumyard.Store }

func (silentStore) Get(ctx context.Context, _ string) (gypsumyard.Object, error) {
	<-ctx.Done()
	return gypsumyard.Object{}, gypsumyard.ErrUnavailable
}

// newRelayedStore returns the store of a host that reaches a store and other hosts
// that reach theirs.
func newRelayedStore(own gypsumyard.Store, others ...gypsumyard.Store) (r *relayedStore, asked *int) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	r = &relayedStore{store: own, prefix: "claims/", clock: clock.Boot(), log: log}
	asked = new(int)
	relays := map[string]*relayedStore{}
	var hosts []gypsumyard.Host
	for n, s := range others {
		name := string(rune('a' + n))
		hosts = append(hosts, gypsumyard.Host{Name: name})
		relays[name] = &relayedStore{store: s, prefix: "claims/", clock: clock.Boot(), log: log}
	}
	r.hosts = func() []gypsumyard.Host { return hosts }
	r.peers = &fakePeers{relay: func(ctx context.Context, host string, c gypsumyard.ClaimCall) (gypsumyard.Object, error) {
		*asked++
		return relays[host].callStore(ctx, c)
	}}
	return r, asked
}

// Pattern: the store turns the owner of a database away and serves the other hosts.
//
// Guards against claims that fail although other hosts reach the store.
func TestClaimThroughAnotherHost(t *testing.T) {
	is := is.New(t)
	store, refused := memstore.New(), memstore.New()
	refused.SetDown(true)
	for _, own := range []gypsumyard.Store{refused, silentStore{}} {
		r, asked := newRelayedStore(own, store, store)
		ctx, cancel := context.WithTimeout(t.Context(), claimTimeout)
		o, err := r.call(ctx, gypsumyard.ClaimCall{Database: "g"})
		is.True(err == nil || errors.Is(err, gypsumyard.ErrNotFound))
		o, err = r.call(ctx, gypsumyard.ClaimCall{Database: "g", Value: []byte("x"), Expected: o.Version})
		cancel()
		is.NoErr(err)
		is.True(o.Version > 0)
		is.Equal(*asked, 2)
	}
}

// Guards against a write that goes through another host although it may have been
// done.
func TestUncertainClaimIsNotRepeated(t *testing.T) {
	is := is.New(t)
	store, other := memstore.New(), memstore.New()
	store.DropResponses(1)
	r, asked := newRelayedStore(store, other)
	_, err := r.call(t.Context(), gypsumyard.ClaimCall{Database: "g", Value: []byte("x")})
	is.True(errors.Is(err, gypsumyard.ErrOutcomeUnknown))
	is.Equal(*asked, 0)
	// The same if the other host has lost the answer.
	store.SetDown(true)
	other.DropResponses(1)
	third := memstore.New()
	r, _ = newRelayedStore(store, other, third)
	for range 2 {
		_, err = r.call(t.Context(), gypsumyard.ClaimCall{Database: "g", Value: []byte("x")})
		if errors.Is(err, gypsumyard.ErrOutcomeUnknown) {
			break
		}
		is.NoErr(err) // The third host was asked.
		is.Equal(third.Calls("put"), 1)
		third.SetDown(true)
	}
	is.True(errors.Is(err, gypsumyard.ErrOutcomeUnknown))
}

// Guards against other hosts that are asked although the store serves this one, and
// against many that are asked while it serves none.
func TestFewHostsAreAsked(t *testing.T) {
	is := is.New(t)
	store := memstore.New()
	r, asked := newRelayedStore(store, store, store, store, store)
	_, err := r.call(t.Context(), gypsumyard.ClaimCall{Database: "g", Value: []byte("x")})
	is.NoErr(err)
	is.Equal(*asked, 0)
	store.SetDown(true)
	_, err = r.call(t.Context(), gypsumyard.ClaimCall{Database: "g"})
	is.True(errors.Is(err, gypsumyard.ErrUnavailable))
	is.Equal(*asked, maxRelays)
	_, err = r.call(t.Context(), gypsumyard.ClaimCall{Database: "g"}) // Others are asked first now.
	is.True(errors.Is(err, gypsumyard.ErrUnavailable))
	is.Equal(*asked, 2*maxRelays)
}

// Pattern: a primary crashes while the store turns the owner of its database away.
//
// Guards against writes that wait until the store serves the owner again.
func TestPrimaryIsReplacedByOwnerWithoutStore(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 3)
	store := f.store
	relay := &relayedStore{store: store, prefix: "claims/", clock: clock.Boot()}
	peers := &fakePeers{relay: func(ctx context.Context, _ string, c gypsumyard.ClaimCall) (gypsumyard.Object, error) {
		return relay.callStore(ctx, c)
	}}
	f.store = memstore.New()
	f.store.SetDown(true)
	h := f.addHost("host-1", peers, "host-2")
	_, err := f.write(h, "WRITE a 1")
	is.NoErr(err)
	began := time.Now()
	f.group.Primary().Crash()
	f.eventually("a write", func() bool {
		_, err := f.write(h, "WRITE a 2")
		return err == nil
	})
	is.True(time.Since(began) < 3*time.Second)
	sent := h.promoter.sent()
	is.Equal(len(sent), 1)
	o, err := store.Get(t.Context(), "claims/"+groupName)
	is.NoErr(err)
	is.True(sent[0].Generation <= gypsumyard.Generation(o.Version)) // Marked as done since.
}
