package planlist

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"
)

// A fakeService is embedded in a fake to register it under a service's name.
type fakeService struct {
	name string
	done chan struct{}
}

func newFakeService(name string) fakeService { return fakeService{name, make(chan struct{})} }

func (p fakeService) Name() string                                { return p.name }
func (p fakeService) Needs() []string                             { return nil }
func (p fakeService) Start(context.Context, *kernel.Kernel) error { return nil }
func (p fakeService) Stop(context.Context) error                  { close(p.done); return nil }
func (p fakeService) Done() <-chan struct{}                       { return p.done }

type fakePlatform struct {
	fakeService
	*memoryStore
}

type fakeMembers struct {
	fakeService
	self  gypsumyard.Host
	hosts []gypsumyard.Host
}

func (m fakeMembers) Self() gypsumyard.Host                { return m.self }
func (m fakeMembers) Hosts() []gypsumyard.Host             { return m.hosts }
func (m fakeMembers) Changes() <-chan struct{}             { return nil }
func (m fakeMembers) Owner(string) (gypsumyard.Host, bool) { return m.self, true }

// A fakePeers calls the services of other hosts directly.
type fakePeers struct {
	fakeService
	gypsumyard.PeerClient
	services map[string]*Service
	// fetchTime is how long a fetch takes.
	fetchTime time.Duration
}

func (p fakePeers) PushObjects(_ context.Context, to gypsumyard.Host, objects []gypsumyard.Object) error {
	p.services[to.Name].Apply(objects)
	return nil
}

func (p fakePeers) FetchObjects(ctx context.Context, from gypsumyard.Host, after gypsumyard.Version) (gypsumyard.ObjectUpdate, error) {
	select {
	case <-time.After(p.fetchTime):
		return p.services[from.Name].Newer(after), nil
	case <-ctx.Done():
		return gypsumyard.ObjectUpdate{}, context.Cause(ctx)
	}
}

// startHosts starts n hosts that share one store and returns their services.
func startHosts(t *testing.T, n int, store *memoryStore) []*Service {
	var hosts []gypsumyard.Host
	byName := map[string]*Service{}
	for i := range n {
		hosts = append(hosts, gypsumyard.Host{Name: fmt.Sprintf("host-%02d", i), State: gypsumyard.HostLive})
		byName[hosts[i].Name] = New(WithLogger(discardLogger()))
	}
	var services []*Service
	for _, h := range hosts {
		startHost(t, h, hosts, byName, store)
		services = append(services, byName[h.Name])
	}
	return services
}

func discardLogger() *logrus.Entry {
	l := logrus.New()
	l.SetLevel(logrus.FatalLevel)
	return logrus.NewEntry(l)
}

func startHost(t *testing.T, h gypsumyard.Host, hosts []gypsumyard.Host, byName map[string]*Service, store *memoryStore) {
	t.Helper()
	startHostOverLink(t, h, hosts, byName, store, 0)
}

// startHostOverLink is startHost for a host whose fetches from others take fetchTime.
func startHostOverLink(t *testing.T, h gypsumyard.Host, hosts []gypsumyard.Host, byName map[string]*Service, store *memoryStore, fetchTime time.Duration) {
	t.Helper()
	k, err := kernel.New(byName[h.Name],
		fakePlatform{newFakeService("platform"), store},
		fakeMembers{newFakeService("members"), h, hosts},
		fakePeers{fakeService: newFakeService("peer"), services: byName, fetchTime: fetchTime})
	if err != nil {
		t.Fatal(err)
	}
	if err := k.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = k.Stop(context.Background()) })
}

func eventually(t *testing.T, limit time.Duration, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

// Guards against a change that does not reach a host, both when watchers push to
// all hosts and when relays are used. A change must be in force within 4 s.
func TestChangeReachesAllHosts(t *testing.T) {
	for _, n := range []int{1, 9, 40} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			store := newMemoryStore()
			services := startHosts(t, n, store)
			for _, s := range services {
				<-s.Ready()
			}
			_, err := NewEditor(store, clock.System()).Apply(t.Context(), Edit{Kind: Plans, Name: "gold", Value: planValue("gold", 0.25)})
			is.NoErr(err)
			eventually(t, 4*time.Second, "plan in force on all hosts", func() bool {
				for _, s := range services {
					if p, ok := s.Plan("gold"); !ok || p.Share != 0.25 {
						return false
					}
				}
				return true
			})
		})
	}
}

