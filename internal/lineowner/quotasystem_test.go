package lineowner

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/gypsumyard/gypsumyard/internal/emulate/linegroup"
	"github.com/gypsumyard/gypsumyard/internal/emulate/memstore"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/gypsumyard/gypsumyard/internal/kernel/kerneltest"
	"github.com/gypsumyard/gypsumyard/internal/line"
	"github.com/gypsumyard/gypsumyard/internal/quota"
	logtest "github.com/sirupsen/logrus/hooks/test"
)

// A quotaSystem is several hosts in front of several emulated groups.
type quotaSystem struct {
	t      *testing.T
	groups map[string]*linegroup.Group
	names  []string
	hosts  []*quotaHost
	began  time.Time

	mu sync.Mutex
	// cut holds the hosts that reach no other host.
	cut map[string]bool
	// sent holds when instances began to run operations.
	sent     []time.Duration
	rejected int
	served   map[string]int
}

type quotaHost struct {
	*Service
	system  *quotaSystem
	members *quotaMembers
}

// quotaMembers is a membership with an owner for each group.
type quotaMembers struct {
	*fakeMembers
	owners map[string]string
}

func (m *quotaMembers) Owner(group string) (gypsumyard.Host, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return gypsumyard.Host{Name: m.owners[group]}, true
}

func (m *quotaMembers) Hosts() []gypsumyard.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.hosts)
}

// change sets the owners and the hosts in this view.
func (m *quotaMembers) change(owners map[string]string, hosts ...gypsumyard.Host) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.owners, m.hosts = owners, hosts
	close(m.changed)
	m.changed = make(chan struct{})
}

// quotaLists lists the instances of several groups.
type quotaLists struct {
	*fakeLists
	system *quotaSystem
}

func (l *quotaLists) Instances(group string) []gypsumyard.ListedInstance {
	return l.system.groups[group].Listed()
}

// quotaPeers passes requests for tokens to the other hosts.
type quotaPeers struct {
	*fakePeers
	system *quotaSystem
	self   string
}

func (p *quotaPeers) RequestQuota(_ context.Context, from gypsumyard.Host, q gypsumyard.QuotaRequest) ([]gypsumyard.QuotaTokens, error) {
	p.system.mu.Lock()
	cut := p.system.cut[p.self] != p.system.cut[from.Name]
	p.system.mu.Unlock()
	if cut {
		return nil, gypsumyard.ErrUnavailable
	}
	for _, h := range p.system.hosts {
		if h.self == from.Name {
			return h.GiveQuota(q)
		}
	}
	return nil, gypsumyard.ErrNotFound
}

func liveHosts(names ...string) (list []gypsumyard.Host) {
	for _, n := range names {
		list = append(list, gypsumyard.Host{Name: n, State: gypsumyard.HostLive})
	}
	return list
}

// quotaTolerance is that of the tests with several hosts.
var quotaTolerance = quota.Tolerance{Window: 2 * time.Second, Overage: 0.1, Slack: 20}

// newQuotaSystem starts three hosts, of which the first owns groups g0 and g3, the second
// g1, and the third g2.
func newQuotaSystem(t *testing.T, c gypsumyard.CallerCustomer) *quotaSystem {
	s := &quotaSystem{t: t, groups: map[string]*linegroup.Group{}, cut: map[string]bool{}, served: map[string]int{}, began: time.Now()}
	desired := &gypsumyard.DesiredState{Groups: map[string]gypsumyard.Group{}}
	setCustomers(desired, []gypsumyard.CallerCustomer{c})
	for n := range 4 {
		name := fmt.Sprintf("g%d", n)
		g, err := linegroup.New(name, 3, linegroup.WithServiceTimeFunc(s.record))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(g.Close)
		s.names, s.groups[name] = append(s.names, name), g
		desired.Groups[name] = gypsumyard.Group{Name: name, Connections: 30, SyncReplicas: 1}
	}
	for _, name := range []string{"a", "b", "c"} {
		s.addHost(name, desired)
	}
	for _, h := range s.hosts {
		h.members.change(s.allOwners(), liveHosts("a", "b", "c")...)
	}
	return s
}

