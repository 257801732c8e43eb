package admit

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

func (f *fair) instance(name string) *instance {
	for _, i := range f.instances {
		if i.name == name {
			return i
		}
	}
	return nil
}

// maxInstances is how many instances a mask can name.
const maxInstances = 64

// setInstances replaces the instances. One that has gone is kept without slots
// until its grants are released.
func (f *fair) setInstances(now time.Time, listed []gypsumyard.InstanceCapacity) {
	listed = listed[:min(len(listed), maxInstances)]
	var next []*instance
	f.slots = 0
	for _, c := range listed {
		i := f.known[c.Name]
		if i == nil {
			i = &instance{name: c.Name}
			f.known[c.Name] = i
		}
		i.slots, i.ahead, i.available, i.listed = c.Slots, c.Overcommit, c.Available, true
		f.slots += float64(c.Slots)
		next = append(next, i)
	}
	changed := !slices.Equal(next, f.instances)
	for _, i := range f.instances {
		if slices.Contains(next, i) {
			continue
		}
		i.listed, i.available = false, false
		if i.busy == 0 {
			delete(f.known, i.name)
		}
	}
	f.instances = next
	if changed {
		f.renumber(now)
	}
	f.setRates(now)
	f.dispatch(now)
}

func (f *fair) setRateFactor(now time.Time, factor float64) {
	f.factor = factor
	f.setRates(now)
	f.dispatch(now)
}

func (f *fair) setRates(now time.Time) {
	for _, c := range f.customers {
		c.setRates(now, f.slots, f.factor)
		f.update(now, c)
	}
}

// renumber gives the instances their bits and sorts the waiters into the lines
// of their new masks.
func (f *fair) renumber(now time.Time) {
	for n, i := range f.instances {
		i.fair.bit = 1 << n
	}
	for _, c := range f.customers {
		var all []*waiter
		for _, l := range c.lines {
			for w := l.first; w != nil; w = w.fair.next {
				all = append(all, w)
			}
		}
		slices.SortFunc(all, func(a, b *waiter) int { return cmp.Compare(a.fair.sequence, b.fair.sequence) })
		standing := c.standingSince
		for _, w := range all {
			f.leave(now, w)
		}
		c.lines = nil
		for _, w := range all {
			f.accept(now, w, 0)
			f.enqueue(now, c, w)
			f.schedule(w)
		}
		c.standingSince = standing
	}
	f.lanes = slices.DeleteFunc(f.lanes, func(a *lane) bool { return len(a.lines) == 0 })
}

func (f *fair) fullMask(w *waiter) (mask uint64) {
	for _, t := range w.ticket.Targets {
		if i := f.instance(t.Instance); i != nil {
			mask |= i.fair.bit
		}
	}
	return mask
}

// narrow restricts the arriving waiter to the instances whose cost is not above
// the least sum of cost and expected wait.
func (f *fair) narrow(now time.Time, w *waiter, waits *[maxInstances]time.Duration) {
	if n := bits.OnesCount64(w.fair.kind.mask); n < 2 {
		f.noteNeed(now, w)
		return
	}
	if !f.policy.weighCost {
		return
	}
	best := forever
	for n, i := range f.instances {
		if t, ok := w.target(i.name); ok && i.available {
			best = min(best, t.Cost+waits[n])
		}
	}
	f.accept(now, w, best)
}

// accept sets the mask of the waiter to the targets that cost at most the limit
// or that exceed the cheapest by no more than it has waited, and plans when it
// accepts more. Unavailable targets are accepted, as they may return.
func (f *fair) accept(now time.Time, w *waiter, limit time.Duration) {
	cheapest := forever
	for _, i := range f.instances {
		if t, ok := w.target(i.name); ok && i.available {
			cheapest = min(cheapest, t.Cost)
		}
	}
	w.fair.kind.mask, w.fair.widen = 0, time.Time{}
	left := forever
	for _, i := range f.instances {
		t, ok := w.target(i.name)
		switch {
		case !ok:
		case !i.available || t.Cost <= max(limit, cheapest+now.Sub(w.arrived)):
			w.fair.kind.mask |= i.fair.bit
		default:
			left = min(left, t.Cost-cheapest)
		}
	}
	if left < forever {
		w.fair.widen = w.arrived.Add(left)
	}
}

