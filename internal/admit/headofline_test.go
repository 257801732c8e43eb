package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/matryer/is"
)

func plan(share, limit float64, priority bool) gypsumyard.Plan {
	return gypsumyard.Plan{
		Name: "p", Share: share, Limit: limit, Priority: priority,
		MaxWait: gypsumyard.Duration(2 * time.Second), MaxQueue: 10_000,
	}
}

const ms = time.Millisecond

// addMixedLoad adds a load like that of the Svellfræði deployment: clubs read ice
// readings (short), flood orders are priority writes, and researchers pull logs
// (long). Each researcher requests the next log after it has received one.
func addMixedLoad(s *simulation, rate float64, researchers int, end time.Duration) {
	research := plan(0.3, 0.9, false)
	research.MaxWait = gypsumyard.Duration(30 * time.Second)
	for n := range 3 {
		club := fmt.Sprint("club-", n)
		s.add(source{
			name: "short", customer: club, plan: plan(0.2, 0.9, true), gap: time.Duration(float64(3*ms) / rate),
			run: 2 * ms, to: end, targets: anyTargets,
		})
		s.add(source{
			name: "priority", customer: club, plan: plan(0.2, 0.9, true), gap: 60 * ms,
			run: 2 * ms, to: end, priority: true, targets: primaryTargets,
		})
	}
	for range researchers {
		s.add(source{
			name: "long", customer: "research", plan: research, gap: 500 * ms,
			run: 2 * time.Second, to: end, long: true, closedLoop: true, targets: anyTargets,
		})
	}
}

func headOfLine(q queue, slots int, rate float64, researchers int) *simulation {
	s := newSimulation(q, 7, 3, slots)
	addMixedLoad(s, rate, researchers, 60*time.Second)
	s.run(90 * time.Second)
	return s
}

func withPolicy(change func(p *policy)) queue {
	p := defaultPolicy
	change(&p)
	return newFairQueue(p)
}

// Guards against head-of-line blocking: short and priority requests that wait for
// long ones to finish.
// With -v it prints the table of docs/decisions-admission.md.
func TestHeadOfLine(t *testing.T) {
	is := is.New(t)
	queues := []struct {
		name  string
		build func() queue
	}{
		{"fcfs", func() queue { return newFCFSQueue() }},
		{"fair", func() queue { return newFairQueue(defaultPolicy) }},
		{"fair, long anywhere", func() queue { return withPolicy(func(p *policy) { p.avoidSoleTargets = false }) }},
		{"fair, no room", func() queue { return withPolicy(func(p *policy) { p.limitLong = false }) }},
		{"fair, no reserve", func() queue { return withPolicy(func(p *policy) { p.reserveForLong = false }) }},
	}
	for _, load := range []struct {
		slots       int
		rate        float64
		researchers int
	}{{2, 0.9, 1}, {2, 0.9, 6}, {2, 1.5, 6}, {2, 4.5, 6}, {5, 4, 12}} {
		at := fmt.Sprintf("%d x 3, %.1f, %d", load.slots, load.rate*2, load.researchers)
		for _, q := range queues {
			if !testing.Verbose() && q.name != "fair" {
				continue
			}
			s := headOfLine(q.build(), load.slots, load.rate, load.researchers)
			for _, name := range []string{"short", "priority", "long"} {
				o := s.outcomes[name]
				if q.name == "fair" && name == "priority" {
					is.True(o.quantile(0.99) < 5*ms)
					is.Equal(o.refusals(), 0)
				}
				if q.name == "fair" && name == "short" && load.rate*2 < 0.6*float64(3*load.slots) {
					is.True(o.quantile(0.99) < 20*ms)
					is.Equal(o.refusals(), 0)
				}
				t.Logf("| %s | %s | %s | %d | %d | %v | %v | %v |", at, q.name, name, len(o.waits), o.refusals(),
					o.quantile(0.5).Round(10*time.Microsecond), o.quantile(0.99).Round(10*time.Microsecond), o.quantile(1).Round(10*time.Microsecond))
			}
		}
	}
}
