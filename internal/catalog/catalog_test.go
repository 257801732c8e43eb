package catalog

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/emulate/memstore"
	"github.com/gypsumyard/gypsumyard/internal/era"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/gypsumyard/gypsumyard/internal/kernel/kerneltest"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"
)

var names = ObjectNames{Desired: "desired/main", Instances: "instances/", Hosts: "hosts/"}

// decoder decodes objects in the format of this test.
type decoder struct{}

func (decoder) DesiredState(o gypsumyard.Object) (*gypsumyard.DesiredState, error) {
	var n int64
	if err := json.Unmarshal(o.Value, &n); err != nil {
		return nil, err
	}
	return &gypsumyard.DesiredState{Number: n, Version: o.Version, Groups: map[string]gypsumyard.Group{"g": {Name: "g", Connections: 10}}}, nil
}

func (decoder) Instance(o gypsumyard.Object) (i gypsumyard.ListedInstance, err error) {
	err = json.Unmarshal(o.Value, &i)
	i.ID = strings.TrimPrefix(o.Name, names.Instances)
	return i, err
}

// members is a static membership whose first host is the only watcher.
type members struct {
	kerneltest.Stub
	self  string
	hosts []gypsumyard.Host
}

func (m *members) Self() gypsumyard.Host                { return gypsumyard.Host{Name: m.self} }
func (m *members) Hosts() []gypsumyard.Host             { return m.hosts }
func (m *members) Owner(string) (gypsumyard.Host, bool) { return gypsumyard.Host{}, false }
func (m *members) Changes() <-chan struct{}             { return nil }

func (m *members) TopRanked(string, int) []gypsumyard.Host { return m.hosts[:1] }

// peers fetches objects from the services of other hosts in this process.
type peers struct {
	kerneltest.Stub
	gypsumyard.PeerClient
	mu    sync.Mutex
	hosts map[string]*Service
	// of is the one whose hosts are reached, if it is not this one.
	of *peers
}

func (p *peers) FetchObjects(ctx context.Context, from gypsumyard.Host, after gypsumyard.Version) (gypsumyard.ObjectUpdate, error) {
	if p.of != nil {
		return p.of.FetchObjects(ctx, from, after)
	}
	p.mu.Lock()
	s := p.hosts[from.Name]
	p.mu.Unlock()
	if s == nil {
		return gypsumyard.ObjectUpdate{}, gypsumyard.ErrUnavailable
	}
	return s.Newer(after), nil
}

// forAll returns the store for all reasons.
func forAll(store gypsumyard.Store) StoreFor {
	return func(gypsumyard.CallReason) gypsumyard.Store { return store }
}

// start starts the service of a host and stops it at the end of the test.
func start(t *testing.T, store gypsumyard.Store, p *peers, self string, hosts ...string) *Service {
	t.Helper()
	return startFor(t, forAll(store), p, self, hosts)
}

// startFor is start with a store for each reason, and with options.
func startFor(t *testing.T, store StoreFor, p *peers, self string, hosts []string, options ...Option) *Service {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	options = append(options, WithLogger(log), WithEras(era.NewTracker(era.WithLogger(log))))
	s := New(store, decoder{}, names, "region", options...)
	m := &members{Stub: kerneltest.New("members"), self: self}
	for _, h := range hosts {
		m.hosts = append(m.hosts, gypsumyard.Host{Name: h, State: gypsumyard.HostLive})
	}
	own := &peers{Stub: kerneltest.New("peer"), hosts: map[string]*Service{}}
	if p != nil {
		p.mu.Lock()
		p.hosts[self] = s
		own.of = p
		p.mu.Unlock()
	}
	k, err := kernel.New(s, m, own)
	if err != nil {
		t.Fatal(err)
	}
	if err := k.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := k.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	})
	return s
}

func put(t *testing.T, store *memstore.Store, name, value string) {
	t.Helper()
	old, _ := store.Get(t.Context(), name) // A missing object has version 0.
	if _, err := store.Put(t.Context(), name, old.Version, []byte(value)); err != nil {
		t.Fatal(err)
	}
}

func desiredNumber(s *Service) int64 {
	if d := s.Desired(); d != nil {
		return d.Number
	}
	return 0
}

