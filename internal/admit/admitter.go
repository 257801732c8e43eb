package admit

import (
	"context"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// A queue holds the state of an Admitter: slots, waiting and running requests.
// Its methods are called with the Admitter's lock held and resolve waiters.
type queue interface {
	arrive(now time.Time, w *waiter)
	cancel(now time.Time, w *waiter)
	release(now time.Time, id uint64, used time.Duration) bool
	setInstances(now time.Time, instances []gypsumyard.InstanceCapacity)
	setRateFactor(now time.Time, factor float64)
	// next returns when tick must be called, or false if it need not be.
	next() (time.Time, bool)
	tick(now time.Time)
	// drain resolves all waiters with the error.
	drain(err *gypsumyard.Error)
	lengths() (queued, running int)
	busy(instance string) float64
}

// An Admitter implements [gypsumyard.Admitter] for one database.
type Admitter struct {
	set     *settings
	metrics *metrics
	mu      sync.Mutex
	queue   queue
	closed  bool
	// planned is when the timer goroutine acts next. Zero means never.
	planned time.Time
	replan  chan struct{}
	stop    chan struct{}
	done    chan struct{}
}

var _ gypsumyard.Admitter = (*Admitter)(nil)

// NewFCFS returns an Admitter that serves requests in the order of arrival,
// whoever sent them. It is the baseline for measurements.
func NewFCFS(database string, options ...Option) *Admitter {
	s := newSettings(database, options)
	return start(s, newFCFS())
}

func start(s *settings, q queue) *Admitter {
	a := &Admitter{
		set:     s,
		metrics: newMetrics(s.scope),
		queue:   q,
		replan:  make(chan struct{}, 1),
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
	}
	go a.run()
	return a
}

// Acquire waits for a slot. See [gypsumyard.Admitter].
func (a *Admitter) Acquire(ctx context.Context, t gypsumyard.SlotRequest) (gypsumyard.Grant, error) {
	if ctx.Err() != nil {
		return gypsumyard.Grant{}, context.Cause(ctx)
	}
	w := a.enqueue(t)
	if w.ready == nil {
		return a.finish(w)
	}
	select {
	case <-w.ready:
		return a.finish(w)
	case <-ctx.Done():
		a.abandon(w)
		return gypsumyard.Grant{}, context.Cause(ctx)
	}
}

// enqueue puts the ticket in the queue. The returned waiter has a channel
// unless it is resolved already.
func (a *Admitter) enqueue(t gypsumyard.SlotRequest) *waiter {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.set.clock.Now()
	w := newWaiter(t, now)
	if a.closed {
		w.refuse(errClosed())
		return w
	}
	a.queue.arrive(now, w)
	if !w.resolved {
		w.ready = make(chan struct{})
	}
	a.plan()
	return w
}

// abandon withdraws a waiter, or returns its slot if it was granted one in the
// meantime.
func (a *Admitter) abandon(w *waiter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.set.clock.Now()
	switch {
	case !w.resolved:
		a.queue.cancel(now, w)
	case w.err == nil:
		a.queue.release(now, w.grant.ID, 0)
	}
	a.plan()
}

func (a *Admitter) finish(w *waiter) (gypsumyard.Grant, error) {
	a.metrics.count(w)
	a.logDecision(w)
	if w.err != nil {
		return gypsumyard.Grant{}, w.err
	}
	return w.grant, nil
}

// Release returns the slot and charges the time that the request ran. A grant
// that is not held any more is ignored.
func (a *Admitter) Release(g gypsumyard.Grant, used time.Duration) {
	a.mu.Lock()
	held := a.queue.release(a.set.clock.Now(), g.ID, used)
	a.plan()
	queued, running := a.queue.lengths()
	a.mu.Unlock()
	a.metrics.lengths(queued, running)
	if !held {
		a.set.log.WithFields(map[string]any{"database": a.set.database, "customer": g.Customer, "grant": g.ID}).
			Warn("release of a grant that is not held")
	}
}

// SetInstances replaces the instances and their capacities. Requests that run
// on an instance that has gone stay accounted to their customers.
func (a *Admitter) SetInstances(instances []gypsumyard.InstanceCapacity) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.setInstances(a.set.clock.Now(), instances)
	a.plan()
	if debugging(a.set.log) {
		a.set.log.WithFields(map[string]any{"database": a.set.database, "instances": instances}).Debug("instances set")
	}
}

// SetRateFactor scales the limits and shares of all customers. A host that
// took over without a handoff uses one half for the takeover period.
func (a *Admitter) SetRateFactor(factor float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.setRateFactor(a.set.clock.Now(), factor)
	a.plan()
	a.set.log.WithFields(map[string]any{"database": a.set.database, "factor": factor}).Info("rate factor set")
}

// Utilization returns which fraction of the instance's slots is in use. It is what
// [gypsumyard.InstanceView] calls Utilization.
func (a *Admitter) Utilization(instance string) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.busy(instance)
}

// Lengths returns how many requests are queued and how many hold a slot.
func (a *Admitter) Lengths() (queued, running int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.lengths()
}

// Close answers all queued requests as not run and ends the Admitter's work.
// Grants that are held may still be released.
func (a *Admitter) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return
	}
	a.closed = true
	a.queue.drain(errClosed())
	close(a.stop)
}

// Done returns a channel that is closed when the work has ended.
func (a *Admitter) Done() <-chan struct{} { return a.done }

func errClosed() *gypsumyard.Error {
	return gypsumyard.Errorf(gypsumyard.ClassNotRun, "the admission queue is closed")
}

// plan tells the timer goroutine if it must act earlier than it knows.
func (a *Admitter) plan() {
	next, ok := a.queue.next()
	if !ok || (!a.planned.IsZero() && !next.Before(a.planned)) {
		return
	}
	a.planned = next
	select {
	case a.replan <- struct{}{}:
	default:
	}
}

// run calls tick when the queue asks for it. It ends with Close.
func (a *Admitter) run() {
	defer close(a.done)
	timer := a.set.clock.NewTimer(time.Hour)
	timer.Stop()
	defer timer.Stop()
	for {
		select {
		case <-a.stop:
			return
		case <-a.replan:
		case <-timer.C():
			a.tick()
		}
		a.mu.Lock()
		planned := a.planned
		now := a.set.clock.Now()
		a.mu.Unlock()
		timer.Stop()
		if !planned.IsZero() {
			timer.Reset(max(planned.Sub(now), 0))
		}
	}
}

func (a *Admitter) tick() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.tick(a.set.clock.Now())
	a.planned = time.Time{}
	if next, ok := a.queue.next(); ok {
		a.planned = next
	}
}
