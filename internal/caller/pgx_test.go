package caller

import (
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"
)

func connect(t testing.TB, f *fixture, more string) *pgx.Conn {
	t.Helper()
	c, err := pgx.Connect(t.Context(), f.url(more))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(t.Context()) })
	return c
}

// Guards against a prepared statement that is known to one upstream connection
// only, in each mode of a real client.
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
