package caller

import (
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
)

func preparedSession(b *budget) *session {
	limits := defaultLimits()
	return &session{server: &Server{limits: limits}, prepared: preparedStore{limits: &limits, budget: b}, tx: transaction{status: statusOpen}}
}

func parseBatch(names ...string) (batch []message) {
	for _, n := range names {
		batch = append(batch, message{kind: 'P', object: 'S', name: n, parse: &pgproto3.Parse{Name: n, Query: "select 1"}})
	}
	return batch
}

// runParses lets the upstream accept all messages of the units.
func runParses(t *testing.T, x *session, units []unit) {
	t.Helper()
	for i := range units {
		_, ops, err := x.rewrite(units[i].messages)
		if err != nil {
			t.Fatal(err)
		}
		for _, o := range ops {
			if o.onSuccess != nil {
				o.onSuccess()
			}
		}
	}
}

// Guards against sessions that together hold more prepared statements than the memory
// budget allows because all of them are checked before the first is stored.
func TestStatementsOfBatchesAtOnceFitTheBudget(t *testing.T) {
	is := is.New(t)
	size := (&preparedStatement{name: "a", query: "select 1"}).size()
	b := &budget{limit: int64(5 * size / 2)}
	var sessions []*session
	var units [][]unit
	refused := 0
	for range 4 {
		x := preparedSession(b)
		u := x.splitBatch(parseBatch("a"))
		if u[len(u)-1].failure != nil {
			refused++
		}
		sessions, units = append(sessions, x), append(units, u)
	}
	for i, x := range sessions {
		runParses(t, x, units[i])
	}
	if b.used.Load() > b.limit {
		t.Errorf("%d of %d bytes used", b.used.Load(), b.limit)
	}
	is.Equal(refused, 2)
	for _, x := range sessions {
		x.prepared.clear()
	}
	is.Equal(b.used.Load(), int64(0))
}

// Guards against memory that stays reserved for statements that the upstream has not
// accepted, and against statements that are held without being counted.
func TestReservedMemoryIsReleased(t *testing.T) {
	is := is.New(t)
	size := (&preparedStatement{name: "a", query: "select 1"}).size()
	b := &budget{limit: mib}
	x := preparedSession(b)
	units := x.splitBatch(parseBatch("a", "b", "c"))
	is.Equal(b.used.Load(), int64(3*size))
	units[0].messages = units[0].messages[:1] // The upstream rejects the second one.
	runParses(t, x, units)
	x.prepared.releaseReserved()
	is.Equal(b.used.Load(), int64(size))
	is.Equal(x.prepared.bytes, size)

	// A batch that removes all statements and prepares another one.
	units = x.splitBatch(parseBatch("b"))
	x.prepared.clear()
	runParses(t, x, units)
	x.prepared.releaseReserved()
	is.True(x.prepared.get("a") == nil)
	is.True(x.prepared.get("b") != nil)
	is.Equal(b.used.Load(), int64(size))
	x.prepared.clear()
	is.Equal(b.used.Load(), int64(0))
	is.Equal(x.prepared.bytes, 0)
}