func eventually(t *testing.T, within time.Duration, what string, check func() bool) {
	t.Helper()
	end := time.Now().Add(within)
	for !check() {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", within, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// applyWithin is the time within which a desired state must be in force according
// to the user documentation.
const applyWithin = 3 * time.Second

// Guards against a change that a watch misses without an error and that never gets
// into force, on the watcher or on a host that pulls from it.
func TestMissedChange(t *testing.T) {
	store := memstore.New()
	put(t, store, names.Desired, "1")
	p := &peers{hosts: map[string]*Service{}}
	a := start(t, store, p, "a", "a", "b")
	b := start(t, store, p, "b", "a", "b")
	eventually(t, applyWithin, "the first state on both", func() bool { return desiredNumber(a) == 1 && desiredNumber(b) == 1 })
	store.SetWatchesStalled(true)
	put(t, store, names.Desired, "2")
	store.Compact()
	time.AfterFunc(time.Second, func() { store.SetWatchesStalled(false) })
	eventually(t, applyWithin, "the second state on both", func() bool { return desiredNumber(a) == 2 && desiredNumber(b) == 2 })
}

// Guards against a host without access to the store that keeps an old desired state
// although another host has a newer one.
func TestRefusedHostLearnsFromPeer(t *testing.T) {
	store, refused := memstore.New(), memstore.New()
	put(t, store, names.Desired, "1")
	p := &peers{hosts: map[string]*Service{}}
	a := start(t, store, p, "a", "a", "b")
	refused.SetDown(true)
	b := start(t, refused, p, "b", "a", "b")
	eventually(t, applyWithin, "the first state on both", func() bool { return desiredNumber(a) == 1 && desiredNumber(b) == 1 })
	put(t, store, names.Desired, "2")
	eventually(t, applyWithin, "the second state on both", func() bool { return desiredNumber(a) == 2 && desiredNumber(b) == 2 })
}

// Guards against store calls that grow with the fleet: a host that pulls from a
// watcher must not watch the store itself.
func TestHostsThatAskMakeNoWatches(t *testing.T) {
	is := is.New(t)
	store, own := memstore.New(), memstore.New()
	put(t, store, names.Desired, "1")
	put(t, own, names.Desired, "1")
	p := &peers{hosts: map[string]*Service{}}
	start(t, store, p, "a", "a", "b")
	b := start(t, own, p, "b", "a", "b")
	eventually(t, applyWithin, "the state", func() bool { return desiredNumber(b) == 1 })
	time.Sleep(1500 * time.Millisecond)
	before := own.Calls("watch")
	time.Sleep(2 * time.Second)
	is.Equal(own.Calls("watch"), before)
}

// Guards against an instance that is dropped at once although its entry may only
// have expired while the store was unavailable, and against one that is never
// dropped.
func TestLapsedEntry(t *testing.T) {
	is := is.New(t)
	store := memstore.New()
	put(t, store, names.Desired, "1")
	put(t, store, names.Instances+"i-1", `{"Group":"g","Slots":2}`)
	s := start(t, store, nil, "a", "a")
	eventually(t, time.Second, "the instance", func() bool { return len(s.Instances("g")) == 1 })
	is.NoErr(store.Delete(t.Context(), names.Instances+"i-1", 0))
	time.Sleep(2 * time.Second)
	is.Equal(len(s.Instances("g")), 1) // It may be back within two seconds.
	eventually(t, 3*time.Second, "the instance is gone", func() bool { return len(s.Instances("g")) == 0 })
	// An instance that was shown as leaving is dropped at once.
	put(t, store, names.Instances+"i-2", `{"Group":"g","Slots":2,"Leaving":true}`)
	eventually(t, time.Second, "the leaving instance", func() bool { return len(s.Instances("g")) == 1 })
	is.NoErr(store.Delete(t.Context(), names.Instances+"i-2", 0))
	eventually(t, time.Second, "the leaving instance is gone", func() bool { return len(s.Instances("g")) == 0 })
}

// Guards against an object that cannot be decoded and keeps others from being
// applied.
func TestUnreadableEntry(t *testing.T) {
	store := memstore.New()
	put(t, store, names.Desired, "1")
	put(t, store, names.Instances+"i-1", `{"Group":"g","Slots":2}`)
	put(t, store, names.Instances+"i-2", `\x00\xff`)
	s := start(t, store, nil, "a", "a")
	eventually(t, time.Second, "the readable instance", func() bool { return len(s.Instances("g")) == 1 })
	put(t, store, names.Desired, `"broken"`)
	put(t, store, names.Desired, "3")
	eventually(t, applyWithin, "the state after a broken one", func() bool { return desiredNumber(s) == 3 })
}

// Guards against an object whose version goes back, whatever the order and the
// source of the objects.
func TestVersionsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		s := New(forAll(memstore.New()), decoder{}, names, "region", WithLogger(log))
		highest := int64(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			v := rapid.Int64Range(1, 20).Draw(t, "version")
			s.Apply([]gypsumyard.Object{{Name: names.Desired, Version: gypsumyard.Version(v), Value: fmt.Append(nil, v)}})
			highest = max(highest, v)
			if desiredNumber(s) != highest {
				t.Fatalf("state %d in force after %d", desiredNumber(s), highest)
			}
		}
	})
}

// Guards against a host that does not get registered because an earlier process
// with its name has left an entry, or because an answer of the store was lost.
func TestRegistry(t *testing.T) {
	is := is.New(t)
	store := memstore.New()
	log := logrus.New()
	log.SetOutput(io.Discard)
	put(t, store, names.Hosts+"host-1", `{"name":"host-1","region":"elsewhere"}`)
	self := gypsumyard.Host{Name: "host-1", Region: "region"}
	r := NewRegistry(store, store, names.Hosts, self, era.NewTracker(), log)
	store.DropResponses(1)
	is.NoErr(r.Start(t.Context(), nil))
	eventually(t, 2*time.Second, "the registration", func() bool {
		hosts, err := r.Hosts(t.Context())
		return err == nil && len(hosts) == 1 && hosts[0] == self
	})
	is.NoErr(r.Stop(t.Context()))
	is.NoErr(r.Deregister(t.Context()))
	hosts, err := r.Hosts(t.Context())
	is.NoErr(err)
	is.Equal(len(hosts), 0)
}

// unresponsiveStore does not answer list calls that begin before the time until.
type unresponsiveStore struct {
	*memstore.Store
	until time.Time
}

func (s *unresponsiveStore) List(ctx context.Context, prefix string) ([]gypsumyard.Object, gypsumyard.Version, error) {
	if time.Now().After(s.until) {
		return s.Store.List(ctx, prefix)
	}
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// Guards against a host that starts while the store accepts calls without
// answering, and that keeps waiting for the answer to its first call although the
// store has recovered and answers later ones.
func TestListIsAskedForAgain(t *testing.T) {
	const silent = 600 * time.Millisecond
	store := &unresponsiveStore{memstore.New(), time.Now().Add(silent)}
	put(t, store.Store, names.Desired, "1")
	s := start(t, store, nil, "a", "a")
	eventually(t, silent+2*listRetryInterval, "the state", func() bool { return desiredNumber(s) == 1 })
}
