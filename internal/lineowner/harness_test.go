package lineowner

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/netip"
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
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/uber-go/tally/v4"
)

const groupName = "appraisal"

// lossPrefix is that of the objects in which tests accept a loss.
const lossPrefix = "losses/"

// A fixture is one or more hosts in front of an emulated group.
type fixture struct {
	t      *testing.T
	group  *linegroup.Group
	store  *memstore.Store
	hosts  []*hostFixture
	lastID int
	// staleness is the longest staleness that a route accepts.
	staleness time.Duration
	// drainTimeout is how soon a leaving instance must get no more work, or zero.
	drainTimeout time.Duration
	// connections is how many connections an instance accepts.
	connections int
	// customers are the customers of the deployment, if it has any.
	customers []gypsumyard.CallerCustomer
	// uneven makes hosts learn which instances are slow or fail.
	uneven bool
}

// A hostFixture is one host with its fake dependencies.
type hostFixture struct {
	*Service
	lists    *fakeLists
	members  *fakeMembers
	kernel   *kernel.Kernel
	promoter *fakePromoter
	// logHook collects the log entries of the host.
	logHook *logtest.Hook
	scope   tally.TestScope
}

// fakePromoter records promotion orders and passes them to the emulated group.
type fakePromoter struct {
	group  *linegroup.Group
	mu     sync.Mutex
	orders []gypsumyard.PromotionOrder
	// refuse is how many further orders are refused.
	refuse int
}

func (f *fakePromoter) Promote(_ context.Context, p gypsumyard.PromotionOrder) error {
	f.mu.Lock()
	f.orders = append(f.orders, p)
	refuse := f.refuse > 0
	if refuse {
		f.refuse--
	}
	f.mu.Unlock()
	if refuse {
		return gypsumyard.ErrUnavailable
	}
	return f.group.Promote(p.Instance)
}

// sent returns the orders so far, refused ones included.
func (f *fakePromoter) sent() []gypsumyard.PromotionOrder {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]gypsumyard.PromotionOrder(nil), f.orders...)
}

type fakeLists struct {
	kerneltest.Stub
	mu      sync.Mutex
	desired *gypsumyard.DesiredState
	listed  func() []gypsumyard.ListedInstance
	changed chan struct{}
}

func (l *fakeLists) Desired() *gypsumyard.DesiredState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.desired
}

func (l *fakeLists) Instances(string) []gypsumyard.ListedInstance {
	l.mu.Lock()
	listed := l.listed
	l.mu.Unlock()
	return listed()
}

func (l *fakeLists) Changes() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

func (l *fakeLists) change() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.changed)
	l.changed = make(chan struct{})
}

type fakeMembers struct {
	kerneltest.Stub
	self  gypsumyard.Host
	hosts []gypsumyard.Host
	mu    sync.Mutex
	// owner is the name of the host that owns the group.
	owner    string
	assigned []gypsumyard.Assignment
	changed  chan struct{}
}

func (m *fakeMembers) Self() gypsumyard.Host    { return m.self }
func (m *fakeMembers) Hosts() []gypsumyard.Host { return m.hosts }

func (m *fakeMembers) Owner(string) (gypsumyard.Host, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return gypsumyard.Host{Name: m.owner}, true
}

func (m *fakeMembers) Changes() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

func (m *fakeMembers) Assign(a gypsumyard.Assignment) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.assigned = append(m.assigned, a)
	m.owner = a.Host
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *fakeMembers) Assigned(string) (gypsumyard.Assignment, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.assigned) == 0 {
		return gypsumyard.Assignment{}, false
	}
	return m.assigned[len(m.assigned)-1], true
}

// fakePeers answers requests to other hosts.
type fakePeers struct {
	kerneltest.Stub
	gypsumyard.PeerClient
	probe func(host, instance string) (gypsumyard.InstanceStatus, error)
	// relay makes the calls for claims through another host. Nil reaches none.
	relay func(ctx context.Context, host string, c gypsumyard.ClaimCall) (gypsumyard.Object, error)
	// quota makes the requests for quota tokens. Nil reaches no host.
	quota func(host string, q gypsumyard.QuotaRequest) ([]gypsumyard.QuotaTokens, error)
}

