package catalog

import (
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/emulate/memstore"
	"github.com/matryer/is"
)

// reasons records for which reasons the store is called.
type reasons struct {
	store *memstore.Store
	mu    sync.Mutex
	seen  map[gypsumyard.CallReason]bool
}

func newReasons(s *memstore.Store) *reasons {
	return &reasons{store: s, seen: map[gypsumyard.CallReason]bool{}}
}

func (r *reasons) storeFor(why gypsumyard.CallReason) gypsumyard.Store {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen[why] = true
	return r.store
}

// take returns the reasons since the last call, in order.
func (r *reasons) take() []gypsumyard.CallReason {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := slices.Sorted(maps.Keys(r.seen))
	clear(r.seen)
	return list
}

// Pattern: a watcher and another host start, lose the store for some seconds, and
// see it restored from a copy.
//
// Guards against calls that are counted under another reason than the one for which
// they are made.
func TestCallsHaveTheirReason(t *testing.T) {
	is := is.New(t)
	store := memstore.New()
	put(t, store, names.Desired, "1")
	watcher, other := newReasons(store), newReasons(store)
	p := &peers{hosts: map[string]*Service{}}
	fleet := []*Service{startFor(t, watcher.storeFor, p, "a", []string{"a", "b"}), startFor(t, other.storeFor, p, "b", []string{"a", "b"})}
	eventuallyAll(t, fleet, applyWithin, "the state", func(s *Service) bool { return desiredNumber(s) == 1 })
	time.Sleep(time.Second) // The other host relies on the watcher.
	is.Equal(watcher.take(), []gypsumyard.CallReason{gypsumyard.ReasonStart, gypsumyard.ReasonWatcher})
	is.Equal(other.take(), []gypsumyard.CallReason{gypsumyard.ReasonStart})

	copied := store.Copy()
	store.SetDown(true)
	time.Sleep(newCadence(defaultApplyTimeout).validity + 1500*time.Millisecond)
	is.Equal(watcher.take(), []gypsumyard.CallReason{gypsumyard.ReasonWatcher})
	is.Equal(other.take(), []gypsumyard.CallReason{gypsumyard.ReasonStandIn})

	store.Restore(copied)
	store.SetDown(false)
	put(t, store, names.Desired, "2")
	eventuallyAll(t, fleet, applyWithin, "the next state", func(s *Service) bool { return desiredNumber(s) == 2 })
	eventually(t, applyWithin, "the reason of a restore", func() bool { return slices.Contains(other.take(), gypsumyard.ReasonRestore) })
}
