package linehost_test

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/emulate/lineclient"
	"github.com/gypsumyard/gypsumyard/internal/emulate/linegroup"
	"github.com/gypsumyard/gypsumyard/internal/emulate/objects"
	"github.com/gypsumyard/gypsumyard/internal/history"
	"github.com/matryer/is"
)

const (
	// routeUrgent has the highest priority; the other routes have the lowest.
	routeUrgent = "orders"
	routeReads  = "readings"
	routeOther  = "reports"
	routeOwn    = "logs"
	// ownStaleness is the maximum staleness of reads of routeOwn. A session
	// always sees its own writes.
	ownStaleness = 1500 * time.Millisecond
	// urgentObjective is the latency objective of routeUrgent.
	urgentObjective = 100 * time.Millisecond
	readObjective   = 300 * time.Millisecond
	// loadDuration is how long a load runs.
	loadDuration = 2 * time.Second
	// warmUp is the time after which all statements that were admitted before
	// their run time was known have ended: a few times the longest run time.
	warmUp = time.Second
	// backoff is the pause of a caller after a refused statement.
	backoff = 30 * time.Millisecond
)

func routes() []objects.Route {
	return []objects.Route{
		{Host: routeUrgent, Kind: objects.KindPrimary, TargetLatencyMs: urgentObjective.Milliseconds()},
		{Host: routeReads, Kind: objects.KindBounded, MaxStalenessMs: 1500, TargetLatencyMs: readObjective.Milliseconds(), Priority: 2},
		{Host: routeOther, Kind: objects.KindBounded, MaxStalenessMs: 1500, TargetLatencyMs: readObjective.Milliseconds(), Priority: 2},
		{Host: routeOwn, Kind: objects.KindSession, MaxStalenessMs: ownStaleness.Milliseconds(), TargetLatencyMs: readObjective.Milliseconds(), Priority: 2},
	}
}

// longItemWork returns the run time of a statement: 150 ms for items named
// long, 3 ms for others.
func longItemWork(text string) time.Duration {
	if strings.Contains(text, "long") {
		return 150 * time.Millisecond
	}
	return 3 * time.Millisecond
}

// A caller writes and reads an item of its own, with each new session on the
// next host.
type caller struct {
	system *system
	name   string
	route  string
	result *result
	hosts  []*node
	pause  time.Duration
	// sessions counts the attempts to start a session.
	sessions int
	written  int
}

