package connshare

import (
	"container/heap"
	"container/list"
	"math"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

const (
	// halfLife is the time in which the weight of a past request halves. A shorter one
	// forgets customers with rare requests; a longer one adapts slowly when demand changes.
	halfLife = 15 * time.Second
	// lastConnBonus is added to the binary logarithm of the worth of a customer's only
	// connection, because a customer without one waits at each request. A higher bonus
	// causes more evictions.
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

// An Allocator holds the numbers of connections and transactions of each customer at one
// instance. Its caller reports each change and serializes all calls.
//
// The k-th connection of a customer is needed by the requests that find k-1 of its
// connections in use. The count of these requests, which decays with halfLife, is what
// the connection is worth. A connection is closed for another customer if it is worth
// the least of all idle ones; surplus connections therefore go first.
type Allocator struct {
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
	// needed the k-th connection, as of Allocator.start.
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

// New returns an Allocator without connections, whose limits are zero.
func New(clock gypsumyard.Clock) *Allocator {
	return &Allocator{clock: clock, start: clock.Now(), customers: map[string]*customer{}, absent: list.New(), waiting: list.New()}
}

// SetLimits sets how many connections may be open, and how many transactions on them.
func (a *Allocator) SetLimits(connections, transactions int) {
	a.connections, a.transactions = connections, transactions
}

// OpenConnections returns the number of connections, including those being opened.
func (a *Allocator) OpenConnections() int { return a.open }

// Limit returns how many connections may be open at present.
func (a *Allocator) Limit() int {
	if a.loweredAt.IsZero() {
		return a.connections
	}
	raised := max(a.clock.Since(a.loweredAt)-loweredFor, 0) / raiseEvery
	return min(a.connections, a.loweredTo+int(raised))
}

// HasIdle reports whether the customer has an idle connection.
func (a *Allocator) HasIdle(name string) bool {
	c := a.customers[name]
	return c != nil && c.open > c.busy
}

// Take decides how a request of the customer gets a connection. Unless it has to wait,
// the connection is in use from now on. Requests do not overtake those that wait.
func (a *Allocator) Take(name string) Decision {
	c := a.customer(name)
	c.addDemand(c.busy+1, a.clock.Since(a.start))
	d := a.decide(c, a.waiting.Len() > 0)
	a.apply(c, d)
	return d
}

// decide returns what a request of the customer gets. One that would overtake waiting
// requests may only use a connection that they have no use for.
func (a *Allocator) decide(c *customer, overtakes bool) Decision {
	limit := a.Limit()
	switch {
	case c.open > c.busy:
		return Decision{Action: Reuse}
	case overtakes || a.open > limit || !a.mayOpen():
	case a.open < limit:
		return Decision{Action: Open}
	case len(a.idle) > 0:
		return Decision{Action: Replace, Victim: a.idle[0].name}
	}
	return Decision{}
}

func (a *Allocator) apply(c *customer, d Decision) {
	switch d.Action {
	case Wait:
		return
	case Replace:
		a.remove(a.customers[d.Victim], 0)
	}
	if d.Action != Reuse {
		a.open++
		c.open++
	}
	c.busy++
	a.refresh(c)
}

// mayOpen reports whether connections may be opened at all.
func (a *Allocator) mayOpen() bool { return a.clock.Now().After(a.pausedUntil) }

// Return reports that a connection of the customer is idle again.
func (a *Allocator) Return(name string) {
	c := a.customers[name]
	c.busy--
	a.refresh(c)
}

// Close reports that a connection of the customer, in use or idle, has closed or was
// not opened.
func (a *Allocator) Close(name string, inUse bool) {
	busy := 0
	if inUse {
		busy = 1
	}
	a.remove(a.customers[name], busy)
}

func (a *Allocator) remove(c *customer, busy int) {
	a.open--
	c.open--
	c.busy -= busy
	a.refresh(c)
}

// Pause stops the opening of connections for a while after the instance has refused
// one because it has too many.
func (a *Allocator) Pause() { a.pausedUntil = a.clock.Now().Add(refusalPause) }

// Lower pauses the opening of connections, and reduces the limit for a while, since
// another host may use the instance too. Surplus then returns what has to be closed.
func (a *Allocator) Lower() {
	if a.mayOpen() { // Refusals of attempts that were made at once count as one.
		a.loweredTo = max(min(a.open, a.Limit())-max(a.open/loweringDivisor, 1), minLimit)
		a.loweredAt = a.clock.Now()
	}
	a.Pause()
}

// Surplus returns a customer of which an idle connection has to be closed because more
// are open than the limit allows. It counts as closed.
func (a *Allocator) Surplus() (victim string, ok bool) {
	if a.open <= a.Limit() || len(a.idle) == 0 {
		return "", false
	}
	c := a.idle[0]
	a.remove(c, 0)
	return c.name, true
}

// Enqueue adds a request of the customer that waits for a connection. Dispatch calls
// grant with the decision, which is not Wait.
func (a *Allocator) Enqueue(name string, grant func(Decision)) *Waiter {
	c := a.customer(name)
	w := &Waiter{customer: c, grant: grant}
	w.element = c.waiters.PushBack(w)
	if c.turn == nil {
		c.turn = a.waiting.PushBack(c)
	}
	a.refresh(c)
	return w
}

// Cancel removes a request that waits. It reports false if it was granted before.
func (a *Allocator) Cancel(w *Waiter) bool {
	if w.element == nil {
		return false
	}
	a.dequeue(w)
	return true
}

func (a *Allocator) dequeue(w *Waiter) {
	c := w.customer
	c.waiters.Remove(w.element)
	w.element = nil
	if c.waiters.Len() == 0 {
		a.waiting.Remove(c.turn)
		c.turn = nil
	}
	a.refresh(c)
}

// Dispatch grants connections to waiting requests while there are any. The customers
// take turns, and the requests of each keep their order, so that no customer waits for
// the backlog of another.
func (a *Allocator) Dispatch() {
	for a.waiting.Len() > 0 && (len(a.idle) > 0 || a.open < a.Limit()) {
		c, d := a.nextTurn()
		if d.Action == Wait {
			return
		}
		w := c.waiters.Front().Value.(*Waiter)
		a.waiting.MoveToBack(c.turn)
		a.dequeue(w)
		a.apply(c, d)
		w.grant(d)
	}
}

// nextTurn returns the first customer in the order of turns that can be served. It is
// the first one unless no connection may be opened at present. The decision is Wait if
// none can be served.
func (a *Allocator) nextTurn() (c *customer, d Decision) {
	for e := a.waiting.Front(); e != nil; e = e.Next() {
		c = e.Value.(*customer)
		if d = a.decide(c, false); d.Action != Wait {
			break
		}
	}
	return c, d
}

// MayBegin reports whether the customer may open a transaction: it holds fewer than
// are left to all. A single customer thus gets half of them, n customers share all but
// one part in n+1, and a customer without any gets one as long as there is one.
func (a *Allocator) MayBegin(name string) bool {
	left := a.transactions - (a.connections - a.Limit()) - a.begun
	c := a.customers[name]
	return left > 0 && (c == nil || c.begun < left)
}

// Begin reports that a transaction of the customer is opened.
func (a *Allocator) Begin(name string) {
	c := a.customer(name)
	c.begun++
	a.begun++
	a.refresh(c)
}

// End reports that a transaction of the customer has ended.
func (a *Allocator) End(name string) {
	c := a.customers[name]
	c.begun--
	a.begun--
	a.refresh(c)
}

// customer returns the state of the customer, which may be new.
func (a *Allocator) customer(name string) *customer {
	c := a.customers[name]
	if c == nil {
		c = &customer{name: name, index: -1, waiters: list.New()}
		a.customers[name] = c
		a.refresh(c)
	}
	return c
}

// refresh puts the customer into the heap or list that its state calls for.
func (a *Allocator) refresh(c *customer) {
	switch hasIdle := c.open > c.busy; {
	case hasIdle && c.index < 0:
		a.sequence++
		c.worth, c.sequence = c.lastConnWorth(), a.sequence
		heap.Push(&a.idle, c)
	case hasIdle:
		c.worth = c.lastConnWorth()
		heap.Fix(&a.idle, c.index)
	case c.index >= 0:
		heap.Remove(&a.idle, c.index)
	}
	used := c.open > 0 || c.begun > 0 || c.turn != nil
	switch {
	case used && c.absent != nil:
		a.absent.Remove(c.absent)
		c.absent = nil
	case !used && c.absent == nil:
		c.absent = a.absent.PushBack(c)
		if a.absent.Len() > maxAbsent {
			oldest := a.absent.Remove(a.absent.Front()).(*customer)
			delete(a.customers, oldest.name)
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
