package admit

import (
	"slices"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// minWeight is the weight of a customer whose plan grants no share. It is not
// zero, so that such a customer still gets idle slots in some order.
const minWeight = 0.001

// A customer is what the queue knows of a customer with work or with debts.
type customer struct {
	name    string
	plan    gypsumyard.Plan
	weight  float64
	virtual float64 // slot seconds charged, divided by the weight
	// limit caps all use of the customer, share the use as priority work.
	limit bucket
	share bucket
	lines []*line
	// running are the grants that are held.
	running []*run
	waiting int
	// backlog is the waiting work, short and long.
	backlog [2]backlog
	// standingSince is when the first request came after the customer had
	// none waiting.
	standingSince time.Time
	// throttled indicates that the customer is over its limit, blocked that not
	// even its open transactions may go on, demoted that its priority work is
	// beyond its share, ahead that its transactions have taken more than its
	// share.
	throttled bool
	blocked   bool
	demoted   bool
	ahead     bool
	wake      event
	idle      bool
	// settledAt is when running requests were charged last.
	settledAt time.Time
}

// A run is a request that holds a slot.
type run struct {
	id       uint64
	customer *customer
	instance *instance
	start    time.Time
	expected time.Duration
	// charged is the slot time charged so far, in seconds.
	charged  float64
	long     bool
	priority bool // granted as priority work
}

// setPlan takes over the plan of the latest request.
func (c *customer) setPlan(now time.Time, p gypsumyard.Plan, slots, factor float64) {
	if c.plan == p && c.limit.depth > 0 {
		return
	}
	c.plan = p
	c.weight = max(p.Share, minWeight)
	c.setRates(now, slots, factor)
}

func (c *customer) setRates(now time.Time, slots, factor float64) {
	c.limit.setRate(now, c.plan.Limit*slots*factor)
	c.share.setRate(now, c.plan.Share*slots*factor)
}

// unlimited reports whether the customer may use every slot, so that its bucket
// need not be asked. Without instances limits mean nothing.
func (f *fair) unlimited(c *customer) bool {
	return c.plan.Limit*f.factor >= 1 || f.slots == 0
}

// settle refills the buckets and charges the customer's running requests for
// the time by which they have outrun what was charged.
func (c *customer) settle(now time.Time) {
	c.settledAt = now
	c.limit.refill(now)
	c.share.refill(now)
	for _, r := range c.running {
		if e := now.Sub(r.start).Seconds(); e > r.charged {
			c.charge(r, e-r.charged)
		}
	}
}

// charge adds slot seconds to what the run has cost. A negative amount gives
// back what was charged too much.
func (c *customer) charge(r *run, amount float64) {
	r.charged += amount
	c.virtual += amount / c.weight
	c.limit.tokens = min(c.limit.tokens-amount, c.limit.depth)
	if r.priority {
		c.share.tokens = min(c.share.tokens-amount, c.share.depth)
	}
}

func (c *customer) stop(r *run) {
	i := slices.Index(c.running, r)
	c.running = slices.Delete(c.running, i, i+1)
}

// expected returns the slot time that the ticket will probably use.
func (f *fair) expected(t *gypsumyard.SlotRequest) time.Duration {
	switch {
	case t.Expected > 0:
		return t.Expected
	case t.Long:
		return seconds(f.meanLong)
	}
	return seconds(f.meanShort)
}

// update recomputes whether the customer is over its limit or its priority
// share, and moves its lines accordingly.
func (f *fair) update(now time.Time, c *customer) {
	c.settle(now)
	throttled := !f.unlimited(c) && c.limit.tokens <= 0
	blocked := throttled && c.limit.tokens <= -c.limit.depth
	demoted := c.share.tokens <= 0
	// A customer whose work is all in transactions must not pass everybody
	// for good. The virtual time advances by the number of slots in a second.
	ahead := c.virtual-f.virtual > f.slots*burst.Seconds()
	moved := throttled != c.throttled || blocked != c.blocked || demoted != c.demoted || ahead != c.ahead
	c.throttled, c.blocked, c.demoted, c.ahead = throttled, blocked, demoted, ahead
	f.weigh(c)
	for _, l := range c.lines {
		switch {
		case moved:
			f.place(l)
		case l.lane != nil:
			l.lane.fix(l)
		}
	}
	f.scheduleWake(now, c)
}

// minWake spaces the checks of a customer whose buckets are empty.
const minWake = time.Millisecond

// scheduleWake plans the check whether the customer's buckets have recovered.
func (f *fair) scheduleWake(now time.Time, c *customer) {
	if c.waiting == 0 || (!c.throttled && !c.demoted) {
		f.events.remove(&c.wake)
		return
	}
	d := forever
	switch {
	case c.blocked:
		d = c.limit.until(-c.limit.depth)
	case c.throttled:
		d = c.limit.until(0)
	}
	if c.demoted {
		d = min(d, c.share.until(0))
	}
	f.events.set(&c.wake, now.Add(max(d, minWake)))
}

// A backlog sums up a customer's waiting requests of one length.
type backlog struct {
	count int
	// time is the expected slot time in seconds.
	time float64
	// counted is the part of the queue's sum of weights that is the customer's.
	counted float64
}

// length returns the index of short or long work.
func length(long bool) int {
	if long {
		return 1
	}
	return 0
}

// weigh keeps the sums of the weights of the customers that wait for a slot and
// not only for their limit. Short and long work have sums of their own, as they
// hardly compete for the same slots.
func (f *fair) weigh(c *customer) {
	for n := range c.backlog {
		b := &c.backlog[n]
		w := 0.0
		if b.count > 0 && !c.throttled {
			w = c.weight
		}
		f.weight[n] += w - b.counted
		b.counted = w
	}
}

// customer returns the state of the ticket's customer. A customer that had no
// state starts at the present virtual time: it has saved up no credit.
func (f *fair) customer(now time.Time, t *gypsumyard.SlotRequest) *customer {
	c := f.customers[t.Customer]
	if c == nil {
		c = &customer{name: t.Customer}
		c.wake.customer = c
		f.customers[c.name] = c
	}
	c.setPlan(now, t.Plan, f.slots, f.factor)
	if c.waiting == 0 && len(c.running) == 0 {
		c.virtual = max(c.virtual, f.virtual)
	}
	return c
}

// retire notes a customer without work, so that its state is dropped when it
// has no debts left.
func (f *fair) retire(c *customer) {
	if c.waiting > 0 || len(c.running) > 0 || c.idle {
		return
	}
	c.idle = true
	f.idle = append(f.idle, c)
}

// sweep looks at a few idle customers and drops those without debts. It is
// called on each arrival and release, so that the cost is spread.
func (f *fair) sweep(now time.Time) {
	for range min(2, len(f.idle)) {
		c := f.idle[0]
		f.idle = f.idle[1:]
		if c.waiting > 0 || len(c.running) > 0 {
			c.idle = false
			continue
		}
		c.settle(now)
		if c.virtual > f.virtual || c.limit.tokens < c.limit.depth || c.share.tokens < c.share.depth {
			f.idle = append(f.idle, c)
			continue
		}
		f.events.remove(&c.wake)
		delete(f.customers, c.name)
	}
}
