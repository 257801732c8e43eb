package connshare

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/matryer/is"
)

// A model is the state that follows from the decisions of an Allocator, kept by customer.
type model struct {
	*Allocator
	t              *testing.T
	clk            *clock.Fake
	idle, busy     map[string]int
	begun          map[string]int
	all            int
	limit          int
	waiting        []*Waiter
	waitersOf      map[string]int
	granted        []string
	lastTurn       map[string]int
	turns, longest int
}

func newModel(t *testing.T, limit int) *model {
	clk := clock.NewFake(time.Unix(1_000_000, 0))
	m := &model{
		Allocator: New(clk), t: t, clk: clk, limit: limit, idle: map[string]int{}, busy: map[string]int{}, begun: map[string]int{},
		waitersOf: map[string]int{}, lastTurn: map[string]int{},
	}
	m.SetLimits(limit, limit-2)
	return m
}

// carryOut does what the Allocator decided, and fails the test if it can't be done.
func (m *model) carryOut(name string, d Decision) {
	switch d.Action {
	case Wait:
		return
	case Reuse:
		m.idle[name]--
	case Replace:
		m.idle[d.Victim]--
	case Open:
		m.all++
		if m.all > m.Limit() {
			m.t.Fatalf("%d connections are open, the limit is %d", m.all, m.Limit())
		}
	}
	if m.idle[name] < 0 || m.idle[d.Victim] < 0 {
		m.t.Fatalf("%s gets %+v, which needs an idle connection that is not there", name, d)
	}
	m.busy[name]++
}

func (m *model) take(name string) Decision {
	d := m.Take(name)
	m.carryOut(name, d)
	return d
}

func (m *model) enqueue(name string) {
	var w *Waiter
	w = m.Enqueue(name, func(d Decision) {
		m.granted = append(m.granted, name)
		m.turns++
		m.longest = max(m.longest, m.turns-m.lastTurn[name])
		m.lastTurn[name] = m.turns
		m.forget(w)
		m.carryOut(name, d)
	})
	m.waiting = append(m.waiting, w)
	if m.waitersOf[name]++; m.waitersOf[name] == 1 {
		m.lastTurn[name] = m.turns
	}
}

// forget removes a request that does not wait any more.
func (m *model) forget(w *Waiter) {
	m.waiting = slices.DeleteFunc(m.waiting, func(o *Waiter) bool { return o == w })
	m.waitersOf[w.customer.name]--
}

func (m *model) put(name string) {
	m.busy[name]--
	m.idle[name]++
	m.Return(name)
	m.closeSurplus()
	m.Dispatch()
}

func (m *model) closeConn(name string, inUse bool) {
	if inUse {
		m.busy[name]--
	} else {
		m.idle[name]--
	}
	m.all--
	m.Close(name, inUse)
	m.Dispatch()
}

func (m *model) closeSurplus() {
	for name, ok := m.Surplus(); ok; name, ok = m.Surplus() {
		m.idle[name]--
		m.all--
	}
}

func (m *model) check() {
	if m.all != m.OpenConnections() {
		m.t.Fatalf("%d connections are open, the allocator counts %d", m.all, m.OpenConnections())
	}
	begun := 0
	for name, n := range m.idle {
		if n == 0 && m.busy[name] == 0 {
			delete(m.idle, name)
			delete(m.busy, name)
		}
		if n < 0 || m.busy[name] < 0 || m.HasIdle(name) != (n > 0) {
			m.t.Fatalf("%s has %d idle and %d busy connections, HasIdle: %v", name, n, m.busy[name], m.HasIdle(name))
		}
		if n > 0 && m.waitersOf[name] > 0 {
			m.t.Fatalf("%s waits although it has an idle connection", name)
		}
	}
	for _, n := range m.begun {
		begun += n
	}
	if begun > m.limit-2 {
		m.t.Fatalf("%d transactions are open", begun)
	}
	if len(m.waiting) > 0 && m.mayOpen() && m.all < m.Limit() {
		m.t.Fatalf("%d wait, %d of %d connections are open", len(m.waiting), m.all, m.Limit())
	}
	if n := len(m.customers); n > maxAbsent+m.all+len(m.waiting)+begun+2 {
		m.t.Fatalf("%d customers are remembered", n)
	}
}

