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
	f.waiting = append(f.waiting, w)
	f.queued[c]++
	f.dispatch(now)
}

func (f *fcfs) dispatch(now time.Time) {
	f.waiting = slices.DeleteFunc(f.waiting, func(w *waiter) bool {
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
		f.left(w)
		w.accept(now, f.lastID, target)
		return true
	})
}

func (f *fcfs) left(w *waiter) {
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
	for _, w := range f.waiting {
		if !w.deadline.IsZero() && (!ok || w.deadline.Before(t)) {
			t, ok = w.deadline, true
		}
	}
	return t, ok
}

func (f *fcfs) tick(now time.Time) {
	f.waiting = slices.DeleteFunc(f.waiting, func(w *waiter) bool {
		if w.deadline.IsZero() || now.Before(w.deadline) {
			return false
		}
		f.left(w)
		w.refuse(refusal(gypsumyard.ClassLoad, time.Duration(w.ticket.Plan.MaxWait), "no slot within %v", now.Sub(w.arrived)))
		return true
	})
}

func (f *fcfs) drain(err *gypsumyard.Error) {
	for _, w := range f.waiting {
		f.left(w)
		w.refuse(err)
	}
	f.waiting = nil
}

func (f *fcfs) lengths() (queued, running int) { return len(f.waiting), len(f.running) }
