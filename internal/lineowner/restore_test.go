package lineowner

import (
	"errors"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/gypsumyard/gypsumyard/internal/emulate/linegroup"
	"github.com/gypsumyard/gypsumyard/internal/emulate/memstore"
	"github.com/gypsumyard/gypsumyard/internal/era"
	"github.com/matryer/is"
)

// newClaims returns the claims of a process of the holder.
func newClaims(store gypsumyard.Store, holder string) *claimStore {
	r := &relayedStore{store: store, prefix: "claims/", clock: clock.Boot(), hosts: func() []gypsumyard.Host { return nil }}
	return &claimStore{store: r, eras: era.NewTracker(), holder: holder, started: 1}
}

// Guards against a generation that falls or is used twice because a restore of the
// store takes its revision back.
func TestGenerationsIncreaseAcrossRestores(t *testing.T) {
	is := is.New(t)
	store := memstore.New()
	store.SetEra(1)
	older := store.Copy()
	highest := gypsumyard.Generation(0)
	for n := range 12 {
		c := newClaims(store, []string{"host-1", "host-2"}[n%2])
		v, _, err := c.latest(t.Context(), groupName)
		is.NoErr(err)
		gen, err := c.acquire(t.Context(), groupName, v)
		is.NoErr(err)
		is.True(gen > highest)
		highest = gen
		if n%3 == 2 {
			store.Restore(older)
		}
	}
}

// Guards against a claim that replaces another host's in the next era because the
// revision that it expects was assigned again.
func TestClaimExpectedInAnotherEra(t *testing.T) {
	is := is.New(t)
	store := memstore.New()
	store.SetEra(1)
	older := store.Copy()
	a, b := newClaims(store, "host-a"), newClaims(store, "host-b")
	first, err := a.acquire(t.Context(), groupName, 0)
	is.True(errors.Is(err, errStoreRestored)) // Version zero was read in no era.
	is.Equal(first, gypsumyard.Generation(0))
	store.Restore(older)
	seen, err := a.acquire(t.Context(), groupName, gypsumyard.NewVersion(2, 0))
	is.NoErr(err)
	store.Restore(older)
	_, err = b.acquire(t.Context(), groupName, gypsumyard.NewVersion(3, 0))
	is.NoErr(err)
	_, err = a.acquire(t.Context(), groupName, gypsumyard.Version(seen)) // Its revision is that of b's claim.
	is.True(errors.Is(err, errStoreRestored))
	// The same with an answer that is lost.
	store.Restore(older)
	seen, err = a.acquire(t.Context(), groupName, gypsumyard.NewVersion(4, 0))
	is.NoErr(err)
	store.Restore(older)
	_, err = b.acquire(t.Context(), groupName, gypsumyard.NewVersion(5, 0))
	is.NoErr(err)
	store.DropResponses(1)
	_, err = a.acquire(t.Context(), groupName, gypsumyard.Version(seen))
	is.True(errors.Is(err, errStoreRestored))
}

// Guards against reliance on the store as a witness while a claim that a restore has
// lost may still lead to a promotion.
func TestClaimProvesNothingAfterRestore(t *testing.T) {
	is := is.New(t)
	c := clock.NewFake(time.Unix(1000, 0))
	eras := era.NewTracker(era.WithClock(c))
	s := &Service{clock: c, eras: eras}
	p := &instance{id: "i-1"}
	g := &group{service: s, clock: c, lastProof: leadershipProof{primary: p}}
	proveAndRead := func(e gypsumyard.Era, done bool) {
		g.lastProof.at = c.Now()
		g.claim.record(gypsumyard.NewVersion(e, 7), done, c.Now())
		g.claim.lastSeen = c.Now()
	}
	eras.Observe(1)
	c.Advance(maxElectionDuration)
	proveAndRead(1, true)
	is.Equal(g.claimEvidence(p), c.Now())
	eras.Observe(2)
	is.True(g.claimEvidence(p).IsZero()) // Read in an earlier era.
	proveAndRead(2, true)                // The same revision, and marked as done.
	is.True(g.claimEvidence(p).IsZero())
	c.Advance(maxElectionDuration)
	g.claim.lastSeen = c.Now()
	is.True(g.claimEvidence(p).IsZero()) // The instances have proved it before that only.
	g.lastProof.at = c.Now()
	is.Equal(g.claimEvidence(p), c.Now())
}

// Guards against a missing claim as a proof after a restore that has lost it.
func TestMissingClaimProvesNothingAfterRestore(t *testing.T) {
	is := is.New(t)
	c := clock.NewFake(time.Unix(1000, 0))
	eras := era.NewTracker(era.WithClock(c))
	g := &group{service: &Service{clock: c, eras: eras}, clock: c}
	p := &instance{id: "i-1"}
	eras.Observe(2)
	g.lastProof = leadershipProof{primary: p, at: c.Now()}
	g.claim.record(gypsumyard.NewVersion(2, 0), false, c.Now())
	g.claim.lastSeen = c.Now()
	is.True(g.claimEvidence(p).IsZero())
}

// Pattern: a primary has crashed, and the store is restored from a copy without the
// claim between the claim and the order.
//
// Guards against an order for a claim that the store has lost, and against another
// claim while an order for a lost one may be on its way.
func TestStoreIsRestoredDuringElection(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 3)
	f.store.SetEra(1)
	older := f.store.Copy()
	h := f.addHost("host-1", nil)
	_, err := f.write(h, "WRITE a 1")
	is.NoErr(err)
	time.Sleep(foreignElectionTimeout) // The host has not seen how long the era lasts.
	f.group.Primary().Crash()
	f.eventually("the claim", func() bool { return f.store.Calls("put") > 0 })
	f.store.Restore(older)
	restored := time.Now()
	f.eventually("a promotion", func() bool { return len(h.promoter.sent()) > 0 })
	is.True(time.Since(restored) >= foreignElectionTimeout)
	sent := h.promoter.sent()
	is.Equal(len(sent), 1)
	is.Equal(gypsumyard.Version(sent[0].Generation).Era(), gypsumyard.Era(2))
	f.eventually("a write", func() bool {
		_, err := f.write(h, "WRITE a 2")
		return err == nil
	})
	for _, p := range f.group.Acknowledged() {
		is.True(f.group.Primary().Contains(p))
	}
}

// Pattern: the store is restored while the primary works.
//
// Guards against writes that wait, or fail, although nobody promotes.
func TestWritesGoOnDuringRestore(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 3, linegroup.WithServiceTime(time.Millisecond))
	f.store.SetEra(1)
	h := f.addHost("host-1", nil)
	older := f.store.Copy()
	_, err := f.write(h, "WRITE a 1")
	is.NoErr(err)
	time.AfterFunc(200*time.Millisecond, func() { f.store.Restore(older) })
	for end := time.Now().Add(time.Second); time.Now().Before(end); {
		began := time.Now()
		_, err := f.write(h, "WRITE a 2")
		is.NoErr(err)
		is.True(time.Since(began) < evidenceTTL)
	}
	is.Equal(len(h.promoter.sent()), 0)
}
