package catalog_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/catalog"
	"github.com/gypsumyard/gypsumyard/internal/emulate/memstore"
	"github.com/gypsumyard/gypsumyard/internal/emulate/objects"
	"github.com/gypsumyard/gypsumyard/internal/era"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/gypsumyard/gypsumyard/internal/kernel/kerneltest"
	"github.com/gypsumyard/gypsumyard/internal/loopback"
	"github.com/gypsumyard/gypsumyard/internal/peer"
	"github.com/gypsumyard/gypsumyard/internal/peer/peerpb"
	"github.com/gypsumyard/gypsumyard/platform"
	"github.com/sirupsen/logrus"
)

const (
	// linkRate is what callers leave of a link of 10 Mbit/s, in bytes a second: half.
	linkRate = 10_000_000 / 8 / 2
	// linkBuffer is how many bytes a connection over the link holds.
	linkBuffer = 16 << 10
	// largeState is the size of a desired state near the store's limit of 1 MiB.
	largeState = 1_000_000
	// applyTimeout is how soon a desired state must be in force.
	applyTimeout = 5 * time.Second
	// heartbeatInterval is the time between two heartbeats, and heartbeatTimeout how long
	// the answer may take until the other host is suspected.
	heartbeatInterval = 50 * time.Millisecond
	heartbeatTimeout  = 500 * time.Millisecond
)

// A slowLink is the link of one host. All connections through it share its rate towards
// the host; the other direction is not limited.
type slowLink struct {
	t    *testing.T
	rate int
	// mu is held while a chunk passes. Waiters get it in turn.
	mu   sync.Mutex
	free time.Time
	// fromPeers counts the bytes that have come from other hosts.
	fromPeers atomic.Int64
}

// proxy returns the address at which the host reaches the given one through the link, and
// adds the bytes that come from there to the counter.
func (l *slowLink) proxy(to netip.AddrPort, counter *atomic.Int64) netip.AddrPort {
	l.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		l.t.Fatal(err)
	}
	l.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(c, to, counter)
		}
	}()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

func (l *slowLink) serve(c net.Conn, to netip.AddrPort, counter *atomic.Int64) {
	defer c.Close()
	dialer := net.Dialer{}
	s, err := dialer.Dial("tcp", to.String())
	if err != nil {
		return
	}
	defer s.Close()
	_ = s.(*net.TCPConn).SetReadBuffer(linkBuffer)
	go func() {
		_, _ = io.Copy(s, c)
		_ = s.Close()
	}()
	buffer := make([]byte, 4<<10)
	for {
		n, err := s.Read(buffer)
		l.pass(n)
		counter.Add(int64(n))
		if _, writeErr := c.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

// pass waits until n bytes have passed the link.
func (l *slowLink) pass(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(n) * time.Second / time.Duration(l.rate))
	time.Sleep(time.Until(l.free))
}

// fixedMembers is a membership in which the first hosts watch the store.
type fixedMembers struct {
	kerneltest.Stub
	self  gypsumyard.Host
	hosts []gypsumyard.Host
}

func (m *fixedMembers) Self() gypsumyard.Host                { return m.self }
func (m *fixedMembers) Hosts() []gypsumyard.Host             { return m.hosts }
func (m *fixedMembers) Owner(string) (gypsumyard.Host, bool) { return gypsumyard.Host{}, false }
func (m *fixedMembers) Changes() <-chan struct{}             { return nil }
func (m *fixedMembers) TopRanked(_ string, n int) []gypsumyard.Host {
	return m.hosts[:min(n, len(m.hosts))]
}

// A fleet is three hosts that watch the store, and one behind a slow link.
type fleet struct {
	t        *testing.T
	store    *memstore.Store
	server   *objects.Server
	watchers []gypsumyard.Host
	running  []*runningHost
	// slow is the link of the host that startSlow has started.
	slow *slowLink
}

const watchers = 3

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t, store: memstore.New()}
	var err error
	f.server, err = objects.Start(f.store, func(objects.PromotionOrder) error { return nil })
	f.must(err)
	t.Cleanup(f.server.Close)
	f.setState(1, 0)
	for n := range watchers {
		at, err := loopback.FreeAddress()
		f.must(err)
		f.watchers = append(f.watchers, gypsumyard.Host{Name: fmt.Sprintf("watcher-%d", n), Addr: at, Region: "region", State: gypsumyard.HostLive})
	}
	for _, w := range f.watchers {
		h := f.start(w, f.server.Addr(), f.watchers)
		f.await(h, 1, applyTimeout)
		f.running = append(f.running, h)
	}
	return f
}

