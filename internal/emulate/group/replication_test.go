package group_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/emulate/group"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
)

// order calls a control function and returns the term, offset and history.
func order(t *testing.T, in *group.Instance, sql string, args ...any) (string, error) {
	t.Helper()
	c := connect(t, in)
	var term, offset int64
	var history string
	err := c.QueryRow(bounded(t), "select term, log_offset, history from "+sql, args...).Scan(&term, &offset, &history)
	return fmt.Sprintf("%d/%d %s", term, offset, history), err
}

func mustOrder(t *testing.T, in *group.Instance, sql string, args ...any) string {
	t.Helper()
	s, err := order(t, in, sql, args...)
	// An instance that truncates its log to follow another one terminates its
	// sessions. If it does so before it responds, that includes the session of
	// the order. Orders are idempotent.
	var e *pgconn.PgError
	for errors.As(err, &e) && e.Code == "57P01" {
		s, err = order(t, in, sql, args...)
	}
	if err != nil {
		t.Fatalf("%s at %s: %v", sql, in.Name(), err)
	}
	return s
}

func applied(in *group.Instance) gypsumyard.Position { return in.Status().Applied }

// Guards against replicas that miss records, apply them before the lag has
// passed or accept writes.
func TestReplicationLagsAndIsReadOnly(t *testing.T) {
	is := is.New(t)
	g := start(t, group.WithLag(100*time.Millisecond, 10*time.Millisecond))
	p, r := g.Instance("1"), g.Instance("2")
	c := connect(t, p)
	exec(t, c, createRugs)
	exec(t, c, "insert into rugs (id) values (1)")
	committed := time.Now()
	is.Equal(applied(r).Offset, gypsumyard.Offset(1))
	eventually(t, "replication", func() bool { return applied(r) == applied(p) })
	is.True(time.Since(committed) > 90*time.Millisecond)
	is.Equal(len(r.Rows("rugs")), 1)
	_, err := connect(t, r).Exec(bounded(t), "delete from rugs")
	is.Equal(code(err), "25006")
	is.True(r.Status().StreamAge < time.Second)
}

// Guards against a log that stays diverged after a promotion, and against a
// connection that survives the truncation of the log and would see committed
// records disappear.
func TestPromotionForksAndRewinds(t *testing.T) {
	is := is.New(t)
	g := start(t)
	old, next, third := g.Instance("1"), g.Instance("2"), g.Instance("3")
	c := connect(t, old)
	exec(t, c, createRugs)
	exec(t, c, "insert into rugs (id) values (1)")
	eventually(t, "replication", func() bool { return applied(next) == applied(old) && applied(third) == applied(old) })
	old.Isolate(true)
	exec(t, c, "insert into rugs (id) values (2)")
	is.Equal(applied(old).String(), "1/4")

	is.Equal(mustOrder(t, next, "group_fence(3, 'a')"), "1/3 1:1")
	is.Equal(mustOrder(t, third, "group_fence($1, $2)", 3, "a"), "1/3 1:1")
	_, err := order(t, next, "group_fence(3, 'b')")
	is.Equal(code(err), "55000")
	_, err = order(t, next, "group_fence(2, 'a')")
	is.Equal(code(err), "55000")
	_, err = order(t, next, "group_promote(3, 'b')")
	is.Equal(code(err), "55000")
	is.Equal(mustOrder(t, next, "group_promote(3, 'a')"), "3/4 1:1,3:4")
	is.Equal(mustOrder(t, next, "group_promote(3, 'a')"), "3/4 1:1,3:4")
	mustOrder(t, third, "group_follow(3, 'appraisal-2')")
	exec(t, connect(t, next), "insert into rugs (id) values (3)")
	eventually(t, "replication to the third", func() bool { return applied(third).String() == "3/5" })

	old.Isolate(false)
	mustOrder(t, old, "group_follow(3, 'appraisal-2')")
	eventually(t, "rewind", func() bool { return applied(old).String() == "3/5" })
	_, err = c.Exec(bounded(t), "select 1")
	is.True(code(err) == "57P01" || c.IsClosed())
	is.Equal(fmt.Sprint(old.Rows("rugs")), fmt.Sprint(next.Rows("rugs")))
	is.Equal(g.Primary(), next)
}

// Guards against a commit that succeeds after a fence took effect, and against
// commits that are reported but missing from the log.
func TestFenceAgainstConcurrentCommits(t *testing.T) {
	is := is.New(t)
	g := start(t, group.WithInstances(1), group.WithSlots(8))
	p := g.Instance("1")
	exec(t, connect(t, p), createRugs)
	const writers = 8
	var work sync.WaitGroup
	var succeeded [writers]int
	for w := range writers {
		c := connect(t, p)
		work.Go(func() {
			for i := 0; ; i++ {
				_, err := c.Exec(context.Background(), "insert into rugs (id) values ($1)", i*writers+w)
				if err != nil {
					if code(err) != "25006" {
						t.Error(err)
					}
					return
				}
				succeeded[w]++
			}
		})
	}
	time.Sleep(50 * time.Millisecond)
	at := mustOrder(t, p, "group_fence(2, 'a')")
	work.Wait()
	total := 0
	for _, n := range succeeded {
		total += n
	}
	is.True(total > 0)
	is.Equal(fmt.Sprintf("%s 1:1", applied(p)), at)
	is.Equal(len(p.Rows("rugs")), total)
}

