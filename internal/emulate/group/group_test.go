package group_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/emulate/group"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"
)

func start(t *testing.T, options ...group.Option) *group.Group {
	t.Helper()
	options = append([]group.Option{group.WithOpenDelay(0)}, options...)
	g, err := group.New("appraisal", options...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	return g
}

func bounded(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func dial(ctx context.Context, in *group.Instance) (*pgx.Conn, error) {
	url := fmt.Sprintf("postgres://gypsumyard:secret@%s/appraisal?sslmode=disable", in.Upstream().Addr)
	return pgx.Connect(ctx, url)
}

func connect(t *testing.T, in *group.Instance) *pgx.Conn {
	t.Helper()
	c, err := dial(bounded(t), in)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close(context.Background()) })
	return c
}

func exec(t *testing.T, c *pgx.Conn, sql string, args ...any) {
	t.Helper()
	if _, err := c.Exec(bounded(t), sql, args...); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
}

// code returns the SQLSTATE of an error.
func code(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	if err != nil {
		return err.Error()
	}
	return ""
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out after 5 s waiting for %s", what)
}

const createRugs = "create table if not exists rugs (id int8 primary key, knots int4 not null default 0, note text, seen timestamptz, fine bool, price float8, sheet int2)"

// Guards against values that are not returned as they were written, in the text
// and binary formats and in the simple and extended protocols.
func TestValuesRoundTrip(t *testing.T) {
	for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeCacheStatement, pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol} {
		t.Run(mode.String(), func(t *testing.T) {
			is := is.New(t)
			c := connect(t, start(t).Primary())
			exec(t, c, createRugs)
			seen := time.Date(2026, 3, 4, 5, 6, 7, 891000, time.UTC)
			exec(t, c, "insert into rugs values ($1, $2, $3, $4, $5, $6, $7)", mode, int64(1)<<40, int32(-7), "Kazak's \"dye\"", seen, true, 2.5, int16(3))
			var id int64
			var knots int32
			var note string
			var at time.Time
			var fine bool
			var price float64
			var sheet int16
			row := c.QueryRow(bounded(t), "select * from rugs where id = $1 and knots < $2", mode, int64(1)<<40, 0)
			is.NoErr(row.Scan(&id, &knots, &note, &at, &fine, &price, &sheet))
			is.Equal(id, int64(1)<<40)
			is.Equal(knots, int32(-7))
			is.Equal(note, "Kazak's \"dye\"")
			is.True(at.Equal(seen))
			is.True(fine)
			is.Equal(price, 2.5)
			is.Equal(sheet, int16(3))
		})
	}
}

// Guards against wrong results of the SQL engine.
func TestStatements(t *testing.T) {
	c := connect(t, start(t).Primary())
	exec(t, c, createRugs)
	exec(t, c, "insert into rugs (id, knots, note) select i, i * 10, 'n' || i from generate_series(1, 5) as i")
	for _, tt := range []struct{ sql, want string }{
		{"select count(*), max(knots), min(id), sum(knots) from rugs where id > 1", "[4 50 2 140]"},
		{"select id, note from rugs where knots >= 20 and id <> 3 order by id desc limit 2", "[5 n5][4 n4]"},
		{"update rugs set knots = knots + 1, note = null where id = 2 returning knots, note", "[21 <nil>]"},
		{"insert into rugs (id) values (1), (9) on conflict do nothing returning id", "[9]"},
		{"delete from rugs where id >= 4 returning id", "[4][5][9]"},
		{"select id from rugs where note is null or id in (1, 7) order by knots", "[1][2]"},
		{"select 1, 'a', true, null, pg_sleep(0.001)", "[1 a true <nil> ]"},
		{"select count(*) from generate_series(3, 1)", "[0]"},
		{"select avg(knots), max(id) + 1 from rugs where id = 77", "[<nil> <nil>]"},
		{"update rugs set id = id + 1 where id = 3 returning id", "[4]"},
		{"select count(*) from rugs where not id in (1, null)", "[0]"},
		{"select count(*) from rugs where id in (1, null)", "[1]"},
		{"select count(*) from rugs where not id in (1, 2)", "[1]"},
		{"select 1 in (1, null), 2 in (1, null), not 2 in (1, null), null in (1), 2 in (1, 3)", "[true <nil> <nil> <nil> false]"},
	} {
		rows, err := c.Query(bounded(t), tt.sql)
		if err != nil {
			t.Fatalf("%s: %v", tt.sql, err)
		}
		got := ""
		for rows.Next() {
			v, err := rows.Values()
			if err != nil {
				t.Fatalf("%s: %v", tt.sql, err)
			}
			got += fmt.Sprint(v)
		}
		if rows.Err() != nil || got != tt.want {
			t.Errorf("%s: got %s, %v; want %s", tt.sql, got, rows.Err(), tt.want)
		}
	}
}

