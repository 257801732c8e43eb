package admit

import (
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// A waiter is one request in an Admitter, from its arrival until it is granted a
// slot or refused.
type waiter struct {
	request  gypsumyard.SlotRequest
	arrived  time.Time
	deadline time.Time
	// ready is closed when the waiter is resolved. It is nil for a waiter that
	// was resolved on arrival.
	ready    chan struct{}
	resolved bool
	// expectedWait is the wait for a slot that was expected on arrival.
	expectedWait time.Duration
	grant        gypsumyard.Grant
	err          error
	// onResolve, if set, is called when the waiter is resolved. It is used by
	// single-threaded simulations.
	onResolve func(*waiter)

	fair fairState
}

func newWaiter(r gypsumyard.SlotRequest, now time.Time) *waiter {
	w := &waiter{request: r, arrived: now, deadline: r.Deadline}
	if r.Plan.MaxWait > 0 {
		last := now.Add(time.Duration(r.Plan.MaxWait))
		if w.deadline.IsZero() || last.Before(w.deadline) {
			w.deadline = last
		}
	}
	return w
}

// target returns the waiter's target of lowest cost on the named instance.
func (w *waiter) target(instance string) (t gypsumyard.Target, ok bool) {
	for _, c := range w.request.Targets {
		if c.Instance == instance && (!ok || c.Cost < t.Cost) {
			t, ok = c, true
		}
	}
	return t, ok
}

func (w *waiter) admit(now time.Time, id uint64, t gypsumyard.Target) {
	w.grant = gypsumyard.Grant{ID: id, Customer: w.request.Customer, Target: t, Waited: now.Sub(w.arrived)}
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
	if w.onResolve != nil {
		w.onResolve(w)
	}
}

func refusal(class gypsumyard.ErrorClass, retryAfter time.Duration, format string, args ...any) *gypsumyard.Error {
	e := gypsumyard.Errorf(class, format, args...)
	e.RetryAfter = retryAfter
	return e
}

// An instance is the scheduling state of one instance of the database.
type instance struct {
	name       string
	slots      int
	overcommit int
	available  bool
	// listed is false for a removed instance that still runs requests.
	listed bool
	// running is the number of running requests, runningLong that of the long
	// ones among them.
	running     int
	runningLong int

	fair instanceState
}

// utilization returns the fraction of the slots that are in use.
func (i *instance) utilization() float64 {
	if i == nil || i.slots == 0 {
		return 0
	}
	return min(float64(i.running)/float64(i.slots), 1)
}

// headroom returns how many more requests may be sent to the instance, which
// includes overcommit.
func (i *instance) headroom() int {
	if !i.available || !i.listed {
		return 0
	}
	return max(i.slots+i.overcommit-i.running, 0)
}

// idleSlots returns the number of slots without a request.
func (i *instance) idleSlots() int { return max(i.slots-i.running, 0) }
