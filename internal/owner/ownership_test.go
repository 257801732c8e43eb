package owner_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/gypsumyard/gypsumyard/internal/emulate/group"
	"github.com/gypsumyard/gypsumyard/internal/owner"
	"github.com/matryer/is"
)

// A jumpClock is the system clock with an offset that tests change to simulate
// a pause of the process.
type jumpClock struct {
	gypsumyard.Clock
	offset atomic.Int64
}

func (c *jumpClock) Now() time.Time { return c.Clock.Now().Add(time.Duration(c.offset.Load())) }

func (c *jumpClock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Guards against a host that serves as the owner after a pause before it has
// learned whether another host took over.
func TestPausedHostRefusesNewWork(t *testing.T) {
	k := &jumpClock{Clock: clock.System()}
	f := start(t, nil, owner.WithClock(k))
	k.offset.Add(int64(2 * time.Second))
	eventually(t, "refusal", func() bool {
		return gypsumyard.ClassOf(f.exec("s", gypsumyard.StatementRead, "select 1").err) == gypsumyard.ClassNotOwner
	})
	eventually(t, "service after the refresh", func() bool {
		return f.exec("s", gypsumyard.StatementRead, "select 1").err == nil
	})
}

// Guards against work on an instance that was removed from the list, and
// against a change of the list that interrupts service.
func TestInstanceRemoved(t *testing.T) {
	is := is.New(t)
	f := start(t, nil, withHostComponents())
	l := startWriters(f)
	all, _ := f.lists.Database("")
	fewer := all
	fewer.Instances = all.Instances[:2]
	f.lists.setDatabase(fewer)
	eventually(t, "connections closed", func() bool {
		open, _ := f.group.Instances()[2].Connections()
		return open == 0
	})
	all.Slots++
	f.lists.setDatabase(all)
	eventually(t, "reads on the instance", func() bool {
		return f.exec("s", gypsumyard.StatementRead, "select 1").result.Instance == all.Instances[2].Name
	})
	eventually(t, "writes go on", func() bool { return l.ended() > 20 })
	is.True(l.check(t, f.group) > 20)
	for _, class := range l.outcome {
		is.Equal(class, gypsumyard.ErrorClass(""))
	}
}

// Guards against credentials that stay in use after the entry of the database has
// changed: new connections to the instances would be refused.
func TestChangedCredentials(t *testing.T) {
	is := is.New(t)
	f := start(t, []group.Option{group.WithCredentials("gypsumyard", "first")})
	f.group.SetCredentials("proxy", "second")
	f.lists.setDatabase(f.group.Database("north"))
	for _, in := range f.group.Instances() {
		in.Kill()
		is.NoErr(in.Restart())
	}
	eventually(t, "write with the changed credentials", func() bool {
		r := request("s", gypsumyard.StatementWrite, insert(1))
		r.Deadline = time.Now().Add(time.Second)
		return f.run(r).err == nil
	})
}

// A rateAdmitter records the rate factors.
type rateAdmitter struct {
	gypsumyard.Admitter
	mu      sync.Mutex
	factors []float64
}

func (a *rateAdmitter) SetRateFactor(f float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.factors = append(a.factors, f)
}

func (a *rateAdmitter) text() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return fmt.Sprint(a.factors)
}

// Guards against a full rate while the previous owner may still serve, and
// against a reduced rate after it has finished.
func TestTakeoverRate(t *testing.T) {
	is := is.New(t)
	a := &rateAdmitter{Admitter: owner.NewFIFOAdmitter()}
	f := start(t, nil, owner.WithAdmitter(func(gypsumyard.Database) gypsumyard.Admitter { return a }))
	is.Equal(a.text(), "[0.5]")
	f.service.AcceptRelease("appraisal", "host-2")
	is.Equal(a.text(), "[0.5 1]")
}

// Guards against a host that keeps the releases of databases that it never owns for
// as long as it runs.
func TestOldReleasesAreDropped(t *testing.T) {
	is := is.New(t)
	k := &jumpClock{Clock: clock.System()}
	f := start(t, nil, owner.WithClock(k))
	for i := range 100 {
		f.service.AcceptRelease(fmt.Sprint("other-", i), "host-2")
	}
	is.Equal(f.service.Released(), 100)
	k.offset.Add(int64(4 * time.Second))
	f.service.AcceptRelease("other", "host-2")
	is.Equal(f.service.Released(), 1)
}

// Guards against bounded-staleness reads that wait although a replica is fresh
// enough, and against answers that are older than the session accepts.
func TestMaxStaleness(t *testing.T) {
	is := is.New(t)
	f := start(t, []group.Option{group.WithLag(300*time.Millisecond, 0)})
	f.must("s", gypsumyard.StatementWrite, "insert into rugs values (1, 1)")
	time.Sleep(700 * time.Millisecond)
	f.must("s", gypsumyard.StatementWrite, "update rugs set knots = 2 where id = 1")
	written := time.Now()
	for time.Since(written) < time.Second {
		r := request("reader", gypsumyard.StatementRead, "select knots from rugs where id = 1")
		r.MaxStaleness = 500 * time.Millisecond
		asked := time.Now()
		a := f.run(r)
		is.NoErr(a.err)
		is.True(a.result.Instance != f.group.Primary().Name())
		is.True(a.text() == "2;SELECT 1" || asked.Sub(written) <= 500*time.Millisecond)
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against writes that stay queued for a primary that was replaced, and
// against acknowledged writes that are lost when the owner cannot reach the
// primary although its replicas can.
func TestPrimaryPartitioned(t *testing.T) {
	is := is.New(t)
	f := start(t, []group.Option{group.WithSlots(1)}, withPromoter(), owner.WithConfirmTimeout(time.Second))
	old := f.group.Primary()
	go f.exec("long", gypsumyard.StatementWrite, "select pg_sleep(10)")
	time.Sleep(50 * time.Millisecond)
	queued := make(chan *answer, 1)
	go func() { queued <- f.exec("s", gypsumyard.StatementWrite, insert(1)) }()
	time.Sleep(50 * time.Millisecond)
	old.Partition(true)
	a := <-queued
	is.NoErr(a.err)
	is.True(a.result.Instance != old.Name())
	old.Partition(false)
	eventually(t, "former primary follows", func() bool {
		s := old.Status()
		return s.Role == gypsumyard.RoleReplica && s.Contains(a.result.Position)
	})
	is.Equal(f.committed(insert(1)), 1)
}
