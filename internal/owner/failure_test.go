package owner_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/admit"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/gypsumyard/gypsumyard/internal/emulate/group"
	"github.com/gypsumyard/gypsumyard/internal/owner"
	"github.com/gypsumyard/gypsumyard/internal/route"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

func withPromoter() owner.Option {
	return owner.WithPromoter(func(d gypsumyard.Database) owner.Promoter {
		return owner.NewPromoter(d, clock.System(), logrus.New(), 600*time.Millisecond)
	})
}

// withHostComponents replaces the baseline implementations with those that
// hosts use.
func withHostComponents() owner.Option {
	return owner.Options(
		withPromoter(),
		owner.WithAdmitter(func(d gypsumyard.Database) gypsumyard.Admitter { return admit.New(d.Name) }),
		owner.WithRouter(func(gypsumyard.Database) gypsumyard.Router { return route.New() }),
	)
}

// Guards against a session that does not see its own write on a replica that
// lags behind the primary.
func TestReadYourWrites(t *testing.T) {
	is := is.New(t)
	f := start(t, []group.Option{group.WithLag(30*time.Millisecond, 20*time.Millisecond)})
	for i := range 20 {
		w := f.must("s", gypsumyard.StatementWrite, insert(i))
		r := request("s", gypsumyard.StatementRead, fmt.Sprintf("select id from rugs where id = %d", i))
		r.Position, r.PositionKnown = w.result.Position, i%2 == 0
		is.Equal(f.run(r).text(), fmt.Sprintf("%d;SELECT 1", i))
		other := request("other", gypsumyard.StatementRead, fmt.Sprintf("select id from rugs where id = %d", i))
		a := f.run(other)
		is.Equal(a.text(), fmt.Sprintf("%d;SELECT 1", i))
		is.True(a.result.Position.Compare(w.result.Position) >= 0)
	}
}

// Guards against acknowledging a write that a promotion could discard: while
// both replicas are isolated, no write may be acknowledged.
func TestAcknowledgementNeedsMajority(t *testing.T) {
	is := is.New(t)
	f := start(t, nil, owner.WithConfirmTimeout(200*time.Millisecond))
	f.group.Instances()[1].Isolate(true)
	f.group.Instances()[2].Isolate(true)
	w := f.exec("s", gypsumyard.StatementWrite, insert(1))
	is.Equal(gypsumyard.ClassOf(w.err), gypsumyard.ClassUnknown)
	is.True(!strings.Contains(w.text(), "INSERT"))
	is.NoErr(f.group.Instances()[1].Heal())
	eventually(t, "write after heal", func() bool {
		return f.exec("s", gypsumyard.StatementWrite, insert(2)).err == nil
	})
}

// A writeRecorder records the outcomes of inserts that several sessions send
// continuously.
type writeRecorder struct {
	mu      sync.Mutex
	outcome map[int]gypsumyard.ErrorClass
	wg      sync.WaitGroup
	stop    chan struct{}
}

func startWriters(fixtures ...*fixture) *writeRecorder {
	l := &writeRecorder{outcome: map[int]gypsumyard.ErrorClass{}, stop: make(chan struct{})}
	const writers = 4
	for c := range writers {
		l.wg.Go(func() {
			for i := c; ; i += writers {
				select {
				case <-l.stop:
					return
				default:
				}
				class := gypsumyard.ErrorClass("")
				if a := fixtures[c%len(fixtures)].exec(fmt.Sprint("s", c), gypsumyard.StatementWrite, insert(i)); a.err != nil {
					class = gypsumyard.ClassOf(a.err)
				}
				l.mu.Lock()
				l.outcome[i] = class
				l.mu.Unlock()
			}
		})
	}
	return l
}

// ended returns how many writes have ended.
func (l *writeRecorder) ended() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.outcome)
}

// check stops the writers and compares the outcomes with the primary's rows.
// It returns how many writes were acknowledged.
func (l *writeRecorder) check(t *testing.T, g *group.Group) (acked int) {
	is := is.New(t)
	close(l.stop)
	l.wg.Wait()
	rows := map[string]int{}
	for _, r := range g.Primary().Rows("rugs") {
		rows[fmt.Sprint(r[0])]++
	}
	for i, class := range l.outcome {
		switch class {
		case "":
			acked++
			is.Equal(rows[fmt.Sprint(i)], 1)
		case gypsumyard.ClassUnknown:
		default:
			is.Equal(rows[fmt.Sprint(i)], 0)
		}
	}
	return acked
}

