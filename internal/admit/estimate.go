package admit

import (
	"math/bits"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// checkArrival returns the error with which to refuse an arriving request, or nil
// if the request may be queued.
func (f *fairQueue) checkArrival(now time.Time, c *customer, w *waiter) *gypsumyard.Error {
	p := &w.request.Plan
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
	if w.expectedWait > allowed {
		return refusal(gypsumyard.ClassLoad, w.expectedWait, "expected wait %v, accepted %v", w.expectedWait, allowed)
	}
	return nil
}

// acceptedWait returns the longest wait for which the request is queued. A queue
// that has been non-empty for long is a standing queue: it absorbs no burst, and a
// shorter one gives the same throughput at less delay. Transactions and priority
// work do not wait in it.
func (f *fairQueue) acceptedWait(now time.Time, c *customer, w *waiter) time.Duration {
	d := w.deadline.Sub(now)
	standing := c.waiting > 0 && now.Sub(c.queuedSince) > f.policy.standingAfter
	if !standing || w.request.Long || c.effectiveClass(w.fair.kind.class) != classFair {
		return d
	}
	return min(d, max(f.policy.maxStandingWait, standingRunTimes*w.fair.expected, w.request.LatestStart.Sub(now)/standingStartDivisor))
}

// standingStartDivisor divides the time until a request's latest start. The
// quotient is how long the request may wait in a standing queue.
const standingStartDivisor = 2

// standingRunTimes is the least accepted wait in a standing queue, as a multiple
// of the request's expected run time, so that requests with long run times can
// still be queued.
const standingRunTimes = 4

// standingSlackFactor is the factor by which a queued request may exceed the
// accepted wait of a standing queue before it is refused. It leaves room for
// delay by other customers' requests that arrived later.
const standingSlackFactor = 2

// limitDeadline sets an earlier deadline if the waiter joins a standing queue.
func (f *fairQueue) limitDeadline(now time.Time, c *customer, w *waiter) {
	if !f.policy.refuseEarly || w.deadline.IsZero() {
		return
	}
	if latest := now.Add(standingSlackFactor * f.acceptedWait(now, c, w)); latest.Before(w.deadline) {
		w.deadline = latest
	}
}

// limitWait returns how long the customer's rate limit delays the request: until
// the bucket has refilled enough for the customer's requests ahead of it.
func (f *fairQueue) limitWait(c *customer, w *waiter) time.Duration {
	if f.unlimited(c) {
		return 0
	}
	if w.request.InTransaction {
		return c.limitBucket.timeUntil(-c.limitBucket.depth)
	}
	return c.limitBucket.timeUntil(c.backlog[0].time + c.backlog[1].time)
}

// estimateWaits computes the expected wait for a slot of each instance that the
// waiter may use, from the work that is served before it.
func (f *fairQueue) estimateWaits(now time.Time, c *customer, w *waiter, waits *[maxInstances]time.Duration) {
	k := w.fair.kind
	k.class = c.effectiveClass(k.class)
	var levels [maxInstances]float64
	if f.waiting > 0 {
		f.fillLevels(now, &levels, c, k)
	}
	for n, i := range f.instances {
		if k.mask&i.fair.bit == 0 || !i.available {
			continue
		}
		waits[n] = seconds(levels[n] * f.runTimeBias)
		if levels[n] > 0 || i.headroom() == 0 {
			waits[n] += f.slotWait(now, i, k.long)
		}
	}
}

// shortestWait returns the shortest of the expected waits, or zero if no target
// is available and the wait is unknown.
func (f *fairQueue) shortestWait(w *waiter, waits *[maxInstances]time.Duration) time.Duration {
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

// fractionAhead returns the fraction of the work in the fair order that is served
// before a new request of the customer. It follows from the virtual time, which
// advances by one whenever every waiting customer has received its weight in slot
// seconds.
func (f *fairQueue) fractionAhead(now time.Time, c *customer, k kind) float64 {
	if k.class != classFair {
		return 1
	}
	var total float64
	for _, h := range f.heaps {
		if h.kind.class == classFair && h.kind.long == k.long {
			total += h.work
		}
	}
	overtaken := f.overtakenWork(now, c, k)
	total -= overtaken
	if total <= 0 {
		return 0
	}
	n := lengthIndex(k.long)
	distance := max(c.virtualTime-f.virtualTime, 0) + max(c.backlog[n].time-overtaken, 0)/c.weight
	weight := f.waitingWeight[n]
	if c.backlog[n].countedWeight == 0 {
		weight += c.weight
	}
	return min(1, distance*weight/total)
}

// overtakenWork returns the customer's own work in the fair order that a new
// request of it overtakes.
func (f *fairQueue) overtakenWork(now time.Time, c *customer, k kind) (work float64) {
	for _, fl := range c.flows {
		if f.isBehind(now, fl, k) {
			work += fl.work
		}
	}
	return work
}

// isBehind reports whether a new request of the given kind is served before the
// flow, which belongs to the same customer: either the flow can use more
// instances, or the request joins the flow and its newest waiter is served first.
func (f *fairQueue) isBehind(now time.Time, fl *flow, k kind) bool {
	if fl.heap == nil || fl.heap.kind.class != classFair || k.class != classFair || fl.kind.long != k.long {
		return false
	}
	if fl.kind.mask == k.mask {
		return f.newestFirst(now, fl)
	}
	return bits.OnesCount64(fl.kind.mask) > bits.OnesCount64(k.mask)
}

// fillLevels distributes the work that is served before a request of the kind over
// the instances by water-filling: heaps with the fewest possible instances come
// first, and work goes to the instances with the lowest levels. The level of an
// instance is the time in seconds that it needs for its work with all slots.
func (f *fairQueue) fillLevels(now time.Time, levels *[maxInstances]float64, c *customer, k kind) {
	fraction := f.fractionAhead(now, c, k)
	for choice := 1; choice <= len(f.instances); choice++ {
		for _, h := range f.heaps {
			if h.count == 0 || bits.OnesCount64(h.kind.mask) != choice || h.kind.class > k.class || h.kind.long != k.long {
				continue
			}
			work := h.work - f.overtakenWorkIn(now, c, h, k)
			if h.kind.class == classFair {
				work *= fraction
			}
			f.spreadWork(levels, work, h.kind)
		}
	}
}

// overtakenWorkIn returns the part of overtakenWork that is in the heap.
func (f *fairQueue) overtakenWorkIn(now time.Time, c *customer, h *flowHeap, k kind) (work float64) {
	for _, fl := range c.flows {
		if fl.heap == h && f.isBehind(now, fl, k) {
			work += fl.work
		}
	}
	return work
}

// spreadWork adds work to the levels of the kind's instances, in steps that keep
// these levels close to each other.
func (f *fairQueue) spreadWork(levels *[maxInstances]float64, work float64, k kind) {
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
		levels[lowest] += work / steps / f.instances[lowest].slotsFor(k.long)
	}
}

// slotsFor returns the number of slots that serve short or long work.
func (i *instance) slotsFor(long bool) float64 {
	if long {
		return float64(max(i.slots-1, 1))
	}
	return float64(max(i.slots-i.runningLong, 1))
}

// slotWait returns the expected time until a slot of the instance becomes free,
// not counting the requests that wait for it.
func (f *fairQueue) slotWait(now time.Time, i *instance, long bool) time.Duration {
	if i.idleSlots() > 1 || (i.headroom() > 0 && !long) {
		return 0
	}
	shortest := forever
	for _, r := range i.fair.runs {
		if long && !r.long && i.runningLong >= i.slots-1 {
			continue // a long request waits for a long one to end
		}
		shortest = min(shortest, r.remaining(now))
	}
	if shortest == forever {
		return 0
	}
	return shortest
}

// remaining returns the expected remaining run time. A run that has exceeded its
// expected time is assumed to be half done.
func (r *run) remaining(now time.Time) time.Duration {
	elapsed := now.Sub(r.start)
	if elapsed < r.expected {
		return r.expected - elapsed
	}
	return elapsed
}

// retryAfter returns how long the caller of a refused request should wait before
// it retries.
func (f *fairQueue) retryAfter(now time.Time, c *customer, w *waiter) time.Duration {
	var waits [maxInstances]time.Duration
	f.estimateWaits(now, c, w, &waits)
	return max(f.limitWait(c, w), f.shortestWait(w, &waits), f.drainTime(c, w), minRetryAfter)
}

// drainTime returns the time that the instances that the waiter may use need for
// the customer's waiting work. A retry before that time would overtake other
// requests of its customer while the newest is served first.
func (f *fairQueue) drainTime(c *customer, w *waiter) time.Duration {
	var slots float64
	for _, i := range f.instances {
		if w.fair.kind.mask&i.fair.bit != 0 && i.available {
			slots += i.slotsFor(w.request.Long)
		}
	}
	if slots == 0 {
		return 0
	}
	return seconds(c.backlog[lengthIndex(w.request.Long)].time / slots)
}

// minRetryAfter keeps refused callers from retrying at once.
const minRetryAfter = 10 * time.Millisecond