// start returns a session on the next host that accepts one, or nil if none
// does until the end.
func (c *caller) start(end time.Time) *lineclient.Session {
	for time.Now().Before(end) {
		c.sessions++
		h := c.hosts[c.sessions%len(c.hosts)]
		s, err := lineclient.Dial(h.settings.CallerAddr, c.route, fmt.Sprintf("%s-%d", c.name, c.sessions))
		if err == nil {
			return s
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

// run repeats the operation until the end. It starts a new session whenever one
// ends.
func (c *caller) run(end time.Time, operation func(s *lineclient.Session) bool) {
	for s := c.start(end); s != nil; s = c.start(end) {
		for time.Now().Before(end) && operation(s) {
			time.Sleep(c.pause)
		}
		s.Close()
	}
}

// read reads the item and records the result.
func (c *caller) read(s *lineclient.Session, item string) (lineclient.Reply, bool) {
	began := time.Now()
	r, ok := s.Query("READ " + item)
	c.result.record(r, ok, time.Since(began))
	if r.Code != "" {
		time.Sleep(backoff)
	}
	return r, ok
}

// write writes the next value of the caller's item and records the outcome in
// the history.
func (c *caller) write(s *lineclient.Session) bool {
	c.written++
	w := history.Write{
		Session: fmt.Sprintf("%s-%d", c.name, c.sessions), Tag: fmt.Sprintf("%s=%d", c.name, c.written), Sequence: c.written,
		Rows: 1, Outcome: history.Unknown, Start: time.Now(),
	}
	r, ok := s.Query(fmt.Sprintf("WRITE %s %s", c.name, w.Tag))
	w.End = time.Now()
	switch {
	case ok && r.Code == "":
		w.Outcome = history.Acknowledged
	case ok && lineclient.NotRun(r.Code):
		w.Outcome = history.NotRun
	}
	c.system.recordWrite(w)
	c.result.record(r, ok, w.End.Sub(w.Start))
	return ok
}

// readOwn reads the caller's item and records the value seen in the history.
func (c *caller) readOwn(s *lineclient.Session) bool {
	h := history.Read{Session: fmt.Sprintf("%s-%d", c.name, c.sessions), Start: time.Now()}
	r, ok := c.read(s, c.name)
	if ok && r.Code == "" {
		h.End, h.Seen = time.Now(), numberOf(r)
		c.system.recordRead(h)
	}
	return ok
}

func numberOf(r lineclient.Reply) (n int) {
	if len(r.Rows) == 1 {
		_, number, _ := strings.Cut(r.Rows[0], "=")
		n, _ = strconv.Atoi(number)
	}
	return n
}

// Pattern: long reads of a low-priority route occupy every slot that they can
// get (each instance has two) while writes of a high-priority route arrive.
//
// Guards against urgent writes that wait until long reads end.
func TestUrgentWritesPassLongReads(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 3, routes(), linegroup.WithSlots(2), linegroup.WithServiceTimeFunc(longItemWork), linegroup.WithLag(5*time.Millisecond))
	long, urgent := newResult(), newResult()
	end := time.Now().Add(warmUp + loadDuration)
	var wg sync.WaitGroup
	for n := range 12 {
		c := &caller{system: s, name: fmt.Sprintf("r%d", n), route: routeReads, result: long, hosts: s.hosts}
		wg.Go(func() {
			c.run(end, func(x *lineclient.Session) bool { _, ok := c.read(x, "long"); return ok })
		})
	}
	time.Sleep(warmUp)
	for n := range 4 {
		c := &caller{system: s, name: fmt.Sprintf("w%d", n), route: routeUrgent, result: urgent, hosts: s.hosts, pause: 15 * time.Millisecond}
		wg.Go(func() { c.run(end, c.write) })
	}
	wg.Wait()
	t.Logf("long reads: %v", long)
	t.Logf("urgent writes: %v", urgent)
	is.Equal(len(urgent.refused), 0)
	is.True(len(urgent.took) > 100)
	is.True(urgent.quantile(0.99) < urgentObjective)
	is.True(len(long.took) > 0)
	s.check()
}

// Pattern: one route demands several times the capacity, another one little.
//
// Guards against a route that uses up the share of another.
func TestRouteKeepsItsShare(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 3, routes(), linegroup.WithSlots(2), linegroup.WithServiceTime(10*time.Millisecond), linegroup.WithLag(5*time.Millisecond))
	greedy, modest := newResult(), newResult()
	end := time.Now().Add(loadDuration)
	var wg sync.WaitGroup
	for n := range 60 {
		c := &caller{system: s, name: fmt.Sprintf("g%d", n), route: routeReads, result: greedy, hosts: s.hosts}
		wg.Go(func() {
			c.run(end, func(x *lineclient.Session) bool { _, ok := c.read(x, "short"); return ok })
		})
	}
	for n := range 4 {
		c := &caller{system: s, name: fmt.Sprintf("m%d", n), route: routeOther, result: modest, hosts: s.hosts, pause: 20 * time.Millisecond}
		wg.Go(func() {
			c.run(end, func(x *lineclient.Session) bool { _, ok := c.read(x, "short"); return ok })
		})
	}
	wg.Wait()
	t.Logf("greedy: %v", greedy)
	t.Logf("modest: %v", modest)
	is.Equal(len(modest.refused), 0)
	is.True(modest.quantile(0.99) < readObjective)
	// 6 slots run 600 reads of 10 ms a second.
	is.True(len(greedy.took)+len(modest.took) > 800)
	s.check()
}

// Pattern: a rolling restart. Hosts are drained and started one after the other
// under load.
//
// Guards against writes that are lost, applied twice or reported as refused
// although they ran, sessions that do not see their own writes while the
// ownership of their database moves, and more than one interrupted statement
// per session.
func TestDrainedHostsLoseNothing(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 3, routes(), linegroup.WithServiceTime(2*time.Millisecond), linegroup.WithLag(200*time.Millisecond))
	all := newResult()
	stop := time.Now().Add(3*gracePeriod + loadDuration)
	var wg sync.WaitGroup
	callers := make([]*caller, 9)
	for n := range callers {
		c := &caller{system: s, name: fmt.Sprintf("c%d", n), route: []string{routeOwn, routeUrgent}[n%2], result: all, hosts: s.hosts, pause: 5 * time.Millisecond}
		callers[n] = c
		wg.Go(func() {
			c.run(stop, func(x *lineclient.Session) bool { return c.write(x) && c.readOwn(x) && c.readOwn(x) })
		})
	}
	for _, h := range s.hosts {
		time.Sleep(200 * time.Millisecond)
		began := time.Now()
		h.drain()
		is.True(time.Since(began) < gracePeriod)
		s.start(h)
		s.awaitRoute(h, routeUrgent)
	}
	wg.Wait()
	t.Logf("%v", all)
	sessions := 0
	for _, c := range callers {
		sessions += c.sessions
	}
	is.True(all.cut <= sessions)
	is.True(len(all.took) > 1000)
	s.check()
}

