package owner_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/emulate/group"
	"github.com/gypsumyard/gypsumyard/internal/owner"
)

var (
	faultSeed = flag.Uint64("fault-seed", 1, "seed of the fault schedule")
	faultTime = flag.Duration("fault-time", 4*time.Second, "length of the fault schedule")
)

// injectFaults causes and heals random faults, one or two at a time.
func injectFaults(t *testing.T, g *group.Group, until time.Time) {
	r := rand.New(rand.NewPCG(*faultSeed, 0))
	for time.Now().Before(until) {
		in := g.Instances()[r.IntN(3)]
		kind := r.IntN(6)
		switch kind {
		case 0:
			in.Kill()
		case 1:
			in.Isolate(true)
		case 2:
			in.Partition(true)
		case 3:
			in.HangConnections()
		case 4:
			in.Freeze()
		case 5:
			in.SetLag(time.Duration(r.IntN(300))*time.Millisecond, 10*time.Millisecond)
		}
		t.Logf("fault %d at %s", kind, in.Name())
		time.Sleep(time.Duration(100+r.IntN(1200)) * time.Millisecond)
		if r.IntN(4) > 0 {
			heal(t, in)
		}
	}
	for _, in := range g.Instances() {
		heal(t, in)
	}
}

func heal(t *testing.T, in *group.Instance) {
	in.SetLag(0, 0)
	if err := in.Heal(); err != nil {
		t.Errorf("heal %s: %v", in.Name(), err)
	}
}

// A counter is a session that increments a row of its own and checks that its
// reads reflect the acknowledged writes.
type counter struct {
	t        *testing.T
	id       int
	session  string
	hosts    []*fixture
	acked    int
	last     int
	position gypsumyard.Position
	unknown  map[int]bool
}

func (c *counter) run(until time.Time) {
	r := rand.New(rand.NewPCG(*faultSeed, uint64(c.id)))
	for time.Now().Before(until) {
		f := c.hosts[r.IntN(len(c.hosts))]
		if r.IntN(3) == 0 {
			c.write(f, r.IntN(2) == 0)
			continue
		}
		c.read(f, r.IntN(2) == 0)
	}
}

func (c *counter) write(f *fixture, inTransaction bool) {
	c.last++
	sql := fmt.Sprintf("update rugs set knots = %d where id = %d", c.last, c.id)
	a := &answer{}
	if inTransaction {
		a = f.exec(c.session, gypsumyard.StatementBegin, "begin")
		if a.err != nil {
			return
		}
		u := f.runIn(a, c.session, gypsumyard.StatementWrite, sql)
		if u.err != nil {
			return
		}
		a = f.runIn(a, c.session, gypsumyard.StatementCommit, "commit")
		if u.text() != "UPDATE 1" && a.err == nil && a.text() == "ROLLBACK" {
			// The instance refused the update, so the commit could not succeed.
			return
		}
	} else {
		w := request(c.session, gypsumyard.StatementWrite, sql)
		w.Repeatable, w.Shape = false, 1
		w.Deadline = time.Now().Add(3 * time.Second)
		a = f.run(w)
	}
	switch {
	case a.err == nil && (a.text() == "UPDATE 1" || a.text() == "COMMIT"):
		c.acked, c.position = c.last, a.result.Position
	case a.err == nil:
		c.t.Errorf("session %s: write was answered with %q", c.session, a.text())
	case gypsumyard.ClassOf(a.err) == gypsumyard.ClassUnknown:
		c.unknown[c.last] = true
	}
}

func (c *counter) read(f *fixture, known bool) {
	r := request(c.session, gypsumyard.StatementRead, fmt.Sprintf("select knots from rugs where id = %d", c.id))
	r.Position, r.PositionKnown = c.position, known
	r.Deadline = time.Now().Add(2 * time.Second)
	a := f.run(r)
	if a.err != nil {
		return
	}
	value, err := strconv.Atoi(strings.TrimSuffix(a.text(), ";SELECT 1"))
	switch {
	case err != nil:
		c.t.Errorf("session %s: read was answered with %q", c.session, a.text())
	case value < c.acked:
		c.t.Errorf("session %s (position %v, known %v) reads %d on %s after %d was acknowledged", c.session, c.position, known, value, a.result.Instance, c.acked)
	case value > c.acked && !c.unknown[value]:
		c.t.Errorf("session %s reads %d, which was refused as not run", c.session, value)
	}
}

// Guards against lost, repeated and invisible writes under random faults while
// two hosts both consider themselves the owner.
func TestRandomFaults(t *testing.T) {
	f := start(t, []group.Option{group.WithConnections(30), group.WithSlots(2)}, withHostComponents(), owner.WithConfirmTimeout(2*time.Second))
	hosts := []*fixture{f, serve(t, f.group, withHostComponents(), owner.WithConfirmTimeout(2*time.Second))}
	until := time.Now().Add(*faultTime)
	var counters []*counter
	var wg sync.WaitGroup
	for id := range 8 {
		w := f.must("setup", gypsumyard.StatementWrite, fmt.Sprintf("insert into rugs values (%d, 0)", id))
		c := &counter{t: t, id: id, session: fmt.Sprint("s", id), hosts: hosts, position: w.result.Position, unknown: map[int]bool{}}
		counters = append(counters, c)
		wg.Go(func() { c.run(until) })
	}
	injectFaults(t, f.group, until)
	wg.Wait()
	acked := 0
	for _, c := range counters {
		acked += c.acked
		c.session += "-end"
		eventually(t, "service after the faults", func() bool {
			return f.exec(c.session, gypsumyard.StatementWrite, "update rugs set knots = knots where id = -1").err == nil
		})
		c.read(f, false)
	}
	t.Logf("the counters reached %d in all", acked)
	runs := map[string]int{}
	for _, e := range f.group.Journal(0) {
		if e.Error == "" && strings.HasPrefix(e.Statement, "update rugs set knots = ") && !strings.HasSuffix(e.Statement, "-1") {
			runs[e.Statement]++
		}
	}
	for sql, n := range runs {
		if n > 1 {
			t.Errorf("%q ran %d times", sql, n)
		}
	}
}
