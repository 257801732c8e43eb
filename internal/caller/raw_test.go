package caller

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
)

// rawClient is a client that sends and receives single protocol messages.
type rawClient struct {
	t testing.TB
	*pgconn.HijackedConn
}

func dial(t testing.TB, f *fixture, extraParams string) *rawClient {
	t.Helper()
	c, err := pgconn.Connect(t.Context(), f.url(extraParams))
	if err != nil {
		t.Fatal(err)
	}
	h, err := c.Hijack()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { h.Conn.Close() })
	return &rawClient{t, h}
}

func (r *rawClient) send(messages ...pgproto3.FrontendMessage) {
	r.t.Helper()
	for _, m := range messages {
		r.Frontend.Send(m)
	}
	if err := r.Frontend.Flush(); err != nil {
		r.t.Fatal(err)
	}
}

// receive returns a summary of the messages up to ReadyForQuery or the end of
// the connection.
func (r *rawClient) receive() string {
	r.t.Helper()
	var words []string
	for {
		r.Conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		m, err := r.Frontend.Receive()
		if err != nil {
			return strings.Join(append(words, "end"), " ")
		}
		word := summarize(m)
		words = append(words, word)
		if strings.HasPrefix(word, "Z:") {
			return strings.Join(words, " ")
		}
	}
}

func summarize(m pgproto3.BackendMessage) string {
	switch m := m.(type) {
	case *pgproto3.ReadyForQuery:
		return "Z:" + string(m.TxStatus)
	case *pgproto3.ErrorResponse:
		return "E:" + m.Code
	case *pgproto3.NoticeResponse:
		return "N:" + m.Code
	case *pgproto3.CommandComplete:
		return "C:" + strings.ReplaceAll(string(m.CommandTag), " ", "_")
	case *pgproto3.ParameterStatus:
		return "S:" + m.Name + "=" + m.Value
	case *pgproto3.DataRow:
		return "D:" + strings.ReplaceAll(string(m.Values[0]), " ", "_")
	}
	name := fmt.Sprintf("%T", m)
	return strings.TrimPrefix(name, "*pgproto3.")
}

// check sends the messages and compares the summary of the response with want.
func (r *rawClient) check(want string, messages ...pgproto3.FrontendMessage) {
	r.t.Helper()
	r.send(messages...)
	if got := r.receive(); got != want {
		r.t.Errorf("response to %T:\n got %s\nwant %s", messages[0], got, want)
	}
}

func (r *rawClient) query(sql, want string) {
	r.t.Helper()
	r.send(&pgproto3.Query{String: sql})
	if got := r.receive(); got != want {
		r.t.Errorf("response to %q:\n got %s\nwant %s", sql, got, want)
	}
}

func parse(name, sql string) *pgproto3.Parse { return &pgproto3.Parse{Name: name, Query: sql} }
func bind(name string) *pgproto3.Bind        { return &pgproto3.Bind{PreparedStatement: name} }
func execute() *pgproto3.Execute             { return &pgproto3.Execute{} }

var sync_ = &pgproto3.Sync{}

// Guards against named statements that are sent upstream, that are lost between
// batches or stored after they were rejected, and against responses out of
// order.
func TestPreparedStatements(t *testing.T) {
	f := start(t)
	r := dial(t, f, "")
	r.check("ParseComplete Z:I", parse("a", "select 1"), sync_)
	r.check("ParseComplete ParseComplete Z:I", parse("b", "select 2"), parse("", "select 3"), sync_)
	r.check("BindComplete D:select_1 C:SELECT BindComplete D:select_3 C:SELECT BindComplete D:select_2 C:SELECT Z:I",
		bind("a"), execute(), bind(""), execute(), bind("b"), execute(), sync_)
	r.check("ParameterDescription RowDescription Z:I", &pgproto3.Describe{ObjectType: 'S', Name: "b"}, sync_)
	r.check("E:42P05 Z:I", parse("a", "select 9"), bind("a"), execute(), sync_)
	r.check("E:42601 Z:I", parse("c", "syntax"), sync_)
	r.check("E:26000 Z:I", bind("c"), execute(), sync_)
	r.check("E:42601 Z:I", parse("c", "select 1; select 2"), sync_)
	r.check("CloseComplete Z:I", &pgproto3.Close{ObjectType: 'S', Name: "a"}, sync_)
	r.check("E:26000 Z:I", bind("a"), sync_)
	r.query("select 5", "RowDescription D:select_5 C:SELECT Z:I")
	r.check("E:26000 Z:I", bind(""), execute(), sync_)
	r.query("deallocate b", "C:DEALLOCATE Z:I")
	r.check("E:26000 Z:I", bind("b"), sync_)
	r.check("E:34000 Z:I", execute(), sync_)
}