// Guards against wrong SQLSTATEs and against writes that survive an error in
// their transaction.
func TestErrorsAbortTheTransaction(t *testing.T) {
	is := is.New(t)
	c := connect(t, start(t).Primary())
	exec(t, c, createRugs)
	exec(t, c, "begin; insert into rugs (id) values (1)")
	_, err := c.Exec(bounded(t), "insert into rugs (id) values (1)")
	is.Equal(code(err), "23505")
	is.Equal(c.PgConn().TxStatus(), byte('E'))
	_, err = c.Exec(bounded(t), "select 1")
	is.Equal(code(err), "25P02")
	tag, err := c.Exec(bounded(t), "commit")
	is.NoErr(err)
	is.Equal(tag.String(), "ROLLBACK")
	_, err = c.Exec(bounded(t), "insert into rugs (id) values (2); select no_such from rugs")
	is.Equal(code(err), "42703")
	_, err = c.Exec(bounded(t), "selec 1")
	is.Equal(code(err), "42601")
	_, err = c.Exec(bounded(t), "savepoint a")
	is.Equal(code(err), "0A000")
	_, err = c.Exec(bounded(t), "begin read only; delete from rugs")
	is.Equal(code(err), "25006")
	exec(t, c, "rollback")
	var n int
	is.NoErr(c.QueryRow(bounded(t), "select count(*) from rugs").Scan(&n))
	is.Equal(n, 0)
}

// Guards against an instance that hangs, with all its sessions, because a RETURNING list
// or a default calls a function that locks the engine.
func TestLockingFunctionOfAWrite(t *testing.T) {
	is := is.New(t)
	c := connect(t, start(t).Primary())
	exec(t, c, createRugs)
	exec(t, c, "insert into rugs (id, fine) values (3, pg_is_in_recovery()) returning id")
	exec(t, c, "create table looms (id int8 primary key, spare bool default pg_is_in_recovery())")
	for _, sql := range []string{
		"insert into rugs (id) values (1) returning pg_is_in_recovery()",
		"insert into rugs (id) values (2) returning pg_sleep(0)",
		"insert into looms (id) values (1)",
		"update rugs set knots = 1 returning pg_is_in_recovery()",
		"delete from rugs returning pg_is_in_recovery()",
	} {
		_, err := c.Exec(bounded(t), sql)
		is.Equal(code(err), "0A000")
	}
}

