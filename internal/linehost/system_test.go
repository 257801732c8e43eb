package linehost_test

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/emulate/lineclient"
	"github.com/gypsumyard/gypsumyard/internal/emulate/linegroup"
	"github.com/gypsumyard/gypsumyard/internal/emulate/memstore"
	"github.com/gypsumyard/gypsumyard/internal/emulate/objects"
	"github.com/gypsumyard/gypsumyard/internal/history"
	"github.com/gypsumyard/gypsumyard/internal/linehost"
	"github.com/gypsumyard/gypsumyard/internal/loopback"
	"github.com/gypsumyard/gypsumyard/platform"
	"github.com/sirupsen/logrus"
)

const (
	groupName = "ledger"
	// gracePeriod is the time that hosts have to shut down.
	gracePeriod = 2 * time.Second
	// startTimeout bounds the start of a host until it serves a route.
	startTimeout = 10 * time.Second
)

// A system consists of hosts in this process, an emulated database group and an
// emulated platform.
type system struct {
	t      *testing.T
	group  *linegroup.Group
	store  *memstore.Store
	server *objects.Server
	hosts  []*node

	mu      sync.Mutex
	history history.History
	// orders are the promotion orders that the platform has received.
	orders []objects.PromotionOrder
}

// A node is one host.
type node struct {
	settings platform.Settings
	cancel   context.CancelFunc
	done     chan struct{}
}

func newSystem(t *testing.T, hosts int, routes []objects.Route, options ...linegroup.Option) *system {
	t.Helper()
	s := &system{t: t, store: memstore.New()}
	var err error
	s.group, err = linegroup.New(groupName, 3, options...)
	s.must(err)
	t.Cleanup(s.group.Close)
	s.server, err = objects.Start(s.store, s.promote)
	s.must(err)
	t.Cleanup(s.server.Close)
	s.setDesiredState(1, routes)
	s.putInstances()
	s.addHosts(hosts)
	for _, h := range s.hosts {
		s.start(h)
	}
	for _, h := range s.hosts {
		s.awaitRoute(h, routes[0].Host)
	}
	return s
}

func (s *system) promote(o objects.PromotionOrder) error {
	s.mu.Lock()
	s.orders = append(s.orders, o)
	s.mu.Unlock()
	return s.group.Promote(o.ID)
}

// promotions returns the promotion orders so far.
func (s *system) promotions() []objects.PromotionOrder {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.orders)
}

// setDesiredState writes the operator's configuration.
func (s *system) setDesiredState(version int, routes []objects.Route) {
	s.t.Helper()
	for n := range routes {
		routes[n].Name, routes[n].Service, routes[n].TimeoutMs = "r-"+routes[n].Host, groupName, 1000
	}
	s.must(objects.SetDesiredState(s.t.Context(), s.store, objects.DesiredState{
		Version: version, Routes: routes, Services: []objects.Service{{Name: groupName, ConnectionLimit: 30, SyncReplicas: 1}},
		Limits: objects.Limits{TransactionIdleMs: 3000},
	}))
}

// putInstances writes the entries of all instances.
func (s *system) putInstances() {
	s.t.Helper()
	for n, i := range s.group.Instances() {
		l := i.Listed()
		l.FailureDomain = fmt.Sprintf("zone-%d", n)
		s.must(objects.PutInstance(s.t.Context(), s.store, l, l.Addr, objects.StateReady))
	}
}

func (s *system) must(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

func (s *system) addHosts(n int) {
	var seeds []netip.AddrPort
	for i := range n {
		var at [3]netip.AddrPort
		for k := range at {
			a, err := loopback.FreeAddress()
			s.must(err)
			at[k] = a
		}
		seeds = append(seeds, at[0])
		s.hosts = append(s.hosts, &node{settings: platform.Settings{
			Host: gypsumyard.Host{
				Name: fmt.Sprintf("host-%d", i), FailureDomain: fmt.Sprintf("zone-%d", i), Region: "region", Addr: at[0], State: gypsumyard.HostLive,
			},
			CallerAddr: at[1], ReadinessAddr: at[2], StoreAddr: s.server.Addr(), PromotionAddr: s.server.Addr(), Descriptors: 4300, GracePeriod: gracePeriod,
			HeartbeatInterval: 1200 * time.Millisecond, ApplyTimeout: 3 * time.Second, DrainTimeout: 7 * time.Second,
		}})
	}
	for _, h := range s.hosts {
		h.settings.Seeds = seeds[:min(3, len(seeds))]
	}
}

func (s *system) start(h *node, options ...linehost.Option) {
	s.t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	host, err := linehost.New(h.settings, append(options, linehost.WithLogger(log))...)
	s.must(err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	h.cancel, h.done = cancel, done
	go func() {
		defer close(done)
		if err := host.Run(ctx); err != nil {
			s.t.Errorf("%s: %v", h.settings.Host.Name, err)
		}
	}()
	s.t.Cleanup(func() { cancel(); <-done })
}

// drain requests the host to stop, as the platform does, and waits until it
// has.
func (h *node) drain() {
	h.cancel()
	<-h.done
}

// awaitServed waits until the host serves the route.
func (s *system) awaitRoute(h *node, route string) {
	s.t.Helper()
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		c, err := lineclient.Dial(h.settings.CallerAddr, route, "probe")
		if err != nil {
			continue
		}
		r, ok := c.Query("READ none")
		c.Close()
		if ok && r.Code == "" {
			return
		}
	}
	s.t.Fatalf("%s does not serve %s", h.settings.Host.Name, route)
}

func (s *system) recordWrite(w history.Write) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.Writes = append(s.history.Writes, w)
}

func (s *system) recordRead(r history.Read) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.Reads = append(s.history.Reads, r)
}

// check verifies the recorded history: the responses that callers got must
// agree with each other and with the log of the primary.
func (s *system) check() {
	s.t.Helper()
	s.history.Rows = map[string]int{}
	p := s.group.Primary()
	if p == nil {
		s.t.Fatal("no instance leads")
	}
	for _, r := range p.Log() {
		for _, data := range r.Items {
			s.history.Rows[data]++
		}
	}
	for _, v := range history.Check(&s.history) {
		s.t.Error(v)
	}
}

// A result collects the outcomes of statements.
type result struct {
	mu      sync.Mutex
	took    []time.Duration
	refused map[string]int
	cut     int
}

func newResult() *result { return &result{refused: map[string]int{}} }

func (r *result) record(reply lineclient.Reply, ok bool, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !ok:
		r.cut++
	case reply.Code != "":
		r.refused[reply.Code]++
	default:
		r.took = append(r.took, took)
	}
}

func (r *result) quantile(q float64) time.Duration {
	if len(r.took) == 0 {
		return 0
	}
	slices.Sort(r.took)
	return r.took[min(int(q*float64(len(r.took))), len(r.took)-1)]
}

func (r *result) String() string {
	return fmt.Sprintf("%d served, refused %v, %d cut, p50 %v, p99 %v", len(r.took), r.refused, r.cut,
		r.quantile(0.5).Round(time.Millisecond), r.quantile(0.99).Round(time.Millisecond))
}
