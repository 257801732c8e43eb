package caller

import (
	"context"
	"fmt"
	"os"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

func connect(t testing.TB, f *fixture, extraParams string) *pgx.Conn {
	t.Helper()
	c, err := pgx.Connect(t.Context(), f.url(extraParams))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(t.Context()) })
	return c
}

// Guards against a prepared statement that exists on one upstream connection
// only, in each query mode of a real client.
func TestQueryModes(t *testing.T) {
	f := start(t)
	for _, mode := range []string{"cache_statement", "cache_describe", "describe_exec", "exec", "simple_protocol"} {
		t.Run(mode, func(t *testing.T) {
			is := is.New(t)
			c := connect(t, f, "&default_query_exec_mode="+mode)
			for range 3 {
				var text string
				is.NoErr(c.QueryRow(t.Context(), "select $1::text", "dye").Scan(&text))
				is.True(len(text) > 0)
				_, err := c.Exec(t.Context(), "insert into rugs values ($1)", "red")
				is.NoErr(err)
			}
		})
	}
}

// Guards against responses that reach the request of another session (I4), with
// many concurrent sessions that use all query modes.
func TestManySessions(t *testing.T) {
	const sessions, rounds = 16, 60
	f := start(t)
	var group errgroup.Group
	for i := range sessions {
		c := connect(t, f, "")
		group.Go(func() error {
			for j := range rounds {
				if err := queryAllWays(t.Context(), c, fmt.Sprintf("%d.%d", i, j)); err != nil {
					return fmt.Errorf("session %d, round %d: %w", i, j, err)
				}
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
}

// queryAllWays selects the word in a batch, in pipeline mode and in a
// transaction.
func queryAllWays(ctx context.Context, c *pgx.Conn, word string) error {
	want := "select $1::text|1=" + word
	batch := &pgx.Batch{}
	for range 3 {
		batch.Queue("select $1::text", word).QueryRow(func(r pgx.Row) error { return expect(r, want) })
	}
	if err := c.SendBatch(ctx, batch).Close(); err != nil {
		return fmt.Errorf("batch: %w", err)
	}
	p := c.PgConn().StartPipeline(ctx)
	for range 3 {
		p.SendQueryParams("select $1::text", [][]byte{[]byte(word)}, nil, nil, nil)
		if err := p.Sync(); err != nil {
			return err
		}
	}
	for range 3 {
		if err := expectPipelined(p, want); err != nil {
			return fmt.Errorf("pipeline: %w", err)
		}
	}
	if err := p.Close(); err != nil {
		return err
	}
	return pgx.BeginFunc(ctx, c, func(tx pgx.Tx) error {
		return expect(tx.QueryRow(ctx, "select $1::text", word), want)
	})
}

func expect(r pgx.Row, want string) error {
	var got string
	if err := r.Scan(&got); err != nil {
		return err
	}
	if got != want {
		return fmt.Errorf("got %q, want %q", got, want)
	}
	return nil
}

func expectPipelined(p *pgconn.Pipeline, want string) error {
	results, err := p.GetResults()
	if err != nil {
		return err
	}
	r := results.(*pgconn.ResultReader).Read()
	if r.Err != nil || len(r.Rows) != 1 || string(r.Rows[0][0]) != want {
		return fmt.Errorf("got %q, %v, want %q", r.Rows, r.Err, want)
	}
	sync, err := p.GetResults()
	if _, ok := sync.(*pgconn.PipelineSync); !ok || err != nil {
		return fmt.Errorf("got %T, %v instead of a Sync", sync, err)
	}
	return nil
}

// Guards against file descriptors that stay open after their connections have
// ended, and against a new connection that is closed because it reuses the
// descriptor of an old one. Connections end and begin concurrently in this
// test.
func TestDescriptors(t *testing.T) {
	const clients, rounds = 8, 50
	f := start(t)
	count := func() int {
		entries, err := os.ReadDir("/proc/self/fd")
		if err != nil {
			t.Fatal(err)
		}
		return len(entries)
	}
	connect(t, f, "").Close(t.Context())
	before := count()
	var group errgroup.Group
	for range clients {
		group.Go(func() error {
			for range rounds {
				c, err := pgx.Connect(t.Context(), f.url(""))
				if err != nil {
					return err
				}
				if err := expect(c.QueryRow(t.Context(), "select 1"), "select 1"); err != nil {
					return err
				}
				if err := c.Close(t.Context()); err != nil {
					return err
				}
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	eventually(t, func() bool { return count() <= before+2 })
}
