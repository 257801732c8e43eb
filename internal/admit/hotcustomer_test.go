package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against service that one customer takes from the others. There are 78 customers
// on three routes; the largest suddenly sends 7.5 times its usual load, which is more than
// all slots can run.
func TestHotCustomerDelaysOnlyItself(t *testing.T) {
	is := is.New(t)
	const (
		customers = 78
		usual     = 300 // requests a second of all customers
		objective = 500 * ms
		end       = 10 * time.Second
	)
	routes := []time.Duration{8 * ms, 24 * ms, 40 * ms}
	total := 0.0
	for n := range customers {
		total += 1 / float64(n+1)
	}
	s := newSimulation(newFairQueue(defaultPolicy), 1, 3, 5)
	for n := range customers {
		for r, run := range routes {
			rate := usual / float64(len(routes)) / float64(n+1) / total
			src := source{
				name: "others", customer: fmt.Sprintf("route-%d customer-%d", r, n), plan: plan(1, 1, false), run: run,
				gap: time.Duration(float64(time.Second) / rate), to: end, targets: anyTargets, timeout: 2 * time.Second, queueBudget: objective / 2,
			}
			if n == 0 {
				src.name = "hot"
				src.gap = src.gap * 10 / 75
			}
			s.add(src)
		}
	}
	s.run(2 * end)
	hot, others := s.outcomes["hot"], s.outcomes["others"]
	t.Logf("others: %d served, %d refused, 99%% within %v; hot: %d served, %d refused",
		len(others.waits), others.refusals(), others.quantile(0.99), len(hot.waits), hot.refusals())
	is.True(others.refusals() < len(others.waits)/1000)
	is.True(others.quantile(0.99) < objective/2)
	is.True(hot.refusals() > 0)
	is.True(len(hot.waits) > len(others.waits)/2) // it gets the slots that are left
}
