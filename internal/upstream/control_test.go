package upstream

import (
	"testing"

	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
)

// Guards against a prepared status query whose result differs from that of the
// simple query, and against polls that keep failing after the instance has
// dropped the prepared statement.
func TestPreparedStatus(t *testing.T) {
	is := is.New(t)
	g := startGroup(t)
	d := g.Database("north")
	u := g.Instances()[0].Upstream()
	control := NewControl(clock.System(), d, u)
	defer control.Close()
	plain, err := Dial(t.Context(), clock.System(), AddressOf(d, u))
	is.NoErr(err)
	defer plain.Close()
	for range 3 {
		prepared, err := control.Status(t.Context())
		is.NoErr(err)
		simple, err := plain.Status(t.Context())
		is.NoErr(err)
		prepared.StreamAge, simple.StreamAge = 0, 0
		is.Equal(prepared, simple)
	}
	is.NoErr(control.conn.query(t.Context(), discardSQL, func(pgproto3.BackendMessage) {}))
	_, err = control.Status(t.Context())
	is.True(err != nil)
	_, err = control.Status(t.Context())
	is.NoErr(err)
}
