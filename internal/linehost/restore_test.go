package linehost_test

import (
	"sync"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/emulate/lineclient"
	"github.com/gypsumyard/gypsumyard/internal/emulate/linegroup"
	"github.com/gypsumyard/gypsumyard/internal/emulate/memstore"
	"github.com/gypsumyard/gypsumyard/internal/emulate/objects"
	"github.com/matryer/is"
)

const (
	// routeAdded is a route that the operator adds while the hosts run, and
	// routeLast one that is added after a restore of the store.
	routeAdded = "added"
	routeLast  = "last"
	// storeOutage is how long the store is away before it comes back from a copy.
	storeOutage = 300 * time.Millisecond
	// rewriteDelay is the time from the return of the store until the operator
	// and the instances have written again.
	rewriteDelay = 700 * time.Millisecond
	// lostRevisions is how many revisions of other objects the restore takes back,
	// more than are assigned again in the test.
	lostRevisions = 200
	// applyTimeout is how soon a desired state must be in force.
	applyTimeout = 3 * time.Second
)

// restore takes the store down and brings it back from the copy.
func (s *system) restore(c memstore.Copy) {
	s.store.SetDown(true)
	time.Sleep(storeOutage)
	s.store.Restore(c)
	s.store.SetDown(false)
}

// serves reports whether the host has the route.
func (s *system) serves(h *node, route string) bool {
	c, err := lineclient.Dial(h.settings.CallerAddr, route, "probe")
	if err != nil {
		return false
	}
	c.Close()
	return true
}

// awaitOnAll waits until all hosts have the route.
func (s *system) awaitOnAll(route string, within time.Duration) {
	s.t.Helper()
	end := time.Now().Add(within)
	for _, h := range s.hosts {
		for !s.serves(h, route) {
			if time.Now().After(end) {
				s.t.Fatalf("%s does not have route %s within %v", h.settings.Host.Name, route, within)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// keepsRoute checks, until the function that it returns is called, that no host
// stops serving the route.
func (s *system) keepsRoute(route string) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
			}
			for _, h := range s.hosts {
				if !s.serves(h, route) {
					s.t.Errorf("%s no longer has route %s", h.settings.Host.Name, route)
					return
				}
			}
		}
	})
	return func() { close(done); wg.Wait() }
}

// Pattern: under load the store goes away for a moment and comes back from a copy
// that lacks the last desired state and the last claim of a promotion. The operator
// and the instances write again shortly after.
//
// Guards against a host that takes the older desired state into force, ignores what
// is written after the restore, or promotes with a generation that was used before.
func TestStoreRestoredFromOlderCopy(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 3, routes(), linegroup.WithServiceTime(2*time.Millisecond), linegroup.WithLag(5*time.Millisecond))
	load := newResult()
	end := time.Now().Add(14 * time.Second)
	var wg sync.WaitGroup
	for n := range 6 {
		c := &caller{system: s, name: "c" + string(rune('0'+n)), route: []string{routeOwn, routeUrgent}[n%2], result: load, hosts: s.hosts, pause: 10 * time.Millisecond}
		wg.Go(func() {
			c.run(end, func(x *lineclient.Session) bool { return c.write(x) && c.readOwn(x) })
		})
	}
	older := s.store.Copy()
	for n := range lostRevisions {
		s.must(objects.Put(t.Context(), s.store, "others/note", n))
	}
	s.setDesiredState(2, append(routes(), objects.Route{Host: routeAdded, Kind: objects.KindPrimary}))
	s.awaitOnAll(routeAdded, applyTimeout)
	s.group.Primary().Crash()
	s.awaitPromotions(1, 5*time.Second)
	stop := s.keepsRoute(routeAdded)
	s.restore(older)
	time.Sleep(rewriteDelay)
	s.setDesiredState(2, append(routes(), objects.Route{Host: routeAdded, Kind: objects.KindPrimary}))
	s.putInstances()
	s.setDesiredState(3, append(routes(), objects.Route{Host: routeAdded, Kind: objects.KindPrimary}, objects.Route{Host: routeLast, Kind: objects.KindPrimary}))
	s.awaitOnAll(routeLast, applyTimeout)
	stop()
	before := len(s.promotions())
	s.leave(s.group.Primary())
	s.awaitPromotions(before+1, 9*time.Second)
	wg.Wait()
	t.Logf("%v", load)
	generation := uint64(0)
	for _, o := range s.promotions() {
		t.Logf("promotion of %s by %s, generation %d", o.ID, o.Holder, o.Generation)
		is.True(o.Generation > generation) // Generations increase across restores.
		generation = o.Generation
	}
	is.True(len(load.took) > 1000)
	s.check()
}

// leave announces in the store that the instance is leaving.
func (s *system) leave(i *linegroup.Instance) {
	i.SetLeaving()
	l := i.Listed()
	s.must(objects.PutInstance(s.t.Context(), s.store, l, l.Addr, objects.StateLeaving))
}

// awaitPromotions waits until the platform has received n promotion orders.
func (s *system) awaitPromotions(n int, within time.Duration) {
	s.t.Helper()
	for end := time.Now().Add(within); len(s.promotions()) < n; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("%d promotion orders within %v, want %d", len(s.promotions()), within, n)
		}
	}
}
