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
	// watchMargin is how long before its deadline a watch ends without changes.
	watchMargin = 300 * time.Millisecond
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
	end, _ := ctx.Deadline()
	for v = after; err == nil && len(list) == 0 && time.Until(end) > watchMargin; {
		list, v, err = s.Store.Watch(ctx, prefix, v)
	}
	if s.stalled.Load() {
		<-ctx.Done()
		return nil, after, ctx.Err()
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

// callsInMinute returns the calls of a fleet in a minute without changes.
func callsInMinute(t *testing.T, apply time.Duration) (n int) {
	t.Helper()
	inFleet(t, 3, apply, func(s *countingStore, _ []*Service) {
		time.Sleep(time.Minute)
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
	short, long := callsInMinute(t, shortApplyTimeout), callsInMinute(t, longApplyTimeout)
	t.Logf("%d calls within %v, %d within %v", short, shortApplyTimeout, long, longApplyTimeout)
	instances := int(time.Minute/instancesWatchTimeout) + 1
	is.True(long-instances <= (short-instances)/2)
}

// Pattern: the store is away for a moment, in any phase of the watch, and is asked again
// while the copies of the other hosts may still be relied on.
//
// Guards against a fleet that calls the store itself although its copies may still be
// relied on.
func TestShortOutageStaysAmongWatchers(t *testing.T) {
	const hosts, phases = 40, 8
	c := newCadence(longApplyTimeout)
	// left is how long the copies count if the outage begins just before the watch
	// would have confirmed them. Of it the watcher needs up to a pause and a short
	// watch after the outage, and the other hosts the time of a pull.
	left := c.validity - (c.watchTimeout - watchMargin)
	outage := left - retryMax*3/2 - (regainTimeout - watchMargin) - pullMargin
	for phase := range phases {
		inFleet(t, hosts, longApplyTimeout, func(s *countingStore, _ []*Service) {
			time.Sleep(time.Duration(phase) * c.watchTimeout / phases)
			s.take()
			s.SetDown(true)
			time.Sleep(outage)
			s.SetDown(false)
			time.Sleep(2 * time.Second)
			n := s.take()
			t.Logf("%d calls", n)
			if n >= hosts { // The other hosts make none.
				t.Errorf("%d calls of %d hosts", n, hosts)
			}
		})
	}
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
