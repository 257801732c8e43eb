package admit

import (
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// A waiter is one request that was handed to an Admitter.
type waiter struct {
	ticket   gypsumyard.SlotRequest
	arrived  time.Time
	deadline time.Time
	// ready is closed when the waiter is resolved. It is nil for a waiter that
	// was resolved on arrival.
	ready    chan struct{}
	resolved bool
	// estimate is the wait that was expected on arrival.
	estimate time.Duration
	grant    gypsumyard.Grant
	err      error
	// observe, if set, is called when the waiter is resolved. Simulations on
	// one goroutine use it.
	observe func(*waiter)

	fair fairState
}

func newWaiter(t gypsumyard.SlotRequest, now time.Time) *waiter {
	w := &waiter{ticket: t, arrived: now, deadline: t.Deadline}
	if t.Plan.MaxWait > 0 {
		last := now.Add(time.Duration(t.Plan.MaxWait))
		if w.deadline.IsZero() || last.Before(w.deadline) {
			w.deadline = last
		}
	}
	return w
}

// target returns the cheapest target of the named instance.
func (w *waiter) target(instance string) (t gypsumyard.Target, ok bool) {
	for _, c := range w.ticket.Targets {
		if c.Instance == instance && (!ok || c.Cost < t.Cost) {
			t, ok = c, true
		}
	}
	return t, ok
}

func (w *waiter) accept(now time.Time, id uint64, t gypsumyard.Target) {
	w.grant = gypsumyard.Grant{ID: id, Customer: w.ticket.Customer, Target: t, Waited: now.Sub(w.arrived)}
	w.resolve()
}

func (w *waiter) refuse(err *gypsumyard.Error) {
	w.err = err
	w.resolve()
}

func (w *waiter) resolve() {
	w.resolved = true
	if w.ready != nil {
		close(w.ready)
	}
	if w.observe != nil {
		w.observe(w)
	}
}

func refusal(class gypsumyard.ErrorClass, retryAfter time.Duration, format string, args ...any) *gypsumyard.Error {
	e := gypsumyard.Errorf(class, format, args...)
	e.RetryAfter = retryAfter
	return e
}

// An instance is the admission state of one instance of the database.
type instance struct {
	name      string
	slots     int
	ahead     int
	available bool
	// listed is false for an instance that has gone but still runs requests.
	listed bool
	busy   int
	long   int

	fair instanceState
}

// load returns which fraction of the slots is in use.
func (i *instance) load() float64 {
	if i == nil || i.slots == 0 {
		return 0
	}
	return min(float64(i.busy)/float64(i.slots), 1)
}

func (i *instance) free() int {
	if !i.available || !i.listed {
		return 0
	}
	return max(i.slots+i.ahead-i.busy, 0)
}

// freeSlots returns how many slots are idle.
func (i *instance) freeSlots() int { return max(i.slots-i.busy, 0) }