func (p *fakePeers) ProbeInstance(_ context.Context, via gypsumyard.Host, _, instance string) (gypsumyard.InstanceStatus, error) {
	if p.probe == nil {
		return gypsumyard.InstanceStatus{}, gypsumyard.ErrUnavailable
	}
	return p.probe(via.Name, instance)
}

func (p *fakePeers) RelayClaim(ctx context.Context, via gypsumyard.Host, c gypsumyard.ClaimCall) (gypsumyard.Object, error) {
	if p.relay == nil {
		return gypsumyard.Object{}, gypsumyard.ErrUnavailable
	}
	return p.relay(ctx, via.Name, c)
}

func (p *fakePeers) RequestQuota(_ context.Context, from gypsumyard.Host, q gypsumyard.QuotaRequest) ([]gypsumyard.QuotaTokens, error) {
	if p.quota == nil {
		return nil, gypsumyard.ErrUnavailable
	}
	return p.quota(from.Name, q)
}

func (p *fakePeers) AssignDatabase(context.Context, gypsumyard.Host, gypsumyard.Assignment) error {
	return nil
}

// readStaleness is the staleness that the route accepts.
const readStaleness = 300 * time.Millisecond

func newFixture(t *testing.T, instances int, options ...linegroup.Option) *fixture {
	t.Helper()
	g, err := linegroup.New(groupName, instances, options...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	return &fixture{t: t, group: g, store: memstore.New(), staleness: readStaleness, connections: 30}
}

// addHost starts a host that believes it owns the group.
func (f *fixture) addHost(name string, peers *fakePeers, others ...string) *hostFixture {
	f.t.Helper()
	return f.startHost(name, f.group.Listed, peers, others)
}

// addHostWithList is addHost for a host whose list holds only the given instances.
func (f *fixture) addHostWithList(name string, instances ...*linegroup.Instance) *hostFixture {
	f.t.Helper()
	return f.startHost(name, listOf(instances), nil, nil)
}

// listOf returns a source of the list entries of the instances.
func listOf(instances []*linegroup.Instance) func() []gypsumyard.ListedInstance {
	return func() (l []gypsumyard.ListedInstance) {
		for _, i := range instances {
			l = append(l, i.Listed())
		}
		return l
	}
}

func (f *fixture) startHost(name string, listed func() []gypsumyard.ListedInstance, peers *fakePeers, others []string) *hostFixture {
	f.t.Helper()
	d := &gypsumyard.DesiredState{
		Groups: map[string]gypsumyard.Group{groupName: {Name: groupName, Connections: f.connections, SyncReplicas: 1}},
		Routes: map[string]gypsumyard.Route{"readings": {Group: groupName, MaxStaleness: f.staleness}},
	}
	setCustomers(d, f.customers)
	h := &hostFixture{
		lists:    &fakeLists{Stub: kerneltest.New("lists"), desired: d, listed: listed, changed: make(chan struct{})},
		members:  &fakeMembers{Stub: kerneltest.New("members"), self: gypsumyard.Host{Name: name}, owner: name, changed: make(chan struct{})},
		promoter: &fakePromoter{group: f.group},
	}
	for _, o := range others {
		h.members.hosts = append(h.members.hosts, gypsumyard.Host{Name: o, State: gypsumyard.HostLive})
	}
	if peers == nil {
		peers = &fakePeers{}
	}
	peers.Stub = kerneltest.New("peer")
	log, hook := logtest.NewNullLogger()
	if testing.Verbose() {
		log.SetOutput(f.t.Output())
	}
	h.logHook = hook
	h.scope = tally.NewTestScope("", nil)
	h.Service = New(f.store, "claims/", h.promoter, WithClock(clock.Boot()), WithLogger(log), WithDrainTimeout(f.drainTimeout),
		WithMetrics(h.scope), WithLossAcceptances(f.store, lossPrefix), WithUnevenInstances(f.uneven))
	var err error
	h.kernel, err = kernel.New(h.lists, h.members, peers, h.Service)
	if err != nil {
		f.t.Fatal(err)
	}
	if err := h.kernel.Start(f.t.Context()); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if err := h.kernel.Stop(ctx); err != nil {
			f.t.Error(err)
		}
	})
	f.hosts = append(f.hosts, h)
	return h
}

