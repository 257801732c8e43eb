package soak

import (
	"math/rand/v2"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/emulate/objects"
)

const (
	// maxRestores is the largest number of restores in one run.
	maxRestores = 3
	// entryExpiry is how long the store keeps the entry of an instance that does
	// not write.
	entryExpiry = 3600 * time.Millisecond
)

// restoreStore lets the store come back n times from a copy that is up to some
// seconds old.
func (cl *cluster) restoreStore(r *rand.Rand, n int) {
	upTo := func(most time.Duration) time.Duration { return time.Duration(r.Int64N(int64(most))) }
	for range n {
		older := cl.store.Copy()
		time.Sleep(200*time.Millisecond + upTo(3*time.Second))
		cl.store.SetDown(true)
		time.Sleep(upTo(time.Second))
		cl.store.Restore(older)
		cl.store.SetDown(false)
		cl.t.Logf("store was restored, era %d", cl.store.Era())
		time.Sleep(upTo(1500 * time.Millisecond))
		cl.rewrite()
		time.AfterFunc(entryExpiry, cl.removeExpired)
	}
}

// rewrite lets the operator and the live instances write again what they wrote last.
func (cl *cluster) rewrite() {
	cl.writing.Lock()
	defer cl.writing.Unlock()
	if err := objects.SetDesiredState(cl.t.Context(), cl.store, cl.desired); err != nil {
		cl.t.Error(err)
	}
	for _, i := range cl.group.Instances() {
		if !cl.isLost(i.ID()) {
			cl.putEntry(i)
		}
	}
}

// isLost reports whether the instance has crashed for good.
func (cl *cluster) isLost(id string) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return !cl.lost[id].IsZero()
}

// removeExpired removes the entries of instances that are gone.
func (cl *cluster) removeExpired() {
	entries, _, err := cl.store.List(cl.t.Context(), "servers/")
	if err != nil {
		return // The store is down: the entries stay.
	}
	for _, o := range entries {
		if cl.isLost(o.Name[len("servers/"):]) {
			_ = cl.store.Delete(cl.t.Context(), o.Name, o.Version) // It may have changed.
		}
	}
}
