package catalog

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/emulate/memstore"
	"github.com/matryer/is"
)

// startFleet starts n hosts with one store. The first host is the watcher.
func startFleet(t *testing.T, store gypsumyard.Store, n int, options ...Option) (fleet []*Service) {
	t.Helper()
	var hosts []string
	for i := range n {
		hosts = append(hosts, fmt.Sprintf("host-%02d", i))
	}
	p := &peers{hosts: map[string]*Service{}}
	for _, h := range hosts {
		fleet = append(fleet, startFor(t, forAll(store), p, h, hosts, options...))
	}
	return fleet
}

// eventuallyAll waits until check returns true for each host.
func eventuallyAll(t *testing.T, fleet []*Service, within time.Duration, what string, check func(*Service) bool) {
	t.Helper()
	eventually(t, within, what, func() bool {
		return !slices.ContainsFunc(fleet, func(s *Service) bool { return !check(s) })
	})
}

func calls(s *memstore.Store) int { return s.Calls("watch") + s.Calls("list") }

// Pattern: the store of a fleet fails for some seconds, and when it returns the
// entries of the instances come back one by one.
//
// Guards against calls to the store that grow with the fleet times the number of
// entries, and with the fleet times the length of the outage at the pace of a
// watcher's retries.
func TestOutageOfTheStoreCostsFewCalls(t *testing.T) {
	is := is.New(t)
	const (
		hosts   = 40
		entries = 24
		outage  = 3500 * time.Millisecond
		spread  = 1200 * time.Millisecond // The heartbeat interval of the instances.
		// callsPerHost allows each host a retry for each second that it is without
		// valid copies, and a few calls when the store returns.
		callsPerHost = 8
		// watcherCalls allows the watcher a retry every 0.2 s, and a call for each
		// entry.
		watcherCalls = 120
	)
	store := memstore.New()
	put(t, store, names.Desired, "1")
	for n := range entries {
		put(t, store, fmt.Sprintf("%si-%02d", names.Instances, n), `{"Group":"g","Slots":2}`)
	}
	fleet := startFleet(t, store, hosts)
	eventuallyAll(t, fleet, applyWithin, "the instances", func(s *Service) bool { return len(s.Instances("g")) == entries })
	time.Sleep(time.Second) // All hosts rely on the watcher.
	before := calls(store)
	store.SetDown(true)
	time.Sleep(outage)
	store.SetDown(false)
	for n := range entries {
		put(t, store, fmt.Sprintf("%si-%02d", names.Instances, n), `{"Group":"g","Slots":3}`)
		time.Sleep(spread / entries)
	}
	put(t, store, names.Desired, "2")
	eventuallyAll(t, fleet, applyWithin, "the next state", func(s *Service) bool { return desiredNumber(s) == 2 })
	eventuallyAll(t, fleet, applyWithin, "the entries", func(s *Service) bool {
		return !slices.ContainsFunc(s.Instances("g"), func(i gypsumyard.ListedInstance) bool { return i.Slots != 3 })
	})
	n := calls(store) - before
	t.Logf("%d calls", n)
	is.True(n <= hosts*callsPerHost+watcherCalls)
}

// Pattern: the watches of a fleet's watchers stay without an answer for a moment, as
// when the store discards its history.
//
// Guards against a whole fleet that calls the store because a watcher had no answer
// to one call.
func TestSilentWatchStaysAmongWatchers(t *testing.T) {
	is := is.New(t)
	const hosts = 20
	store := memstore.New()
	put(t, store, names.Desired, "1")
	fleet := startFleet(t, store, hosts)
	eventuallyAll(t, fleet, applyWithin, "the state", func(s *Service) bool { return desiredNumber(s) == 1 })
	time.Sleep(time.Second)
	before := calls(store)
	store.SetWatchesStalled(true)
	put(t, store, names.Desired, "2")
	store.Compact()
	time.Sleep(1500 * time.Millisecond)
	store.SetWatchesStalled(false)
	eventuallyAll(t, fleet, applyWithin, "the next state", func(s *Service) bool { return desiredNumber(s) == 2 })
	n := calls(store) - before
	t.Logf("%d calls", n)
	is.True(n < hosts) // The other hosts make none.
}

// Pattern: the store turns the watchers away and serves the other hosts.
//
// Guards against a change that is not in force in time on a watcher, or on hosts that
// rely on it.
func TestWatchersAreTurnedAway(t *testing.T) {
	store, refused := memstore.New(), memstore.New()
	put(t, store, names.Desired, "1")
	p := &peers{hosts: map[string]*Service{}}
	hosts := []string{"a", "b", "c", "d"}
	fleet := []*Service{start(t, refused, p, "a", hosts...)}
	refused.SetDown(true)
	for _, h := range hosts[1:] {
		fleet = append(fleet, start(t, store, p, h, hosts...))
	}
	for n := 2; n < 6; n++ {
		put(t, store, names.Desired, fmt.Sprint(n))
		eventuallyAll(t, fleet, applyWithin, fmt.Sprintf("state %d", n), func(s *Service) bool { return desiredNumber(s) == int64(n) })
	}
}

// Pattern: a fleet starts at the same time.
//
// Guards against more calls to the store than the two lists that each host needs.
func TestStartCostsTwoListsEach(t *testing.T) {
	is := is.New(t)
	const (
		hosts = 30
		// watcherCalls allows the watcher two calls a second.
		watcherCalls = 6
	)
	store := memstore.New()
	put(t, store, names.Desired, "1")
	put(t, store, names.Instances+"i-1", `{"Group":"g","Slots":2}`)
	fleet := startFleet(t, store, hosts)
	eventuallyAll(t, fleet, applyWithin, "the instance", func(s *Service) bool { return len(s.Instances("g")) == 1 })
	time.Sleep(2 * time.Second)
	n := calls(store)
	t.Logf("%d calls", n)
	is.True(n <= 2*hosts+watcherCalls)
}