// setCustomers adds customers to the desired state. The key of each is its name.
func setCustomers(d *gypsumyard.DesiredState, list []gypsumyard.CallerCustomer) {
	d.Keyed, d.Customers, d.Keys = len(list) > 0, map[string]gypsumyard.CallerCustomer{}, map[gypsumyard.KeyHash]string{}
	for _, c := range list {
		d.Customers[c.Name] = c
		d.Keys[gypsumyard.HashKey(c.Name)] = c.Name
	}
}

// unlimited returns customers without a rate limit.
func unlimited(names ...string) (list []gypsumyard.CallerCustomer) {
	for _, n := range names {
		list = append(list, gypsumyard.CallerCustomer{Name: n})
	}
	return list
}

// A statement is what a test sends.
type statement struct {
	// customer is the customer that sends it, or empty.
	customer    string
	text        string
	class       gypsumyard.StatementClass
	consistency gypsumyard.Consistency
	staleness   time.Duration
	position    gypsumyard.Position
	settings    []gypsumyard.Setting
	prepared    line.Prepared
	tx          gypsumyard.Result
	timeout     time.Duration
}

// run sends a statement to the host and returns the encoded answer.
func (f *fixture) run(h *hostFixture, s statement) (string, gypsumyard.Result, error) {
	f.lastID++
	id := fmt.Sprintf("q%d", f.lastID)
	if s.consistency == "" {
		s.consistency = gypsumyard.ConsistencyPrimary
	}
	if s.timeout == 0 {
		s.timeout = 3 * time.Second
	}
	b := line.Payload{Consistency: s.consistency, ID: id, Text: s.text, Prepared: s.prepared}
	if s.customer != "" {
		b.KeyHolder, b.Key = s.customer, gypsumyard.HashKey(s.customer)
	}
	r := &gypsumyard.Request{
		Session: "s1", Customer: "route", Database: groupName, Class: s.class, Messages: b.Marshal(),
		MaxStaleness: s.staleness, Position: s.position, Settings: s.settings,
		Transaction: s.tx.Transaction, Owner: s.tx.Owner, Deadline: h.clock.Now().Add(s.timeout),
	}
	var out bytes.Buffer
	ctx, cancel := context.WithTimeout(f.t.Context(), 2*s.timeout)
	defer cancel()
	res, err := h.Execute(ctx, r, &out)
	return out.String(), res, err
}

func (f *fixture) write(h *hostFixture, text string) (gypsumyard.Result, error) {
	_, res, err := f.run(h, statement{text: text, class: gypsumyard.StatementWrite})
	return res, err
}

// eventually waits until check returns true.
func (f *fixture) eventually(what string, check func() bool) {
	f.t.Helper()
	end := time.Now().Add(8 * time.Second)
	for !check() {
		if time.Now().After(end) {
			f.t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// deadAddr returns an address at which nothing listens.
func (f *fixture) deadAddr() netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// runConcurrently is run for goroutines other than the test's: it does not use the
// fixture's counter or context.
func (f *fixture) runConcurrently(h *hostFixture, s statement) (string, gypsumyard.Result, error) {
	if s.consistency == "" {
		s.consistency = gypsumyard.ConsistencyPrimary
	}
	b := line.Payload{Consistency: s.consistency, ID: "parallel", Text: s.text, KeyHolder: s.customer}
	if s.customer != "" {
		b.ID, b.Key = s.customer, gypsumyard.HashKey(s.customer)
	}
	r := &gypsumyard.Request{
		Session: "s2", Customer: "route", Database: groupName, Class: s.class, Messages: b.Marshal(), Deadline: h.clock.Now().Add(s.timeout),
		Transaction: s.tx.Transaction, Owner: s.tx.Owner, MaxStaleness: s.staleness,
	}
	var out bytes.Buffer
	res, err := h.Execute(context.Background(), r, &out)
	return out.String(), res, err
}
