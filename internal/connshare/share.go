package connshare

import (
	"container/heap"
	"container/list"
	"math"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

const (
	// halfLife is the time in which the weight of a past request halves. Of 2 s to
	// 120 s, 10 s and 20 s open the fewest connections at the design load: shorter ones
	// forget rare customers, longer ones are slow when demands change.
	halfLife = 15 * time.Second
	// lastConnBonus is the binary logarithm of the weight that a customer's last
	// connection has over a further one. A customer without connections waits at each
	// request. With 2 in place of 0.5, 9% more connections are opened in all.
	lastConnBonus = 0.5
	// maxAbsent is how many customers without a connection are remembered.
	maxAbsent = 512
	// refusalPause is how long no connection is opened after a refusal.
	refusalPause = 100 * time.Millisecond
	// After a refusal the limit falls by one in loweringDivisor of the open
	// connections, stays there for loweredFor and then rises by one each raiseEvery.
	loweringDivisor = 8
	loweredFor      = 2 * time.Second
	raiseEvery      = 250 * time.Millisecond
	// minLimit is the least limit after refusals.
	minLimit = 4
)

// An Action says how a request gets a connection.
type Action int

// The actions.
const (
	// Wait: no connection can be had at present.
	Wait Action = iota
	// Reuse: the request uses an idle connection of its customer.
	Reuse
	// Open: a connection is opened.
	Open
	// Replace: an idle connection of the victim is closed, then one is opened.
	Replace
)

// A Decision is the outcome for one request.
type Decision struct {
	Action Action
	// Victim is the customer that loses an idle connection, for Replace.
	Victim string
}

// A Share holds the numbers of connections and transactions of each customer at one
// instance. Its caller reports each change and serializes all calls.
//
// The k-th connection of a customer is needed by the requests that find k-1 of its
// connections in use. The count of these requests, which decays with halfLife, is what
// the connection is worth. A connection is closed for another customer if it is worth
// the least of all idle ones; surplus connections therefore go first.
type Share struct {
	clock gypsumyard.Clock
	start time.Time
	// connections and transactions are the limits of the instance.
	connections, transactions int
	open, begun               int
	pausedUntil               time.Time
	// loweredTo is the limit of connections since the last refusal, at loweredAt.
	loweredTo int
	loweredAt time.Time
	customers map[string]*customer
	// idle holds the customers with idle connections, the least worth first.
	idle idleHeap
	// absent holds the customers without any state but their past requests, the
	// oldest first.
	absent *list.List
	// waiting holds the customers with waiting requests in the order of their turns.
	waiting  *list.List
	sequence uint64
}

// A customer is the state of one customer.
type customer struct {
	name string
	// open counts its connections, including those being opened. busy are in use,
	// begun is the number of its open transactions.
	open, busy, begun int
	// demand[k-1] is the binary logarithm of the decayed number of requests that
	// needed the k-th connection, as of Share.start.
	demand []float64
	// worth is that of the last of its connections, sequence the order in which the
	// customers became idle. Both are kept while it is in the heap.
	worth    float64
	sequence uint64
	// index is its index in the heap, or -1.
	index   int
	absent  *list.Element
	waiters *list.List
	turn    *list.Element
}

// A Waiter is a request that waits for a connection.
type Waiter struct {
	customer *customer
	grant    func(Decision)
	element  *list.Element
}

// New returns a Share without connections, whose limits are zero.
func New(clock gypsumyard.Clock) *Share {
	return &Share{clock: clock, start: clock.Now(), customers: map[string]*customer{}, absent: list.New(), waiting: list.New()}
}

// SetLimits sets how many connections may be open, and how many transactions on them.
func (s *Share) SetLimits(connections, transactions int) {
	s.connections, s.transactions = connections, transactions
}

// OpenConnections returns the number of connections, including those being opened.
func (s *Share) OpenConnections() int { return s.open }

// Limit returns how many connections may be open at present.
func (s *Share) Limit() int {
	if s.loweredAt.IsZero() {
		return s.connections
	}
	raised := max(s.clock.Since(s.loweredAt)-loweredFor, 0) / raiseEvery
	return min(s.connections, s.loweredTo+int(raised))
}

// HasIdle reports whether the customer has an idle connection.
func (s *Share) HasIdle(name string) bool {
	c := s.customers[name]
	return c != nil && c.open > c.busy
}

// Take decides how a request of the customer gets a connection. Unless it has to wait,
// the connection is in use from now on. Requests do not overtake those that wait.
func (s *Share) Take(name string) Decision {
	c := s.customer(name)
	c.addDemand(c.busy+1, s.clock.Since(s.start))
	d := s.decide(c, s.waiting.Len() > 0)
	s.apply(c, d)
	return d
}

// decide returns what a request of the customer gets. One that would overtake waiting
// requests may only use a connection that they have no use for.
func (s *Share) decide(c *customer, overtakes bool) Decision {
	limit := s.Limit()
	switch {
	case c.open > c.busy:
		return Decision{Action: Reuse}
	case overtakes || s.open > limit || !s.mayOpen():
	case s.open < limit:
		return Decision{Action: Open}
	case len(s.idle) > 0:
		return Decision{Action: Replace, Victim: s.idle[0].name}
	}
	return Decision{}
}

func (s *Share) apply(c *customer, d Decision) {
	switch d.Action {
	case Wait:
		return
	case Replace:
		s.remove(s.customers[d.Victim], 0)
	}
	if d.Action != Reuse {
		s.open++
		c.open++
	}
	c.busy++
	s.refresh(c)
}

// mayOpen reports whether connections may be opened at all.
func (s *Share) mayOpen() bool { return s.clock.Now().After(s.pausedUntil) }

// Return reports that a connection of the customer is idle again.
func (s *Share) Return(name string) {
	c := s.customers[name]
	c.busy--
	s.refresh(c)
}

// Close reports that a connection of the customer, in use or idle, has closed or was
// not opened.
func (s *Share) Close(name string, inUse bool) {
	busy := 0
	if inUse {
		busy = 1
	}
	s.remove(s.customers[name], busy)
}

func (s *Share) remove(c *customer, busy int) {
	s.open--
	c.open--
	c.busy -= busy
	s.refresh(c)
}

// Pause stops the opening of connections for a while after the instance has refused
// one because it has too many.
func (s *Share) Pause() { s.pausedUntil = s.clock.Now().Add(refusalPause) }

// Lower is Pause, and lowers the limit for a while: another host may use the instance
// as well. Surplus then returns what has to be closed.
func (s *Share) Lower() {
	if s.mayOpen() { // Refusals of attempts that were made at once count as one.
		s.loweredTo = max(min(s.open, s.Limit())-max(s.open/loweringDivisor, 1), minLimit)
		s.loweredAt = s.clock.Now()
	}
	s.Pause()
}

// Surplus returns a customer of which an idle connection has to be closed because more
// are open than the limit allows. It counts as closed.
func (s *Share) Surplus() (victim string, ok bool) {
	if s.open <= s.Limit() || len(s.idle) == 0 {
		return "", false
	}
	c := s.idle[0]
	s.remove(c, 0)
	return c.name, true
}

// Enqueue adds a request of the customer that waits for a connection. Dispatch calls
// grant with the decision, which is not Wait.
func (s *Share) Enqueue(name string, grant func(Decision)) *Waiter {
	c := s.customer(name)
	w := &Waiter{customer: c, grant: grant}
	w.element = c.waiters.PushBack(w)
	if c.turn == nil {
		c.turn = s.waiting.PushBack(c)
	}
	s.refresh(c)
	return w
}

// Cancel removes a request that waits. It reports false if it was granted before.
func (s *Share) Cancel(w *Waiter) bool {
	if w.element == nil {
		return false
	}
	s.dequeue(w)
	return true
}

func (s *Share) dequeue(w *Waiter) {
	c := w.customer
	c.waiters.Remove(w.element)
	w.element = nil
	if c.waiters.Len() == 0 {
		s.waiting.Remove(c.turn)
		c.turn = nil
	}
	s.refresh(c)
}

// Dispatch grants connections to waiting requests while there are any. The customers
// take turns, and the requests of each keep their order, so that no customer waits for
// the backlog of another.
func (s *Share) Dispatch() {
	for s.waiting.Len() > 0 && (len(s.idle) > 0 || s.open < s.Limit()) {
		c, d := s.nextTurn()
		if d.Action == Wait {
			return
		}
		w := c.waiters.Front().Value.(*Waiter)
		s.waiting.MoveToBack(c.turn)
		s.dequeue(w)
		s.apply(c, d)
		w.grant(d)
	}
}

// nextTurn returns the first customer in the order of turns that can be served. It is
// the first one unless no connection may be opened at present.
func (s *Share) nextTurn() (c *customer, d Decision) {
	for e := s.waiting.Front(); e != nil; e = e.Next() {
		c = e.Value.(*customer)
		if d = s.decide(c, false); d.Action != Wait {
			break
		}
	}
	return c, d
}

// MayBegin reports whether the customer may open a transaction: it holds fewer than
// are left to all. A single customer thus gets half of them, n customers share all but
// one part in n+1, and a customer without any gets one as long as there is one.
func (s *Share) MayBegin(name string) bool {
	left := s.transactions - (s.connections - s.Limit()) - s.begun
	c := s.customers[name]
	return left > 0 && (c == nil || c.begun < left)
}

// Begin reports that a transaction of the customer is opened.
func (s *Share) Begin(name string) {
	c := s.customer(name)
	c.begun++
	s.begun++
	s.refresh(c)
}

// End reports that a transaction of the customer has ended.
func (s *Share) End(name string) {
	c := s.customers[name]
	c.begun--
	s.begun--
	s.refresh(c)
}

// customer returns the state of the customer, which may be new.
func (s *Share) customer(name string) *customer {
	c := s.customers[name]
	if c == nil {
		c = &customer{name: name, index: -1, waiters: list.New()}
		s.customers[name] = c
		s.refresh(c)
	}
	return c
}

// refresh puts the customer into the heap or list that its state calls for.
func (s *Share) refresh(c *customer) {
	switch hasIdle := c.open > c.busy; {
	case hasIdle && c.index < 0:
		s.sequence++
		c.worth, c.sequence = c.lastConnWorth(), s.sequence
		heap.Push(&s.idle, c)
	case hasIdle:
		c.worth = c.lastConnWorth()
		heap.Fix(&s.idle, c.index)
	case c.index >= 0:
		heap.Remove(&s.idle, c.index)
	}
	used := c.open > 0 || c.begun > 0 || c.turn != nil
	switch {
	case used && c.absent != nil:
		s.absent.Remove(c.absent)
		c.absent = nil
	case !used && c.absent == nil:
		c.absent = s.absent.PushBack(c)
		if s.absent.Len() > maxAbsent {
			oldest := s.absent.Remove(s.absent.Front()).(*customer)
			delete(s.customers, oldest.name)
		}
	}
}

// addDemand counts a request that needs the n-th connection of the customer. Past
// requests decay by the exponent growing with time, which keeps the order of all
// customers, so that the heap needs no update.
func (c *customer) addDemand(n int, at time.Duration) {
	for len(c.demand) < n {
		c.demand = append(c.demand, math.Inf(-1))
	}
	c.demand[n-1] = logSum(c.demand[n-1], at.Seconds()/halfLife.Seconds())
}

// logSum returns the binary logarithm of 2^a + 2^b. b is finite.
func logSum(a, b float64) float64 {
	return max(a, b) + math.Log2(1+math.Exp2(-math.Abs(a-b)))
}

// lastConnWorth returns what the last connection of the customer is worth.
func (c *customer) lastConnWorth() float64 {
	if c.open > len(c.demand) {
		return math.Inf(-1)
	}
	if c.open == 1 {
		return c.demand[0] + lastConnBonus
	}
	return c.demand[c.open-1]
}

// An idleHeap is a heap of customers with the least worth first. At the same worth
// the one that has been idle for longest is first.
type idleHeap []*customer

func (h idleHeap) Len() int { return len(h) }

func (h idleHeap) Less(i, j int) bool {
	if h[i].worth != h[j].worth {
		return h[i].worth < h[j].worth
	}
	return h[i].sequence < h[j].sequence
}

func (h idleHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push adds a customer.
func (h *idleHeap) Push(x any) {
	c := x.(*customer)
	c.index = len(*h)
	*h = append(*h, c)
}

// Pop removes the last customer.
func (h *idleHeap) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	c.index = -1
	return c
}
