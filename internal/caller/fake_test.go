package caller

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/netip"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sirupsen/logrus"
)

const (
	testPassword = "knots"
	testUser     = "valuer@loom"
	testDatabase = "appraisal"
)

// service is embedded in a fake to make it a service of the kernel.
type service struct{ name string }

func (s service) Name() string                                { return s.name }
func (s service) Needs() []string                             { return nil }
func (s service) Start(context.Context, *kernel.Kernel) error { return nil }
func (s service) Stop(context.Context) error                  { return nil }
func (s service) Done() <-chan struct{}                       { c := make(chan struct{}); close(c); return c }

type fakeMembers struct{ service }

func (fakeMembers) Self() gypsumyard.Host                    { return gypsumyard.Host{Name: "host-1"} }
func (fakeMembers) Hosts() []gypsumyard.Host                 { return nil }
func (fakeMembers) Owner(string) (h gypsumyard.Host, _ bool) { return h, false }
func (fakeMembers) Changes() <-chan struct{}                 { return nil }

type fakeLists struct {
	service
	mu       sync.Mutex
	ready    chan struct{}
	customer gypsumyard.Customer
	plan     gypsumyard.Plan
}

func (l *fakeLists) Ready() <-chan struct{} { return l.ready }
func (l *fakeLists) Customer(name string) (gypsumyard.Customer, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.customer, name == l.customer.Name
}
func (l *fakeLists) Plan(name string) (gypsumyard.Plan, bool) { return l.plan, name == l.plan.Name }
func (l *fakeLists) Database(name string) (gypsumyard.Database, bool) {
	return gypsumyard.Database{Name: name}, true
}
func (l *fakeLists) Databases() []gypsumyard.Database        { return nil }
func (l *fakeLists) Versions() map[string]gypsumyard.Version { return nil }
func (l *fakeLists) Changes() <-chan struct{}                { return nil }

// fakeExecutor runs requests like an upstream that serves each request on
// another connection: only the unnamed statement of the same batch exists.
type fakeExecutor struct {
	service
	mu        sync.Mutex
	requests  []gypsumyard.Request
	abandoned []gypsumyard.Request
	canceled  []gypsumyard.Request
	status    map[gypsumyard.SessionID]byte
	offset    gypsumyard.Offset
	// hook, if set, is called for each request and can delay it or make it fail.
	hook func(ctx context.Context, r *gypsumyard.Request) error
}

func (e *fakeExecutor) Execute(ctx context.Context, r *gypsumyard.Request, sink gypsumyard.ResponseSink) (gypsumyard.Result, error) {
	e.mu.Lock()
	e.requests = append(e.requests, *r)
	hook := e.hook
	status := e.status[r.Session]
	e.mu.Unlock()
	if status == 0 {
		status = 'I'
	}
	if hook != nil {
		if err := hook(ctx, r); err != nil {
			return gypsumyard.Result{}, err
		}
	}
	u := &fakeUpstream{status: status}
	u.run(r.Messages)
	// The response is written in small chunks, to split messages at any byte.
	for out := u.out; len(out) > 0; {
		n := min(len(out), 7)
		if len(u.out) > 4096 {
			n = min(len(out), 5000)
		}
		if _, err := sink.Write(out[:n]); err != nil {
			return gypsumyard.Result{}, gypsumyard.Errorf(gypsumyard.ClassUnknown, "write: %w", err)
		}
		out = out[n:]
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.status[r.Session] = u.status
	result := gypsumyard.Result{TxStatus: u.status, Instance: "a"}
	if u.status != 'I' {
		result.Transaction, result.Owner = "tx-"+string(r.Session), "host-2"
	}
	if r.Class == gypsumyard.StatementWrite || r.Class == gypsumyard.StatementCommit {
		e.offset++
		result.Position = gypsumyard.Position{Term: 1, Offset: e.offset}
	}
	return result, nil
}

func (e *fakeExecutor) Abandon(_ context.Context, r *gypsumyard.Request) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.abandoned = append(e.abandoned, *r)
	e.status[r.Session] = 'I'
	return nil
}

func (e *fakeExecutor) CancelStatement(_ context.Context, r *gypsumyard.Request) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.canceled = append(e.canceled, *r)
	return nil
}

func (e *fakeExecutor) setHook(h func(context.Context, *gypsumyard.Request) error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hook = h
}

// last returns a copy of the most recent request.
func (e *fakeExecutor) last() gypsumyard.Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requests[len(e.requests)-1]
}

func (e *fakeExecutor) abandons() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.abandoned)
}

func (e *fakeExecutor) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.requests)
}

// fakeUpstream runs the messages of one request.
type fakeUpstream struct {
	out     []byte
	status  byte
	unnamed *string
	portal  *string
	params  [][]byte
	failed  bool
}

var (
	paramPattern   = regexp.MustCompile(`\$\d+`)
	commentPattern = regexp.MustCompile(`(?s)/\*.*?\*/`)
)

func (u *fakeUpstream) send(m pgproto3.BackendMessage) {
	out, err := m.Encode(u.out)
	if err != nil {
		panic(err)
	}
	u.out = out
}

func (u *fakeUpstream) fail(code, text string) {
	u.send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: text})
	u.failed = true
	if u.status == 'T' {
		u.status = 'E'
	}
}

func (u *fakeUpstream) run(messages []byte) {
	b := pgproto3.NewBackend(bytes.NewReader(messages), io.Discard)
	for {
		m, err := b.Receive()
		if err != nil {
			return
		}
		if !u.failed {
			u.message(m)
		}
	}
}

