package linecaller

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/gypsumyard/gypsumyard/internal/kernel/kerneltest"
	"github.com/gypsumyard/gypsumyard/internal/line"
	"github.com/sirupsen/logrus"
)

// executor is a fake of the owners that answers with the result of reply.
type executor struct {
	kerneltest.Stub
	mu        sync.Mutex
	requests  []*gypsumyard.Request
	abandoned []string
	reply     func(r *gypsumyard.Request, b line.Payload) (string, gypsumyard.Result, error)
	// wait is called before reply, if not nil. Its error is that of the request.
	wait func(ctx context.Context, b line.Payload) error
	// abandon is called by Abandon, if not nil.
	abandon func(ctx context.Context) error
}

func (e *executor) Execute(ctx context.Context, r *gypsumyard.Request, sink gypsumyard.ResponseSink) (gypsumyard.Result, error) {
	b, err := line.UnmarshalPayload(r.Messages)
	if err != nil {
		return gypsumyard.Result{}, err
	}
	e.mu.Lock()
	e.requests = append(e.requests, r)
	reply, wait := e.reply, e.wait
	e.mu.Unlock()
	if wait != nil {
		if err := wait(ctx, b); err != nil {
			return gypsumyard.Result{}, err
		}
	}
	out, res, err := reply(r, b)
	if err == nil {
		_, err = sink.Write([]byte(out))
	}
	return res, err
}

func (e *executor) Abandon(ctx context.Context, r *gypsumyard.Request) error {
	e.mu.Lock()
	e.abandoned = append(e.abandoned, r.Transaction)
	abandon := e.abandon
	e.mu.Unlock()
	if abandon != nil {
		return abandon(ctx)
	}
	return nil
}

func (e *executor) CancelStatement(context.Context, *gypsumyard.Request) error { return nil }

func (e *executor) last() *gypsumyard.Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requests[len(e.requests)-1]
}

type lists struct {
	kerneltest.Stub
	gypsumyard.Lists
	desired *gypsumyard.DesiredState
	// replaced is in force instead of desired once it is set, and proven is since when
	// either is proven.
	replaced atomic.Pointer[gypsumyard.DesiredState]
	proven   atomic.Pointer[time.Time]
	ready    chan struct{}
}

func (l *lists) Ready() <-chan struct{}   { return l.ready }
func (l *lists) Changes() <-chan struct{} { return nil }

func (l *lists) Desired() *gypsumyard.DesiredState {
	if d := l.replaced.Load(); d != nil {
		return d
	}
	return l.desired
}

func (l *lists) ProvenAt() (at time.Time) {
	if t := l.proven.Load(); t != nil {
		at = *t
	}
	return at
}

type members struct {
	kerneltest.Stub
	gypsumyard.Membership
}

func (members) Self() gypsumyard.Host { return gypsumyard.Host{Name: "host-1"} }

type fixture struct {
	testing.TB
	kernel   *kernel.Kernel
	server   *Server
	executor *executor
	lists    *lists
}

// ok answers like an instance on which each statement succeeds and an open
// transaction stays open until its COMMIT.
func ok(r *gypsumyard.Request, b line.Payload) (string, gypsumyard.Result, error) {
	res := gypsumyard.Result{Position: gypsumyard.Position{Term: 3, Offset: 7}, TxStatus: 'I'}
	if r.Class == gypsumyard.StatementBegin || r.Class == gypsumyard.StatementBeginRead || r.Transaction != "" {
		res.TxStatus, res.Transaction, res.Owner = 'T', "t1", "host-2"
	}
	if b.Text == string(line.Commit) {
		res.TxStatus, res.Transaction, res.Owner = 'I', "", ""
	}
	return "COMPLETE 7.1f\r\n", res, nil
}

func newFixture(t testing.TB, options ...Option) *fixture {
	t.Helper()
	f := newUnstartedFixture(t, options...)
	if err := f.kernel.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := f.kernel.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	})
	return f
}

// newUnstartedFixture returns a fixture whose services the test starts and stops.
func newUnstartedFixture(t testing.TB, options ...Option) *fixture {
	t.Helper()
	d := &gypsumyard.DesiredState{Routes: map[string]gypsumyard.Route{
		"orders": {
			Database: "orders", Group: "g", Consistency: gypsumyard.ConsistencyPrimary, StatementTimeout: time.Second,
			Priority: 1, Objective: 200 * time.Millisecond,
		},
		"logs": {
			Database: "logs", Group: "g", Consistency: gypsumyard.ConsistencySession, MaxStaleness: time.Second, StatementTimeout: time.Second,
		},
	}}
	f := &fixture{
		TB:       t,
		executor: &executor{Stub: kerneltest.New("dispatch"), reply: ok},
		lists:    &lists{Stub: kerneltest.New("lists"), desired: d, ready: make(chan struct{})},
	}
	close(f.lists.ready)
	log := logrus.New()
	log.SetOutput(io.Discard)
	f.server = New(netip.MustParseAddrPort("127.0.0.1:0"), append([]Option{WithLogger(log)}, options...)...)
	var err error
	f.kernel, err = kernel.New(f.executor, f.lists, members{Stub: kerneltest.New("members")}, f.server)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// A caller is a client connection of a test.
type caller struct {
	t    testing.TB
	conn net.Conn
	in   *bufio.Reader
}

func (f *fixture) dial(start string) *caller {
	f.Helper()
	n, err := net.Dial("tcp", f.server.Addr().String())
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = n.Close() })
	c := &caller{f.TB, n, bufio.NewReader(n)}
	c.send(start)
	return c
}

func (c *caller) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, text+"\r\n"); err != nil {
		c.t.Fatal(err)
	}
}

// expect reads one line for each of the given prefixes.
func (c *caller) expect(want ...string) {
	c.t.Helper()
	_ = c.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	for _, w := range want {
		s, err := c.in.ReadString('\n')
		if err != nil || !strings.HasPrefix(s, w) || !strings.HasSuffix(s, "\r\n") {
			c.t.Fatalf("have %q, %v, want %q", s, err, w)
		}
	}
}

func (c *caller) expectEnd() {
	c.t.Helper()
	_ = c.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if s, err := c.in.ReadString('\n'); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		c.t.Fatalf("have %q, %v, want the end of the session", s, err)
	}
}