// noteNeed records that a short request can run on one instance only.
func (f *fair) noteNeed(now time.Time, w *waiter) {
	if w.fair.kind.long {
		return
	}
	for _, i := range f.instances {
		if w.fair.kind.mask == i.fair.bit {
			i.fair.neededAt = now
		}
	}
}

// widen lets a waiter use the targets that exceed the cheapest by no more than
// it has waited.
func (f *fair) widen(now time.Time, w *waiter) {
	c, standing := w.fair.line.customer, w.fair.line.customer.standingSince
	f.leave(now, w)
	f.accept(now, w, 0)
	f.enqueue(now, c, w)
	c.standingSince = standing
	f.schedule(w)
}

// front returns the lane whose head gets the next slot of the instance.
func (f *fair) front(now time.Time, i *instance) *lane {
	var best, short *lane
	for _, a := range f.lanes {
		if a.kind.mask&i.fair.bit == 0 || len(a.lines) == 0 {
			continue
		}
		if a.kind.long && !f.longAllowed(now, i, a) {
			continue
		}
		if best == nil || a.before(best) {
			best = a
		}
		if !a.kind.long && (short == nil || a.before(short)) {
			short = a
		}
	}
	if best == nil || !best.kind.long {
		i.fair.reservedSince = time.Time{}
		return best
	}
	if i.freeSlots() == 0 {
		return short
	}
	if i.slots == 1 {
		// Short work goes first where a long request would block all of it.
		if short != nil {
			return short
		}
		return best
	}
	if i.freeSlots() >= 2 {
		return best
	}
	return f.reserve(now, i, short)
}

// maxReserve bounds how long a free slot is held for a long request. Short
// requests run for milliseconds, so a second slot is free by then.
const maxReserve = 20 * time.Millisecond

// reserveEvery spaces the attempts after one that has failed.
const reserveEvery = 200 * time.Millisecond

// reserve is called when the fair order asks for a long request and the only
// free slot is the last one. It holds that slot until a second one is free, so
// that a steady stream of short requests does not starve long ones.
func (f *fair) reserve(now time.Time, i *instance, short *lane) *lane {
	if !f.policy.reserve || now.Before(i.fair.reserveAfter) {
		i.fair.reservedSince = time.Time{}
		return short
	}
	if short != nil && short.kind.class < classFair {
		return short
	}
	if i.fair.reservedSince.IsZero() {
		i.fair.reservedSince = now
	}
	if now.Sub(i.fair.reservedSince) < maxReserve {
		return nil
	}
	i.fair.reservedSince = time.Time{}
	i.fair.reserveAfter = now.Add(reserveEvery)
	return short
}

// neededFor is how long an instance counts as needed after a short request
// that had no other target.
const neededFor = 10 * time.Second

// longAllowed reports whether the instance may run the long request that is next
// in the lane. One that has a choice stays away from instances that other
// requests cannot do without, and from those with a single slot.
func (f *fair) longAllowed(now time.Time, i *instance, a *lane) bool {
	mask := a.kind.mask
	if i.slots > 1 && i.long >= i.slots-1 {
		return false
	}
	if f.policy.leaveRoom && i.long >= i.room(now) && a.lines[0].virtual > f.virtual {
		return false
	}
	if !f.policy.keepClear || bits.OnesCount64(mask) < 2 {
		return true
	}
	for _, o := range f.instances {
		if o.fair.bit&mask == 0 || o == i || !o.available {
			continue
		}
		if i.needed(now) && !o.needed(now) || i.slots == 1 && o.slots > 1 {
			return false
		}
	}
	return true
}

// room returns how many long requests leave enough slots for the short requests
// of the last seconds. More are allowed only to customers that have received
// less than their share.
func (i *instance) room(now time.Time) int {
	use := i.shortUse(now)
	return max(i.slots-int(math.Ceil(use+math.Sqrt(use))), 1)
}

// shortUseOver is the time over which the use by short requests is smoothed.
const shortUseOver = 2 * time.Second

// shortUse returns the smoothed number of short requests that run.
func (i *instance) shortUse(now time.Time) float64 {
	if d := now.Sub(i.fair.usedAt); d > 0 {
		w := math.Exp(-d.Seconds() / shortUseOver.Seconds())
		i.fair.used = i.fair.used*w + float64(i.busy-i.long)*(1-w)
		i.fair.usedAt = now
	}
	return i.fair.used
}

func (i *instance) needed(now time.Time) bool {
	return !i.fair.neededAt.IsZero() && now.Sub(i.fair.neededAt) < neededFor
}