// Guards against a transaction that begins before a fence and commits after it,
// even if the same instance is promoted in between.
func TestOpenTransactionDoesNotOutliveItsTerm(t *testing.T) {
	is := is.New(t)
	p := start(t).Instance("1")
	c := connect(t, p)
	exec(t, c, createRugs)
	exec(t, c, "begin; insert into rugs (id) values (1)")
	mustOrder(t, p, "group_fence(2, 'a')")
	mustOrder(t, p, "group_promote(2, 'a')")
	_, err := c.Exec(bounded(t), "commit")
	is.Equal(code(err), "25006")
	is.Equal(len(p.Rows("rugs")), 0)
}

// Guards against more connections than the limit, and against closed connections
// that still count against it.
func TestConnectionCap(t *testing.T) {
	is := is.New(t)
	g := start(t, group.WithConnections(2))
	a := connect(t, g.Primary())
	connect(t, g.Primary())
	_, err := dial(bounded(t), g.Primary())
	is.Equal(code(err), "53300")
	is.NoErr(a.Close(bounded(t)))
	eventually(t, "the connection to be free", func() bool { open, _ := g.Primary().Connections(); return open == 1 })
	connect(t, g.Primary())
	_, peak := g.Primary().Connections()
	is.Equal(peak, 2)
}

// Guards against statements that run without a slot, and against control
// functions that wait for one.
func TestSlotsQueueStatementsNotControl(t *testing.T) {
	is := is.New(t)
	p := start(t, group.WithSlots(1)).Primary()
	a, b, control := connect(t, p), connect(t, p), connect(t, p)
	begin := time.Now()
	first := make(chan error, 1)
	go func() {
		_, err := a.Exec(context.Background(), "select 1 /* cost=150ms */")
		first <- err
	}()
	eventually(t, "the first statement", func() bool { return p.Counters()["select"] == 1 || time.Since(begin) > 20*time.Millisecond })
	var role string
	is.NoErr(control.QueryRow(bounded(t), "select role from group_status()").Scan(&role))
	is.Equal(role, "primary")
	is.True(time.Since(begin) < 140*time.Millisecond)
	exec(t, b, "select pg_sleep(0.05)")
	is.True(time.Since(begin) >= 200*time.Millisecond)
	is.NoErr(<-first)
}

// Guards against cancel requests that are ignored or that reach another session.
func TestCancelRequest(t *testing.T) {
	is := is.New(t)
	c := connect(t, start(t).Primary())
	time.AfterFunc(50*time.Millisecond, func() { _ = c.PgConn().CancelRequest(context.Background()) })
	_, err := c.Exec(bounded(t), "select pg_sleep(5)")
	is.Equal(code(err), "57014")
	exec(t, c, "select 1")
}

// Guards against session state that is not visible to SHOW, so that a proxy that
// leaks it to the next user of a connection goes unnoticed, and against state
// that survives DISCARD ALL.
func TestSessionStateIsObservable(t *testing.T) {
	is := is.New(t)
	c := connect(t, start(t).Primary())
	show := func(name string) (v string) {
		is.NoErr(c.QueryRow(bounded(t), "show "+name, pgx.QueryExecModeExec).Scan(&v))
		return v
	}
	exec(t, c, "set application_name = 'bench'; set club.sheet = 'a'")
	is.Equal(show("application_name")+show("club.sheet"), "bencha")
	exec(t, c, "begin; set club.sheet = 'b'; rollback")
	is.Equal(show("club.sheet"), "a")
	_, err := c.Prepare(bounded(t), "one", "select 1")
	is.NoErr(err)
	exec(t, c, "discard all", pgx.QueryExecModeSimpleProtocol)
	is.Equal(show("application_name"), "")
	_, err = c.Exec(bounded(t), "show club.sheet", pgx.QueryExecModeSimpleProtocol)
	is.Equal(code(err), "42704")
	_, err = c.PgConn().ExecPrepared(bounded(t), "one", nil, nil, nil).Close()
	is.Equal(code(err), "26000")
}

// Guards against faults that have no effect on clients or that do not end.
func TestFaults(t *testing.T) {
	is := is.New(t)
	g := start(t)
	p := g.Instance("1")
	c := connect(t, p)
	exec(t, c, createRugs)
	exec(t, c, "begin; insert into rugs (id) values (1)")
	soon := func() context.Context {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		t.Cleanup(cancel)
		return ctx
	}

	p.Kill()
	_, err := c.Exec(bounded(t), "commit")
	is.True(err != nil)
	_, err = dial(bounded(t), p)
	is.True(err != nil)
	is.NoErr(p.Restart())
	is.Equal(len(p.Rows("rugs")), 0)
	st := p.Status()
	is.True(st.Writable())

	for _, cut := range []struct{ on, off func() }{
		{p.Freeze, p.Thaw},
		{func() { p.Partition(true) }, func() { p.Partition(false) }},
	} {
		cut.on()
		_, err = dial(soon(), p)
		is.True(errors.Is(err, context.DeadlineExceeded))
		cut.off()
		exec(t, connect(t, p), "select 1")
	}

	c = connect(t, p)
	p.HangConnections()
	exec(t, connect(t, p), "select 1")
	_, err = c.Exec(soon(), "select 1")
	is.True(errors.Is(err, context.DeadlineExceeded))
}

