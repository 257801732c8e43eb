package admit

import (
	"slices"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// fair serves requests of open transactions first, then priority work within
// its customer's share, then all other work in weighted fair order: start-time
// fair queueing over slot time, with the share as weight.
type fair struct {
	policy    policy
	instances []*instance
	// known holds the listed instances and those that have gone but still run
	// requests.
	known     map[string]*instance
	customers map[string]*customer
	lanes     []*lane
	running   map[uint64]*run
	events    events
	idle      []*customer
	// virtual is the virtual time: that of the customer served last in the
	// fair order. highest is the highest that any customer was charged.
	virtual float64
	highest float64
	// slots counts the slots of all listed instances.
	slots  float64
	factor float64
	// weight sums the weights of the customers that wait for a slot with short
	// and with long work.
	weight   [2]float64
	waiting  int
	lastID   uint64
	sequence uint64
	// meanShort and meanLong are smoothed run times in seconds, used for
	// requests of unknown run time. bias is the smoothed ratio of used to
	// expected time.
	meanShort, meanLong, bias float64
}

// fairState is what a waiter carries for the fair order.
type fairState struct {
	line           *line
	previous, next *waiter
	sequence       uint64
	kind           kind
	expected       time.Duration
	event          event
	// widen is when targets that cost more are accepted as well.
	widen time.Time
}

// instanceState is what an instance carries for the fair order.
type instanceState struct {
	bit  uint64
	runs []*run
	// neededAt is when a short request came last that had no other target.
	neededAt time.Time
	// reservedSince is when a free slot began to be held for a long request.
	reservedSince time.Time
	reserveAfter  time.Time
	// used is the smoothed number of short requests that ran until usedAt.
	used   float64
	usedAt time.Time
}

func newFair(p policy) *fair {
	return &fair{
		policy:    p,
		known:     map[string]*instance{},
		customers: map[string]*customer{},
		running:   map[uint64]*run{},
		factor:    1,
		meanShort: 0.005,
		meanLong:  1,
		bias:      1,
	}
}

func (f *fair) arrive(now time.Time, w *waiter) {
	// Time has passed: others may have become eligible for a free slot.
	defer f.dispatch(now)
	f.sweep(now)
	c := f.customer(now, &w.ticket)
	f.update(now, c)
	f.sequence++
	w.fair.sequence = f.sequence
	w.fair.expected = f.expected(&w.ticket)
	w.fair.event.waiter = w
	f.classify(w)
	var waits [maxInstances]time.Duration
	f.expectWaits(now, c, w, &waits)
	f.narrow(now, w, &waits)
	w.estimate = f.shortest(w, &waits)
	if err := f.refuse(now, c, w); err != nil {
		f.retire(c)
		w.refuse(err)
		return
	}
	f.shorten(now, c, w)
	f.enqueue(now, c, w)
	f.grantArrived(now, w)
	if !w.resolved {
		f.schedule(w)
	}
}

// classify sets the waiter's kind, with all targets.
func (f *fair) classify(w *waiter) {
	t := &w.ticket
	k := kind{class: classFair, long: t.Long, mask: f.fullMask(w)}
	switch {
	case t.InTransaction:
		k.class = classTransaction
	case t.Priority && t.Plan.Priority && !t.Long:
		k.class = classPriority
	}
	w.fair.kind = k
}

// enqueue adds the waiter to its customer's line.
func (f *fair) enqueue(now time.Time, c *customer, w *waiter) {
	if c.waiting == 0 {
		c.standingSince = now
	}
	l := c.line(w.fair.kind)
	l.push(w)
	f.count(c, w, 1)
	if l.lane == nil {
		f.place(l)
	}
	f.scheduleWake(now, c)
}

// count adds the waiter to the sums of the queue, or subtracts it.
func (f *fair) count(c *customer, w *waiter, sign int) {
	f.waiting += sign
	c.waiting += sign
	b := &c.backlog[length(w.ticket.Long)]
	b.count += sign
	b.time += float64(sign) * w.fair.expected.Seconds()
	if b.count == 0 {
		b.time = 0
	}
	f.weigh(c)
}

// leave takes the waiter out of the queue.
func (f *fair) leave(now time.Time, w *waiter) {
	l := w.fair.line
	wasFirst := l.first == w
	l.remove(w)
	f.count(l.customer, w, -1)
	f.events.remove(&w.fair.event)
	if wasFirst {
		f.place(l)
	}
	f.scheduleWake(now, l.customer)
}

// grantArrived gives the waiter the cheapest free slot if it is next there.
func (f *fair) grantArrived(now time.Time, w *waiter) {
	var best *instance
	var cost time.Duration
	for _, i := range f.instances {
		if w.fair.kind.mask&i.fair.bit == 0 || i.free() == 0 {
			continue
		}
		t, _ := w.target(i.name)
		if best != nil && cost <= t.Cost {
			continue
		}
		if l := f.pick(now, i); l != nil && f.head(now, l) == w {
			best, cost = i, t.Cost
		}
	}
	if best != nil {
		f.grant(now, w, best)
	}
}

// dispatch gives free slots to waiters until none can be given.
func (f *fair) dispatch(now time.Time) {
	for _, i := range f.instances {
		for i.free() > 0 {
			l := f.pick(now, i)
			if l == nil {
				break
			}
			if f.giveUpOverdue(now, l) {
				continue
			}
			f.grant(now, f.head(now, l), i)
		}
	}
}

// head returns the waiter that is served next of the line. Under overload the
// oldest waiters are late whatever is done; serving the newest first keeps the
// others from being late as well.
func (f *fair) head(now time.Time, l *line) *waiter {
	if f.newestFirst(now, l) {
		return l.last
	}
	return l.first
}

// giveUpOverdue refuses the oldest waiter of the line if later ones overtake it
// and half of its time is over, and reports whether it did. The other half is
// left to its caller for another try.
func (f *fair) giveUpOverdue(now time.Time, l *line) bool {
	w := l.first
	if !f.newestFirst(now, l) || l.count == 1 || now.Sub(w.arrived) <= w.deadline.Sub(w.arrived)/2 {
		return false
	}
	f.leave(now, w)
	waited := now.Sub(w.arrived)
	w.refuse(refusal(gypsumyard.ClassLoad, f.retryAfter(now, l.customer, w), "waited %v: overtaken by later requests", waited))
	return true
}

// newestFirst reports whether the newest waiter of the line is served first.
// Requests of open transactions hold locks and keep the order of arrival, as do
// long ones, which wait for seconds, and those without a deadline, of which the
// oldest would wait without end.
func (f *fair) newestFirst(now time.Time, l *line) bool {
	w := l.first
	return w != nil && l.kind.class != classTransaction && !l.kind.long && !w.deadline.IsZero() && now.After(f.due(w))
}

// due returns from when on waiters that came later than w go first.
func (f *fair) due(w *waiter) time.Time {
	if !w.ticket.LatestStart.IsZero() {
		return w.ticket.LatestStart
	}
	return w.arrived.Add(f.policy.overdueAfter)
}

// pick returns the line of which a waiter gets the next slot of the instance,
// or nil if none may have it.
func (f *fair) pick(now time.Time, i *instance) *line {
	for {
		a := f.front(now, i)
		if a == nil {
			return nil
		}
		c := a.lines[0].customer
		if len(c.running) == 0 || !c.settledAt.Before(now) {
			return a.lines[0]
		}
		// The customer's running requests may have changed its rank.
		f.update(now, c)
	}
}

func (f *fair) grant(now time.Time, w *waiter, i *instance) {
	c := w.fair.line.customer
	k := w.fair.line.lane.kind
	f.leave(now, w)
	f.lastID++
	r := &run{
		id: f.lastID, customer: c, instance: i, start: now,
		expected: w.fair.expected, long: k.long, priority: k.class == classPriority,
	}
	if k.class == classFair {
		f.virtual = max(f.virtual, c.virtual)
	}
	f.running[r.id] = r
	c.running = append(c.running, r)
	i.fair.runs = append(i.fair.runs, r)
	i.shortUse(now)
	i.busy++
	if r.long {
		i.long++
	}
	i.fair.reservedSince = time.Time{}
	c.charge(r, w.fair.expected.Seconds())
	f.highest = max(f.highest, c.virtual)
	f.update(now, c)
	t, _ := w.target(i.name)
	w.accept(now, r.id, t)
}

func (f *fair) release(now time.Time, id uint64, used time.Duration) bool {
	r := f.running[id]
	if r == nil {
		return false
	}
	delete(f.running, id)
	c, i := r.customer, r.instance
	i.fair.runs = slices.DeleteFunc(i.fair.runs, func(x *run) bool { return x == r })
	i.shortUse(now)
	i.busy--
	if r.long {
		i.long--
	}
	if i.busy == 0 && !i.listed {
		delete(f.known, i.name)
	}
	c.stop(r)
	c.charge(r, used.Seconds()-r.charged)
	f.highest = max(f.highest, c.virtual)
	if used > 0 { // zero: the caller gave up before the request ran
		f.learn(r, used)
	}
	f.update(now, c)
	if f.waiting == 0 && len(f.running) == 0 {
		// With all work done nobody is behind anybody.
		f.virtual = max(f.virtual, f.highest)
	}
	f.retire(c)
	f.sweep(now)
	f.dispatch(now)
	return true
}

// smoothing is the weight of the latest run in smoothed run times.
const smoothing = 0.05

func (f *fair) learn(r *run, used time.Duration) {
	u, e := used.Seconds(), r.expected.Seconds()
	if r.long {
		f.meanLong += smoothing * (u - f.meanLong)
		return
	}
	f.meanShort += smoothing * (u - f.meanShort)
	if e > 0 {
		f.bias += smoothing * (min(u/e, 10) - f.bias)
	}
}

func (f *fair) cancel(now time.Time, w *waiter) {
	c := w.fair.line.customer
	f.leave(now, w)
	f.retire(c)
	f.dispatch(now)
}

// schedule plans what the waiter's deadline and its wider targets ask for.
func (f *fair) schedule(w *waiter) {
	at := w.deadline
	if !w.fair.widen.IsZero() && (at.IsZero() || w.fair.widen.Before(at)) {
		at = w.fair.widen
	}
	if !at.IsZero() {
		f.events.set(&w.fair.event, at)
	}
}

func (f *fair) next() (time.Time, bool) {
	var at time.Time
	if len(f.events) > 0 {
		at = f.events[0].at
	}
	for _, i := range f.instances {
		if i.fair.reservedSince.IsZero() || i.free() == 0 {
			continue
		}
		if end := i.fair.reservedSince.Add(maxReserve); at.IsZero() || end.Before(at) {
			at = end
		}
	}
	return at, !at.IsZero()
}

func (f *fair) tick(now time.Time) {
	for {
		v, ok := f.events.due(now)
		if !ok {
			break
		}
		switch {
		case v.customer != nil:
			f.update(now, v.customer)
		case !v.waiter.deadline.IsZero() && !now.Before(v.waiter.deadline):
			f.expire(now, v.waiter)
		default:
			f.widen(now, v.waiter)
		}
	}
	f.dispatch(now)
}

// expire answers a waiter whose time is over.
func (f *fair) expire(now time.Time, w *waiter) {
	c := w.fair.line.customer
	class, why := gypsumyard.ClassLoad, "no slot was free"
	if c.throttled {
		class, why = gypsumyard.ClassPlan, "the customer is over its limit"
	}
	f.leave(now, w)
	f.retire(c)
	w.refuse(refusal(class, f.retryAfter(now, c, w), "waited %v: %s", now.Sub(w.arrived), why))
}

func (f *fair) drain(err *gypsumyard.Error) {
	for _, c := range f.customers {
		for _, l := range c.lines {
			for l.first != nil {
				w := l.first
				f.leave(w.arrived, w)
				w.refuse(err)
			}
		}
	}
}

func (f *fair) lengths() (queued, running int) { return f.waiting, len(f.running) }

func (f *fair) busy(name string) float64 { return f.known[name].load() }