// Guards against a new host that admits callers before it has the lists. If the
// store is down, the host must load them from a majority of its peers; without
// either source it must wait.
func TestStartWithoutStore(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	_, err := NewEditor(store, clock.System()).Apply(t.Context(), Edit{Kind: Plans, Name: "gold", Value: planValue("gold", 0.25)})
	is.NoErr(err)
	hosts := []gypsumyard.Host{{Name: "a", State: gypsumyard.HostLive}, {Name: "b", State: gypsumyard.HostLive}, {Name: "c", State: gypsumyard.HostLive}}
	byName := map[string]*Service{"a": New(WithLogger(discardLogger())), "b": New(WithLogger(discardLogger())), "c": New(WithLogger(discardLogger()))}
	startHost(t, hosts[0], hosts, byName, store)
	<-byName["a"].Ready()
	store.setDown(true)
	startHost(t, hosts[2], hosts, byName, store)
	select {
	case <-byName["c"].Ready():
		t.Fatal("ready although one of two peers does not know the lists")
	case <-time.After(time.Second):
	}
	byName["b"].Apply(store.changedAfter(Prefix, 0))
	byName["b"].copy.setCompleteVersion(store.version)
	eventually(t, 4*time.Second, "lists loaded from peers", func() bool {
		p, ok := byName["c"].Plan("gold")
		return ok && p.Share == 0.25
	})
	<-byName["c"].Ready()
}

// Guards against a host that never loads the lists from others because a fetch is given
// up while its answer arrives.
func TestStartWithoutStoreOverSlowLink(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	_, err := NewEditor(store, clock.System()).Apply(t.Context(), Edit{Kind: Plans, Name: "gold", Value: planValue("gold", 0.25)})
	is.NoErr(err)
	hosts := []gypsumyard.Host{{Name: "a", State: gypsumyard.HostLive}, {Name: "b", State: gypsumyard.HostLive}}
	byName := map[string]*Service{"a": New(WithLogger(discardLogger())), "b": New(WithLogger(discardLogger()))}
	startHost(t, hosts[0], hosts[:1], byName, store) // It does not push to host b.
	<-byName["a"].Ready()
	store.setDown(true)
	startHostOverLink(t, hosts[1], hosts, byName, store, pushTimeout+500*time.Millisecond)
	eventually(t, 4*time.Second, "lists loaded from a peer", func() bool {
		p, ok := byName["b"].Plan("gold")
		return ok && p.Share == 0.25
	})
}

// Guards against a stale source reverting a change. In whatever order objects
// arrive, the copy equals a naive model that keeps the highest versions.
func TestCopyNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newLocalCopy()
		naive := map[string]gypsumyard.Version{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			o := gypsumyard.Object{
				Name:    ObjectName(Customers, fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "entry"))),
				Version: gypsumyard.Version(rapid.IntRange(1, 20).Draw(t, "version")),
				Deleted: rapid.Bool().Draw(t, "deleted"),
			}
			applied, errs := c.apply([]gypsumyard.Object{o})
			if len(errs) > 0 || (len(applied) == 1) != (o.Version > naive[o.Name]) {
				t.Fatalf("apply %s version %d over %d: applied %d, errors %v", o.Name, o.Version, naive[o.Name], len(applied), errs)
			}
			naive[o.Name] = max(naive[o.Name], o.Version)
		}
		for name, v := range c.versions() {
			if naive[name] != v {
				t.Fatalf("%s: version %d, want %d", name, v, naive[name])
			}
		}
	})
}

// Guards against a push tree that does not reach every host.
func TestPushTreeReachesAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var hosts []gypsumyard.Host
		for i := range rapid.IntRange(1, 800).Draw(t, "hosts") {
			hosts = append(hosts, gypsumyard.Host{Name: fmt.Sprintf("h%d", i), State: gypsumyard.HostLive})
		}
		tree := newPushTree(hosts[0].Name, hosts)
		reached := map[string]bool{tree.ranked[0].Name: true}
		pushes := 0
		for i := range tree.ranked {
			// Relays rank before the hosts they push to, so one pass is enough.
			if !reached[tree.ranked[i].Name] {
				break
			}
			tree.self = i
			for _, h := range tree.targets() {
				pushes++
				reached[h.Name] = true
			}
		}
		if len(reached) != len(hosts) {
			t.Fatalf("%d of %d hosts reached", len(reached), len(hosts))
		}
		if pushes > 4*maxDirectPushHosts+2*len(hosts) {
			t.Fatalf("%d pushes for %d hosts", pushes, len(hosts))
		}
	})
}

// Guards against an undecodable object replacing a good copy.
func TestRejectsBrokenObject(t *testing.T) {
	is := is.New(t)
	s := New(WithLogger(discardLogger()))
	name := ObjectName(Plans, "gold")
	d := document{Entries: map[string]Entry{}}
	d.set("gold", "op", planValue("gold", 0.5))
	value, err := d.encode()
	is.NoErr(err)
	is.Equal(s.Apply([]gypsumyard.Object{{Name: name, Version: 1, Value: value}}), 1)
	is.Equal(s.Apply([]gypsumyard.Object{{Name: name, Version: 2, Value: []byte("{")}, {Name: "other", Version: 3}}), 0)
	_, ok := s.Plan("gold")
	is.True(ok)
}
