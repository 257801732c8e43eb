package owner_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/emulate/group"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/gypsumyard/gypsumyard/internal/owner"
	"github.com/jackc/pgx/v5/pgproto3"
)

// A fakeView implements Lists and Membership with contents that tests can
// change.
type fakeView struct {
	gypsumyard.Lists
	name    string
	mu      sync.Mutex
	db      gypsumyard.Database
	owner   string
	changes chan struct{}
	done    chan struct{}
}

func (v *fakeView) Name() string                                { return v.name }
func (v *fakeView) Needs() []string                             { return nil }
func (v *fakeView) Start(context.Context, *kernel.Kernel) error { return nil }
func (v *fakeView) Stop(context.Context) error                  { return nil }
func (v *fakeView) Done() <-chan struct{}                       { return v.done }
func (v *fakeView) Self() gypsumyard.Host                       { return gypsumyard.Host{Name: "host-1", Region: "north"} }
func (v *fakeView) Hosts() []gypsumyard.Host                    { return []gypsumyard.Host{v.Self()} }
func (v *fakeView) Plan(string) (gypsumyard.Plan, bool) {
	return gypsumyard.Plan{Limit: 1, Share: 1}, true
}
func (v *fakeView) Customer(n string) (gypsumyard.Customer, bool) {
	return gypsumyard.Customer{Name: n}, true
}

func (v *fakeView) Database(string) (gypsumyard.Database, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.db, true
}

func (v *fakeView) Databases() []gypsumyard.Database {
	d, _ := v.Database("")
	return []gypsumyard.Database{d}
}

func (v *fakeView) setDatabase(d gypsumyard.Database) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.db = d
	close(v.changes)
	v.changes = make(chan struct{})
}

// DropFormer does what the lists of a host do.
func (v *fakeView) DropFormer(_ context.Context, _ string, listVersion uint64) error {
	d, _ := v.Database("")
	if d.ListVersion == listVersion {
		d.Former = nil
		v.setDatabase(d)
	}
	return nil
}

func (v *fakeView) Owner(string) (gypsumyard.Host, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return gypsumyard.Host{Name: v.owner}, true
}

func (v *fakeView) Changes() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changes
}

func (v *fakeView) setOwner(name string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.owner = name
	close(v.changes)
	v.changes = make(chan struct{})
}

// A fakePeers records the releases.
type fakePeers struct {
	fakeView
	gypsumyard.PeerClient
	released chan string
}

func (p *fakePeers) Name() string { return p.name }

func (p *fakePeers) AssignDatabase(context.Context, gypsumyard.Host, gypsumyard.Assignment) error {
	return nil
}

func (p *fakePeers) ReleaseDatabase(_ context.Context, to gypsumyard.Host, database string) error {
	p.released <- to.Name + " " + database
	return nil
}

// A fixture is a service that owns an emulated database.
type fixture struct {
	t       testing.TB
	group   *group.Group
	service *owner.Service
	members *fakeView
	lists   *fakeView
	peers   *fakePeers
}

func start(t testing.TB, emulator []group.Option, options ...owner.Option) *fixture {
	t.Helper()
	g, err := group.New("appraisal", append([]group.Option{group.WithOpenDelay(time.Millisecond), group.WithJournal(1 << 16)}, emulator...)...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	f := serve(t, g, options...)
	f.must("setup", gypsumyard.StatementWrite, "create table rugs (id int8 primary key, knots int8)")
	return f
}

// serve starts another service that considers itself the owner of the group.
func serve(t testing.TB, g *group.Group, options ...owner.Option) *fixture {
	t.Helper()
	return serveListed(t, g, g.Database("north"), options...)
}

// serveListed is serve for a host whose list of databases holds d.
func serveListed(t testing.TB, g *group.Group, d gypsumyard.Database, options ...owner.Option) *fixture {
	t.Helper()
	f := &fixture{t: t, group: g}
	newView := func(name string) *fakeView {
		return &fakeView{name: name, db: d, owner: "host-1", changes: make(chan struct{}), done: closed()}
	}
	f.members, f.lists = newView("members"), newView("lists")
	f.peers = &fakePeers{fakeView: fakeView{name: "peer", done: closed()}, released: make(chan string, 8)}
	f.service = owner.New(options...)
	k, err := kernel.New(f.lists, f.members, f.service, f.peers)
	if err != nil {
		t.Fatal(err)
	}
	if err := k.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = f.service.Stop(ctx)
	})
	return f
}

func closed() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// An answer is the result of a request and its encoded response.
type answer struct {
	result gypsumyard.Result
	err    error
	raw    []byte
}

func (a *answer) Write(b []byte) (int, error) {
	a.raw = append(a.raw, b...)
	return len(b), nil
}

// text returns the rows, command tags and SQLSTATEs of the response.
func (a *answer) text() string {
	var out []string
	front := pgproto3.NewFrontend(strings.NewReader(string(a.raw)), nil)
	for {
		msg, err := front.Receive()
		if err != nil {
			return strings.Join(out, ";")
		}
		switch m := msg.(type) {
		case *pgproto3.DataRow:
			var values []string
			for _, v := range m.Values {
				values = append(values, string(v))
			}
			out = append(out, strings.Join(values, ","))
		case *pgproto3.CommandComplete:
			out = append(out, string(m.CommandTag))
		case *pgproto3.ErrorResponse:
			out = append(out, m.Code)
		}
	}
}

func request(session string, class gypsumyard.StatementClass, sql string) *gypsumyard.Request {
	b, err := (&pgproto3.Query{String: sql}).Encode(nil)
	if err != nil {
		panic(err)
	}
	return &gypsumyard.Request{
		Session:    gypsumyard.SessionID(session),
		Customer:   "loom",
		Database:   "appraisal",
		Class:      class,
		Messages:   b,
		Repeatable: true,
	}
}

func (f *fixture) run(r *gypsumyard.Request) *answer {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	a := &answer{}
	a.result, a.err = f.service.Execute(ctx, r, a)
	return a
}

func (f *fixture) exec(session string, class gypsumyard.StatementClass, sql string) *answer {
	return f.run(request(session, class, sql))
}

func (f *fixture) must(session string, class gypsumyard.StatementClass, sql string) *answer {
	f.t.Helper()
	a := f.exec(session, class, sql)
	if a.err != nil {
		f.t.Fatalf("%s: %v", sql, a.err)
	}
	return a
}

// runIn runs a statement in the transaction that the answer has left open.
func (f *fixture) runIn(tx *answer, session string, class gypsumyard.StatementClass, sql string) *answer {
	r := request(session, class, sql)
	r.Transaction, r.Owner = tx.result.Transaction, tx.result.Owner
	return f.run(r)
}

// committed counts how often the emulator committed the statement.
func (f *fixture) committed(sql string) (n int) {
	for _, e := range f.group.Journal(0) {
		if e.Committed && strings.EqualFold(e.Statement, sql) {
			n++
		}
	}
	return n
}

func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("%s: not within 5 s", what)
}

func insert(id int) string { return fmt.Sprintf("insert into rugs values (%d, 1)", id) }
