package admit

import (
	"slices"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// fcfsQueue serves requests first come, first served. A slot that becomes free
// goes to the first waiter that has its instance as a target.
type fcfsQueue struct {
	instances map[string]*instance
	waiting   []*waiter
	queued    map[string]int
	running   map[uint64]*instance
	events    events
	lastID    uint64
}

func newFCFSQueue() *fcfsQueue {
	return &fcfsQueue{
		instances: map[string]*instance{},
		queued:    map[string]int{},
		running:   map[uint64]*instance{},
	}
}

func (f *fcfsQueue) arrive(now time.Time, w *waiter) {
	c := w.request.Customer
	if maxQueue := w.request.Plan.MaxQueue; maxQueue > 0 && f.queued[c] >= maxQueue {
		w.refuse(refusal(gypsumyard.ClassLoad, time.Duration(w.request.Plan.MaxWait), "%d requests of customer %q are queued", f.queued[c], c))
		return
	}
	if f.grant(now, w) {
		return
	}
	f.waiting = append(f.waiting, w)
	f.queued[c]++
	if !w.deadline.IsZero() {
		w.fair.event.waiter = w
		f.events.set(&w.fair.event, w.deadline)
	}
}

// grant grants the waiter the free slot of lowest cost and reports whether there
// was one.
func (f *fcfsQueue) grant(now time.Time, w *waiter) bool {
	var best *instance
	var target gypsumyard.Target
	for _, t := range w.request.Targets {
		i := f.instances[t.Instance]
		if i == nil || i.headroom() == 0 || (best != nil && target.Cost <= t.Cost) {
			continue
		}
		best, target = i, t
	}
	if best == nil {
		return false
	}
	f.lastID++
	best.running++
	f.running[f.lastID] = best
	w.admit(now, f.lastID, target)
	return true
}

// dispatch grants free slots to waiters until no waiter can use any of them.
func (f *fcfsQueue) dispatch(now time.Time) {
	for n := 0; n < len(f.waiting) && f.hasFreeSlot(); {
		w := f.waiting[n]
		if !f.grant(now, w) {
			n++
			continue
		}
		f.waiting = slices.Delete(f.waiting, n, n+1)
		f.dequeued(w)
	}
}

func (f *fcfsQueue) hasFreeSlot() bool {
	for _, i := range f.instances {
		if i.headroom() > 0 {
			return true
		}
	}
	return false
}

// dequeued updates the state that belongs to a waiter that has left the queue.
func (f *fcfsQueue) dequeued(w *waiter) {
	f.events.remove(&w.fair.event)
	c := w.request.Customer
	if f.queued[c]--; f.queued[c] == 0 {
		delete(f.queued, c)
	}
}

func (f *fcfsQueue) cancel(_ time.Time, w *waiter) {
	if i := slices.Index(f.waiting, w); i >= 0 {
		f.waiting = slices.Delete(f.waiting, i, i+1)
		f.dequeued(w)
	}
}

func (f *fcfsQueue) release(now time.Time, id uint64, _ time.Duration) bool {
	i, ok := f.running[id]
	if !ok {
		return false
	}
	delete(f.running, id)
	i.running--
	f.dispatch(now)
	return true
}

func (f *fcfsQueue) setInstances(now time.Time, instances []gypsumyard.InstanceCapacity) {
	for _, i := range f.instances {
		i.listed = false
	}
	for _, c := range instances {
		i := f.instances[c.Name]
		if i == nil {
			i = &instance{name: c.Name}
			f.instances[c.Name] = i
		}
		i.slots, i.available, i.listed = c.Slots, c.Available, true
	}
	f.dispatch(now)
}

func (f *fcfsQueue) setRateFactor(time.Time, float64) {}

func (f *fcfsQueue) nextTick() (t time.Time, ok bool) {
	if len(f.events) == 0 {
		return t, false
	}
	return f.events[0].at, true
}

func (f *fcfsQueue) tick(now time.Time) {
	for {
		v, ok := f.events.popDue(now)
		if !ok {
			return
		}
		w := v.waiter
		f.cancel(now, w)
		w.refuse(refusal(gypsumyard.ClassLoad, time.Duration(w.request.Plan.MaxWait), "no slot within %v", now.Sub(w.arrived)))
	}
}

func (f *fcfsQueue) refuseAll(err *gypsumyard.Error) {
	for _, w := range f.waiting {
		f.dequeued(w)
		w.refuse(err)
	}
	f.waiting = nil
}

func (f *fcfsQueue) lengths() (queued, running int) { return len(f.waiting), len(f.running) }

func (f *fcfsQueue) utilization(name string) float64 { return f.instances[name].utilization() }