// Guards against acknowledged writes that are lost, and writes that run twice,
// when the primary is killed.
func TestPrimaryKilled(t *testing.T) {
	is := is.New(t)
	f := start(t, nil, withPromoter())
	l := startWriters(f)
	time.Sleep(200 * time.Millisecond)
	killed := f.group.Primary()
	killed.Kill()
	eventually(t, "new primary", func() bool { return f.group.Primary() != nil })
	time.Sleep(200 * time.Millisecond)
	is.NoErr(killed.Restart())
	time.Sleep(300 * time.Millisecond)
	is.True(l.check(t, f.group) > 50)
	p := f.group.Primary()
	eventually(t, "former primary follows", func() bool {
		s := killed.Status()
		return s.Contains(p.Status().Applied)
	})
}

// Guards against an owner that waits forever for a primary that failed before
// the owner took over.
func TestPrimaryDeadBeforeTakeover(t *testing.T) {
	is := is.New(t)
	f := start(t, nil)
	f.group.Primary().Kill()
	next := serve(t, f.group, withPromoter())
	is.NoErr(next.exec("s", gypsumyard.StatementWrite, insert(1)).err)
}

// Guards against lost writes and an exceeded connection limit while two hosts
// both consider themselves the owner and replace the primary.
func TestTwoOwners(t *testing.T) {
	is := is.New(t)
	baseline := owner.WithPromoter(func(gypsumyard.Database) owner.Promoter { return owner.NewTimeoutPromoter(clock.System()) })
	f := start(t, []group.Option{group.WithConnections(30), group.WithSlots(2)}, baseline)
	other := serve(t, f.group, withPromoter())
	l := startWriters(f, other)
	for range 3 {
		time.Sleep(300 * time.Millisecond)
		killed := f.group.Primary()
		killed.Kill()
		eventually(t, "new primary", func() bool { return f.group.Primary() != nil })
		time.Sleep(300 * time.Millisecond)
		is.NoErr(killed.Restart())
	}
	time.Sleep(500 * time.Millisecond)
	is.True(l.check(t, f.group) > 50)
	for _, in := range f.group.Instances() {
		_, peak := in.Connections()
		is.True(peak <= 30)
	}
}

// Guards against a COMMIT that is reported as successful or as not run
// although the primary failed before the commit was confirmed.
func TestPrimaryKilledInCommit(t *testing.T) {
	is := is.New(t)
	f := start(t, []group.Option{group.WithLag(time.Second, 0)}, withPromoter())
	tx := f.must("s", gypsumyard.StatementBegin, "begin")
	is.NoErr(f.runIn(tx, "s", gypsumyard.StatementWrite, insert(1)).err)
	time.AfterFunc(100*time.Millisecond, f.group.Primary().Kill)
	c := f.runIn(tx, "s", gypsumyard.StatementCommit, "commit")
	is.Equal(gypsumyard.ClassOf(c.err), gypsumyard.ClassUnknown)
	is.Equal(c.text(), "")
}

// Guards against a non-repeatable request that is sent again after its
// connection has gone silent.
func TestNotRepeatableRunsOnce(t *testing.T) {
	is := is.New(t)
	f := start(t, nil)
	for i := range 5 {
		f.must("s", gypsumyard.StatementWrite, insert(i))
	}
	f.group.Primary().HangConnections()
	time.Sleep(1100 * time.Millisecond)
	order := request("s", gypsumyard.StatementWrite, insert(100))
	order.Repeatable = false
	is.NoErr(f.run(order).err)
	is.Equal(f.committed(insert(100)), 1)
	for i := range 3 {
		f.group.Primary().HangConnections()
		r := request("s", gypsumyard.StatementWrite, insert(200+i))
		r.Repeatable = false
		a := f.run(r)
		is.True(a.err == nil || gypsumyard.ClassOf(a.err) == gypsumyard.ClassUnknown)
		is.True(f.committed(insert(200+i)) <= 1)
	}
}

// Guards against a read that fails on a silent connection although a fresh
// connection would work.
func TestReadSurvivesSilentConnections(t *testing.T) {
	is := is.New(t)
	f := start(t, nil)
	r := request("s", gypsumyard.StatementRead, "select 1")
	is.NoErr(f.run(r).err)
	for _, in := range f.group.Instances() {
		in.HangConnections()
	}
	is.NoErr(f.run(r).err)
}

// Guards against reads that are sent to a leaving instance.
func TestLeavingReplica(t *testing.T) {
	is := is.New(t)
	f := start(t, nil)
	leaving := f.group.Instances()[1]
	leaving.SetLeaving(true)
	time.Sleep(150 * time.Millisecond)
	before := leaving.Counters()["select"]
	for range 30 {
		f.must("s", gypsumyard.StatementRead, "select 1")
	}
	is.Equal(leaving.Counters()["select"], before)
}

