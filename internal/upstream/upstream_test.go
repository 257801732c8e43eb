package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/gypsumyard/gypsumyard/internal/emulate/group"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"
)

func startGroup(t *testing.T, options ...group.Option) *group.Group {
	t.Helper()
	g, err := group.New("appraisal", append([]group.Option{group.WithOpenDelay(0)}, options...)...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	return g
}

func startPool(t *testing.T, g *group.Group, limit int) *Pool {
	t.Helper()
	p := NewPool(clock.System(), AddressOf(g.Database("north"), g.Instances()[0].Upstream()), limit, tally.NoopScope)
	t.Cleanup(p.Close)
	return p
}

func batch(t *testing.T, messages ...pgproto3.FrontendMessage) Batch {
	t.Helper()
	var buf []byte
	for _, m := range messages {
		var err error
		buf, err = m.Encode(buf)
		if err != nil {
			t.Fatal(err)
		}
	}
	b, err := ParseBatch(buf)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func query(t *testing.T, sql string) *Exchange {
	t.Helper()
	return &Exchange{
		Batch:                batch(t, &pgproto3.Query{String: sql}),
		Reset:                true,
		StatusBefore:         true,
		StatusAfter:          true,
		FirstResponseTimeout: 200 * time.Millisecond,
		ReadTimeout:          time.Second,
	}
}

// Guards against a request with more than one Query or Sync: the proxy would
// take the response to one for the response to another.
func TestParseBatchRefusesSeveralUnits(t *testing.T) {
	is := is.New(t)
	q, err := (&pgproto3.Query{String: "select 1"}).Encode(nil)
	is.NoErr(err)
	for _, messages := range [][]byte{nil, append(q, q...), q[:3], append([]byte{'H', 0, 0, 0, 4}, 'X'), {'P', 0, 0, 0, 4}} {
		_, err := ParseBatch(messages)
		is.Equal(gypsumyard.ClassOf(err), gypsumyard.ClassProtocol)
	}
	_, err = ParseBatch([]byte{'F', 0, 0, 0, 4})
	is.Equal(gypsumyard.ClassOf(err), gypsumyard.ClassNotSupported)
}

// Guards against a history that parses to other terms or offsets than were
// encoded.
func TestHistoryRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var want gypsumyard.History
		text := ""
		for i := range rapid.IntRange(0, 4).Draw(t, "terms") {
			s := gypsumyard.TermStart{Term: gypsumyard.Term(i + 1), Start: gypsumyard.Offset(rapid.Uint32().Draw(t, "start"))}
			want = append(want, s)
			if i > 0 {
				text += ","
			}
			text += fmt.Sprintf("%d:%d", s.Term, s.Start)
		}
		got, err := parseHistory(text)
		if err != nil || fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("parseHistory(%q) = %v, %v, want %v", text, got, err, want)
		}
	})
}

// Guards against SQL injection through the name or value of a setting.
func TestSetStatementsQuote(t *testing.T) {
	is := is.New(t)
	got := setStatements([]gypsumyard.Setting{
		{Name: "work_mem", Value: "4MB'; drop table rugs; --"},
		{Name: `a";b`, Value: "1"},
		{Name: "search_path", Value: `"$user", public`},
	})
	is.Equal(got, []string{
		`SET "a"";b" = '1'`,
		`SET search_path = '$user', 'public'`,
		`SET work_mem = '4MB''; drop table rugs; --'`,
	})
}

// Guards against a named statement that is still there for the connection's next
// user.
func TestNamedStatementIsDiscarded(t *testing.T) {
	is := is.New(t)
	p := startPool(t, startGroup(t), 1)
	for range 3 {
		c, err := p.Get(t.Context(), false)
		is.NoErr(err)
		ex := query(t, "")
		ex.Batch = batch(t, &pgproto3.Parse{Name: "s1", Query: "select 1"}, &pgproto3.Bind{PreparedStatement: "s1"}, &pgproto3.Execute{}, &pgproto3.Sync{})
		out, err := c.Run(t.Context(), ex, io.Discard)
		is.NoErr(err)
		is.True(out.Failure == nil)
		is.True(out.Completed && out.StatusBefore != nil && out.StatusAfter != nil)
		p.Put(c)
	}
}

