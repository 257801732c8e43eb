package admit

import (
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/matryer/is"
)

// latencyObjective is the shortest latency objective of the users' requests.
const latencyObjective = 100 * ms

// outage is the time in which no instance is available, as during a promotion.
const outage = time.Second

// afterOutage sends one customer's requests at 0.9 of the capacity of an instance
// that is unavailable at first. The requests of source "during" arrive in the
// outage, those of "after" later.
func afterOutage(q queue) *simulation {
	s := newSimulation(q, 5, 1, 2)
	capacity := func(available bool) {
		q.setInstances(s.clock.Now(), []gypsumyard.InstanceCapacity{{Name: "a", Slots: 2, Available: available}})
	}
	capacity(false)
	s.at(s.start.Add(outage), func() { capacity(true) })
	for _, phase := range []struct {
		name     string
		from, to time.Duration
	}{{"during", 0, outage}, {"after", outage + latencyObjective, 6 * time.Second}} {
		s.add(source{
			name: phase.name, customer: "x", plan: plan(1, 1, false), gap: 2800 * time.Microsecond,
			run: 5 * ms, from: phase.from, to: phase.to, targets: primaryTargets, timeout: 800 * ms,
		})
	}
	s.run(10 * time.Second)
	return s
}

// Guards against a backlog that delays all later requests beyond their objective,
// although the instance has slots for nearly all of them. The backlog is the work
// of one second, which waits for a promotion.
func TestBacklogDelaysNoNewcomers(t *testing.T) {
	is := is.New(t)
	s := afterOutage(newFairQueue(defaultPolicy))
	during, after := s.outcomes["during"], s.outcomes["after"]
	t.Logf("during: %d served, %d refused; after: %d served, %d refused, p50 %v, p95 %v, p99 %v",
		len(during.waits), during.refusals(), len(after.waits), after.refusals(),
		after.quantile(0.5), after.quantile(0.95), after.quantile(0.99))
	is.True(after.quantile(0.95) < latencyObjective)
	is.True(after.refusals() <= len(after.waits)/50)
	is.True(len(during.waits) > 0)
}

// Guards against an order of service in which every request misses its objective
// while demand is 1.3 times the capacity for several seconds.
func TestOverloadServesMostInTime(t *testing.T) {
	is := is.New(t)
	s := newSimulation(newFairQueue(defaultPolicy), 6, 1, 2)
	s.add(source{
		name: "read", customer: "x", plan: plan(1, 1, false), gap: 1920 * time.Microsecond,
		run: 5 * ms, to: 8 * time.Second, targets: primaryTargets, timeout: 800 * ms,
	})
	s.run(12 * time.Second)
	o := s.outcomes["read"]
	t.Logf("%d served, %d refused, p50 %v, p90 %v, p99 %v", len(o.waits), o.refusals(), o.quantile(0.5), o.quantile(0.9), o.quantile(0.99))
	is.True(len(o.waits) >= 3100) // 2 slots run 3,200 requests of 5 ms in 8 s
	is.True(o.quantile(0.9) < latencyObjective)
}

// Guards against later requests that overtake earlier ones while all of them can
// still meet their latency objective. A burst causes a queue of a quarter of a
// second ahead of requests with an objective of 800 ms.
func TestQueueWithinObjectiveKeepsOrder(t *testing.T) {
	is := is.New(t)
	const objective = 800 * ms
	s := newSimulation(withPolicy(func(p *policy) { p.standingAfter, p.maxStandingWait = 500*ms, 400*ms }), 8, 1, 2)
	for _, src := range []source{
		{name: "burst", gap: 10 * time.Microsecond, to: ms},
		{name: "steady", gap: 2800 * time.Microsecond, to: 3 * time.Second},
	} {
		src.customer, src.plan, src.run = "x", plan(1, 1, false), 5*ms
		src.targets, src.timeout, src.queueBudget = primaryTargets, time.Second, objective/2
		s.add(src)
	}
	s.run(6 * time.Second)
	for _, name := range []string{"burst", "steady"} {
		o := s.outcomes[name]
		t.Logf("%s: %d served, %d refused, p50 %v, longest %v", name, len(o.waits), o.refusals(), o.quantile(0.5), o.quantile(1))
		is.Equal(o.refusals(), 0)
		is.True(o.quantile(1) < objective)
	}
}
