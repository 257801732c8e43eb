package admit

import (
	"slices"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// minWeight is the weight of a customer whose plan grants no share. It is not
// zero, so that such customers still get idle slots, in some order.
const minWeight = 0.001

// A customer is the scheduling state of a customer that has requests or debt.
type customer struct {
	name        string
	plan        gypsumyard.Plan
	weight      float64
	virtualTime float64 // slot seconds charged, divided by the weight
	// limitBucket limits all slot time of the customer, shareBucket its slot time
	// as priority work.
	limitBucket bucket
	shareBucket bucket
	flows       []*flow
	// running are the grants that are held.
	running []*run
	waiting int
	// backlog is the waiting work, short (index 0) and long (index 1).
	backlog [2]backlog
	// queuedSince is when the customer's queue last changed from empty to
	// non-empty.
	queuedSince time.Time
	// throttled: the customer is over its limit. blocked: its debt is so large
	// that not even its open transactions may continue. demoted: its priority
	// work exceeds its share and loses priority. overShare: its transactions have
	// taken more than its share and lose their precedence.
	throttled bool
	blocked   bool
	demoted   bool
	overShare bool
	wakeEvent event
	idle      bool
	// settledAt is when the running requests were last charged.
	settledAt time.Time
}

// A run is a request that has been granted a slot and not released it.
type run struct {
	id       uint64
	customer *customer
	instance *instance
	start    time.Time
	expected time.Duration
	// charged is the slot time charged so far, in seconds.
	charged  float64
	long     bool
	priority bool // granted in classPriority
}

// setPlan updates the customer's plan to that of its latest request.
func (c *customer) setPlan(now time.Time, p gypsumyard.Plan, slots, factor float64) {
	if c.plan == p && c.limitBucket.depth > 0 {
		return
	}
	c.plan = p
	c.weight = max(p.Share, minWeight)
	c.setRates(now, slots, factor)
}

func (c *customer) setRates(now time.Time, slots, factor float64) {
	c.limitBucket.setRate(now, c.plan.Limit*slots*factor)
	c.shareBucket.setRate(now, c.plan.Share*slots*factor)
}

// unlimited reports whether the limit lets the customer use every slot all the
// time, so that its bucket need not be checked. Without instances the limit is
// meaningless, as it is a fraction of their slots.
func (f *fairQueue) unlimited(c *customer) bool {
	return c.plan.Limit*f.rateFactor >= 1 || f.slots == 0
}

// settle refills the buckets and charges the customer for the time that its
// running requests have run beyond what was already charged.
func (c *customer) settle(now time.Time) {
	c.settledAt = now
	c.limitBucket.refill(now)
	c.shareBucket.refill(now)
	for _, r := range c.running {
		if e := now.Sub(r.start).Seconds(); e > r.charged {
			c.charge(r, e-r.charged)
		}
	}
}

// charge charges the customer slot seconds for the run. A negative amount refunds
// an overcharge.
func (c *customer) charge(r *run, amount float64) {
	r.charged += amount
	c.virtualTime += amount / c.weight
	c.limitBucket.tokens = min(c.limitBucket.tokens-amount, c.limitBucket.depth)
	if r.priority {
		c.shareBucket.tokens = min(c.shareBucket.tokens-amount, c.shareBucket.depth)
	}
}

func (c *customer) removeRun(r *run) {
	i := slices.Index(c.running, r)
	c.running = slices.Delete(c.running, i, i+1)
}

// estimateRunTime returns the slot time that the request is expected to use.
func (f *fairQueue) estimateRunTime(r *gypsumyard.SlotRequest) time.Duration {
	switch {
	case r.Expected > 0:
		return r.Expected
	case r.Long:
		return seconds(f.meanLong)
	}
	return seconds(f.meanShort)
}

// updateCustomer recomputes whether the customer is over its limit or its share,
// and moves its flows to the heaps in which they are served accordingly.
func (f *fairQueue) updateCustomer(now time.Time, c *customer) {
	c.settle(now)
	throttled := !f.unlimited(c) && c.limitBucket.tokens <= 0
	blocked := throttled && c.limitBucket.tokens <= -c.limitBucket.depth
	demoted := c.shareBucket.tokens <= 0
	// A customer that runs everything in transactions must not have precedence
	// indefinitely. The virtual time advances by the number of slots per second.
	overShare := c.virtualTime-f.virtualTime > f.slots*burstPeriod.Seconds()
	moved := throttled != c.throttled || blocked != c.blocked || demoted != c.demoted || overShare != c.overShare
	c.throttled, c.blocked, c.demoted, c.overShare = throttled, blocked, demoted, overShare
	f.updateWeights(c)
	for _, fl := range c.flows {
		switch {
		case moved:
			f.placeFlow(fl)
		case fl.heap != nil:
			fl.heap.fix(fl)
		}
	}
	f.scheduleWake(now, c)
}

// minWakeInterval is the shortest time between checks of a customer whose buckets
// are empty.
const minWakeInterval = time.Millisecond

// scheduleWake schedules a check whether the customer's buckets have refilled.
func (f *fairQueue) scheduleWake(now time.Time, c *customer) {
	if c.waiting == 0 || (!c.throttled && !c.demoted) {
		f.events.remove(&c.wakeEvent)
		return
	}
	d := forever
	switch {
	case c.blocked:
		d = c.limitBucket.timeUntil(-c.limitBucket.depth)
	case c.throttled:
		d = c.limitBucket.timeUntil(0)
	}
	if c.demoted {
		d = min(d, c.shareBucket.timeUntil(0))
	}
	f.events.set(&c.wakeEvent, now.Add(max(d, minWakeInterval)))
}

// A backlog holds the totals of a customer's waiting requests, short or long.
type backlog struct {
	count int
	// time is the expected slot time in seconds.
	time float64
	// countedWeight is the customer's contribution to fairQueue.waitingWeight.
	countedWeight float64
}

// lengthIndex returns the array index for short or long work.
func lengthIndex(long bool) int {
	if long {
		return 1
	}
	return 0
}

// updateWeights updates the customer's contribution to the total weight of the
// customers that wait for a slot. Customers that are throttled wait for their
// limit and do not count. Short and long work have separate totals because they
// rarely compete for the same slots.
func (f *fairQueue) updateWeights(c *customer) {
	for n := range c.backlog {
		b := &c.backlog[n]
		w := 0.0
		if b.count > 0 && !c.throttled {
			w = c.weight
		}
		f.waitingWeight[n] += w - b.countedWeight
		b.countedWeight = w
	}
}

// customer returns the state of the request's customer. A customer without
// requests starts at the current virtual time at least: it accumulates no credit
// while it is idle.
func (f *fairQueue) customer(now time.Time, r *gypsumyard.SlotRequest) *customer {
	c := f.customers[r.Customer]
	if c == nil {
		c = &customer{name: r.Customer}
		c.wakeEvent.customer = c
		f.customers[c.name] = c
	}
	c.setPlan(now, r.Plan, f.slots, f.rateFactor)
	if c.waiting == 0 && len(c.running) == 0 {
		c.virtualTime = max(c.virtualTime, f.virtualTime)
	}
	return c
}

// markIdle adds a customer without requests to the idle list, so that its state
// is deleted when it has no debt left.
func (f *fairQueue) markIdle(c *customer) {
	if c.waiting > 0 || len(c.running) > 0 || c.idle {
		return
	}
	c.idle = true
	f.idle = append(f.idle, c)
}

// dropIdle checks up to 2 idle customers and deletes those without debt. It is
// called on each arrival and release, so that the cost of the scan is spread.
func (f *fairQueue) dropIdle(now time.Time) {
	for range min(2, len(f.idle)) {
		c := f.idle[0]
		f.idle = f.idle[1:]
		if c.waiting > 0 || len(c.running) > 0 {
			c.idle = false
			continue
		}
		c.settle(now)
		if c.virtualTime > f.virtualTime || c.limitBucket.tokens < c.limitBucket.depth || c.shareBucket.tokens < c.shareBucket.depth {
			f.idle = append(f.idle, c)
			continue
		}
		f.events.remove(&c.wakeEvent)
		delete(f.customers, c.name)
	}
}