func (u *fakeUpstream) message(m pgproto3.FrontendMessage) {
	switch m := m.(type) {
	case *pgproto3.Query:
		u.unnamed = nil
		for q := range strings.SplitSeq(m.String, ";") {
			if q = strings.TrimSpace(q); q != "" && !u.failed {
				u.query(q, nil, true)
			}
		}
	case *pgproto3.Parse:
		if m.Name != "" {
			panic("named statement " + m.Name + " stays on the upstream connection")
		}
		if strings.Contains(m.Query, "syntax") {
			u.fail("42601", "syntax error")
			return
		}
		q := m.Query
		u.unnamed = &q
		u.send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		if m.PreparedStatement != "" || u.unnamed == nil {
			u.fail("26000", "prepared statement does not exist")
			return
		}
		u.portal, u.params = u.unnamed, m.Parameters
		u.send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		q := u.portal
		if m.ObjectType == 'S' {
			q = u.unnamed
			oids := make([]uint32, len(paramPattern.FindAllString(*q, -1)))
			for i := range oids {
				oids[i] = textOID
			}
			u.send(&pgproto3.ParameterDescription{ParameterOIDs: oids})
		}
		if hasRows(*q) {
			u.send(rowDescription("text", 0))
		} else {
			u.send(&pgproto3.NoData{})
		}
	case *pgproto3.Execute:
		u.query(*u.portal, u.params, false)
	case *pgproto3.Close:
		u.send(&pgproto3.CloseComplete{})
	}
}

func verb(q string) string {
	q = strings.TrimSpace(commentPattern.ReplaceAllString(q, ""))
	word, _, _ := strings.Cut(q, " ")
	return strings.ToUpper(word)
}

func hasRows(q string) bool { return verb(q) == "SELECT" || verb(q) == "SHOW" }

func (u *fakeUpstream) query(q string, params [][]byte, describe bool) {
	v := verb(q)
	if u.status == 'E' && v != "COMMIT" && v != "ROLLBACK" {
		u.fail("25P02", "current transaction is aborted")
		return
	}
	if strings.Contains(q, "'bad'") {
		u.fail("22023", "invalid value")
		return
	}
	switch {
	case v == "BEGIN":
		u.status = 'T'
	case v == "COMMIT" && u.status == 'E':
		v, u.status = "ROLLBACK", 'I'
	case v == "COMMIT", v == "ROLLBACK" && !strings.Contains(strings.ToUpper(q), " TO "):
		u.status = 'I'
	case strings.HasPrefix(q, "SET LOCAL") && u.status == 'I':
		u.send(&pgproto3.NoticeResponse{Severity: "WARNING", Code: "25P01", Message: "SET LOCAL can only be used in transaction blocks"})
	case strings.Contains(q, "big"):
		u.rows(q, 3<<20/1000)
		return
	case hasRows(q):
		if describe {
			u.send(rowDescription("text", 0))
		}
		text := q
		for i, p := range params {
			text += fmt.Sprintf("|%d=%s", i+1, p)
		}
		u.send(&pgproto3.DataRow{Values: [][]byte{[]byte(text)}})
	}
	if v == "INSERT" {
		v = "INSERT 0 1"
	}
	u.send(&pgproto3.CommandComplete{CommandTag: []byte(v)})
}

// rows responds with n rows of 1000 bytes.
func (u *fakeUpstream) rows(_ string, n int) {
	u.send(rowDescription("text", 0))
	row := bytes.Repeat([]byte{'x'}, 1000)
	for range n {
		u.send(&pgproto3.DataRow{Values: [][]byte{row}})
	}
	u.send(&pgproto3.CommandComplete{CommandTag: fmt.Appendf(nil, "SELECT %d", n)})
}

// fixture is a running server with its fakes.
type fixture struct {
	server   *Server
	executor *fakeExecutor
	lists    *fakeLists
}

var verifierOnce = sync.OnceValues(func() (string, error) { return Verifier(testPassword) })

func start(t testing.TB, options ...Option) *fixture {
	t.Helper()
	verifier, err := verifierOnce()
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(testWriter{t})
	options = append([]Option{WithLogger(log)}, options...)
	f := &fixture{
		server:   New(netip.MustParseAddrPort("127.0.0.1:0"), options...),
		executor: &fakeExecutor{service: service{"dispatch"}, status: map[gypsumyard.SessionID]byte{}},
		lists: &fakeLists{
			service: service{"lists"},
			ready:   make(chan struct{}),
			customer: gypsumyard.Customer{
				Name: "loom", Plan: "gold", Databases: []string{testDatabase},
				Logins: []gypsumyard.Login{{Name: "valuer", Verifier: verifier}},
			},
			plan: gypsumyard.Plan{Name: "gold", MaxSessions: 20},
		},
	}
	close(f.lists.ready)
	k, err := kernel.New(f.server, f.executor, f.lists, fakeMembers{service{"members"}})
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
			t.Error(err)
		}
		if held := f.server.budget.used.Load(); held != 0 {
			t.Errorf("%d bytes of the buffer budget were not released", held)
		}
	})
	return f
}

func (f *fixture) url(extraParams string) string {
	return fmt.Sprintf("postgres://valuer%%40loom:%s@%s/%s?sslmode=disable%s", testPassword, f.server.Addr(), testDatabase, extraParams)
}

// testWriter writes log output to the log of the test.
type testWriter struct{ t testing.TB }

func (w testWriter) Write(p []byte) (int, error) {
	w.t.Log(strings.TrimSpace(string(p)))
	return len(p), nil
}