// Guards against lost updates: the second writer must wait for the first one and
// start from its result.
func TestTwoWritersToOneRow(t *testing.T) {
	is := is.New(t)
	g := start(t, group.WithSlots(1))
	a, b := connect(t, g.Primary()), connect(t, g.Primary())
	exec(t, a, createRugs)
	exec(t, a, "insert into rugs (id, knots) values (1, 10)")
	exec(t, a, "begin")
	exec(t, a, "update rugs set knots = knots + 1 where id = 1")
	second := make(chan error, 1)
	go func() {
		_, err := b.Exec(context.Background(), "update rugs set knots = knots + 1 where id = 1")
		second <- err
	}()
	select {
	case err := <-second:
		t.Fatalf("the second writer did not wait: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	exec(t, a, "commit")
	is.NoErr(<-second)
	var knots int
	is.NoErr(a.QueryRow(bounded(t), "select knots from rugs where id = 1").Scan(&knots))
	is.Equal(knots, 12)
}

// Guards against transactions that are not atomic or not isolated, under
// contention, deadlocks and kills of the primary: transfers must keep the sum,
// and each acknowledged transfer must be in the log.
func TestTransfersUnderKills(t *testing.T) {
	is := is.New(t)
	g := start(t, group.WithSlots(2), group.WithLag(time.Millisecond, time.Millisecond))
	p := g.Primary()
	exec(t, connect(t, p), "create table sheets (id int4 primary key, water int4); insert into sheets select i, 100 from generate_series(0, 4) as i")
	var acknowledged, unknown atomic.Int64
	stop := make(chan struct{})
	var work sync.WaitGroup
	for range 6 {
		work.Go(func() { transfer(p, stop, &acknowledged, &unknown) })
	}
	for range 5 {
		time.Sleep(60 * time.Millisecond)
		p.Kill()
		is.NoErr(p.Restart())
	}
	close(stop)
	work.Wait()
	records := int64(len(p.Records())) - 2
	t.Logf("%d acknowledged, %d unknown, %d records", acknowledged.Load(), unknown.Load(), records)
	is.True(acknowledged.Load() > 0)
	is.True(records >= acknowledged.Load())
	is.True(records <= acknowledged.Load()+unknown.Load())
	for _, in := range g.Instances() {
		eventually(t, "replication", func() bool { return in.Status().Applied == p.Status().Applied })
		var sum int
		is.NoErr(connect(t, in).QueryRow(bounded(t), "select sum(water) from sheets").Scan(&sum))
		is.Equal(sum, 500)
	}
}

// transfer moves water between random sheets, one transaction each, until stop
// is closed.
func transfer(p *group.Instance, stop <-chan struct{}, acknowledged, unknown *atomic.Int64) {
	ctx := context.Background()
	var c *pgx.Conn
	for {
		select {
		case <-stop:
			if c != nil {
				_ = c.Close(ctx)
			}
			return
		default:
		}
		if c == nil || c.IsClosed() {
			c, _ = dial(ctx, p)
			continue
		}
		from := rand.IntN(5)
		to := (from + 1 + rand.IntN(4)) % 5
		_, err := c.Exec(ctx, fmt.Sprintf("begin; update sheets set water = water - 1 where id = %d; update sheets set water = water + 1 where id = %d", from, to))
		if err != nil {
			_, _ = c.Exec(ctx, "rollback")
			continue
		}
		if _, err = c.Exec(ctx, "commit"); err != nil {
			unknown.Add(1)
		} else {
			acknowledged.Add(1)
		}
	}
}

func BenchmarkSelectByKey(b *testing.B) {
	g, err := group.New("bench", group.WithOpenDelay(0), group.WithJournal(0))
	if err != nil {
		b.Fatal(err)
	}
	defer g.Close()
	ctx := context.Background()
	c, err := pgx.Connect(ctx, fmt.Sprintf("postgres://a@%s/bench?sslmode=disable", g.Primary().Upstream().Addr))
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close(ctx)
	if _, err := c.Exec(ctx, "create table t (id int8 primary key, v text); insert into t select i, 'x' from generate_series(1, 10000) as i"); err != nil {
		b.Fatal(err)
	}
	for i := 0; b.Loop(); i++ {
		var v string
		if err := c.QueryRow(ctx, "select v from t where id = $1", i%10000+1).Scan(&v); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against goroutines that outlive their group, with open, hung and
// partitioned connections.
func TestCloseLeavesNothing(t *testing.T) {
	before := runtime.NumGoroutine()
	g, err := group.New("appraisal")
	if err != nil {
		t.Fatal(err)
	}
	p := g.Primary()
	var conns []*pgx.Conn
	for range 4 {
		conns = append(conns, connect(t, p))
	}
	var work sync.WaitGroup
	work.Go(func() { _, _ = conns[0].Exec(context.Background(), "select pg_sleep(60)") })
	p.HangConnections()
	connect(t, p)
	p.Partition(true)
	g.Close()
	work.Wait()
	for _, c := range conns {
		_ = c.PgConn().Conn().Close()
	}
	eventually(t, "the end of all goroutines", func() bool { return runtime.NumGoroutine() <= before })
}
