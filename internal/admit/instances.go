package admit

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

func (f *fairQueue) instance(name string) *instance {
	for _, i := range f.instances {
		if i.name == name {
			return i
		}
	}
	return nil
}

// maxInstances is the number of instances that fit in a mask, one bit each.
const maxInstances = 64

// setInstances replaces the instances. A removed instance is kept in known, and
// unavailable, until its grants are released.
func (f *fairQueue) setInstances(now time.Time, listed []gypsumyard.InstanceCapacity) {
	listed = listed[:min(len(listed), maxInstances)]
	var next []*instance
	f.slots = 0
	for _, c := range listed {
		i := f.known[c.Name]
		if i == nil {
			i = &instance{name: c.Name}
			f.known[c.Name] = i
		}
		i.slots, i.overcommit, i.available, i.listed = c.Slots, c.Overcommit, c.Available, true
		f.slots += float64(c.Slots)
		next = append(next, i)
	}
	changed := !slices.Equal(next, f.instances)
	for _, i := range f.instances {
		if slices.Contains(next, i) {
			continue
		}
		i.listed, i.available = false, false
		if i.running == 0 {
			delete(f.known, i.name)
		}
	}
	f.instances = next
	if changed {
		f.reassignMasks(now)
	}
	f.setRates(now)
	f.dispatch(now)
}

func (f *fairQueue) setRateFactor(now time.Time, factor float64) {
	f.rateFactor = factor
	f.setRates(now)
	f.dispatch(now)
}

func (f *fairQueue) setRates(now time.Time) {
	for _, c := range f.customers {
		c.setRates(now, f.slots, f.rateFactor)
		f.updateCustomer(now, c)
	}
}

// reassignMasks assigns a mask bit to each instance and moves the waiters to the
// flows of their new masks, in the order of their arrival.
func (f *fairQueue) reassignMasks(now time.Time) {
	for n, i := range f.instances {
		i.fair.bit = 1 << n
	}
	for _, c := range f.customers {
		var all []*waiter
		for _, fl := range c.flows {
			for w := fl.first; w != nil; w = w.fair.next {
				all = append(all, w)
			}
		}
		slices.SortFunc(all, func(a, b *waiter) int { return cmp.Compare(a.fair.sequence, b.fair.sequence) })
		queuedSince := c.queuedSince
		for _, w := range all {
			f.dequeue(now, w)
		}
		c.flows = nil
		for _, w := range all {
			f.selectTargets(now, w, 0)
			f.enqueue(now, c, w)
			f.scheduleEvent(w)
		}
		c.queuedSince = queuedSince
	}
	f.heaps = slices.DeleteFunc(f.heaps, func(h *flowHeap) bool { return len(h.flows) == 0 })
}

func (f *fairQueue) fullMask(w *waiter) (mask uint64) {
	for _, t := range w.request.Targets {
		if i := f.instance(t.Instance); i != nil {
			mask |= i.fair.bit
		}
	}
	return mask
}

// narrowTargets restricts the arriving waiter to the instances whose cost is not
// above the lowest sum of cost and expected wait.
func (f *fairQueue) narrowTargets(now time.Time, w *waiter, waits *[maxInstances]time.Duration) {
	if n := bits.OnesCount64(w.fair.kind.mask); n < 2 {
		f.noteSoleTarget(now, w)
		return
	}
	if !f.policy.waitForCheaper {
		return
	}
	best := forever
	for n, i := range f.instances {
		if t, ok := w.target(i.name); ok && i.available {
			best = min(best, t.Cost+waits[n])
		}
	}
	f.selectTargets(now, w, best)
}

// selectTargets sets the mask of the waiter to the targets whose cost is at most
// limit, or exceeds the lowest cost by at most the time that the waiter has
// waited, and sets the time when it accepts more targets. Unavailable targets are
// included because they may become available again.
func (f *fairQueue) selectTargets(now time.Time, w *waiter, limit time.Duration) {
	cheapest := forever
	for _, i := range f.instances {
		if t, ok := w.target(i.name); ok && i.available {
			cheapest = min(cheapest, t.Cost)
		}
	}
	w.fair.kind.mask, w.fair.widenAt = 0, time.Time{}
	nextStep := forever
	for _, i := range f.instances {
		t, ok := w.target(i.name)
		switch {
		case !ok:
		case !i.available || t.Cost <= max(limit, cheapest+now.Sub(w.arrived)):
			w.fair.kind.mask |= i.fair.bit
		default:
			nextStep = min(nextStep, t.Cost-cheapest)
		}
	}
	if nextStep < forever {
		w.fair.widenAt = w.arrived.Add(nextStep)
	}
}

// noteSoleTarget records that a short request can run on one instance only.
func (f *fairQueue) noteSoleTarget(now time.Time, w *waiter) {
	if w.fair.kind.long {
		return
	}
	for _, i := range f.instances {
		if w.fair.kind.mask == i.fair.bit {
			i.fair.soleTargetAt = now
		}
	}
}