// Guards against settings that survive a rollback, or that stay on an upstream
// connection after the transaction.
func TestSettings(t *testing.T) {
	is := is.New(t)
	f := start(t)
	r := dial(t, f, "")
	settings := func() string {
		r.query("select 0", "RowDescription D:select_0 C:SELECT Z:I")
		return fmt.Sprint(f.executor.last().Settings)
	}
	r.query("set search_path = Rugs, public", "C:SET Z:I")
	is.Equal(settings(), "[{search_path rugs, public}]")
	r.query("set timezone = 'bad'", "E:22023 Z:I")
	r.query("set time zone 'UTC'", "C:SET S:TimeZone=UTC Z:I")
	is.Equal(settings(), "[{search_path rugs, public} {timezone UTC}]")
	r.query("begin; set work_mem = '1MB'; savepoint s; set work_mem = '2MB'; rollback to s; commit", "C:BEGIN C:SET C:SAVEPOINT C:SET C:ROLLBACK C:COMMIT S:gypsumyard.position="+testDatabase+":1/1 Z:I")
	is.Equal(settings(), "[{search_path rugs, public} {timezone UTC} {work_mem 1MB}]")
	r.query("begin; set work_mem = '9MB'", "C:BEGIN C:SET Z:T")
	r.query("rollback", "C:ROLLBACK Z:I")
	r.query("reset search_path", "C:RESET Z:I")
	is.Equal(settings(), "[{timezone UTC} {work_mem 1MB}]")
	r.check("ParseComplete BindComplete C:SET Z:I", parse("", "set work_mem to 7"), bind(""), execute(), sync_)
	is.Equal(settings(), "[{timezone UTC} {work_mem 7}]")
	for _, q := range f.executor.requests {
		if s := string(q.Messages); strings.Contains(strings.ToLower(s), "set ") && !strings.Contains(s, "SET LOCAL") {
			t.Errorf("request sets a parameter that outlasts its transaction: %q", s)
		}
	}
	r.query("discard all", "S:TimeZone=UTC C:DISCARD_ALL Z:I")
	is.Equal(settings(), "[]")
	r.query("set statement_timeout = '2s'", "C:SET Z:I")
	settings()
	is.True(time.Until(f.executor.last().Deadline) > time.Second)
}