// Guards against a late cancel request that hits the connection's next user.
func TestCancelledConnectionIsNotReused(t *testing.T) {
	is := is.New(t)
	p := startPool(t, startGroup(t), 2)
	c, err := p.Get(t.Context(), false)
	is.NoErr(err)
	is.NoErr(c.Cancel(t.Context()))
	p.Put(c)
	d, err := p.Get(t.Context(), false)
	is.NoErr(err)
	is.True(c != d)
	p.Put(d)
}

// Guards against a refused connection that is reported as a broken one, against
// a pool that keeps dialing without backoff while the instance refuses, and
// against a backoff that lasts after the instance is known to respond again.
func TestRefusedConnection(t *testing.T) {
	is := is.New(t)
	g := startGroup(t, group.WithConnections(2))
	filler := startPool(t, g, 2)
	var held []*Conn
	for range 2 {
		c, err := filler.Get(t.Context(), false)
		is.NoErr(err)
		held = append(held, c)
	}
	p := startPool(t, g, 5)
	for range 200 {
		_, err := p.Get(t.Context(), false)
		is.True(errors.Is(err, ErrRefused))
	}
	is.True(g.Instances()[0].Counters()["open"] < 20)
	filler.Close()
	for range 2 {
		filler.Discard(held[0])
		held = held[1:]
	}
	for open := 2; open > 0; time.Sleep(time.Millisecond) {
		open, _ = g.Instances()[0].Connections()
	}
	p.ResetBackoff()
	c, err := p.Get(t.Context(), false)
	is.NoErr(err)
	p.Put(c)
}

// Guards against a login that fails with the right password, and against a wrong
// password that is not reported as a refusal.
func TestPassword(t *testing.T) {
	is := is.New(t)
	g := startGroup(t, group.WithCredentials("proxy", "rugs"))
	p := startPool(t, g, 1)
	c, err := p.Get(t.Context(), false)
	is.NoErr(err)
	p.Put(c)
	a := AddressOf(g.Database("north"), g.Instances()[0].Upstream())
	a.Password = "looms"
	_, err = Dial(t.Context(), clock.System(), a)
	is.True(errors.Is(err, ErrRefused))
}

// Guards against a request on a connection that has stopped responding since it
// was last checked, and against a pool that exceeds its limit.
func TestCheckedConnection(t *testing.T) {
	is := is.New(t)
	g := startGroup(t)
	p := startPool(t, g, 2)
	c, err := p.Get(t.Context(), true)
	is.NoErr(err)
	p.Put(c)
	g.Instances()[0].HangConnections()
	time.Sleep(validationTTL)
	d, err := p.Get(t.Context(), true)
	is.NoErr(err)
	out, err := d.Run(t.Context(), query(t, "select 1"), io.Discard)
	is.NoErr(err)
	is.True(out.Completed)
	_, err = p.Get(t.Context(), true)
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err = p.Get(ctx, true)
	is.True(errors.Is(err, context.DeadlineExceeded))
	open, used := p.Counts()
	is.Equal(open, 2)
	is.Equal(used, 2)
}

// Guards against a request that is reported as not sent although it was, when
// the connection stops responding, and against a connection that the instance
// has closed being handed out, which would make the outcome unknown.
func TestWhatWasSent(t *testing.T) {
	is := is.New(t)
	g := startGroup(t)
	p := startPool(t, g, 2)
	c, err := p.Get(t.Context(), false)
	is.NoErr(err)
	g.Instances()[0].HangConnections()
	out, err := c.Run(t.Context(), query(t, "select 1"), io.Discard)
	is.True(errors.Is(err, ErrResponseTimeout))
	is.True(out.Sent)
	p.Discard(c)
	c, err = p.Get(t.Context(), false)
	is.NoErr(err)
	p.Put(c)
	g.Instances()[0].Kill()
	time.Sleep(20 * time.Millisecond)
	_, err = p.Get(t.Context(), false)
	is.True(err != nil)
}

