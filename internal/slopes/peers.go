package slopes

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/gypsumyard/gypsumyard/internal/peer"
	"github.com/gypsumyard/gypsumyard/internal/peer/peerpb"
)

func peerExperiments() []Experiment {
	rates := []int{250, 1000, 4000}
	return []Experiment{
		{
			Name: "peer-heartbeat", Item: "heartbeats/s", Sizes: rates,
			About: "heartbeats and their answers between two hosts, without tables; cost of both hosts together",
			run:   heartbeats,
		},
		{
			Name: "peer-request", Item: "requests/s", Sizes: rates,
			About: "requests of 100 bytes with answers of one row between two hosts; cost of both hosts together",
			run:   peerRequests,
		},
		{
			Name: "peer-link", Item: "peers", Sizes: []int{10, 40, 120},
			About: "open links (Short and Bulk) for requests, both ends together, which is what a host has for each other host when all are entry and owner; processor time is that of pings",
			run:   func(ctx context.Context, _ *env, n int) (Sample, error) { return measureConnections(ctx, n, openLink) },
		},
		{
			Name: "peer-gossip", Item: "peers", Sizes: []int{10, 40, 120},
			About: "open Gossip streams, both ends together; processor time is that of pings",
			run: func(ctx context.Context, _ *env, n int) (Sample, error) {
				return measureConnections(ctx, n, openGossip)
			},
		},
	}
}

// fixedOwner is an Owner that responds to every request with the same row.
type fixedOwner struct{ fixedExecutor }

func (fixedOwner) ProbeInstance(context.Context, string, string) (s gypsumyard.InstanceStatus, err error) {
	return s, errors.ErrUnsupported
}
func (fixedOwner) AcceptRelease(string, string) {}

// noReplica is an ObjectReplica that stores nothing.
type noReplica struct{ fakeService }

func (noReplica) Apply([]gypsumyard.Object) int                                      { return 0 }
func (noReplica) Newer(gypsumyard.Version) ([]gypsumyard.Object, gypsumyard.Version) { return nil, 1 }

// A countingListener counts the bytes in both directions of all its connections.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, &l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// A peerHost is the part of a host that communicates with its peers.
type peerHost struct {
	*peer.Service
	self     gypsumyard.Host
	listener *countingListener
	stop     func() error
}

func startPeer(ctx context.Context, name string) (p *peerHost, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p = &peerHost{listener: &countingListener{Listener: l}}
	p.self = gypsumyard.Host{Name: name, Addr: l.Addr().(*net.TCPAddr).AddrPort(), State: gypsumyard.HostLive}
	p.Service = peer.New(p.self, []byte("secret"), peer.WithListener(p.listener), peer.WithLogger(discardLogger()))
	k, err := kernel.New(p.Service, fixedOwner{fixedExecutor{"owner"}}, noReplica{"lists"})
	if err != nil {
		return nil, errors.Join(err, l.Close())
	}
	if err := k.Start(ctx); err != nil {
		return nil, errors.Join(err, l.Close())
	}
	p.stop = func() error { return stopKernel(k) }
	return p, nil
}

// startPeers starts one host and n others.
func startPeers(ctx context.Context, n int) (a *peerHost, others []*peerHost, stop func() error, err error) {
	var all []*peerHost
	stop = func() (err error) {
		for _, p := range all {
			err = errors.Join(err, p.stop())
		}
		return err
	}
	for i := range n + 1 {
		p, err := startPeer(ctx, fmt.Sprintf("host-%03d", i))
		if err != nil {
			return nil, nil, nil, errors.Join(err, stop())
		}
		all = append(all, p)
	}
	return all[0], all[1:], stop, nil
}

// acknowledgeHeartbeats responds to heartbeats as a membership table does.
func (p *peerHost) acknowledgeHeartbeats() {
	p.HandleMembers(func(m *peerpb.Members) *peerpb.Members {
		return &peerpb.Members{Kind: peerpb.MemberKind_HEARTBEAT_ACK, From: p.self.Name, Incarnation: m.Incarnation, Sequence: m.Sequence, Digest: m.Digest}
	})
}

func heartbeat(from string) *peerpb.Members {
	return &peerpb.Members{From: from, Incarnation: uint64(time.Now().UnixMilli()), Sequence: 1, Digest: 1 << 60}
}

