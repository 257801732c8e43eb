package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/matryer/is"
)

// addPeakLoad adds a steady load of one and a half times the capacity for 20 s
// from 20 clubs, of which one sends a third of it, and bursts of 600 reads every
// 5 s from another 20 clubs that are otherwise idle.
func addPeakLoad(s *simulation) {
	end := 20 * time.Second
	for n := range 20 {
		gap := 6700 * time.Microsecond
		if n == 0 {
			gap = 670 * time.Microsecond
		}
		s.add(source{
			name: "steady", customer: fmt.Sprint("club-", n), plan: plan(0.02, 0.9, false), gap: gap,
			run: 2 * ms, to: end, targets: anyTargets, timeout: time.Second,
		})
		for at := time.Second; at < end; at += 5 * time.Second {
			s.add(source{
				name: "burst", customer: fmt.Sprint("quiet-", n), plan: plan(0.02, 0.9, false), gap: ms,
				run: 2 * ms, from: at, to: at + 30*ms, targets: anyTargets, timeout: time.Second,
			})
		}
	}
}

// Guards against reads that take a free slot at a replica with a lag of 200 ms
// although a slot of lower cost becomes free soon after.
func TestCostIsWeighed(t *testing.T) {
	is := is.New(t)
	lagging := []gypsumyard.Target{anyTargets[0], {Instance: "c", Cost: 200 * ms}, anyTargets[2]}
	p99 := map[bool]time.Duration{}
	for _, weigh := range []bool{false, true} {
		s := newSimulation(withPolicy(func(p *policy) { p.waitForCheaper = weigh }), 3, 3, 2)
		s.add(source{name: "read", customer: "x", plan: plan(1, 1, false), gap: 700 * time.Microsecond, run: 2 * ms, to: 20 * time.Second, targets: lagging})
		s.run(30 * time.Second)
		o := s.outcomes["read"]
		p99[weigh] = o.quantile(0.99)
		t.Logf("weighed %v: %d reads, p50 %v, p99 %v", weigh, len(o.waits), o.quantile(0.5), p99[weigh])
	}
	is.True(p99[false] >= 200*ms)
	is.True(p99[true] < 20*ms)
}

const defaultName = "fair, 200 ms / 50 ms"

// Guards against refusing much more than the excess demand at peak load, and
// against admitted requests that wait until shortly before their deadlines. With
// -v it prints the table of docs/decisions-admission.md.
func TestPeakDemand(t *testing.T) {
	is := is.New(t)
	standing := func(after, wait time.Duration) func() queue {
		return func() queue {
			return withPolicy(func(p *policy) { p.standingAfter, p.maxStandingWait = after, wait })
		}
	}
	for _, q := range []struct {
		name  string
		build func() queue
	}{
		{"fcfs", func() queue { return newFCFSQueue() }},
		{"fair, no early refusal", func() queue { return withPolicy(func(p *policy) { p.refuseEarly = false }) }},
		{"fair, no standing limit", standing(time.Hour, time.Hour)},
		{"fair, 500 ms / 100 ms", standing(500*ms, 100*ms)},
		{defaultName, func() queue { return newFairQueue(defaultPolicy) }},
		{"fair, 100 ms / 20 ms", standing(100*ms, 20*ms)},
		{"fair, 100 ms / 5 ms", standing(100*ms, 5*ms)},
	} {
		if !testing.Verbose() && q.name != defaultName {
			continue
		}
		s := newSimulation(q.build(), 11, 3, 2)
		addPeakLoad(s)
		s.run(30 * time.Second)
		for _, name := range []string{"steady", "burst"} {
			o := s.outcomes[name]
			mean := func(d time.Duration) time.Duration {
				return (d / time.Duration(len(o.waits))).Round(100 * time.Microsecond)
			}
			t.Logf("| %s | %s | %d | %d | %d | %v | %v | %v | %v |", q.name, name, len(o.waits), o.refused[gypsumyard.ClassLoad], o.refused[gypsumyard.ClassPlan],
				o.quantile(0.5).Round(10*time.Microsecond), o.quantile(0.99).Round(10*time.Microsecond), mean(o.expected), mean(o.waited))
		}
		if q.name == defaultName {
			// 6 slots run 60,000 requests of 2 ms in 20 s.
			steady, burst := s.outcomes["steady"], s.outcomes["burst"]
			is.True(len(steady.waits)+len(burst.waits) > 59_000)
			is.True(steady.quantile(0.99) < 300*ms)
			is.Equal(burst.refusals(), 0)
		}
	}
}
