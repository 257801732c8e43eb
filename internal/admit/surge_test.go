package admit

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/matryer/is"
)

// returning are callers that come back after a refusal, at the time that they
// are told, until they have used up their tries or their time.
type returning struct {
	customer  string
	plan      gypsumyard.Plan
	gap       func(at time.Duration) time.Duration
	run       time.Duration
	to        time.Duration
	objective time.Duration
	// timeout bounds a try, patience all of them.
	timeout, patience time.Duration
	tries             int
	targets           []gypsumyard.Target

	asked, inTime, late, refused, expired int
}

func (r *returning) String() string {
	return fmt.Sprintf("%d asked, %d in time, %d late, %d refused, %d expired", r.asked, r.inTime, r.late, r.refused, r.expired)
}

// addReturning adds the callers to the simulation.
func (s *simulation) addReturning(r *returning) {
	s.seed++
	arrivals, runs := rand.New(rand.NewPCG(s.seed, 1)), rand.New(rand.NewPCG(s.seed, 2))
	var next func()
	next = func() {
		at := s.clock.Now().Sub(s.start)
		if at >= r.to {
			return
		}
		r.asked++
		s.try(r, runs, s.clock.Now(), 1)
		s.at(s.clock.Now().Add(exponential(arrivals, r.gap(at))), next)
	}
	s.at(s.start, next)
}

// try makes one try of a caller that asked first at the given time.
func (s *simulation) try(r *returning, runs *rand.Rand, first time.Time, n int) {
	now := s.clock.Now()
	end := first.Add(r.patience)
	t := gypsumyard.SlotRequest{
		Customer: r.customer, Plan: r.plan, Expected: r.run, Targets: r.targets, LatestStart: now.Add(r.objective / 2), Deadline: now.Add(r.timeout),
	}
	w := newWaiter(t, now)
	w.observe = func(w *waiter) {
		now := s.clock.Now()
		if w.err != nil {
			var e *gypsumyard.Error
			errors.As(w.err, &e)
			again := now.Add(max(e.RetryAfter, time.Millisecond))
			switch {
			case now.After(end):
				r.expired++
			case n >= r.tries || again.After(end):
				r.refused++
			default:
				s.at(again, func() { s.try(r, runs, first, n+1) })
			}
			return
		}
		run := r.run/2 + exponential(runs, r.run/2)
		s.at(now.Add(run), func() {
			s.queue.release(s.clock.Now(), w.grant.ID, run)
			switch took := s.clock.Now().Sub(first); {
			case took > r.patience:
				r.expired++
			case took > r.objective:
				r.late++
			default:
				r.inTime++
			}
		})
	}
	s.queue.arrive(now, w)
}

// The load of TestSurge: a usual one, and a surge for a part of the time.
const (
	surgeFrom = 2 * time.Second
	surgeTo   = 5 * time.Second
	surgeEnd  = 8 * time.Second
	usualLoad = 0.6
	// surgeSlots is the capacity.
	surgeSlots = 2
)

// surge returns the time between two requests at the given time. The load is in
// parts of the capacity.
func surge(run time.Duration, load float64) func(at time.Duration) time.Duration {
	return func(at time.Duration) time.Duration {
		if at < surgeFrom || at >= surgeTo {
			return time.Duration(float64(run) / surgeSlots / usualLoad)
		}
		return time.Duration(float64(run) / surgeSlots / load)
	}
}

// Pattern: demand is above the capacity for three seconds, and callers that were
// refused come back twice.
//
// Guards against a queue in which most requests wait until they are late: at
// least 95% of the capacity must go to answers in time, and few may be late.
func TestSurge(t *testing.T) {
	const run = 7600 * time.Microsecond
	for _, load := range []float64{0.95, 1.2, 1.5, 2.5} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(newFair(defaultPolicy), 6, 1, surgeSlots)
			r := &returning{
				customer: "x", plan: plan(1, 1, false), gap: surge(run, load), run: run, to: surgeEnd,
				objective: 200 * ms, timeout: 800 * ms, patience: 1500 * ms, tries: 3, targets: primary,
			}
			s.addReturning(r)
			s.run(2 * surgeEnd)
			t.Logf("load %v: %v", load, r)
			busy := usualLoad*(surgeEnd-surgeTo+surgeFrom).Seconds() + min(load, 1)*(surgeTo-surgeFrom).Seconds()
			capacity := busy * surgeSlots / run.Seconds()
			is.True(float64(r.inTime) > 0.95*min(capacity, float64(r.asked)))
			is.True(r.late < r.asked/20)
		})
	}
}

// Pattern: a primary gets a little more urgent orders than it can run for half a
// second, and other work that yields to them.
//
// Guards against urgent requests that are refused to keep a queue short in which
// they need not stand.
func TestUrgentSurgeIsServed(t *testing.T) {
	is := is.New(t)
	// In the order of arrival only refusals on arrival are left.
	s := newSimulation(with(func(p *policy) { p.overdueAfter = time.Hour }), 9, 1, surgeSlots)
	const run = 2500 * time.Microsecond
	s.add(source{
		name: "other", customer: "y", plan: plan(0.5, 1, false), gap: 4 * run, run: 2 * run, to: 4 * time.Second, targets: primary, patience: 800 * ms,
	})
	for _, phase := range []struct {
		load     float64
		from, to time.Duration
	}{{0.5, 0, 4 * time.Second}, {0.7, time.Second, 1500 * ms}} {
		s.add(source{
			name: "urgent", customer: "x", plan: plan(4, 1, true), gap: time.Duration(float64(run) / surgeSlots / phase.load), run: run,
			from: phase.from, to: phase.to, priority: true, targets: primary, patience: 800 * ms,
		})
	}
	s.run(8 * time.Second)
	urgent, other := s.outcomes["urgent"], s.outcomes["other"]
	t.Logf("urgent: %d served, %d refused, longest %v; other: %d served, %d refused",
		len(urgent.waits), urgent.refusals(), urgent.quantile(1), len(other.waits), other.refusals())
	is.Equal(urgent.refusals(), 0)
	is.True(len(other.waits) > 0)
}