// Pattern: a caller writes, its host is drained, and the caller reconnects to
// another host, where its new session reads.
//
// Guards against a new session that does not see a write of an earlier session
// that is older than the maximum staleness of the route.
func TestReconnectedSessionSeesEarlierWrites(t *testing.T) {
	is := is.New(t)
	s := newSystem(t, 2, routes(), linegroup.WithLag(2*ownStaleness))
	c := &caller{system: s, name: "c", route: routeOwn, result: newResult(), hosts: s.hosts[:1]}
	end := time.Now().Add(startTimeout)
	x := c.start(end)
	is.True(x != nil)
	is.True(c.write(x))
	is.True(c.readOwn(x))
	written := time.Now()
	s.hosts[0].drain()
	x.Close()
	c.hosts = s.hosts[1:]
	x = c.start(end)
	is.True(x != nil)
	defer x.Close()
	time.Sleep(time.Until(written.Add(ownStaleness)))
	r, ok := x.Query("READ " + c.name)
	is.True(ok)
	is.Equal(r.Code, "")
	is.Equal(numberOf(r), 1)
	s.check()
}

// Pattern: all hosts are restarted while the store accepts calls but does not
// answer them.
//
// Guards against hosts that keep waiting for the answers to their first calls,
// and serve no callers, after the store has recovered and answers new calls.
func TestStartWhileStoreIsSilent(t *testing.T) {
	is := is.New(t)
	const (
		silent    = 600 * time.Millisecond
		forever   = time.Minute
		patiently = time.Second
	)
	s := newSystem(t, 3, routes())
	var wg sync.WaitGroup
	for _, h := range s.hosts {
		wg.Go(h.drain)
	}
	wg.Wait()
	s.server.SetDelay(forever)
	began := time.Now()
	for _, h := range s.hosts {
		s.start(h)
	}
	time.AfterFunc(silent, func() { s.server.SetDelay(0) })
	for _, h := range s.hosts {
		s.awaitRoute(h, routeUrgent)
	}
	took := time.Since(began)
	t.Logf("served after %v", took)
	is.True(took < silent+patiently)
}

// Pattern: the primary is drained under load: it announces that it is leaving,
// and keeps working.
//
// Guards against statements that start on a leaving instance after the time
// within which it must be free of work, and against writes that are lost with
// it.
func TestReleasedPrimaryGetsNoWork(t *testing.T) {
	is := is.New(t)
	const (
		// freeWithin is how soon a leaving instance must get no more work.
		freeWithin = 7 * time.Second
		after      = time.Second
	)
	s := newSystem(t, 3, routes(), linegroup.WithServiceTime(2*time.Millisecond), linegroup.WithLag(5*time.Millisecond))
	all := newResult()
	end := time.Now().Add(freeWithin + after)
	var wg sync.WaitGroup
	for n := range 8 {
		c := &caller{system: s, name: fmt.Sprintf("c%d", n), route: []string{routeOwn, routeUrgent}[n%2], result: all, hosts: s.hosts, pause: 5 * time.Millisecond}
		wg.Go(func() {
			c.run(end, func(x *lineclient.Session) bool { return c.write(x) && c.readOwn(x) })
		})
	}
	leaving := s.group.Primary()
	leaving.SetLeaving()
	l := leaving.Listed()
	s.must(objects.PutInstance(t.Context(), s.store, l, l.Addr, objects.StateLeaving))
	time.Sleep(time.Until(end.Add(-after)))
	before := len(s.group.Executions())
	wg.Wait()
	runs := s.group.Executions()
	t.Logf("%v, %d statements after %v", all, len(runs)-before, freeWithin)
	is.True(len(runs)-before > 100)
	for _, r := range runs[before:] {
		is.True(r.Instance != leaving.ID())
	}
	is.True(s.group.Primary() != leaving)
	s.check()
}