// Guards against requests with wrong values of the proxy parameters.
func TestProxyParameters(t *testing.T) {
	is := is.New(t)
	f := start(t)
	r := dial(t, f, "&gypsumyard.position="+testDatabase+":3/14&gypsumyard.max-staleness=5s&options=-c%20gypsumyard.priority%3Don%20-cwork_mem%3D3MB")
	r.query("select 1", "RowDescription D:select_1 C:SELECT Z:I")
	q := f.executor.last()
	is.Equal(q.Position, gypsumyard.Position{Term: 3, Offset: 14})
	is.True(q.PositionKnown && q.Priority && q.Repeatable)
	is.Equal(q.MaxStaleness, 5*time.Second)
	is.Equal(q.Settings, []gypsumyard.Setting{{Name: "work_mem", Value: "3MB"}})
	r.query("set gypsumyard.max_staleness = '1m'; set gypsumyard.repeatable = off", "C:SET C:SET Z:I")
	r.query("show gypsumyard.max_staleness", "RowDescription D:1m0s C:SHOW Z:I")
	r.query("set gypsumyard.max_staleness = 'soon'", "E:22023 Z:I")
	r.query("insert into t values (1)", "C:INSERT_0_1 Z:I")
	is.True(!f.executor.last().Repeatable)
	r.query("/* gypsumyard: long, max-staleness=3s */ select 2", "RowDescription D:/*_gypsumyard:_long,_max-staleness=3s_*/_select_2 C:SELECT Z:I")
	is.True(f.executor.last().Long && f.executor.last().MaxStaleness == 3*time.Second)
	r.query("/* gypsumyard: not-repeatible */ select 2", "E:22023 Z:I")
	r.check("ParseComplete BindComplete RowDescription D:"+testDatabase+":3/14 C:SHOW Z:I",
		parse("", "show gypsumyard.position"), bind(""), &pgproto3.Describe{ObjectType: 'P'}, execute(), sync_)
	_, err := pgconn.Connect(t.Context(), f.url("&gypsumyard.position=other:3/14"))
	is.Equal(stateOf(err), "22023")
	r2 := dial(t, f, "")
	r2.query("select 1", "RowDescription D:select_1 C:SELECT Z:I")
	is.True(!f.executor.last().PositionKnown)
}

func stateOf(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return fmt.Sprint(err)
}

// Guards against transactions that are committed in part: if the proxy rejects
// a statement, the transaction must fail as after an error of the upstream.
func TestRefusals(t *testing.T) {
	is := is.New(t)
	f := start(t)
	r := dial(t, f, "")
	r.query("listen orders", "E:0A000 Z:I")
	r.query("insert into t values (1); begin", "E:0A000 Z:I")
	r.query("insert into t values (1); set work_mem = 1", "E:0A000 Z:I")
	r.check("E:0A000 Z:I", parse("", "insert into t values (1)"), bind(""), execute(), parse("", "listen a"), bind(""), execute(), sync_)
	is.Equal(f.executor.count(), 0)
	r.query("begin", "C:BEGIN Z:T")
	r.query("copy t from stdin", "E:0A000 Z:E")
	r.query("show gypsumyard.priority", "E:25P02 Z:E")
	r.query("select 1", "E:25P02 Z:E")
	r.query("commit", "C:ROLLBACK S:gypsumyard.position="+testDatabase+":1/1 Z:I")
	r.query("rollback", "N:25P01 C:ROLLBACK Z:I")
	r.query("", "EmptyQueryResponse Z:I")
	r.check("E:0A000 Z:I", &pgproto3.FunctionCall{})
}

// readWithKnownPosition runs a read and reports whether its request had a known
// position.
func (r *rawClient) readWithKnownPosition(f *fixture) bool {
	f.executor.setHook(nil)
	r.query("select 1", "RowDescription D:select_1 C:SELECT Z:I")
	return f.executor.last().PositionKnown
}

// Guards against a lost transaction that the client still believes to be open,
// and against a commit of unknown outcome that is reported as not run.
func TestLostTransaction(t *testing.T) {
	is := is.New(t)
	f := start(t)
	r := dial(t, f, "")
	ownerLost := gypsumyard.Errorf(gypsumyard.ClassUnknown, "owner is gone")
	r.query("insert into t values (0)", "C:INSERT_0_1 S:gypsumyard.position="+testDatabase+":1/1 Z:I")
	is.True(r.readWithKnownPosition(f))
	r.query("begin", "C:BEGIN Z:T")
	is.Equal(f.executor.last().Transaction, "")
	f.executor.setHook(func(context.Context, *gypsumyard.Request) error { return ownerLost })
	r.query("insert into t values (1)", "E:GY002 S:gypsumyard.position= Z:E")
	is.Equal(f.executor.last().Owner, "host-2")
	is.Equal(f.executor.abandons(), 1)
	n := f.executor.count()
	r.query("select 1", "E:25P02 Z:E")
	r.check("ParseComplete BindComplete C:ROLLBACK Z:I", parse("", "commit"), bind(""), execute(), sync_)
	is.Equal(f.executor.count(), n)
	f.executor.setHook(nil)
	r.query("begin", "C:BEGIN Z:T")
	f.executor.setHook(func(context.Context, *gypsumyard.Request) error { return ownerLost })
	// The client has already been told that the position is not known.
	r.query("commit", "E:GY002 Z:I")
	is.True(!r.readWithKnownPosition(f))
	busy := &gypsumyard.Error{Class: gypsumyard.ClassLoad, Message: "queue is full", RetryAfter: 250 * time.Millisecond}
	f.executor.setHook(func(context.Context, *gypsumyard.Request) error { return busy })
	r.send(&pgproto3.Query{String: "select 1"})
	m, err := r.Frontend.Receive()
	is.NoErr(err)
	is.Equal(m.(*pgproto3.ErrorResponse).Hint, "retry-after=250ms")
	is.Equal(m.(*pgproto3.ErrorResponse).Code, "53300")
}

