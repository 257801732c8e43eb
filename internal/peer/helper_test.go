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

// An owner is a scripted owner.
type owner struct {
	execute func(ctx context.Context, r *gypsumyard.Request, sink gypsumyard.ResponseSink) (gypsumyard.Result, error)

	mu        sync.Mutex
	abandoned []string
	released  []string
	done      chan struct{}
}

func (o *owner) Name() string                                { return "owner" }
func (o *owner) Needs() []string                             { return nil }
func (o *owner) Start(context.Context, *kernel.Kernel) error { return nil }
func (o *owner) Stop(context.Context) error                  { close(o.done); return nil }
func (o *owner) Done() <-chan struct{}                       { return o.done }

func (o *owner) Execute(ctx context.Context, r *gypsumyard.Request, sink gypsumyard.ResponseSink) (gypsumyard.Result, error) {
	return o.execute(ctx, r, sink)
}

func (o *owner) Abandon(_ context.Context, r *gypsumyard.Request) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.abandoned = append(o.abandoned, r.Transaction)
	return nil
}

func (o *owner) CancelStatement(context.Context, *gypsumyard.Request) error {
	return gypsumyard.Errorf(gypsumyard.ClassNotSupported, "cancel")
}

func (o *owner) ProbeInstance(_ context.Context, database, instance string) (gypsumyard.InstanceStatus, error) {
	return gypsumyard.InstanceStatus{Role: gypsumyard.RoleReplica, FenceToken: gypsumyard.Token(database + "/" + instance), StreamAge: time.Second}, nil
}

func (o *owner) AcceptRelease(database, from string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.released = append(o.released, database+" from "+from)
}

func (o *owner) abandonedNow() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]string(nil), o.abandoned...)
}

func quiet() *logrus.Logger {
	if os.Getenv("PEERDBG") != "" {
		l := logrus.New()
		l.SetLevel(logrus.DebugLevel)
		return l
	}
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

// start runs a host of the given name and returns it with its address.
func start(t testing.TB, name string, services ...kernel.Service) (*Service, gypsumyard.Host) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := gypsumyard.Host{Name: name, Addr: l.Addr().(*net.TCPAddr).AddrPort()}
	s := New(h, []byte("secret"), WithListener(l), WithLogger(quiet()))
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

func newOwner(execute func(ctx context.Context, r *gypsumyard.Request, sink gypsumyard.ResponseSink) (gypsumyard.Result, error)) *owner {
	return &owner{execute: execute, done: make(chan struct{})}
}

// A proxy passes bytes between a client and a host until told to stall.
type proxy struct {
	listener net.Listener
	to       netip.AddrPort
	mu       sync.Mutex
	conns    []net.Conn
	stalled  chan struct{}
	dials    int
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
		p.breakAll()
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
		p.dials++
		stalled := p.stalled
		p.mu.Unlock()
		go pipe(c, u, stalled)
		go pipe(u, c, stalled)
	}
}

func pipe(from, to net.Conn, stalled chan struct{}) {
	b := make([]byte, 64<<10)
	for {
		n, err := from.Read(b)
		select {
		case <-stalled:
			return // The connection stays open and carries nothing.
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

// silence stalls the open connections for good. New ones work.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.stalled)
	p.stalled = make(chan struct{})
}

func (p *proxy) breakAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
	p.conns = nil
}

func (p *proxy) dialled() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// eventually waits up to 5 s for the condition.
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