func (s *quotaSystem) allOwners() map[string]string {
	return map[string]string{"g0": "a", "g1": "b", "g2": "c", "g3": "a"}
}

func (s *quotaSystem) addHost(name string, desired *gypsumyard.DesiredState) {
	lists := &quotaLists{&fakeLists{Stub: kerneltest.New("lists"), desired: desired, changed: make(chan struct{})}, s}
	members := &quotaMembers{fakeMembers: &fakeMembers{
		Stub: kerneltest.New("members"), self: gypsumyard.Host{Name: name}, changed: make(chan struct{}),
	}}
	peers := &quotaPeers{&fakePeers{Stub: kerneltest.New("peer")}, s, name}
	log, _ := logtest.NewNullLogger()
	h := &quotaHost{system: s, members: members}
	h.Service = New(memstore.New(), "claims/", &fakePromoter{}, WithClock(clock.Boot()), WithLogger(log), WithQuota(quotaTolerance))
	k, err := kernel.New(lists, members, peers, h.Service)
	if err == nil {
		err = k.Start(s.t.Context())
	}
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() {
		if err := k.Stop(context.Background()); err != nil {
			s.t.Error(err)
		}
	})
	s.hosts = append(s.hosts, h)
}

// record notes that an instance runs a statement.
func (s *quotaSystem) record(text string) time.Duration {
	if strings.Contains(text, "READ item") {
		s.mu.Lock()
		s.sent = append(s.sent, time.Since(s.began))
		s.mu.Unlock()
	}
	return time.Millisecond
}

// read sends an operation of the customer through the host, which passes it to the owner
// of the group in its view.
func (s *quotaSystem) read(h *quotaHost, group, customer string) error {
	b := line.Payload{Consistency: gypsumyard.ConsistencyPrimary, ID: "r", Text: "READ item"}
	if customer != "" {
		b.KeyHolder, b.Key = customer, gypsumyard.HashKey(customer)
	}
	owner, _ := h.members.Owner(group)
	r := &gypsumyard.Request{
		Session: "s", Customer: "route", Database: group, Class: gypsumyard.StatementRead, Messages: b.Marshal(),
		Deadline: h.clock.Now().Add(500 * time.Millisecond),
	}
	err := error(errNotOwner)
	for _, o := range s.hosts {
		if o.self == owner.Name {
			_, err = o.Execute(context.Background(), r, &bytes.Buffer{})
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		s.served[group]++
	case gypsumyard.ClassOf(err) == gypsumyard.ClassPlan:
		s.rejected++
	}
	return err
}

// load sends operations at the given rate for each host and group until ctx is done.
func (s *quotaSystem) load(ctx context.Context, wg *sync.WaitGroup, customer string, rate func(group string) float64) {
	for _, h := range s.hosts {
		for _, group := range s.names {
			wg.Go(func() {
				t := time.NewTicker(time.Duration(float64(time.Second) / rate(group)))
				defer t.Stop()
				for {
					select {
					case <-t.C:
						_ = s.read(h, group, customer)
					case <-ctx.Done():
						return
					}
				}
			})
		}
	}
}

// worst returns the largest number of operations that instances ran in one window.
func (s *quotaSystem) worst() (most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	slices.Sort(s.sent)
	for first, last := 0, 0; last < len(s.sent); last++ {
		for s.sent[last]-s.sent[first] >= quotaTolerance.Window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// awaitServed waits until each group serves.
func (s *quotaSystem) awaitServed() {
	s.t.Helper()
	for _, group := range s.names {
		for end := time.Now().Add(8 * time.Second); s.read(s.hosts[0], group, "") != nil; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				s.t.Fatalf("%s is not served", group)
			}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent, s.served, s.rejected = nil, map[string]int{}, 0
}