// Guards against a request without a timeout when its connection stops
// responding before the settings that are sent ahead of the request.
func TestSilentBeforeSettings(t *testing.T) {
	is := is.New(t)
	g := startGroup(t)
	p := startPool(t, g, 1)
	c, err := p.Get(t.Context(), false)
	is.NoErr(err)
	defer p.Discard(c)
	g.Instances()[0].HangConnections()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	ex := query(t, "select 1")
	ex.Settings = []gypsumyard.Setting{{Name: "application_name", Value: "loom"}}
	out, err := c.Run(ctx, ex, io.Discard)
	is.True(errors.Is(err, ErrResponseTimeout))
	is.True(!out.Sent)
	is.NoErr(ctx.Err())
}

// Guards against a response that is written to the sink although Check rejected
// the status before it, or although HoldCompletion is set.
func TestRejectedAndHeldAnswers(t *testing.T) {
	is := is.New(t)
	p := startPool(t, startGroup(t), 2)
	c, err := p.Get(t.Context(), false)
	is.NoErr(err)
	big := "select i from generate_series(1, 20000) as s(i)"
	ex := query(t, big)
	ex.Check = func(gypsumyard.InstanceStatus) bool { return false }
	out, err := c.Run(t.Context(), ex, io.Discard)
	is.NoErr(err)
	is.True(out.Rejected && !out.Delivered && len(out.Response) == 0)
	out, err = c.Run(t.Context(), query(t, big), io.Discard)
	is.NoErr(err)
	is.True(out.Delivered)
	ex = query(t, "select 1; "+big)
	ex.HoldCompletion = true
	out, err = c.Run(t.Context(), ex, io.Discard)
	is.NoErr(err)
	is.True(!out.Delivered && len(out.Response) > 2*bufferLimit)
	p.Put(c)
}

// slowConn delays its first read as a pause of the process would, so that the
// deadline passes while the response arrives.
type slowConn struct {
	net.Conn
	stall time.Duration
}

func (c *slowConn) Read(b []byte) (int, error) {
	time.Sleep(c.stall)
	c.stall = 0
	return c.Conn.Read(b)
}

// Guards against a false timeout when the process was paused while the response
// arrived.
func TestAnswerDuringPause(t *testing.T) {
	is := is.New(t)
	p := startPool(t, startGroup(t), 1)
	c, err := p.Get(t.Context(), false)
	is.NoErr(err)
	defer p.Put(c)
	slow := &slowConn{Conn: c.net, stall: 300 * time.Millisecond}
	c.net, c.front = slow, pgproto3.NewFrontend(slow, slow)
	out, err := c.Run(t.Context(), query(t, "select 1"), io.Discard)
	is.NoErr(err)
	is.True(out.Completed)
}

// Guards against connections with former credentials that stay in the pool.
func TestPoolChangesCredentials(t *testing.T) {
	is := is.New(t)
	g := startGroup(t, group.WithCredentials("gypsumyard", "first"))
	p := startPool(t, g, 4)
	idle, err := p.Get(t.Context(), false)
	is.NoErr(err)
	used, err := p.Get(t.Context(), false)
	is.NoErr(err)
	p.Put(idle)
	g.SetCredentials("proxy", "second")
	p.SetAddress(AddressOf(g.Database("north"), g.Instances()[0].Upstream()))
	is.True(!idle.socketIdle())
	c, err := p.Get(t.Context(), false)
	is.NoErr(err)
	is.Equal(c.address.User, "proxy")
	is.True(used.socketIdle())
	p.Put(used)
	is.True(!used.socketIdle())
	p.Put(c)
}
