package caller

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
)

// Guards against unauthorized clients that are let in, and against responses
// that reveal which customers and logins exist.
func TestAuthentication(t *testing.T) {
	is := is.New(t)
	f := start(t)
	connectState := func(user, password, database string) string {
		c, err := pgconn.Connect(t.Context(), fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", user, password, f.server.Addr(), database))
		if err == nil {
			c.Close(t.Context())
		}
		return stateOf(err)
	}
	is.Equal(connectState("valuer%40loom", "knots", testDatabase), "<nil>")
	is.Equal(connectState("valuer%40loom", "wrong", testDatabase), "28P01")
	is.Equal(connectState("valuer%40nobody", "knots", testDatabase), "28P01")
	is.Equal(connectState("nobody%40loom", "knots", testDatabase), "28P01")
	is.Equal(connectState("valuer", "knots", testDatabase), "28P01")
	is.Equal(connectState("valuer%40loom", "knots", "other"), "3D000")
	a, b := f.server.mockCredentials("x@y"), f.server.mockCredentials("x@y")
	is.Equal(a.Salt, b.Salt)
	is.True(a.Salt != f.server.mockCredentials("x@z").Salt)
	f.lists.plan.MaxSessions = 1
	r := dial(t, f, "")
	is.Equal(connectState("valuer%40loom", "knots", testDatabase), "53300")
	r.check("end", &pgproto3.Terminate{})
	f.lists.ready = make(chan struct{})
	is.Equal(connectState("valuer%40loom", "knots", testDatabase), "57P03")
}

// Guards against open sessions that keep access to a database after a change of
// the lists has revoked it.
func TestRevokedDatabase(t *testing.T) {
	f := start(t)
	r := dial(t, f, "")
	r.query("begin", "C:BEGIN Z:T")
	f.lists.mu.Lock()
	f.lists.customer.Databases = nil
	f.lists.mu.Unlock()
	r.query("insert into t", "C:INSERT_0_1 S:gypsumyard.position="+testDatabase+":1/1 Z:T")
	r.query("commit", "C:COMMIT S:gypsumyard.position="+testDatabase+":1/2 Z:I")
	r.query("select 1", "E:3D000 end")
}

// open returns a connection on which nothing has been sent yet.
func open(t testing.TB, f *fixture) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", f.server.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(10 * time.Second))
	return c
}

// packet concatenates strings and big-endian integers.
func packet(words ...any) []byte {
	var b bytes.Buffer
	for _, w := range words {
		if s, ok := w.(string); ok {
			b.WriteString(s)
		} else {
			binary.Write(&b, binary.BigEndian, w)
		}
	}
	return b.Bytes()
}

// Guards against malicious startup packets that make the server hang or crash,
// or to which it does not respond.
func TestHostileStartup(t *testing.T) {
	f := start(t, WithLimits(Limits{StartupTimeout: 300 * time.Millisecond}))
	v3 := uint32(196608)
	for name, c := range map[string]struct {
		send []byte
		want string
	}{
		"short":          {packet(uint32(4)), "08P01"},
		"long":           {packet(uint32(1 << 30)), "08P01"},
		"negative":       {packet(uint32(0xffffffff)), "08P01"},
		"half":           {packet(uint32(100), v3, "user"), "08P01"},
		"silent":         {nil, "08P01"},
		"no end":         {packet(uint32(8), v3), "08P01"},
		"no zero":        {packet(uint32(12), v3, "user"), "08P01"},
		"no user":        {packet(uint32(9), v3, "\x00"), "28000"},
		"version 2":      {packet(uint32(9), uint32(131072), "\x00"), "0A000"},
		"ssl loop":       {bytes.Repeat(packet(uint32(8), uint32(codeSSL)), 4), "08P01"},
		"not SASL":       {packet(uint32(16), v3, "user\x00a\x00\x00", "Q", uint32(5), "\x00"), "08P01"},
		"auth too long":  {packet(uint32(16), v3, "user\x00a\x00\x00", "p", uint32(1<<20)), "08P01"},
		"cancel nothing": {packet(uint32(16), uint32(codeCancel), uint32(1), uint32(2)), ""},
		"cancel short":   {packet(uint32(8), uint32(codeCancel)), ""},
	} {
		t.Run(name, func(t *testing.T) {
			conn := open(t, f)
			conn.Write(c.send)
			response, err := io.ReadAll(conn)
			if err != nil {
				t.Fatal(err)
			}
			if c.want == "" && len(response) > 0 || !strings.Contains(string(response), c.want) {
				t.Errorf("got %q, want %s", response, c.want)
			}
		})
	}
}

