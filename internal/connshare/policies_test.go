package connshare

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/matryer/is"
)

// The load of the comparison: the customers of a group, their demand on one instance,
// and the connections that they share.
const (
	simCustomers = 78
	simLimit     = 54
	simRate      = 135.0 // requests a second of all customers
	simRun       = 24 * time.Millisecond
	simOpen      = 12 * time.Millisecond
	simZipf      = 1.2
	hotFactor    = 7.5
)

// A policy decides which connections are open. Its connections never run out in the
// comparison, so that no request waits.
type policy interface {
	// take reports whether a connection had to be opened.
	take(customer int) (opened bool)
	put(customer int)
}

// allocatorPolicy is the policy of an Allocator.
type allocatorPolicy struct{ *Allocator }

func (p allocatorPolicy) take(customer int) bool {
	return p.Take(names[customer]).Action != Reuse
}

func (p allocatorPolicy) put(customer int) { p.Return(names[customer]) }

// A listPolicy holds the idle connections in the order of their last use.
type listPolicy struct {
	idle []int // customers, least recently used first
	open map[int]int
	all  int
	// victim returns the index of the idle connection to close.
	victim func(p *listPolicy) int
	// share returns how many connections a customer may have, or nil.
	share func(p *listPolicy) int
}

func (p *listPolicy) take(customer int) bool {
	for n, c := range slices.Backward(p.idle) {
		if c == customer {
			p.idle = slices.Delete(p.idle, n, n+1)
			return false
		}
	}
	if p.all == simLimit {
		p.close(p.victim(p))
	}
	p.open[customer]++
	p.all++
	return true
}

func (p *listPolicy) put(customer int) {
	p.idle = append(p.idle, customer)
	if p.share != nil && p.open[customer] > p.share(p) {
		p.close(len(p.idle) - 1)
	}
}

func (p *listPolicy) close(n int) {
	c := p.idle[n]
	p.idle = slices.Delete(p.idle, n, n+1)
	p.all--
	if p.open[c]--; p.open[c] == 0 {
		delete(p.open, c)
	}
}

func newLRU() *listPolicy {
	return &listPolicy{open: map[int]int{}, victim: func(*listPolicy) int { return 0 }}
}

// newEqualShares returns the policy by which each customer that has connections keeps at
// most its part of the limit. The customer with the most loses one first.
func newEqualShares() *listPolicy {
	return &listPolicy{
		open: map[int]int{},
		victim: func(p *listPolicy) (best int) {
			for n, c := range p.idle {
				if p.open[c] > p.open[p.idle[best]] {
					best = n
				}
			}
			return best
		},
		share: func(p *listPolicy) int { return max(simLimit/len(p.open), 1) },
	}
}

// A simEvent is the arrival of a request, or its end.
type simEvent struct {
	at       time.Duration
	customer int
	// ends indicates the end of a request, pauses that there is none.
	ends, pauses bool
}

type simEvents []simEvent

func (h simEvents) Len() int           { return len(h) }
func (h simEvents) Less(i, j int) bool { return h[i].at < h[j].at }
func (h simEvents) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *simEvents) Push(x any)        { *h = append(*h, x.(simEvent)) }
func (h *simEvents) Pop() any {
	e := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return e
}

// A scenario gives the factor of a customer's usual demand at a time. Customer 0 has
// the most demand.
type scenario struct {
	name   string
	factor func(at time.Duration, customer int) float64
}

const simLength = 9 * time.Minute

// scenarios are the demands of the comparison. A change lasts from the fourth to the
// sixth minute.
var scenarios = []scenario{
	{"steady", func(time.Duration, int) float64 { return 1 }},
	{"largest customer hot", hot(0)},
	{"tenth customer hot", hot(9)},
	{"60th customer hot", hot(59)},
	{"20 customers pause", func(at time.Duration, customer int) float64 {
		if changed(at) && customer >= 10 && customer < 30 {
			return 0
		}
		return 1
	}},
	{"demands reversed", func(at time.Duration, customer int) float64 {
		if changed(at) {
			return weights[simCustomers-1-customer] / weights[customer]
		}
		return 1
	}},
}

func changed(at time.Duration) bool { return at > 3*time.Minute && at < 6*time.Minute }

func hot(customer int) func(time.Duration, int) float64 {
	return func(at time.Duration, c int) float64 {
		if c == customer && changed(at) {
			return hotFactor
		}
		return 1
	}
}

// weights are the parts of the demand that the customers have, names their names.
var weights, names = func() (w [simCustomers]float64, names [simCustomers]string) {
	total := 0.0
	for n := range w {
		w[n] = math.Pow(float64(n+1), -simZipf)
		total += w[n]
		names[n] = fmt.Sprint("customer-", n)
	}
	for n := range w {
		w[n] /= total
	}
	return w, names
}()

// simulate returns how many connections were opened after the first minute, and the
// highest part of the requests of a customer that had to open one.
func simulate(p policy, clk *clock.Fake, sc scenario) (opens int, worst float64) {
	r := rand.New(rand.NewPCG(1, 1))
	var events simEvents
	now := time.Duration(0)
	next := func(customer int) {
		rate := simRate * weights[customer] * sc.factor(now, customer)
		if rate == 0 { // Asks again in a second.
			heap.Push(&events, simEvent{at: now + time.Second, customer: customer, pauses: true})
			return
		}
		heap.Push(&events, simEvent{at: now + seconds(r.ExpFloat64()/rate), customer: customer})
	}
	for c := range simCustomers {
		next(c)
	}
	var asked, opened [simCustomers]int
	for {
		e := heap.Pop(&events).(simEvent)
		if e.at > simLength {
			break
		}
		clk.Advance(e.at - now)
		now = e.at
		if e.ends {
			p.put(e.customer)
			continue
		}
		next(e.customer)
		if e.pauses {
			continue
		}
		run := seconds(r.ExpFloat64() * simRun.Seconds())
		asked[e.customer]++
		if p.take(e.customer) {
			run += simOpen
			opened[e.customer]++
		}
		heap.Push(&events, simEvent{at: now + run, customer: e.customer, ends: true})
		if now < time.Minute {
			asked, opened = [simCustomers]int{}, [simCustomers]int{}
		}
	}
	for c, n := range asked {
		opens += opened[c]
		worst = max(worst, float64(opened[c])/float64(max(n, 1)))
	}
	return opens, worst
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Guards against a policy that opens more connections than simpler ones, or whose
// requests of a customer open one nearly each time. The load is one on which least
// recently used (LRU) and equal shares were compared as well, see
// docs/design/connections.md.
func TestOpensOfPolicies(t *testing.T) {
	is := is.New(t)
	total := map[string]int{}
	for _, sc := range scenarios {
		opens := map[string]int{}
		line := ""
		for _, name := range []string{"allocator", "LRU", "equal shares"} {
			clk := clock.NewFake(time.Unix(1_000_000, 0))
			policies := map[string]policy{"allocator": allocatorPolicy{newAllocator(clk)}, "LRU": newLRU(), "equal shares": newEqualShares()}
			var worst float64
			opens[name], worst = simulate(policies[name], clk, sc)
			total[name] += opens[name]
			line += fmt.Sprintf(" %s %d (worst %.2f)", name, opens[name], worst)
		}
		t.Logf("%s:%s", sc.name, line)
		is.True(opens["allocator"] < opens["equal shares"])
		is.True(opens["allocator"] <= opens["LRU"])
	}
	t.Log(total)
}

func newAllocator(clk *clock.Fake) *Allocator {
	s := New(clk)
	s.SetLimits(simLimit, simLimit-4)
	return s
}