// Guards against a transaction that stays open after its client has
// disconnected.
func TestAbandon(t *testing.T) {
	f := start(t)
	r := dial(t, f, "")
	r.query("begin", "C:BEGIN Z:T")
	r.Conn.Close()
	eventually(t, func() bool { return f.executor.abandons() == 1 })
}

func eventually(t testing.TB, ok func() bool) {
	t.Helper()
	for range 500 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("condition did not become true within 5 s")
}

// Guards against statements of a read-only transaction that are routed to the
// primary, and against metrics that are not counted.
func TestReadOnlyTransaction(t *testing.T) {
	is := is.New(t)
	scope := tally.NewTestScope("", nil)
	f := start(t, WithMetrics(scope))
	r := dial(t, f, "")
	r.query("begin read only; select nextval('s')", "C:BEGIN RowDescription D:select_nextval('s') C:SELECT Z:T")
	is.Equal(f.executor.requests[0].Class, gypsumyard.StatementBeginRead)
	is.Equal(f.executor.last().Class, gypsumyard.StatementRead)
	r.query("savepoint a; rollback to a; commit; select nextval('s')", "C:SAVEPOINT C:ROLLBACK C:COMMIT RowDescription D:select_nextval('s') C:SELECT S:gypsumyard.position="+testDatabase+":1/2 Z:I")
	is.Equal(f.executor.last().Class, gypsumyard.StatementWrite)
	r.query("listen a", "E:0A000 Z:I")
	s := scope.Snapshot()
	is.Equal(s.Counters()["caller.requests+class=read"].Value(), int64(3))
	is.Equal(s.Counters()["caller.errors+class=not-supported"].Value(), int64(1))
	is.Equal(s.Gauges()["caller.sessions+"].Value(), 1.0)
}

// Guards against batches with transaction control that are split wrongly.
func TestPipelinedTransaction(t *testing.T) {
	f := start(t)
	r := dial(t, f, "")
	r.check("ParseComplete BindComplete C:BEGIN ParseComplete BindComplete C:INSERT_0_1 ParseComplete BindComplete C:COMMIT S:gypsumyard.position="+testDatabase+":1/2 Z:I",
		parse("", "begin"), bind(""), execute(), parse("", "insert into t"), bind(""), execute(), parse("", "commit"), bind(""), execute(), sync_)
	r.send(parse("p", "select 7"), &pgproto3.Describe{ObjectType: 'S', Name: "p"}, &pgproto3.Flush{})
	for _, want := range []string{"ParseComplete", "ParameterDescription", "RowDescription"} {
		m, err := r.Frontend.Receive()
		if err != nil || summarize(m) != want {
			t.Fatalf("after Flush: got %v, %v, want %s", m, err, want)
		}
	}
	r.check("BindComplete D:select_7 C:SELECT Z:I", bind("p"), execute(), sync_)
	r.check("E:0A000 Z:I", bind("p"), execute(), &pgproto3.Flush{}, bind("p"), sync_)
}