// Guards against a journal that marks a rolled-back transaction as committed.
func TestJournalTellsWhatCommitted(t *testing.T) {
	is := is.New(t)
	g := start(t)
	c := connect(t, g.Primary())
	exec(t, c, createRugs)
	exec(t, c, "begin; insert into rugs (id) values (1); rollback")
	exec(t, c, "insert into rugs (id) values ($1)", 2)
	got := ""
	for _, e := range g.Journal(0) {
		if e.Statement != createRugs {
			got += fmt.Sprintln(e.Statement, e.Params, e.Committed, e.Position)
		}
	}
	is.Equal(got, "insert into rugs (id) values (1) [] false 0/0\ninsert into rugs (id) values ($1) [2] true 1/3\n")
}

// Guards against rows that are lost or repeated when a long result is sent in
// several writes.
func TestLongReads(t *testing.T) {
	is := is.New(t)
	c := connect(t, start(t).Primary())
	rows, err := c.Query(bounded(t), "select i, repeat('x', 100) from generate_series(1, 20000) as i")
	is.NoErr(err)
	n := 0
	for rows.Next() {
		n++
		v, err := rows.Values()
		is.NoErr(err)
		is.Equal(fmt.Sprint(v[0]), fmt.Sprint(n))
	}
	is.NoErr(rows.Err())
	is.Equal(n, 20000)
}

// Guards against rows that are lost or repeated when a portal is suspended, and
// against messages that are not ignored after an error.
func TestPortalsAndPipelinedErrors(t *testing.T) {
	is := is.New(t)
	hijacked, err := connect(t, start(t).Primary()).PgConn().Hijack()
	is.NoErr(err)
	f := hijacked.Frontend
	f.SendParse(&pgproto3.Parse{Query: "select i from generate_series(1, 3) as i"})
	f.SendBind(&pgproto3.Bind{})
	f.SendExecute(&pgproto3.Execute{MaxRows: 2})
	f.SendExecute(&pgproto3.Execute{MaxRows: 2})
	f.SendSync(&pgproto3.Sync{})
	f.SendParse(&pgproto3.Parse{Query: "selec"})
	f.SendBind(&pgproto3.Bind{})
	f.SendSync(&pgproto3.Sync{})
	is.NoErr(f.Flush())
	got := ""
	for range 12 {
		m, err := f.Receive()
		is.NoErr(err)
		switch m := m.(type) {
		case *pgproto3.DataRow:
			got += string(m.Values[0]) + " "
		case *pgproto3.CommandComplete:
			got += string(m.CommandTag) + " "
		case *pgproto3.ErrorResponse:
			got += m.Code + " "
		default:
			got += fmt.Sprintf("%T ", m)[len("*pgproto3."):]
		}
		if strings.Count(got, "ReadyForQuery") == 2 {
			break
		}
	}
	is.Equal(got, "ParseComplete BindComplete 1 2 PortalSuspended 3 SELECT 1 ReadyForQuery 42601 ReadyForQuery ")
	is.NoErr(hijacked.Conn.Close())
}

// Guards against a frozen instance that still commits, and against events that
// pass a partition: a client must see that its connection was terminated by a
// truncation of the log only after the partition.
func TestFaultsHideWhatHappens(t *testing.T) {
	is := is.New(t)
	g := start(t)
	p := g.Instance("1")
	c, writer := connect(t, p), connect(t, p)
	exec(t, c, createRugs)
	written := make(chan error, 1)
	go func() {
		for i := 0; ; i++ {
			if _, err := writer.Exec(context.Background(), "insert into rugs (id) values ($1)", i); err != nil {
				written <- err
				return
			}
		}
	}()
	eventually(t, "writes", func() bool { return applied(p).Offset > 20 })
	p.Freeze()
	frozen := applied(p)
	time.Sleep(30 * time.Millisecond)
	is.Equal(applied(p), frozen)
	p.Thaw()
	eventually(t, "more writes", func() bool { return applied(p).Offset > frozen.Offset+20 })

	p.Partition(true)
	p.Isolate(true)
	mustOrder(t, g.Instance("2"), "group_fence(2, 'a')")
	mustOrder(t, g.Instance("2"), "group_promote(2, 'a')")
	result := make(chan error, 1)
	go func() {
		_, err := c.Exec(context.Background(), "select 1")
		result <- err
	}()
	p.Isolate(false)
	is.NoErr(p.Follow(2, "appraisal-2"))
	eventually(t, "replication of the new term", func() bool { return applied(p).Term == 2 })
	select {
	case err := <-result:
		t.Fatalf("an answer passed the partition: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	p.Partition(false)
	<-result
	is.True(code(<-written) != "")
}