// Guards against connections beyond the limit, use of a connection of another customer,
// lost places, waiters that nothing wakes, and state that grows with the customers seen.
func TestRandomSteps(t *testing.T) {
	is := is.New(t)
	const steps = 100_000
	r := rand.New(rand.NewPCG(1, 2))
	m := newModel(t, 20)
	customer := func() string {
		if r.IntN(50) == 0 {
			return fmt.Sprint("rare-", r.IntN(10_000))
		}
		return fmt.Sprint("customer-", int(30*r.Float64()*r.Float64()))
	}
	// pick returns a random customer with a count.
	pick := func(counts map[string]int) (string, bool) {
		var names []string
		for name, n := range counts {
			if n > 0 {
				names = append(names, name)
			}
		}
		if len(names) == 0 {
			return "", false
		}
		slices.Sort(names)
		return names[r.IntN(len(names))], true
	}
	for range steps {
		m.clk.Advance(time.Duration(r.IntN(20)) * time.Millisecond)
		switch n := r.IntN(100); {
		case n < 45:
			if name := customer(); m.take(name).Action == Wait {
				m.enqueue(name)
				m.Dispatch()
			}
		case n < 85:
			if name, ok := pick(m.busy); ok {
				m.put(name)
			}
		case n < 88:
			if name, ok := pick(m.busy); ok {
				m.closeConn(name, true)
			}
		case n < 89:
			if name, ok := pick(m.idle); ok {
				m.closeConn(name, false)
			}
		case n < 91:
			if len(m.waiting) > 0 {
				w := m.waiting[r.IntN(len(m.waiting))]
				is.True(m.Cancel(w))
				is.True(!m.Cancel(w))
				m.forget(w)
			}
		case n < 95:
			if name := customer(); m.MayBegin(name) {
				m.Begin(name)
				m.begun[name]++
			}
		case n < 99:
			if name, ok := pick(m.begun); ok {
				m.End(name)
				m.begun[name]--
			}
		default:
			switch r.IntN(4) {
			case 0:
				m.Lower()
				m.closeSurplus()
			case 1:
				m.clk.Advance(5 * time.Second)
				m.Dispatch()
			default:
				m.SetLimits(10+r.IntN(20), 8+r.IntN(10))
				m.limit = 20
				m.closeSurplus()
			}
		}
		m.Dispatch()
		m.check()
	}
	t.Logf("%d turns, at most %d until a customer's next one", m.turns, m.longest)
	is.True(m.turns > 1000)
	is.True(m.longest <= 40) // 30 customers, and the rare ones
}

// Guards against a customer with one request a second that is starved by one with 400,
// which alone needs more connections than there are.
func TestSmallCustomerIsNotStarved(t *testing.T) {
	is := is.New(t)
	m := newModel(t, 8)
	waits, served := 0, 0
	for n := range 4000 { // Steps of 2.5 ms: of three requests one ends.
		m.clk.Advance(2500 * time.Microsecond)
		names := []string{"large"}
		if n%400 == 0 {
			names = append(names, "small")
		}
		for _, name := range names {
			if m.take(name).Action == Wait {
				m.enqueue(name)
			}
		}
		if n%3 == 0 && m.busy["large"] > 0 {
			m.put("large")
		}
		if m.waitersOf["small"] > 0 {
			waits++
		}
		if n%400 == 10 {
			is.Equal(m.waitersOf["small"], 0) // served after the next connection that is free
			is.Equal(m.busy["small"], 1)
			m.put("small")
			served++
		}
	}
	is.Equal(served, 10)
	t.Logf("small waited in %d of 4000 steps", waits)
}

