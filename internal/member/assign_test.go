package member

import (
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/matryer/is"
)

// Pattern: a database is assigned to a host, which is killed or stopped and starts
// again before the assignment expires.
//
// Guards against hosts that send requests to a process that does not know of the
// assignment, and that in turn names another owner (soak, seeds 502 and 595 of
// TestSoakRestoredStore: nothing is served until the assignment expires).
func TestAssignmentEndsWithItsProcess(t *testing.T) {
	is := is.New(t)
	const database = "db"
	for _, away := range []time.Duration{50 * time.Millisecond, 3 * time.Second} {
		w := newNetwork(5)
		for _, d := range w.nodes {
			d.lists = &databases{regions: map[string]string{database: "r"}}
		}
		w.startAll()
		w.run(2 * time.Second)
		owner, ok := w.nodes[0].table.Owner(database)
		is.True(ok)
		to := w.nodes[0]
		if owner.Name == to.host.Name {
			to = w.nodes[1]
		}
		for _, d := range w.nodes {
			d.table.Assign(gypsumyard.Assignment{Database: database, Host: to.host.Name, Remaining: 30 * time.Second})
			o, _ := d.table.Owner(database)
			is.Equal(o.Name, to.host.Name)
		}
		to.dead = true
		w.run(away)
		to.start()
		took := w.waitForAll(t, 4*time.Second, "one owner", func(d *node) bool {
			o, ok := d.table.Owner(database)
			return ok && o.Name == owner.Name
		})
		t.Logf("away for %v: one owner after %v", away, took)
	}
}

// Guards against an assignment that ends because its owner has refuted a suspicion.
func TestAssignmentOutlivesRefutation(t *testing.T) {
	is := is.New(t)
	w := newNetwork(5)
	for _, d := range w.nodes {
		d.lists = &databases{regions: map[string]string{"db": "r"}}
	}
	w.startAll()
	w.run(2 * time.Second)
	to := w.nodes[3]
	for _, d := range w.nodes {
		d.table.Assign(gypsumyard.Assignment{Database: "db", Host: to.host.Name, Remaining: 30 * time.Second})
	}
	for range 3 {
		to.table.mu.Lock()
		to.table.setSelf(to.table.self.state, to.table.self.incarnation+1)
		to.table.mu.Unlock()
		w.run(time.Second)
	}
	for _, d := range w.nodes {
		o, ok := d.table.Owner("db")
		is.True(ok)
		is.Equal(o.Name, to.host.Name)
	}
}