func (f *fleet) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

// setState writes a desired state of at least the given size.
func (f *fleet) setState(number, size int) {
	f.t.Helper()
	route := objects.Route{Host: "orders", Service: "ledger", Kind: "primary", TimeoutMs: 1000}
	routes := []objects.Route{route}
	for n := 0; n*padding < size; n++ {
		route.Host = fmt.Sprintf("%0*d", padding-routeOverhead, n)
		routes = append(routes, route)
	}
	f.must(objects.SetDesiredState(f.t.Context(), f.store, objects.DesiredState{
		Version: number, Routes: routes, Services: []objects.Service{{Name: "ledger", ConnectionLimit: 30, SyncReplicas: 1}},
	}))
}

const (
	// padding is the size of a route in bytes, routeOverhead that without its name.
	padding       = 1 << 10
	routeOverhead = 160
)

// A runningHost is the part of a host that follows the desired state.
type runningHost struct {
	name  string
	lists *catalog.Service
	peers *peer.Service
	// watchers are the hosts that watch the store, at the addresses by which this one
	// reaches them.
	watchers []gypsumyard.Host
}

// start starts a host that reaches the store and the others at the given addresses.
func (f *fleet) start(self gypsumyard.Host, store netip.AddrPort, hosts []gypsumyard.Host) *runningHost {
	f.t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	client := platform.NewClient(store, store)
	names := catalog.ObjectNames{Desired: platform.DesiredStateObject, Instances: platform.InstancePrefix, Hosts: "hosts/"}
	h := &runningHost{
		name:     self.Name,
		watchers: hosts[:min(watchers, len(f.watchers))],
		lists: catalog.New(func(r gypsumyard.CallReason) gypsumyard.Store { return client.For(r) }, platform.Decoder{}, names, self.Region,
			catalog.WithLogger(log), catalog.WithApplyTimeout(applyTimeout), catalog.WithEras(era.NewTracker(era.WithLogger(log)))),
		peers: peer.New(self, []byte("secret"), peer.WithLogger(log)),
	}
	k, err := kernel.New(h.lists, h.peers, &fixedMembers{Stub: kerneltest.New("members"), self: self, hosts: hosts})
	f.must(err)
	f.must(k.Start(f.t.Context()))
	f.t.Cleanup(func() {
		if err := k.Stop(context.Background()); err != nil {
			f.t.Error(err)
		}
	})
	return h
}

// startSlow starts a host behind a slow link.
func (f *fleet) startSlow() *runningHost {
	f.t.Helper()
	l := &slowLink{t: f.t, rate: linkRate}
	f.slow = l
	at, err := loopback.FreeAddress()
	f.must(err)
	self := gypsumyard.Host{Name: "slow", Addr: at, Region: "region", State: gypsumyard.HostLive}
	var hosts []gypsumyard.Host
	for _, w := range f.watchers {
		w.Addr = l.proxy(w.Addr, &l.fromPeers)
		hosts = append(hosts, w)
	}
	return f.start(self, l.proxy(f.server.Addr(), &atomic.Int64{}), append(hosts, self))
}

// await fails the test unless the state of the given number is in force in time.
func (f *fleet) await(h *runningHost, number int64, within time.Duration) {
	f.t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if d := h.lists.Desired(); d != nil && d.Number >= number {
			return
		}
	}
	f.t.Fatalf("state %d is not in force after %v", number, within)
}

// Guards against transfers that are given up and begun anew before they can end, so that
// a host behind a slow link keeps an old desired state.
func TestLargeDesiredStateReachesHostBehindSlowLink(t *testing.T) {
	f := newFleet(t)
	h := f.startSlow()
	f.await(h, 1, applyTimeout)
	for number := int64(2); number <= 4; number++ {
		f.setState(int(number), largeState)
		f.await(h, number, applyTimeout)
	}
}

