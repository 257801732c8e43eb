package catalog

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/emulate/memstore"
	"github.com/matryer/is"
)

const (
	// shortApplyTimeout and longApplyTimeout are two times within which a desired
	// state must be in force.
	shortApplyTimeout = 3 * time.Second
	longApplyTimeout  = 6 * time.Second
)

// countingStore answers a watch without changes shortly before its deadline, as the
// platform does, and counts calls.
type countingStore struct {
	*memstore.Store
	// stalled makes watches end with their deadline, without an answer.
	stalled atomic.Bool
	mu      sync.Mutex
	calls   int
}

func (s *countingStore) count() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
}

// take returns the number of calls since it was last called.
func (s *countingStore) take() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.calls
	s.calls = 0
	return n
}

func (s *countingStore) List(ctx context.Context, prefix string) ([]gypsumyard.Object, gypsumyard.Version, error) {
	s.count()
	return s.Store.List(ctx, prefix)
}

func (s *countingStore) Watch(ctx context.Context, prefix string, after gypsumyard.Version) (list []gypsumyard.Object, v gypsumyard.Version, err error) {
	s.count()
	const margin = 300 * time.Millisecond
	end, _ := ctx.Deadline()
	waiting, cancel := context.WithDeadline(ctx, end.Add(-margin))
	defer cancel()
	for v = after; err == nil && len(list) == 0; {
		list, v, err = s.Store.Watch(waiting, prefix, v)
	}
	switch {
	case s.stalled.Load():
		<-ctx.Done()
		return nil, after, ctx.Err()
	case waiting.Err() != nil:
		return nil, v, nil
	}
	return list, v, err
}

// inFleet runs f in simulated time with a started fleet that has the state 1 and
// must have the next one in force within apply.
func inFleet(t *testing.T, hosts int, apply time.Duration, f func(*countingStore, []*Service)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		store := &countingStore{Store: memstore.New()}
		put(t, store.Store, names.Desired, "1")
		fleet := startFleet(t, store, hosts, WithApplyTimeout(apply))
		time.Sleep(5 * time.Second)
		store.take()
		f(store, fleet)
	})
}

// callsDuring returns the calls of a fleet during the outage and the time after it.
func callsDuring(t *testing.T, hosts int, apply, outage, after time.Duration) (n int) {
	t.Helper()
	inFleet(t, hosts, apply, func(s *countingStore, _ []*Service) {
		s.SetDown(outage > 0)
		time.Sleep(outage)
		s.SetDown(false)
		time.Sleep(after)
		n = s.take()
	})
	return n
}

// Pattern: nothing changes for a minute.
//
// Guards against watches that are renewed as often as the shortest time for a change
// needs, whatever the platform allows: each renewal is a call.
func TestWatchesAreRenewedAsRarelyAsAllowed(t *testing.T) {
	is := is.New(t)
	short, long := callsDuring(t, 3, shortApplyTimeout, 0, time.Minute), callsDuring(t, 3, longApplyTimeout, 0, time.Minute)
	t.Logf("%d calls within %v, %d within %v", short, shortApplyTimeout, long, longApplyTimeout)
	instances := int(time.Minute/instancesWatchTimeout) + 1
	is.True(long-instances <= (short-instances)/2)
}

// Pattern: the store is away for two seconds.
//
// Guards against a fleet that calls the store itself although its copies may still be
// relied on.
func TestShortOutageStaysAmongWatchers(t *testing.T) {
	is := is.New(t)
	const hosts, outage = 40, 2 * time.Second
	short, long := callsDuring(t, hosts, shortApplyTimeout, outage, 3*time.Second), callsDuring(t, hosts, longApplyTimeout, outage, 3*time.Second)
	t.Logf("%d calls within %v, %d within %v", short, shortApplyTimeout, long, longApplyTimeout)
	is.True(long <= short/2)
}

// Pattern: the watches of the watcher stay silent for good from a moment on, and the
// history of the store is gone.
//
// Guards against a change that is not in force on all hosts within the time that the
// platform allows, whatever that time is.
func TestMissedChangeIsInForceInTime(t *testing.T) {
	for _, apply := range []time.Duration{shortApplyTimeout, longApplyTimeout} {
		for phase := range 8 {
			t.Run(fmt.Sprint(apply, "/", phase), func(t *testing.T) {
				inFleet(t, 20, apply, func(s *countingStore, fleet []*Service) {
					time.Sleep(time.Duration(phase) * apply / 16)
					s.stalled.Store(true)
					s.SetWatchesStalled(true)
					put(t, s.Store, names.Desired, "2")
					s.Compact()
					time.Sleep(apply)
					for n, h := range fleet {
						if desiredNumber(h) != 2 {
							t.Errorf("host %d has state %d", n, desiredNumber(h))
						}
					}
				})
			})
		}
	}
}
