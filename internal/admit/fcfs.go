package admit

import (
	"slices"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// fcfs serves requests in the order of arrival. A slot that becomes free goes
// to the first waiter that lists its instance.
type fcfs struct {
	instances map[string]*instance
	waiting   []*waiter
	queued    map[string]int
	running   map[uint64]*instance
	events    events
	lastID    uint64
}

func newFCFS() *fcfs {
	return &fcfs{
		instances: map[string]*instance{},
		queued:    map[string]int{},
		running:   map[uint64]*instance{},
	}
}

func (f *fcfs) arrive(now time.Time, w *waiter) {
	c := w.ticket.Customer
	if most := w.ticket.Plan.MaxQueue; most > 0 && f.queued[c] >= most {
		w.refuse(refusal(gypsumyard.ClassLoad, time.Duration(w.ticket.Plan.MaxWait), "%d requests of customer %q are queued", f.queued[c], c))
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

// grant gives the waiter the cheapest free slot, or reports false.
func (f *fcfs) grant(now time.Time, w *waiter) bool {
	var best *instance
	var target gypsumyard.Target
	for _, t := range w.ticket.Targets {
		i := f.instances[t.Instance]
		if i == nil || i.free() == 0 || (best != nil && target.Cost <= t.Cost) {
			continue
		}
		best, target = i, t
	}
	if best == nil {
		return false
	}
	f.lastID++
	best.busy++
	f.running[f.lastID] = best
	w.accept(now, f.lastID, target)
	return true
}

// dispatch gives free slots to waiters until none can be given.
func (f *fcfs) dispatch(now time.Time) {
	for n := 0; n < len(f.waiting) && f.free(); {
		w := f.waiting[n]
		if !f.grant(now, w) {
			n++
			continue
		}
		f.waiting = slices.Delete(f.waiting, n, n+1)
		f.left(w)
	}
}

func (f *fcfs) free() bool {
	for _, i := range f.instances {
		if i.free() > 0 {
			return true
		}
	}
	return false
}

func (f *fcfs) left(w *waiter) {
	f.events.remove(&w.fair.event)
	c := w.ticket.Customer
	if f.queued[c]--; f.queued[c] == 0 {
		delete(f.queued, c)
	}
}

func (f *fcfs) cancel(_ time.Time, w *waiter) {
	if i := slices.Index(f.waiting, w); i >= 0 {
		f.waiting = slices.Delete(f.waiting, i, i+1)
		f.left(w)
	}
}

func (f *fcfs) release(now time.Time, id uint64, _ time.Duration) bool {
	i, ok := f.running[id]
	if !ok {
		return false
	}
	delete(f.running, id)
	i.busy--
	f.dispatch(now)
	return true
}

func (f *fcfs) setInstances(now time.Time, instances []gypsumyard.InstanceCapacity) {
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

func (f *fcfs) setRateFactor(time.Time, float64) {}

func (f *fcfs) next() (t time.Time, ok bool) {
	if len(f.events) == 0 {
		return t, false
	}
	return f.events[0].at, true
}

func (f *fcfs) tick(now time.Time) {
	for {
		v, ok := f.events.due(now)
		if !ok {
			return
		}
		w := v.waiter
		f.cancel(now, w)
		w.refuse(refusal(gypsumyard.ClassLoad, time.Duration(w.ticket.Plan.MaxWait), "no slot within %v", now.Sub(w.arrived)))
	}
}

func (f *fcfs) drain(err *gypsumyard.Error) {
	for _, w := range f.waiting {
		f.left(w)
		w.refuse(err)
	}
	f.waiting = nil
}

func (f *fcfs) lengths() (queued, running int) { return len(f.waiting), len(f.running) }

func (f *fcfs) busy(name string) float64 { return f.instances[name].load() }