// Guards against an unbounded number of requests beyond an instance's slots
// when they run longer than expected. The number beyond the slots may not
// exceed the number of slots.
func TestStatementsAheadAreBounded(t *testing.T) {
	is := is.New(t)
	const slots, control = 2, 2
	f := start(t, []group.Option{group.WithSlots(slots), group.WithConnections(60), group.WithRoundTrip(2 * time.Millisecond)},
		withHostComponents(), owner.WithRouter(func(gypsumyard.Database) gypsumyard.Router { return owner.NewPrimaryRouter() }))
	run := func(sql string) {
		r := request("s", gypsumyard.StatementRead, sql)
		r.PositionKnown, r.Shape, r.Customer = true, 1, sql
		if a := f.run(r); a.err != nil {
			t.Error(a.err)
		}
	}
	for range 20 {
		run("select 1")
	}
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() { run(fmt.Sprintf("select pg_sleep(0.2), %d", i)) })
	}
	wg.Wait()
	_, peak := f.group.Primary().Connections()
	is.True(peak > control+slots)
	is.True(peak <= control+2*slots+1)
}

// Guards against a leaving primary that still gets work after its replacement,
// and against writes that are lost or refused during the handover.
func TestLeavingPrimary(t *testing.T) {
	is := is.New(t)
	f := start(t, nil, withHostComponents())
	tx := f.must("open", gypsumyard.StatementBegin, "begin")
	l := startWriters(f)
	time.Sleep(100 * time.Millisecond)
	leaving := f.group.Primary()
	leaving.SetLeaving(true)
	eventually(t, "new primary", func() bool {
		p := f.group.Primary()
		return p != nil && p != leaving
	})
	is.NoErr(f.runIn(tx, "open", gypsumyard.StatementRead, "select 1").err)
	time.Sleep(200 * time.Millisecond)
	before := leaving.Counters()["insert"] + leaving.Counters()["select"]
	for range 20 {
		f.must("s", gypsumyard.StatementRead, "select 1")
	}
	is.Equal(leaving.Counters()["insert"]+leaving.Counters()["select"], before)
	is.True(l.check(t, f.group) > 50)
	refused := 0
	for _, class := range l.outcome {
		if class != "" && class != gypsumyard.ClassUnknown {
			refused++
		}
	}
	is.Equal(refused, 0)
}

// Guards against a request deadline that is not enforced while a statement
// runs.
func TestDeadline(t *testing.T) {
	is := is.New(t)
	f := start(t, nil)
	r := request("s", gypsumyard.StatementWrite, "select pg_sleep(5)")
	r.Deadline = time.Now().Add(100 * time.Millisecond)
	begin := time.Now()
	is.Equal(gypsumyard.ClassOf(f.run(r).err), gypsumyard.ClassUnknown)
	is.True(time.Since(begin) < time.Second)
}

// Guards against a cancel request that does not reach the statement.
func TestCancelStatement(t *testing.T) {
	is := is.New(t)
	f := start(t, nil)
	r := request("s", gypsumyard.StatementRead, "select pg_sleep(5)")
	time.AfterFunc(100*time.Millisecond, func() { _ = f.service.CancelStatement(context.Background(), r) })
	begin := time.Now()
	a := f.run(r)
	is.NoErr(a.err)
	is.Equal(a.text(), "57014")
	is.True(time.Since(begin) < time.Second)
}

// Guards against a shared answer that is incomplete or older than one of its
// readers must see.
func TestIdenticalReadsShareOneRun(t *testing.T) {
	is := is.New(t)
	f := start(t, []group.Option{group.WithSlots(1), group.WithStatementCost(20 * time.Millisecond)})
	f.must("s", gypsumyard.StatementWrite, insert(1))
	before := f.group.Primary().Counters()["select"]
	var wg sync.WaitGroup
	for c := range 60 {
		wg.Go(func() {
			session := fmt.Sprint("s", c)
			if c%20 == 7 {
				w := f.must(session, gypsumyard.StatementWrite, insert(c))
				r := request(session, gypsumyard.StatementRead, "select count(*) from rugs")
				r.Position, r.PositionKnown = w.result.Position, true
				if text := f.run(r).text(); text < "2" {
					t.Errorf("own write is missing: %q", text)
				}
				return
			}
			a := f.exec(session, gypsumyard.StatementRead, "select count(*) from rugs")
			if a.err != nil || !strings.HasSuffix(a.text(), ";SELECT 1") {
				t.Errorf("answer %q, error %v", a.text(), a.err)
			}
		})
	}
	wg.Wait()
	runs := int64(0)
	for _, in := range f.group.Instances() {
		runs += in.Counters()["select"]
	}
	is.True(runs-before < 40)
}
