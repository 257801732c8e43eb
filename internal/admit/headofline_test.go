package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

func plan(share, limit float64, priority bool) gypsumyard.Plan {
	return gypsumyard.Plan{
		Name: "p", Share: share, Limit: limit, Priority: priority,
		MaxWait: gypsumyard.Duration(2 * time.Second), MaxQueue: 10_000,
	}
}

const ms = time.Millisecond

// mixed is a load as at Svellfræði: clubs read ice readings, flood orders are
// priority writes, researchers pull logs.
func mixed(s *simulation, rate float64, end time.Duration) {
	research := plan(0.3, 0.9, false)
	research.MaxWait = gypsumyard.Duration(30 * time.Second)
	for n := range 3 {
		club := fmt.Sprint("club-", n)
		s.add(source{
			name: "short", customer: club, plan: plan(0.2, 0.9, true), gap: time.Duration(float64(3*ms) / rate),
			run: 2 * ms, to: end, targets: anywhere,
		})
		s.add(source{
			name: "priority", customer: club, plan: plan(0.2, 0.9, true), gap: 60 * ms,
			run: 2 * ms, to: end, priority: true, targets: primary,
		})
	}
	s.add(source{
		name: "long", customer: "research", plan: research, gap: 1500 * ms,
		run: 2 * time.Second, to: end, long: true, targets: anywhere,
	})
}

func headOfLine(q queue, rate float64) *simulation {
	s := newSimulation(q, 7, 3, 2)
	mixed(s, rate, 60*time.Second)
	s.run(90 * time.Second)
	return s
}

func with(change func(p *policy)) queue {
	p := defaultPolicy
	change(&p)
	return newFair(p)
}

// Guards against short and priority requests that wait for long ones to end.
// With -v it prints the table of docs/decisions-admission.md.
func TestHeadOfLine(t *testing.T) {
	queues := []struct {
		name  string
		build func() queue
	}{
		{"fcfs", func() queue { return newFCFS() }},
		{"fair", func() queue { return newFair(defaultPolicy) }},
		{"fair, long anywhere", func() queue { return with(func(p *policy) { p.keepClear = false }) }},
		{"fair, no reserve", func() queue { return with(func(p *policy) { p.reserve = false }) }},
	}
	for _, rate := range []float64{0.9, 2.4, 4.5} {
		t.Logf("short load %.1f slots of 6, long load 1.3 slots", rate*2)
		for _, q := range queues {
			s := headOfLine(q.build(), rate)
			for _, name := range []string{"short", "priority", "long"} {
				o := s.outcomes[name]
				t.Logf("| %s | %s | %d | %d | %v | %v | %v |", q.name, name, len(o.waits), o.refusals(),
					o.quantile(0.5).Round(10*time.Microsecond), o.quantile(0.99).Round(10*time.Microsecond), o.quantile(1).Round(10*time.Microsecond))
			}
		}
	}
}
