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

// retryingCallers are callers that retry a refused request after the time given
// in the refusal, until they run out of attempts or time.
type retryingCallers struct {
	customer  string
	plan      gypsumyard.Plan
	gap       func(at time.Duration) time.Duration
	run       time.Duration
	to        time.Duration
	objective time.Duration
	// attemptTimeout limits one attempt, totalTimeout all attempts.
	attemptTimeout, totalTimeout time.Duration
	maxAttempts                  int
	targets                      []gypsumyard.Target

	asked, inTime, late, refused, expired int
}

func (r *retryingCallers) String() string {
	return fmt.Sprintf("%d asked, %d in time, %d late, %d refused, %d expired", r.asked, r.inTime, r.late, r.refused, r.expired)
}

// addRetrying adds the callers to the simulation.
func (s *simulation) addRetrying(r *retryingCallers) {
	s.seed++
	arrivals, runs := rand.New(rand.NewPCG(s.seed, 1)), rand.New(rand.NewPCG(s.seed, 2))
	var next func()
	next = func() {
		at := s.clock.Now().Sub(s.start)
		if at >= r.to {
			return
		}
		r.asked++
		s.attempt(r, runs, s.clock.Now(), 1)
		s.at(s.clock.Now().Add(exponential(arrivals, r.gap(at))), next)
	}
	s.at(s.start, next)
}

// attempt makes attempt n of a caller whose first attempt was at the given time.
func (s *simulation) attempt(r *retryingCallers, runs *rand.Rand, first time.Time, n int) {
	now := s.clock.Now()
	end := first.Add(r.totalTimeout)
	q := gypsumyard.SlotRequest{
		Customer: r.customer, Plan: r.plan, Expected: r.run, Targets: r.targets, LatestStart: now.Add(r.objective / 2), Deadline: now.Add(r.attemptTimeout),
	}
	w := newWaiter(q, now)
	w.onResolve = func(w *waiter) {
		now := s.clock.Now()
		if w.err != nil {
			var e *gypsumyard.Error
			errors.As(w.err, &e)
			again := now.Add(max(e.RetryAfter, time.Millisecond))
			switch {
			case now.After(end):
				r.expired++
			case n >= r.maxAttempts || again.After(end):
				r.refused++
			default:
				s.at(again, func() { s.attempt(r, runs, first, n+1) })
			}
			return
		}
		run := r.run/2 + exponential(runs, r.run/2)
		s.at(now.Add(run), func() {
			s.queue.release(s.clock.Now(), w.grant.ID, run)
			switch took := s.clock.Now().Sub(first); {
			case took > r.totalTimeout:
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

// The load of TestSurge: a base load, and a surge from surgeFrom to surgeTo.
const (
	surgeFrom = 2 * time.Second
	surgeTo   = 5 * time.Second
	surgeEnd  = 8 * time.Second
	baseLoad  = 0.6
	// surgeSlots is the number of slots of the only instance.
	surgeSlots = 2
)

// surgeGap returns a function that returns the mean gap between requests at a
// time. The load during the surge is given as a fraction of the capacity.
func surgeGap(run time.Duration, load float64) func(at time.Duration) time.Duration {
	return func(at time.Duration) time.Duration {
		if at < surgeFrom || at >= surgeTo {
			return time.Duration(float64(run) / surgeSlots / baseLoad)
		}
		return time.Duration(float64(run) / surgeSlots / load)
	}
}

// Guards against a queue in which most requests miss their objective when demand
// exceeds the capacity for three seconds and refused callers retry twice. At least
// 95% of the capacity must go to requests that meet it, and few may miss it.
func TestSurge(t *testing.T) {
	const run = 7600 * time.Microsecond
	for _, load := range []float64{0.95, 1.2, 1.5, 2.5} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(newFairQueue(defaultPolicy), 6, 1, surgeSlots)
			r := &retryingCallers{
				customer: "x", plan: plan(1, 1, false), gap: surgeGap(run, load), run: run, to: surgeEnd,
				objective: 200 * ms, attemptTimeout: 800 * ms, totalTimeout: 1500 * ms, maxAttempts: 3, targets: primaryTargets,
			}
			s.addRetrying(r)
			s.run(2 * surgeEnd)
			t.Logf("load %v: %v", load, r)
			busy := baseLoad*(surgeEnd-surgeTo+surgeFrom).Seconds() + min(load, 1)*(surgeTo-surgeFrom).Seconds()
			capacity := busy * surgeSlots / run.Seconds()
			is.True(float64(r.inTime) > 0.95*min(capacity, float64(r.asked)))
			is.True(r.late < r.asked/20)
		})
	}
}

// Guards against refusals of priority requests that are meant to keep a standing
// queue short in which priority requests do not wait. A primary gets slightly more
// priority requests than it can run for half a second, and lower-priority work.
func TestUrgentSurgeIsServed(t *testing.T) {
	is := is.New(t)
	// With service in the order of arrival, requests are refused only on arrival.
	s := newSimulation(withPolicy(func(p *policy) { p.overdueAfter = time.Hour }), 9, 1, surgeSlots)
	const run = 2500 * time.Microsecond
	s.add(source{
		name: "other", customer: "y", plan: plan(0.5, 1, false), gap: 4 * run, run: 2 * run, to: 4 * time.Second, targets: primaryTargets, timeout: 800 * ms,
	})
	for _, phase := range []struct {
		load     float64
		from, to time.Duration
	}{{0.5, 0, 4 * time.Second}, {0.7, time.Second, 1500 * ms}} {
		s.add(source{
			name: "urgent", customer: "x", plan: plan(4, 1, true), gap: time.Duration(float64(run) / surgeSlots / phase.load), run: run,
			from: phase.from, to: phase.to, priority: true, targets: primaryTargets, timeout: 800 * ms,
		})
	}
	s.run(8 * time.Second)
	urgent, other := s.outcomes["urgent"], s.outcomes["other"]
	t.Logf("urgent: %d served, %d refused, longest %v; other: %d served, %d refused",
		len(urgent.waits), urgent.refusals(), urgent.quantile(1), len(other.waits), other.refusals())
	is.Equal(urgent.refusals(), 0)
	is.True(len(other.waits) > 0)
}
