package admit

import (
	"cmp"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/clock"
)

// A source generates requests of one type with exponentially distributed gaps.
type source struct {
	name     string
	customer string
	plan     gypsumyard.Plan
	gap      time.Duration
	run      time.Duration
	from, to time.Duration
	priority bool
	long     bool
	// transaction indicates that the requests belong to open transactions.
	transaction bool
	targets     []gypsumyard.Target
	// closedLoop sends the next request after the previous one has finished, with
	// a mean delay of gap.
	closedLoop bool
	// timeout is the time from arrival to the caller's deadline. Zero means no
	// deadline.
	timeout time.Duration
	// queueBudget is the part of its latency objective that a request may spend
	// in the queue. Zero means that the objective is unknown.
	queueBudget time.Duration

	// arrivals and runs are separate random generators, so that all queues see
	// the same load.
	arrivals, runs *rand.Rand
}

// An outcome collects the results of a source's requests.
type outcome struct {
	// waits holds the wait for a slot plus the cost of the target for each
	// admitted request.
	waits []time.Duration
	// expected and waited are the total expected and actual waits for a slot of
	// the admitted requests.
	expected, waited time.Duration

	refused map[gypsumyard.ErrorClass]int
	used    time.Duration
}

func (o *outcome) quantile(q float64) time.Duration {
	if len(o.waits) == 0 {
		return 0
	}
	slices.Sort(o.waits)
	return o.waits[min(int(q*float64(len(o.waits))), len(o.waits)-1)]
}

func (o *outcome) refusals() (n int) {
	for _, r := range o.refused {
		n += r
	}
	return n
}

// A simulation drives a queue through a seeded sequence of events with a fake
// clock, on one goroutine.
type simulation struct {
	clock    *clock.Fake
	start    time.Time
	queue    queue
	seed     uint64
	events   []simEvent // ordered by time
	outcomes map[string]*outcome
	// check, if set, is called after each event.
	check func()
}

type simEvent struct {
	at time.Time
	do func()
}

func newSimulation(q queue, seed uint64, instances, slots int) *simulation {
	start := time.Unix(1_000_000, 0)
	s := &simulation{
		clock:    clock.NewFake(start),
		start:    start,
		queue:    q,
		seed:     seed,
		outcomes: map[string]*outcome{},
	}
	var list []gypsumyard.InstanceCapacity
	for n := range instances {
		list = append(list, gypsumyard.InstanceCapacity{Name: instanceName(n), Slots: slots, Available: true})
	}
	q.setInstances(start, list)
	return s
}

func instanceName(n int) string { return string(rune('a' + n)) }

// anyTargets are the targets of a read. Instance a is the primary.
var anyTargets = []gypsumyard.Target{
	{Instance: "b", Cost: 500 * time.Microsecond},
	{Instance: "c", Cost: 600 * time.Microsecond},
	{Instance: "a", Cost: 3 * time.Millisecond},
}

var primaryTargets = []gypsumyard.Target{{Instance: "a", Cost: 500 * time.Microsecond}}

func (s *simulation) at(t time.Time, do func()) {
	i, _ := slices.BinarySearchFunc(s.events, t, func(e simEvent, t time.Time) int {
		return cmp.Or(e.at.Compare(t), -1) // after events of the same time
	})
	s.events = slices.Insert(s.events, i, simEvent{t, do})
}

func exponential(r *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(r.ExpFloat64() * float64(mean))
}

func (s *simulation) add(src source) {
	if s.outcomes[src.name] == nil {
		s.outcomes[src.name] = &outcome{refused: map[gypsumyard.ErrorClass]int{}}
	}
	s.seed++
	src.arrivals = rand.New(rand.NewPCG(s.seed, 1))
	src.runs = rand.New(rand.NewPCG(s.seed, 2))
	s.at(s.start.Add(src.from+exponential(src.arrivals, src.gap)), func() { s.arrive(src) })
}

func (s *simulation) scheduleNext(src source) {
	next := s.clock.Now().Add(exponential(src.arrivals, src.gap))
	if next.Before(s.start.Add(src.to)) {
		s.at(next, func() { s.arrive(src) })
	}
}

func (s *simulation) arrive(src source) {
	now := s.clock.Now()
	r := gypsumyard.SlotRequest{
		Customer: src.customer, Plan: src.plan, Priority: src.priority,
		Long: src.long, Expected: src.run, InTransaction: src.transaction, Targets: src.targets,
	}
	if src.timeout > 0 {
		r.Deadline = now.Add(src.timeout)
	}
	if src.queueBudget > 0 {
		r.LatestStart = now.Add(src.queueBudget)
	}
	w := newWaiter(r, now)
	w.onResolve = func(w *waiter) { s.resolved(src, w) }
	s.queue.arrive(now, w)
	if !src.closedLoop {
		s.scheduleNext(src)
	}
}

func (s *simulation) resolved(src source, w *waiter) {
	o := s.outcomes[src.name]
	if w.err != nil {
		var e *gypsumyard.Error
		errors.As(w.err, &e)
		o.refused[e.Class]++
		if src.closedLoop {
			if next := s.clock.Now().Add(max(e.RetryAfter, time.Millisecond)); next.Before(s.start.Add(src.to)) {
				s.at(next, func() { s.arrive(src) })
			}
		}
		return
	}
	o.expected += w.expectedWait
	o.waited += w.grant.Waited
	o.waits = append(o.waits, w.grant.Waited+w.grant.Target.Cost)
	run := src.run/2 + exponential(src.runs, src.run/2)
	s.at(s.clock.Now().Add(run), func() {
		o.used += run
		s.queue.release(s.clock.Now(), w.grant.ID, run)
		if src.closedLoop {
			s.scheduleNext(src)
		}
	})
}

// run processes events up to the given time after the start of the simulation.
func (s *simulation) run(until time.Duration) {
	end := s.start.Add(until)
	for {
		at, tick := s.queue.nextTick()
		if len(s.events) > 0 && (!tick || !s.events[0].at.After(at)) {
			at, tick = s.events[0].at, false
		} else if !tick {
			return
		}
		if at.After(end) {
			return
		}
		s.clock.Advance(at.Sub(s.clock.Now()))
		if tick {
			s.queue.tick(s.clock.Now())
		} else {
			next := s.events[0]
			s.events = slices.Delete(s.events, 0, 1)
			next.do()
		}
		if s.check != nil {
			s.check()
		}
	}
}