// widenTargets lets a waiter also use the targets whose cost exceeds the lowest
// cost by at most the time that it has waited.
func (f *fairQueue) widenTargets(now time.Time, w *waiter) {
	c, queuedSince := w.fair.flow.customer, w.fair.flow.customer.queuedSince
	f.dequeue(now, w)
	f.selectTargets(now, w, 0)
	f.enqueue(now, c, w)
	c.queuedSince = queuedSince
	f.scheduleEvent(w)
}

// nextHeap returns the heap whose first flow gets the next slot of the instance,
// or nil if no waiter may use it.
func (f *fairQueue) nextHeap(now time.Time, i *instance) *flowHeap {
	var best, short *flowHeap
	for _, h := range f.heaps {
		if h.kind.mask&i.fair.bit == 0 || len(h.flows) == 0 {
			continue
		}
		if h.kind.long && !f.longAllowed(now, i, h) {
			continue
		}
		if best == nil || h.before(best) {
			best = h
		}
		if !h.kind.long && (short == nil || h.before(short)) {
			short = h
		}
	}
	if best == nil || !best.kind.long {
		i.fair.reservedSince = time.Time{}
		return best
	}
	if i.idleSlots() == 0 {
		return short
	}
	if i.slots == 1 {
		// A long request would block all short work, so that goes first.
		if short != nil {
			return short
		}
		return best
	}
	if i.idleSlots() >= 2 {
		return best
	}
	return f.reserveLastSlot(now, i, short)
}

// maxReserveTime limits how long a free slot is reserved for a long request.
// Short requests run for milliseconds, so a second slot is usually free by then.
const maxReserveTime = 20 * time.Millisecond

// reserveRetryInterval is the time between a failed reservation and the next.
const reserveRetryInterval = 200 * time.Millisecond

// reserveLastSlot is called when a long request is next in the fair order and only
// one slot is free, which long requests may not take. It reserves that slot until
// a second one is free, so that a steady stream of short requests does not starve
// long ones.
func (f *fairQueue) reserveLastSlot(now time.Time, i *instance, short *flowHeap) *flowHeap {
	if !f.policy.reserveForLong || now.Before(i.fair.reserveAfter) {
		i.fair.reservedSince = time.Time{}
		return short
	}
	if short != nil && short.kind.class < classFair {
		return short
	}
	if i.fair.reservedSince.IsZero() {
		i.fair.reservedSince = now
	}
	if now.Sub(i.fair.reservedSince) < maxReserveTime {
		return nil
	}
	i.fair.reservedSince = time.Time{}
	i.fair.reserveAfter = now.Add(reserveRetryInterval)
	return short
}

// soleTargetWindow is how long an instance counts as a sole target after the
// arrival of a short request that had no other target.
const soleTargetWindow = 10 * time.Second

// longAllowed reports whether the instance may run the long request that is next
// in the heap. A long request with several targets avoids instances that are the
// sole target of other requests, and those with a single slot.
func (f *fairQueue) longAllowed(now time.Time, i *instance, h *flowHeap) bool {
	mask := h.kind.mask
	if i.slots > 1 && i.runningLong >= i.slots-1 {
		return false
	}
	if f.policy.limitLong && i.runningLong >= i.maxLong(now) && h.flows[0].virtualTime > f.virtualTime {
		return false
	}
	if !f.policy.avoidSoleTargets || bits.OnesCount64(mask) < 2 {
		return true
	}
	for _, o := range f.instances {
		if o.fair.bit&mask == 0 || o == i || !o.available {
			continue
		}
		if i.isSoleTarget(now) && !o.isSoleTarget(now) || i.slots == 1 && o.slots > 1 {
			return false
		}
	}
	return true
}

// maxLong returns how many long requests the instance may run such that enough
// slots are left for the short requests, judged by the last seconds. More are
// allowed only to customers that have received less than their share.
func (i *instance) maxLong(now time.Time) int {
	use := i.avgShortRunning(now)
	return max(i.slots-int(math.Ceil(use+math.Sqrt(use))), 1)
}

// avgShortTimeConstant is the time constant of the exponential smoothing of the
// number of running short requests.
const avgShortTimeConstant = 2 * time.Second

// avgShortRunning returns the smoothed number of running short requests.
func (i *instance) avgShortRunning(now time.Time) float64 {
	if d := now.Sub(i.fair.avgShortAt); d > 0 {
		w := math.Exp(-d.Seconds() / avgShortTimeConstant.Seconds())
		i.fair.avgShort = i.fair.avgShort*w + float64(i.running-i.runningLong)*(1-w)
		i.fair.avgShortAt = now
	}
	return i.fair.avgShort
}

func (i *instance) isSoleTarget(now time.Time) bool {
	return !i.fair.soleTargetAt.IsZero() && now.Sub(i.fair.soleTargetAt) < soleTargetWindow
}
