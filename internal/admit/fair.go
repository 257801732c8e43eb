package admit

import (
	"slices"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// fairQueue serves requests of open transactions first, then priority work within
// its customer's share, then all other work in weighted fair order. The algorithm
// is start-time fair queueing (SFQ) over slot time, with the plan's share as
// weight and one flow for each customer and kind of request.
type fairQueue struct {
	policy    policy
	instances []*instance
	// known holds the listed instances and removed instances that still run
	// requests.
	known     map[string]*instance
	customers map[string]*customer
	heaps     []*flowHeap
	running   map[uint64]*run
	events    events
	idle      []*customer
	// virtualTime is the virtual time of the queue: that of the customer served
	// last in the fair order. maxVirtualTime is the highest virtual time of any
	// customer.
	virtualTime    float64
	maxVirtualTime float64
	// slots is the number of slots of all listed instances.
	slots      float64
	rateFactor float64
	// waitingWeight is the total weight of the customers that wait for a slot
	// with short (index 0) and with long work (index 1).
	waitingWeight [2]float64
	waiting       int
	lastID        uint64
	sequence      uint64
	// meanShort and meanLong are smoothed run times in seconds, used for
	// requests of unknown run time. runTimeBias is the smoothed ratio of used to
	// expected time.
	meanShort, meanLong, runTimeBias float64
}

// fairState is a waiter's state in a fairQueue.
type fairState struct {
	flow           *flow
	previous, next *waiter
	sequence       uint64
	kind           kind
	expected       time.Duration
	event          event
	// widenAt is when the waiter next accepts targets of higher cost.
	widenAt time.Time
}

// instanceState is an instance's state in a fairQueue.
type instanceState struct {
	bit  uint64
	runs []*run
	// soleTargetAt is when the last short request arrived that had this instance
	// as its only target.
	soleTargetAt time.Time
	// reservedSince is since when a free slot is reserved for a long request.
	// reserveAfter is the earliest time of the next reservation.
	reservedSince time.Time
	reserveAfter  time.Time
	// avgShort is the smoothed number of running short requests, as of
	// avgShortAt.
	avgShort   float64
	avgShortAt time.Time
}

func newFairQueue(p policy) *fairQueue {
	return &fairQueue{
		policy:      p,
		known:       map[string]*instance{},
		customers:   map[string]*customer{},
		running:     map[uint64]*run{},
		rateFactor:  1,
		meanShort:   0.005,
		meanLong:    1,
		runTimeBias: 1,
	}
}

func (f *fairQueue) arrive(now time.Time, w *waiter) {
	// Other waiters may have become eligible for a free slot with time.
	defer f.dispatch(now)
	f.dropIdle(now)
	c := f.customer(now, &w.request)
	f.updateCustomer(now, c)
	f.sequence++
	w.fair.sequence = f.sequence
	w.fair.expected = f.estimateRunTime(&w.request)
	w.fair.event.waiter = w
	f.classify(w)
	var waits [maxInstances]time.Duration
	f.estimateWaits(now, c, w, &waits)
	f.narrowTargets(now, w, &waits)
	w.expectedWait = f.shortestWait(w, &waits)
	if err := f.checkArrival(now, c, w); err != nil {
		f.markIdle(c)
		w.refuse(err)
		return
	}
	f.limitDeadline(now, c, w)
	f.enqueue(now, c, w)
	f.grantOnArrival(now, w)
	if !w.resolved {
		f.scheduleEvent(w)
	}
}

// classify sets the waiter's kind, with a mask of all its targets.
func (f *fairQueue) classify(w *waiter) {
	r := &w.request
	k := kind{class: classFair, long: r.Long, mask: f.fullMask(w)}
	switch {
	case r.InTransaction:
		k.class = classTransaction
	case r.Priority && r.Plan.Priority && !r.Long:
		k.class = classPriority
	}
	w.fair.kind = k
}

// enqueue adds the waiter to its customer's flow of its kind.
func (f *fairQueue) enqueue(now time.Time, c *customer, w *waiter) {
	if c.waiting == 0 {
		c.queuedSince = now
	}
	fl := c.flowFor(w.fair.kind)
	fl.push(w)
	f.countWaiter(c, w, 1)
	if fl.heap == nil {
		f.placeFlow(fl)
	}
	f.scheduleWake(now, c)
}

// countWaiter adds the waiter to the totals of the queue and its customer (sign
// 1), or subtracts it (sign -1).
func (f *fairQueue) countWaiter(c *customer, w *waiter, sign int) {
	f.waiting += sign
	c.waiting += sign
	b := &c.backlog[lengthIndex(w.request.Long)]
	b.count += sign
	b.time += float64(sign) * w.fair.expected.Seconds()
	if b.count == 0 {
		b.time = 0
	}
	f.updateWeights(c)
}

// dequeue removes the waiter from the queue.
func (f *fairQueue) dequeue(now time.Time, w *waiter) {
	fl := w.fair.flow
	wasFirst := fl.first == w
	fl.remove(w)
	f.countWaiter(fl.customer, w, -1)
	f.events.remove(&w.fair.event)
	if wasFirst {
		f.placeFlow(fl)
	}
	f.scheduleWake(now, fl.customer)
}

// grantOnArrival grants the waiter the slot of lowest cost among the free slots
// for which it is the next waiter, if there is one.
func (f *fairQueue) grantOnArrival(now time.Time, w *waiter) {
	var best *instance
	var cost time.Duration
	for _, i := range f.instances {
		if w.fair.kind.mask&i.fair.bit == 0 || i.headroom() == 0 {
			continue
		}
		t, _ := w.target(i.name)
		if best != nil && cost <= t.Cost {
			continue
		}
		if fl := f.nextFlow(now, i); fl != nil && f.nextWaiter(now, fl) == w {
			best, cost = i, t.Cost
		}
	}
	if best != nil {
		f.grant(now, w, best)
	}
}

// dispatch grants free slots to waiters until no waiter can use any of them.
func (f *fairQueue) dispatch(now time.Time) {
	for _, i := range f.instances {
		for i.headroom() > 0 {
			fl := f.nextFlow(now, i)
			if fl == nil {
				break
			}
			if f.refuseOverdue(now, fl) {
				continue
			}
			f.grant(now, f.nextWaiter(now, fl), i)
		}
	}
}

// nextWaiter returns the waiter of the flow that is served next. Under overload
// the oldest waiters miss their objective in any order; serving the newest first
// (adaptive LIFO) keeps the others from missing it as well.
func (f *fairQueue) nextWaiter(now time.Time, fl *flow) *waiter {
	if f.newestFirst(now, fl) {
		return fl.last
	}
	return fl.first
}

// refuseOverdue refuses the oldest waiter of the flow if later ones overtake it
// and half of the time until its deadline has passed, and reports whether it did.
// The other half leaves the caller time for a retry.
func (f *fairQueue) refuseOverdue(now time.Time, fl *flow) bool {
	w := fl.first
	if !f.newestFirst(now, fl) || fl.count == 1 || now.Sub(w.arrived) <= w.deadline.Sub(w.arrived)/2 {
		return false
	}
	f.dequeue(now, w)
	waited := now.Sub(w.arrived)
	w.refuse(refusal(gypsumyard.ClassLoad, f.retryAfter(now, fl.customer, w), "waited %v: overtaken by later requests", waited))
	return true
}

// newestFirst reports whether the newest waiter of the flow is served first. The
// order of arrival is kept for requests of open transactions because they hold
// locks, for long requests because they wait for seconds anyway, and for requests
// without a deadline because the oldest would wait forever.
func (f *fairQueue) newestFirst(now time.Time, fl *flow) bool {
	w := fl.first
	return w != nil && fl.kind.class != classTransaction && !fl.kind.long && !w.deadline.IsZero() && now.After(f.overdueAt(w))
}

// overdueAt returns the time after which waiters that arrived later than w are
// served before it.
func (f *fairQueue) overdueAt(w *waiter) time.Time {
	if !w.request.LatestStart.IsZero() {
		return w.request.LatestStart
	}
	return w.arrived.Add(f.policy.overdueAfter)
}

// nextFlow returns the flow whose next waiter gets the next slot of the instance,
// or nil if no waiter may use it.
func (f *fairQueue) nextFlow(now time.Time, i *instance) *flow {
	for {
		h := f.nextHeap(now, i)
		if h == nil {
			return nil
		}
		c := h.flows[0].customer
		if len(c.running) == 0 || !c.settledAt.Before(now) {
			return h.flows[0]
		}
		// Charging the customer's running requests may change its position.
		f.updateCustomer(now, c)
	}
}

func (f *fairQueue) grant(now time.Time, w *waiter, i *instance) {
	c := w.fair.flow.customer
	k := w.fair.flow.heap.kind
	f.dequeue(now, w)
	f.lastID++
	r := &run{
		id: f.lastID, customer: c, instance: i, start: now,
		expected: w.fair.expected, long: k.long, priority: k.class == classPriority,
	}
	if k.class == classFair {
		f.virtualTime = max(f.virtualTime, c.virtualTime)
	}
	f.running[r.id] = r
	c.running = append(c.running, r)
	i.fair.runs = append(i.fair.runs, r)
	i.avgShortRunning(now)
	i.running++
	if r.long {
		i.runningLong++
	}
	i.fair.reservedSince = time.Time{}
	c.charge(r, w.fair.expected.Seconds())
	f.maxVirtualTime = max(f.maxVirtualTime, c.virtualTime)
	f.updateCustomer(now, c)
	t, _ := w.target(i.name)
	w.admit(now, r.id, t)
}

func (f *fairQueue) release(now time.Time, id uint64, used time.Duration) bool {
	r := f.running[id]
	if r == nil {
		return false
	}
	delete(f.running, id)
	c, i := r.customer, r.instance
	i.fair.runs = slices.DeleteFunc(i.fair.runs, func(x *run) bool { return x == r })
	i.avgShortRunning(now)
	i.running--
	if r.long {
		i.runningLong--
	}
	if i.running == 0 && !i.listed {
		delete(f.known, i.name)
	}
	c.removeRun(r)
	c.charge(r, used.Seconds()-r.charged)
	f.maxVirtualTime = max(f.maxVirtualTime, c.virtualTime)
	if used > 0 { // zero if the caller gave up before the request ran
		f.recordRunTime(r, used)
	}
	f.updateCustomer(now, c)
	if f.waiting == 0 && len(f.running) == 0 {
		// The queue is idle, so all customers are even again.
		f.virtualTime = max(f.virtualTime, f.maxVirtualTime)
	}
	f.markIdle(c)
	f.dropIdle(now)
	f.dispatch(now)
	return true
}

// smoothingWeight is the weight of the latest run in the exponentially smoothed
// run times.
const smoothingWeight = 0.05

func (f *fairQueue) recordRunTime(r *run, used time.Duration) {
	u, e := used.Seconds(), r.expected.Seconds()
	if r.long {
		f.meanLong += smoothingWeight * (u - f.meanLong)
		return
	}
	f.meanShort += smoothingWeight * (u - f.meanShort)
	if e > 0 {
		f.runTimeBias += smoothingWeight * (min(u/e, 10) - f.runTimeBias)
	}
}

func (f *fairQueue) cancel(now time.Time, w *waiter) {
	c := w.fair.flow.customer
	f.dequeue(now, w)
	f.markIdle(c)
	f.dispatch(now)
}

// scheduleEvent schedules the waiter's next event: its deadline, or the time when
// it accepts further targets.
func (f *fairQueue) scheduleEvent(w *waiter) {
	at := w.deadline
	if !w.fair.widenAt.IsZero() && (at.IsZero() || w.fair.widenAt.Before(at)) {
		at = w.fair.widenAt
	}
	if !at.IsZero() {
		f.events.set(&w.fair.event, at)
	}
}

func (f *fairQueue) nextTick() (time.Time, bool) {
	var at time.Time
	if len(f.events) > 0 {
		at = f.events[0].at
	}
	for _, i := range f.instances {
		if i.fair.reservedSince.IsZero() || i.headroom() == 0 {
			continue
		}
		if end := i.fair.reservedSince.Add(maxReserveTime); at.IsZero() || end.Before(at) {
			at = end
		}
	}
	return at, !at.IsZero()
}

func (f *fairQueue) tick(now time.Time) {
	for {
		v, ok := f.events.popDue(now)
		if !ok {
			break
		}
		switch {
		case v.customer != nil:
			f.updateCustomer(now, v.customer)
		case !v.waiter.deadline.IsZero() && !now.Before(v.waiter.deadline):
			f.expire(now, v.waiter)
		default:
			f.widenTargets(now, v.waiter)
		}
	}
	f.dispatch(now)
}

// expire refuses a waiter whose deadline has passed.
func (f *fairQueue) expire(now time.Time, w *waiter) {
	c := w.fair.flow.customer
	class, why := gypsumyard.ClassLoad, "no slot was free"
	if c.throttled {
		class, why = gypsumyard.ClassPlan, "the customer is over its limit"
	}
	f.dequeue(now, w)
	f.markIdle(c)
	w.refuse(refusal(class, f.retryAfter(now, c, w), "waited %v: %s", now.Sub(w.arrived), why))
}

func (f *fairQueue) refuseAll(err *gypsumyard.Error) {
	for _, c := range f.customers {
		for _, fl := range c.flows {
			for fl.first != nil {
				w := fl.first
				f.dequeue(w.arrived, w)
				w.refuse(err)
			}
		}
	}
}

func (f *fairQueue) lengths() (queued, running int) { return f.waiting, len(f.running) }

func (f *fairQueue) utilization(name string) float64 { return f.known[name].utilization() }