// Guards against changes that come faster than a transfer takes, each of which starts it
// anew.
func TestLargeDesiredStatesInQuickSuccession(t *testing.T) {
	f := newFleet(t)
	h := f.startSlow()
	f.await(h, 1, applyTimeout)
	type change struct {
		number int64
		at     time.Time
	}
	var changes []change
	next := time.Now()
	for end := next.Add(2 * applyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(next) {
			number := int64(len(changes) + 2)
			f.setState(int(number), largeState)
			changes = append(changes, change{number, time.Now()})
			next = next.Add(700 * time.Millisecond)
		}
		inForce := h.lists.Desired().Number
		for _, c := range changes {
			if c.number > inForce && time.Since(c.at) > applyTimeout {
				t.Fatalf("state %d is in force, %d was written %v ago", inForce, c.number, time.Since(c.at))
			}
		}
	}
	f.await(h, changes[len(changes)-1].number, applyTimeout)
}

// Guards against a host behind a slow link that starts and never learns the desired
// state, because its calls to the store are repeated before they can end.
func TestHostBehindSlowLinkStarts(t *testing.T) {
	for _, c := range []struct {
		name  string
		alone bool
	}{{"with other hosts", false}, {"alone", true}} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t)
			if c.alone {
				f.watchers = nil
			}
			f.setState(2, largeState)
			f.await(f.startSlow(), 2, applyTimeout)
		})
	}
}

// Guards against a host that fetches a value again which it has, because the host that it
// asks does not know yet that nothing else has changed.
func TestLargeDesiredStateIsFetchedOnce(t *testing.T) {
	f := newFleet(t)
	h := f.startSlow()
	f.await(h, 1, applyTimeout)
	for number := int64(2); number <= 3; number++ {
		before := f.slow.fromPeers.Load()
		f.setState(int(number), largeState)
		f.await(h, number, applyTimeout)
		time.Sleep(3 * time.Second) // Some pulls later.
		if n := f.slow.fromPeers.Load() - before; n > largeState*3/2 {
			t.Fatalf("%d bytes have come from other hosts for a state of %d bytes", n, largeState)
		}
	}
}

// Guards against hosts that suspect each other because heartbeats wait behind a large
// object on the same connection.
func TestHeartbeatsPassDuringLargeTransfer(t *testing.T) {
	f := newFleet(t)
	h := f.startSlow()
	f.await(h, 1, applyTimeout)
	b := &heartbeats{sent: map[uint64]time.Time{}}
	h.peers.HandleMembers(b.handle)
	for _, w := range f.running {
		w.peers.HandleMembers(func(m *peerpb.Members) *peerpb.Members {
			return &peerpb.Members{From: w.name, Kind: peerpb.MemberKind_HEARTBEAT_ACK, Sequence: m.Sequence}
		})
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(heartbeatInterval):
			}
			for _, w := range h.watchers {
				h.peers.SendMembers(w, b.next(h.name))
			}
		}
	})
	f.setState(2, largeState)
	f.await(h, 2, applyTimeout)
	close(stop)
	wg.Wait()
	time.Sleep(heartbeatTimeout)
	if longest := b.longest(); longest > heartbeatTimeout {
		t.Fatalf("a heartbeat and its answer took %v", longest)
	}
}

// heartbeats measures how long heartbeats and their answers take.
type heartbeats struct {
	mu    sync.Mutex
	last  uint64
	sent  map[uint64]time.Time
	worst time.Duration
}

func (b *heartbeats) next(from string) *peerpb.Members {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.last++
	b.sent[b.last] = time.Now()
	return &peerpb.Members{From: from, Kind: peerpb.MemberKind_HEARTBEAT, Sequence: b.last}
}

func (b *heartbeats) handle(m *peerpb.Members) *peerpb.Members {
	b.mu.Lock()
	defer b.mu.Unlock()
	if at, ok := b.sent[m.Sequence]; ok {
		b.worst = max(b.worst, time.Since(at))
		delete(b.sent, m.Sequence)
	}
	return nil
}

// longest returns the longest time until an answer. Heartbeats without an answer count
// with the time since they were sent.
func (b *heartbeats) longest() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	worst := b.worst
	for _, at := range b.sent {
		worst = max(worst, time.Since(at))
	}
	return worst
}
