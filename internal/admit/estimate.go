package admit

import (
	"math/bits"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// refuse returns the error for a request that had better not be queued, or
// nil.
func (f *fair) refuse(now time.Time, c *customer, w *waiter) *gypsumyard.Error {
	p := &w.ticket.Plan
	if p.MaxQueue > 0 && c.waiting >= p.MaxQueue {
		return refusal(gypsumyard.ClassLoad, f.retryAfter(now, c, w), "%d requests of customer %q are queued", c.waiting, c.name)
	}
	if p.Limit <= 0 {
		return refusal(gypsumyard.ClassPlan, 0, "plan %q allows no use", p.Name)
	}
	if !f.policy.refuseEarly || w.deadline.IsZero() {
		return nil
	}
	allowed := f.acceptedWait(now, c, w)
	if wait := f.limitWait(c, w); wait > allowed {
		return refusal(gypsumyard.ClassPlan, wait, "customer %q is over its limit for %v", c.name, wait)
	}
	if w.estimate > allowed {
		return refusal(gypsumyard.ClassLoad, w.estimate, "expected wait %v, accepted %v", w.estimate, allowed)
	}
	return nil
}

// acceptedWait returns how long the request may wait. A queue that has not been
// empty for a while serves no burst any more: a shorter one gives the same
// throughput at less delay. Work that outranks others does not wait in it.
func (f *fair) acceptedWait(now time.Time, c *customer, w *waiter) time.Duration {
	d := w.deadline.Sub(now)
	standing := c.waiting > 0 && now.Sub(c.standingSince) > f.policy.standingAfter
	if !standing || w.ticket.Long || c.classOf(w.fair.kind.class) != classFair {
		return d
	}
	return min(d, max(f.policy.standingWait, standingRuns*w.fair.expected, w.ticket.LatestStart.Sub(now)/standingShare))
}

// standingShare is the part, one in so many, of the time until it is due that a
// request may wait in a standing queue.
const standingShare = 2

// standingRuns is the least accepted wait in run times of the request, so that
// requests that run for longer than usual still find a queue.
const standingRuns = 4

// standingSlack is by which factor a request may exceed the accepted wait of a
// standing queue before it is given up. Work of other customers that came
// later may have delayed it.
const standingSlack = 2

// shorten brings the waiter's deadline forward if it joins a standing queue.
func (f *fair) shorten(now time.Time, c *customer, w *waiter) {
	if !f.policy.refuseEarly || w.deadline.IsZero() {
		return
	}
	if last := now.Add(standingSlack * f.acceptedWait(now, c, w)); last.Before(w.deadline) {
		w.deadline = last
	}
}

// limitWait returns how long the customer's limit holds the request back: until
// the bucket has paid for the customer's requests ahead of it.
func (f *fair) limitWait(c *customer, w *waiter) time.Duration {
	if f.unlimited(c) {
		return 0
	}
	if w.ticket.InTransaction {
		return c.limit.until(-c.limit.depth)
	}
	return c.limit.until(c.backlog[0].time + c.backlog[1].time)
}

// expectWaits computes the expected wait for a slot of each instance that the
// waiter may use, from the work ahead of it in the order of service.
func (f *fair) expectWaits(now time.Time, c *customer, w *waiter, waits *[maxInstances]time.Duration) {
	k := w.fair.kind
	k.class = c.classOf(k.class)
	var levels [maxInstances]float64
	if f.waiting > 0 {
		f.fill(now, &levels, c, k)
	}
	for n, i := range f.instances {
		if k.mask&i.fair.bit == 0 || !i.available {
			continue
		}
		waits[n] = seconds(levels[n] * f.bias)
		if levels[n] > 0 || i.free() == 0 {
			waits[n] += f.slotWait(now, i, k.long)
		}
	}
}

// shortest returns the shortest of the expected waits. It is zero while no
// target is available, as nothing is known then.
func (f *fair) shortest(w *waiter, waits *[maxInstances]time.Duration) time.Duration {
	best := forever
	for n, i := range f.instances {
		if w.fair.kind.mask&i.fair.bit != 0 && i.available {
			best = min(best, waits[n])
		}
	}
	if best == forever {
		return 0
	}
	return best
}

// ahead returns which fraction of the work in the fair order is served before
// a new request of the customer. The virtual time advances by one each time
// that the slots have given every waiting customer its weight in slot seconds.
func (f *fair) ahead(now time.Time, c *customer, k kind) float64 {
	if k.class != classFair {
		return 1
	}
	var total float64
	for _, a := range f.lanes {
		if a.kind.class == classFair && a.kind.long == k.long {
			total += a.work
		}
	}
	later := f.workBehind(now, c, k)
	total -= later
	if total <= 0 {
		return 0
	}
	n := length(k.long)
	distance := max(c.virtual-f.virtual, 0) + max(c.backlog[n].time-later, 0)/c.weight
	weight := f.weight[n]
	if c.backlog[n].counted == 0 {
		weight += c.weight
	}
	return min(1, distance*weight/total)
}

// workBehind returns the customer's work in the fair order that a new request
// of its own overtakes.
func (f *fair) workBehind(now time.Time, c *customer, k kind) (work float64) {
	for _, l := range c.lines {
		if f.isBehind(now, l, k) {
			work += l.work
		}
	}
	return work
}

// isBehind reports whether a new request of the same customer and the kind is
// served before the line, because the line has more instances to choose from or
// the request joins it and its newest waiter is served first.
func (f *fair) isBehind(now time.Time, l *line, k kind) bool {
	if l.lane == nil || l.lane.kind.class != classFair || k.class != classFair || l.kind.long != k.long {
		return false
	}
	if l.kind.mask == k.mask {
		return f.newestFirst(now, l)
	}
	return bits.OnesCount64(l.kind.mask) > bits.OnesCount64(k.mask)
}

// fill spreads the work that is served before a request of the kind over the
// instances, lanes with the smallest choice first, each to the instances that
// have the least. Levels are in seconds of the instance's whole capacity.
func (f *fair) fill(now time.Time, levels *[maxInstances]float64, c *customer, k kind) {
	fraction := f.ahead(now, c, k)
	for choice := 1; choice <= len(f.instances); choice++ {
		for _, a := range f.lanes {
			if a.count == 0 || bits.OnesCount64(a.kind.mask) != choice || a.kind.class > k.class || a.kind.long != k.long {
				continue
			}
			work := a.work - f.workIn(now, c, a, k)
			if a.kind.class == classFair {
				work *= fraction
			}
			f.pour(levels, work, a.kind)
		}
	}
}

// workIn returns the part of workBehind that is in the lane.
func (f *fair) workIn(now time.Time, c *customer, a *lane, k kind) (work float64) {
	for _, l := range c.lines {
		if l.lane == a && f.isBehind(now, l, k) {
			work += l.work
		}
	}
	return work
}

// pour adds work to the instances of the kind, in steps that keep their levels
// close to each other.
func (f *fair) pour(levels *[maxInstances]float64, work float64, k kind) {
	const steps = 4
	for range steps {
		lowest := -1
		for n, i := range f.instances {
			if k.mask&i.fair.bit != 0 && i.available && (lowest < 0 || levels[n] < levels[lowest]) {
				lowest = n
			}
		}
		if lowest < 0 {
			return
		}
		levels[lowest] += work / steps / f.instances[lowest].lanesFor(k.long)
	}
}

// lanesFor returns how many slots of the instance serve short or long work.
func (i *instance) lanesFor(long bool) float64 {
	if long {
		return float64(max(i.slots-1, 1))
	}
	return float64(max(i.slots-i.long, 1))
}

// slotWait returns the expected time until a slot of the instance is free,
// apart from waiters.
func (f *fair) slotWait(now time.Time, i *instance, long bool) time.Duration {
	if i.freeSlots() > 1 || (i.free() > 0 && !long) {
		return 0
	}
	shortest := forever
	for _, r := range i.fair.runs {
		if long && !r.long && i.long >= i.slots-1 {
			continue // a long request waits for a long one to end
		}
		shortest = min(shortest, r.remaining(now))
	}
	if shortest == forever {
		return 0
	}
	return shortest
}

// remaining returns the expected rest of the run. One that has outrun its
// expected time is taken to be half done.
func (r *run) remaining(now time.Time) time.Duration {
	elapsed := now.Sub(r.start)
	if elapsed < r.expected {
		return r.expected - elapsed
	}
	return elapsed
}

// retryAfter returns when a refused request has a chance.
func (f *fair) retryAfter(now time.Time, c *customer, w *waiter) time.Duration {
	var waits [maxInstances]time.Duration
	f.expectWaits(now, c, w, &waits)
	return max(f.limitWait(c, w), f.shortest(w, &waits), f.drainTime(c, w), minRetry)
}

// drainTime returns how long the instances that the waiter may use need for the
// customer's waiting work. A request that returns earlier overtakes others of
// its customer while the newest is served first.
func (f *fair) drainTime(c *customer, w *waiter) time.Duration {
	var slots float64
	for _, i := range f.instances {
		if w.fair.kind.mask&i.fair.bit != 0 && i.available {
			slots += i.lanesFor(w.ticket.Long)
		}
	}
	if slots == 0 {
		return 0
	}
	return seconds(c.backlog[length(w.ticket.Long)].time / slots)
}

// minRetry keeps refused callers from coming back at once.
const minRetry = 10 * time.Millisecond