// Guards against a client of a newer protocol version that waits in vain for
// NegotiateProtocolVersion.
func TestVersionNegotiation(t *testing.T) {
	is := is.New(t)
	f := start(t)
	c, err := pgconn.Connect(t.Context(), f.url("&max_protocol_version=3.2&min_protocol_version=3.0"))
	is.NoErr(err)
	is.NoErr(c.Close(t.Context()))
	conn := open(t, f)
	_, err = conn.Write(packet(uint32(25), uint32(196610), "user\x00a\x00_pq_.x\x00y\x00\x00"))
	is.NoErr(err)
	response := make([]byte, 13)
	_, err = io.ReadFull(conn, response)
	is.NoErr(err)
	is.Equal(response, packet("v", uint32(19), uint32(196608), uint32(1)))
}

// Guards against malicious messages in a session that make the server hang or
// crash, or that affect other sessions.
func TestHostileMessages(t *testing.T) {
	f := start(t, WithLimits(Limits{Statements: 3, MessageBytes: 1 << 20, Settings: 2, BatchBytes: 8 * kib}))
	other := dial(t, f, "")
	for name, c := range map[string]struct {
		send []byte
		want string
	}{
		"unknown type":   {packet("!", uint32(4)), "E:08P01 end"},
		"short length":   {packet("Q", uint32(3)), "E:08P01 end"},
		"over the limit": {packet("Q", uint32(1<<21)), "E:08P01 end"},
		"query":          {packet("Q", uint32(5), "x"), "E:08P01 end"},
		"inner zero":     {packet("Q", uint32(8), "a\x00b\x00"), "E:08P01 end"},
		"parse":          {packet("P", uint32(6), "a\x00"), "E:08P01 end"},
		"bind":           {packet("B", uint32(8), "\x00\x00", uint16(0xffff)), "E:08P01 end"},
		"bind values":    {packet("B", uint32(14), "\x00\x00", uint16(0), uint16(1), uint32(0x7fffffff)), "E:08P01 end"},
		"describe":       {packet("D", uint32(6), "X\x00"), "E:08P01 end"},
		"password":       {packet("p", uint32(4)), "E:08P01 end"},
		"query in batch": {packet("P", uint32(8), "\x00\x00", uint16(0), "Q", uint32(5), "\x00"), "E:08P01 end"},
		"long batch":     {bytes.Repeat(packet("E", uint32(9), "\x00", uint32(0)), 100), "E:54000 end"},
		"copy data":      {packet("d", uint32(4), "c", uint32(4), "S", uint32(4)), "Z:I"},
		"statements":     {packet("P", uint32(9), "a\x00\x00", uint16(0), "P", uint32(9), "b\x00\x00", uint16(0), "P", uint32(9), "c\x00\x00", uint16(0), "P", uint32(9), "d\x00\x00", uint16(0), "S", uint32(4)), "ParseComplete ParseComplete ParseComplete E:54000 Z:I"},
	} {
		t.Run(name, func(t *testing.T) {
			r := dial(t, f, "")
			if _, err := r.Conn.Write(c.send); err != nil {
				t.Fatal(err)
			}
			if got := r.receive(); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
	r := dial(t, f, "")
	r.query("set a.a = 1; set a.b = 2; set a.c = 3", "C:SET C:SET E:54000 Z:I")
	other.query("select 1", "RowDescription D:select_1 C:SELECT Z:I")
}

// Guards against a long batch that fails because it arrives faster than it is
// read, and against a client that fills memory while its request runs.
func TestInputBound(t *testing.T) {
	is := is.New(t)
	f := start(t, WithLimits(Limits{ConnectionBuffer: 64 * kib}))
	r := dial(t, f, "")
	r.send(parse("p", "insert into t values ($1)"), sync_)
	is.Equal(r.receive(), "ParseComplete Z:I")
	for range 500 {
		r.Frontend.Send(&pgproto3.Bind{PreparedStatement: "p", Parameters: [][]byte{make([]byte, 10*kib)}})
		r.Frontend.Send(execute())
	}
	r.send(sync_)
	is.Equal(strings.Count(r.receive(), "C:INSERT_0_1"), 500)
	release := make(chan struct{})
	f.executor.setHook(func(ctx context.Context, _ *gypsumyard.Request) error { <-release; return nil })
	r.send(&pgproto3.Query{String: "select 1"})
	r.Conn.Write(make([]byte, 200*kib))
	eventually(t, func() bool { return f.server.budget.used.Load() <= 80*kib })
	time.Sleep(200 * time.Millisecond)
	close(release)
	is.Equal(r.receive(), "RowDescription D:select_1 C:SELECT Z:I")
	// The buffered input is not a valid message: either the overflow or the
	// invalid length is reported.
	got := r.receive()
	is.True(strings.HasSuffix(got, "end"))
}

// Guards against a client that blocks a goroutine and holds memory by not
// reading its response.
func TestSlowCaller(t *testing.T) {
	is := is.New(t)
	f := start(t, WithLimits(Limits{WriteTimeout: 300 * time.Millisecond}))
	r := dial(t, f, "")
	r.send(&pgproto3.Query{String: "select big"})
	is.Equal(len(strings.Split(r.receive(), " ")), 3<<20/1000+3)
	idle := dial(t, f, "")
	for range 10 {
		idle.send(&pgproto3.Query{String: "select big"})
	}
	eventually(t, func() bool {
		f.server.mu.Lock()
		defer f.server.mu.Unlock()
		return f.server.connections == 1
	})
}

// Guards against a cancel request that cancels the statement of another
// session, or not that of its own.
func TestCancel(t *testing.T) {
	is := is.New(t)
	f := start(t)
	c, err := pgconn.Connect(t.Context(), f.url(""))
	is.NoErr(err)
	defer c.Close(t.Context())
	is.Equal(c.PID()&0xffff0000, hostTag("host-1"))
	canceled := make(chan struct{})
	f.executor.setHook(func(context.Context, *gypsumyard.Request) error {
		<-canceled
		return nil
	})
	go func() {
		defer close(canceled)
		for f.executor.count() == 0 {
			time.Sleep(time.Millisecond)
		}
		c.CancelRequest(context.Background())
		for range 500 {
			f.executor.mu.Lock()
			n := len(f.executor.canceled)
			f.executor.mu.Unlock()
			if n > 0 {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	}()
	_, err = c.Exec(t.Context(), "select pg_sleep(100)").ReadAll()
	is.NoErr(err)
	f.executor.mu.Lock()
	defer f.executor.mu.Unlock()
	is.Equal(len(f.executor.canceled), 1)
	is.Equal(f.executor.canceled[0].Session, f.executor.requests[0].Session)
}

// Guards against a drain that interrupts a request or a transaction, or that
// never ends because of idle sessions.
func TestDrain(t *testing.T) {
	is := is.New(t)
	f := start(t, WithLimits(Limits{DrainIdleTimeout: 2 * time.Second}))
	idle, busy, open, stuck := dial(t, f, ""), dial(t, f, ""), dial(t, f, ""), dial(t, f, "")
	open.query("begin", "C:BEGIN Z:T")
	stuck.query("begin", "C:BEGIN Z:T")
	release := make(chan struct{})
	f.executor.setHook(func(_ context.Context, r *gypsumyard.Request) error {
		if strings.Contains(string(r.Messages), "slow") {
			<-release
		}
		return nil
	})
	busy.send(&pgproto3.Query{String: "select slow"})
	eventually(t, func() bool { return f.executor.count() == 3 })
	drained := make(chan error, 1)
	go func() { drained <- f.server.Drain(context.Background()) }()
	is.Equal(idle.receive(), "E:57P01 end")
	open.query("insert into t", "C:INSERT_0_1 S:gypsumyard.position="+testDatabase+":1/1 Z:T")
	open.query("commit", "C:COMMIT S:gypsumyard.position="+testDatabase+":1/2 Z:I")
	is.Equal(open.receive(), "E:57P01 end")
	is.Equal(stuck.receive(), "E:57P01 end")
	is.Equal(f.executor.abandons(), 1)
	_, err := net.Dial("tcp", f.server.Addr().String())
	is.True(err != nil)
	select {
	case <-drained:
		t.Fatal("drain ended while a request was in flight")
	default:
	}
	close(release)
	is.Equal(busy.receive(), "RowDescription D:select_slow C:SELECT Z:I")
	is.Equal(busy.receive(), "E:57P01 end")
	is.NoErr(<-drained)
}

// Guards against a stop that waits for a request to finish or for a client to
// disconnect.
func TestStop(t *testing.T) {
	is := is.New(t)
	f := start(t)
	r := dial(t, f, "")
	f.executor.setHook(func(ctx context.Context, _ *gypsumyard.Request) error {
		<-ctx.Done()
		return ctx.Err()
	})
	r.send(&pgproto3.Query{String: "insert into t"})
	eventually(t, func() bool { return f.executor.count() == 1 })
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	is.NoErr(f.server.Stop(ctx))
	r.Conn.Close()
}