// Guards against a customer whose waiting requests overtake those of others.
func TestCustomersTakeTurns(t *testing.T) {
	is := is.New(t)
	m := newModel(t, 1)
	m.take("a")
	for range 3 {
		m.enqueue("a")
	}
	m.enqueue("b")
	m.enqueue("c")
	for len(m.waiting) > 0 {
		name := "a"
		if len(m.granted) > 0 {
			name = m.granted[len(m.granted)-1]
		}
		is.Equal(m.Take("d").Action, Wait) // does not overtake
		m.put(name)
	}
	is.Equal(m.granted, []string{"a", "b", "c", "a", "a"})
}

// Guards against a new request that takes the place that a waiting one could have had
// since the pause after a refusal was over.
func TestNewRequestDoesNotOvertake(t *testing.T) {
	is := is.New(t)
	m := newModel(t, 1)
	m.Pause()
	is.Equal(m.take("a").Action, Wait)
	m.enqueue("a")
	m.Dispatch()
	m.clk.Advance(refusalPause + time.Millisecond)
	is.Equal(m.take("b").Action, Wait)
	m.Dispatch()
	is.Equal(m.granted, []string{"a"})
}

// Guards against eviction of a customer's only connection while another one has more
// than it needs.
func TestSurplusGoesFirst(t *testing.T) {
	is := is.New(t)
	m := newModel(t, 5)
	for range 4 { // A short burst needs four.
		m.take("large")
	}
	for range 4 {
		m.put("large")
	}
	m.take("rare")
	m.put("rare")
	for range 50 {
		m.take("large")
		m.put("large")
		m.clk.Advance(100 * time.Millisecond)
	}
	for _, name := range []string{"x", "y", "z"} {
		is.Equal(m.take(name), Decision{Replace, "large"})
	}
	is.Equal(m.take("v"), Decision{Replace, "rare"})
	is.True(m.HasIdle("large"))
}

// Guards against two owners that refuse each other's connections for as long as both
// exist, and against a limit that stays low.
func TestRefusalLowersLimit(t *testing.T) {
	is := is.New(t)
	m := newModel(t, 54)
	for range 40 {
		m.take("a")
	}
	for range 40 {
		m.put("a")
	}
	m.take("b")
	m.closeConn("b", true)
	m.Lower()
	m.Lower() // another attempt of the same time
	m.closeSurplus()
	is.Equal(m.Limit(), 35)
	is.Equal(m.all, 35)
	is.Equal(m.Take("b").Action, Wait)
	m.clk.Advance(refusalPause + time.Millisecond)
	is.Equal(m.take("b").Action, Replace)
	m.clk.Advance(loweredFor)
	is.Equal(m.Limit(), 35)
	m.clk.Advance(10 * time.Second)
	is.Equal(m.Limit(), 54)
	for range 100 {
		m.clk.Advance(time.Second)
		m.Lower()
	}
	is.Equal(m.Limit(), minLimit)
}

// Guards against transactions of one customer that leave no room for others.
func TestTransactionsLeaveRoom(t *testing.T) {
	is := is.New(t)
	s := New(clock.NewFake(time.Unix(1_000_000, 0)))
	s.SetLimits(54, 50)
	begin := func(name string) (n int) {
		for s.MayBegin(name) {
			s.Begin(name)
			n++
		}
		return n
	}
	is.Equal(begin("a"), 25)
	is.Equal(begin("b"), 13)
	is.True(s.MayBegin("c"))
	for n := range 20 {
		begin(fmt.Sprint("customer-", n))
	}
	is.True(!s.MayBegin("a"))
	s.End("a")
	is.True(s.MayBegin("new"))
	is.True(!s.MayBegin("a"))
}

// BenchmarkTake measures a request that gets a connection and returns it, with more
// customers than connections.
func BenchmarkTake(b *testing.B) {
	s := newAllocator(clock.NewFake(time.Unix(1_000_000, 0)))
	r := rand.New(rand.NewPCG(1, 1))
	for b.Loop() {
		name := names[int(simCustomers*r.Float64()*r.Float64())]
		s.Take(name)
		s.Return(name)
	}
}
