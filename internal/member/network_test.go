package member

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/gypsumyard/gypsumyard/internal/peer/peerpb"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"
)

// frameOverhead is the number of bytes that a message takes on the wire besides
// itself: about 10 bytes of drpc framing and 40 of TCP and IP headers.
const frameOverhead = 50

// A network is a discrete-event simulation of hosts: it runs their membership
// tables on a fake clock in one goroutine.
type network struct {
	clock   *clock.Fake
	random  *rand.Rand
	nodes   []*node
	byAddr  map[netip.AddrPort]*node
	events  events
	loss    float64
	blocked func(from, to *node) bool
	bytes   int
	// bytesBetweenDomains counts those between failure domains.
	bytesBetweenDomains int
}

// A node is one simulated host.
type node struct {
	net        *network
	index      int
	host       gypsumyard.Host
	table      *Service
	dead       bool
	paused     bool
	deferred   []func()
	list       []gypsumyard.Host
	listErr    error
	lists      *databases
	generation int
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

var epoch = time.Unix(1_700_000_000, 0)

func newNetwork(n int) *network {
	w := &network{
		clock:   clock.NewFake(epoch),
		random:  rand.New(rand.NewPCG(1, 2)),
		byAddr:  map[netip.AddrPort]*node{},
		blocked: func(_, _ *node) bool { return false },
	}
	var list []gypsumyard.Host
	for i := range n {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i % 250)}), 1)
		h := gypsumyard.Host{Name: fmt.Sprintf("host-%03d", i), Addr: addr, Region: "r", FailureDomain: fmt.Sprint(i % 4), State: gypsumyard.HostLive}
		list = append(list, h)
		w.nodes = append(w.nodes, &node{net: w, index: i, host: h})
	}
	for _, d := range w.nodes {
		d.list = list
		w.byAddr[d.host.Addr] = d
	}
	return w
}

func (w *network) at(d time.Duration, run func()) {
	heap.Push(&w.events, event{w.clock.Now().Add(d), w.random.Int(), run})
}

// run advances the clock by d and runs the events that fall due.
func (w *network) run(d time.Duration) {
	end := w.clock.Now().Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.clock.Advance(e.at.Sub(w.clock.Now()))
		e.run()
	}
	w.clock.Advance(end.Sub(w.clock.Now()))
}

// start starts a new process on the node.
func (d *node) start(options ...Option) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetLevel(logrus.PanicLevel)
	d.generation++
	d.dead = false
	d.table = New(d.host, append([]Option{WithClock(d.net.clock), WithLogger(log)}, options...)...)
	d.table.transport = d
	d.table.lister = d
	if d.lists != nil {
		var l gypsumyard.Lists = d.lists
		d.table.lists.Store(&l)
	}
	d.table.pollList(context.Background(), pollTimeout)
	d.loop(d.generation, heartbeatInterval, func() { d.table.tick() })
	d.loop(d.generation, pollInterval, func() {
		if d.table.isPoller() {
			d.table.pollList(context.Background(), pollTimeout)
		}
	})
}

func (d *node) loop(generation int, interval time.Duration, f func()) {
	jitter := time.Duration(d.net.random.Int64N(int64(interval / 5)))
	d.net.at(interval-interval/10+jitter, func() {
		if d.generation != generation || d.dead {
			return
		}
		if d.paused {
			d.deferred = append(d.deferred, func() { f(); d.loop(generation, interval, f) })
			return
		}
		f()
		d.loop(generation, interval, f)
	})
}

func (d *node) resume() {
	d.paused = false
	held := d.deferred
	d.deferred = nil
	for _, f := range held {
		f()
	}
}

func (d *node) Hosts(context.Context) ([]gypsumyard.Host, error) { return d.list, d.listErr }

func (d *node) HandleMembers(func(*peerpb.Members) *peerpb.Members) {}

// SendMembers delivers the message after one to two milliseconds, unless it is
// lost or blocked.
func (d *node) SendMembers(to gypsumyard.Host, m *peerpb.Members) {
	if t := d.net.byAddr[to.Addr]; t != nil {
		d.net.deliver(d, t, m, func(r *peerpb.Members) { d.net.deliver(t, d, r, nil) })
	}
}

func (w *network) deliver(from, to *node, m *peerpb.Members, reply func(*peerpb.Members)) {
	size := proto.Size(m) + frameOverhead
	w.bytes += size
	if from.host.FailureDomain != to.host.FailureDomain {
		w.bytesBetweenDomains += size
	}
	if w.blocked(from, to) || w.random.Float64() < w.loss {
		return
	}
	receive := func() {
		if to.dead || to.table == nil {
			return
		}
		if r := to.table.receive(m); r != nil && reply != nil {
			reply(r)
		}
	}
	w.at(time.Millisecond+time.Duration(w.random.Int64N(int64(time.Millisecond))), func() {
		if to.paused {
			to.deferred = append(to.deferred, receive)
			return
		}
		receive()
	})
}

func (w *network) startAll() {
	for _, d := range w.nodes {
		d.start()
	}
}

// waitForAll runs the network until ok holds for every running node and returns
// how long that took, or fails after the limit.
func (w *network) waitForAll(t testing.TB, limit time.Duration, what string, ok func(d *node) bool) time.Duration {
	t.Helper()
	began := w.clock.Now()
	for {
		all := true
		for _, d := range w.nodes {
			all = all && (d.dead || d.paused || d.table == nil || ok(d))
		}
		if all {
			return w.clock.Since(began)
		}
		if w.clock.Since(began) > limit {
			t.Fatalf("not within %s: %s", limit, what)
		}
		w.run(20 * time.Millisecond)
	}
}

// stateOf returns the state of another host in the node's view, HostDead if the
// view does not contain it.
func (d *node) stateOf(o *node) gypsumyard.HostState {
	for _, h := range d.table.Hosts() {
		if h.Name == o.host.Name {
			return h.State
		}
	}
	return gypsumyard.HostDead
}

// fresh reports whether the node's view is up to date.
func (d *node) fresh() bool {
	_, ok := d.table.FreshSince()
	return ok
}

var errPlatform = errors.New("platform is down")

// databases is a gypsumyard.Lists with databases only.
type databases struct{ regions map[string]string }

func (l *databases) Ready() <-chan struct{}                      { return nil }
func (l *databases) Customer(string) (gypsumyard.Customer, bool) { return gypsumyard.Customer{}, false }
func (l *databases) Plan(string) (gypsumyard.Plan, bool)         { return gypsumyard.Plan{}, false }
func (l *databases) Databases() []gypsumyard.Database            { return nil }
func (l *databases) Versions() map[string]gypsumyard.Version     { return nil }
func (l *databases) Changes() <-chan struct{}                    { return nil }
func (l *databases) Database(name string) (gypsumyard.Database, bool) {
	r, ok := l.regions[name]
	return gypsumyard.Database{Name: name, Region: r}, ok
}
