package peer

import (
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/sirupsen/logrus"
)

// A fakeOwner is a gypsumyard.Owner that records calls and runs requests with a
// given function.
type fakeOwner struct {
	execute func(ctx context.Context, r *gypsumyard.Request, sink gypsumyard.ResponseSink) (gypsumyard.Result, error)

	mu        sync.Mutex
	abandoned []string
	released  []string
	done      chan struct{}
}

func (o *fakeOwner) Name() string                                { return "owner" }
func (o *fakeOwner) Needs() []string                             { return nil }
func (o *fakeOwner) Start(context.Context, *kernel.Kernel) error { return nil }
func (o *fakeOwner) Stop(context.Context) error                  { close(o.done); return nil }
func (o *fakeOwner) Done() <-chan struct{}                       { return o.done }

func (o *fakeOwner) Execute(ctx context.Context, r *gypsumyard.Request, sink gypsumyard.ResponseSink) (gypsumyard.Result, error) {
	return o.execute(ctx, r, sink)
}

func (o *fakeOwner) Abandon(_ context.Context, r *gypsumyard.Request) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.abandoned = append(o.abandoned, r.Transaction)
	return nil
}

func (o *fakeOwner) CancelStatement(context.Context, *gypsumyard.Request) error {
	return gypsumyard.Errorf(gypsumyard.ClassNotSupported, "cancel")
}

func (o *fakeOwner) ProbeInstance(_ context.Context, database, instance string) (gypsumyard.InstanceStatus, error) {
	return gypsumyard.InstanceStatus{Role: gypsumyard.RoleReplica, FenceToken: gypsumyard.Token(database + "/" + instance), StreamAge: time.Second}, nil
}

func (o *fakeOwner) AcceptRelease(database, from string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.released = append(o.released, database+" from "+from)
}

func (o *fakeOwner) abandonedTransactions() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]string(nil), o.abandoned...)
}

func discardLogger() *logrus.Logger {
	if os.Getenv("PEERDBG") != "" {
		l := logrus.New()
		l.SetLevel(logrus.DebugLevel)
		return l
	}
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

// startHost starts a host of the given name and returns its service and its
// description.
func startHost(t testing.TB, name string, services ...kernel.Service) (*Service, gypsumyard.Host) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := gypsumyard.Host{Name: name, Addr: l.Addr().(*net.TCPAddr).AddrPort()}
	s := New(h, []byte("secret"), WithListener(l), WithLogger(discardLogger()))
	k, err := kernel.New(append(services, s)...)
	if err != nil {
		t.Fatal(err)
	}
	if err := k.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		if err := k.Stop(ctx); err != nil {
			t.Errorf("stop %s: %v", name, err)
		}
	})
	return s, h
}

func newFakeOwner(execute func(ctx context.Context, r *gypsumyard.Request, sink gypsumyard.ResponseSink) (gypsumyard.Result, error)) *fakeOwner {
	return &fakeOwner{execute: execute, done: make(chan struct{})}
}

// A proxy forwards bytes between a client and a host until it is told to stall.
type proxy struct {
	listener net.Listener
	to       netip.AddrPort
	mu       sync.Mutex
	conns    []net.Conn
	stalled  chan struct{}
	// accepted is the number of connections from the client, used the number of
	// those that carried data, and unused of those that it closed without any.
	accepted, used, unused int
}

func startProxy(t testing.TB, to netip.AddrPort) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: l, to: to, stalled: make(chan struct{})}
	go p.accept()
	t.Cleanup(func() {
		_ = l.Close()
		p.closeConns()
	})
	return p
}

func (p *proxy) addr() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		u, err := net.Dial("tcp", p.to.String())
		if err != nil {
			_ = c.Close()
			continue
		}
		p.mu.Lock()
		p.conns = append(p.conns, c, u)
		p.accepted++
		stalled := p.stalled
		p.mu.Unlock()
		go pipe(&countedConn{Conn: c, proxy: p}, u, stalled)
		go pipe(u, c, stalled)
	}
}

func pipe(from, to net.Conn, stalled chan struct{}) {
	b := make([]byte, 64<<10)
	for {
		n, err := from.Read(b)
		select {
		case <-stalled:
			return // The connection stays open without transferring data.
		default:
		}
		if err != nil {
			_ = to.Close()
			return
		}
		if _, err := to.Write(b[:n]); err != nil {
			_ = from.Close()
			return
		}
	}
}

// stall permanently stops the transfer on all open connections. New connections
// work.
func (p *proxy) stall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.stalled)
	p.stalled = make(chan struct{})
}

func (p *proxy) closeConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
	p.conns = nil
}

// A countedConn is a client's connection to a proxy. Its first read tells whether
// the client uses it.
type countedConn struct {
	net.Conn
	proxy *proxy
	first sync.Once
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.first.Do(func() { c.proxy.countRead(n) })
	return n, err
}

func (p *proxy) countRead(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n > 0 {
		p.used++
	} else {
		p.unused++
	}
}

// checkDials checks that the client used n connections and closed all others. It
// has others if the machine is so busy that tcp.Dial starts a second attempt before
// it sees the answer to the first.
func (p *proxy) checkDials(t testing.TB, n int) {
	t.Helper()
	eventually(t, "all unused connections closed", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.accepted == p.used+p.unused
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.used != n {
		t.Errorf("%d connections used, want %d", p.used, n)
	}
}

// eventually waits up to 5 s for the condition to hold.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	end := time.Now().Add(5 * time.Second)
	for !ok() {
		if time.Now().After(end) {
			t.Fatalf("not within 5 s: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// testDialers are dialers with and without overlapping attempts.
var testDialers = map[string]func(context.Context, netip.AddrPort) (net.Conn, error){
	"one attempt":          dialTCP,
	"overlapping attempts": dialTwice,
}

// dialTwice does what tcp.Dial does when it sees no answer to its first attempt in
// time: it uses the connection of a second one and closes the first, unused.
func dialTwice(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	slow, err := dialTCP(ctx, to)
	if err != nil {
		return nil, err
	}
	defer slow.Close()
	return dialTCP(ctx, to)
}