func heartbeats(ctx context.Context, _ *env, rate int) (sample Sample, err error) {
	a, others, stop, err := startPeers(ctx, 1)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, stop()) }()
	b := others[0]
	b.acknowledgeHeartbeats()
	a.HandleMembers(func(*peerpb.Members) *peerpb.Members { return nil })
	beat := heartbeat(a.self.Name)
	return measurePaced(float64(rate), b, func() error {
		a.SendMembers(b.self, beat)
		return nil
	})
}

func peerRequests(ctx context.Context, _ *env, rate int) (sample Sample, err error) {
	a, others, stop, err := startPeers(ctx, 1)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, stop()) }()
	e := a.Executor(others[0].self)
	r := &gypsumyard.Request{
		Session: "host-001-00004711", Customer: customerName, Login: loginName, Database: "appraisal",
		Class: gypsumyard.StatementRead, Messages: queryBytes(lookupSQL), Repeatable: true, PositionKnown: true,
		Position: gypsumyard.Position{Term: 3, Offset: 471100},
	}
	return measurePaced(float64(rate), others[0], func() error {
		_, err := e.Execute(ctx, r, discardSink{})
		return err
	})
}

// measurePaced calls f at the rate from several goroutines, after one call that
// opens the connections, and measures the cost less that of the pacing.
func measurePaced(rate float64, b *peerHost, f func() error) (Sample, error) {
	if err := f(); err != nil {
		return nil, err
	}
	time.Sleep(settleTime / 3)
	l := load{rate: rate, time: measurementWindow}
	pacing, err := cpuPerSecond(func() error { return l.run(nil) })
	if err != nil {
		return nil, err
	}
	before, heap := b.listener.bytes.Load(), allocated()
	used, err := cpuPerSecond(func() error { return l.call(f) })
	return Sample{
		CPU:       used - pacing,
		Wire:      float64(b.listener.bytes.Load()-before) / l.time.Seconds(),
		Allocated: (allocated() - heap) / l.time.Seconds(),
	}, err
}

// call calls f at the rate of the load.
func (l load) call(f func() error) error {
	errs := make([]error, workers)
	var wait sync.WaitGroup
	for w := range workers {
		wait.Go(func() {
			begin := time.Now()
			total := int(l.rate * l.time.Seconds())
			for i := w; i < total && errs[w] == nil; i += workers {
				time.Sleep(time.Until(begin.Add(time.Duration(float64(i) / l.rate * float64(time.Second)))))
				errs[w] = f()
			}
			time.Sleep(time.Until(begin.Add(l.time)))
		})
	}
	wait.Wait()
	return errors.Join(errs...)
}

func openLink(ctx context.Context, a, b *peerHost) error {
	r := &gypsumyard.Request{Session: "s", Customer: customerName, Database: "appraisal", Class: gypsumyard.StatementRead, Messages: queryBytes(lookupSQL)}
	_, err := a.Executor(b.self).Execute(ctx, r, discardSink{})
	return err
}

// openGossip opens a Gossip stream and returns once the other host has responded.
func openGossip(ctx context.Context, a, b *peerHost) error {
	return a.ReleaseDatabase(ctx, b.self, "appraisal")
}

// measureConnections opens one connection to each of n peers and measures the
// memory that both ends take and the CPU time that they use for pings.
func measureConnections(ctx context.Context, n int, use func(ctx context.Context, a, b *peerHost) error) (sample Sample, err error) {
	a, others, stop, err := startPeers(ctx, n)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, stop()) }()
	base, err := cpuPerSecond(func() error { time.Sleep(measurementWindow / 2); return nil })
	if err != nil {
		return nil, err
	}
	before, cpu := readMemory(), cpuTime()
	for _, b := range others {
		if err := use(ctx, a, b); err != nil {
			return nil, err
		}
	}
	opened := cpuTime() - cpu
	held := readMemory().since(before)
	wire := traffic(others)
	used, err := cpuPerSecond(func() error { time.Sleep(measurementWindow); return nil })
	return Sample{
		LoginCPU: micros(opened), CPU: used - base, Wire: (traffic(others) - wire) / measurementWindow.Seconds(),
		Heap: held.heap, Stack: held.stack, Goroutines: held.routines,
	}, err
}

func traffic(peers []*peerHost) (bytes float64) {
	for _, p := range peers {
		bytes += float64(p.listener.bytes.Load())
	}
	return bytes
}
