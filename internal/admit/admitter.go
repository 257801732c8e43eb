package admit

import (
	"context"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// A queue schedules the requests of an Admitter and holds its state: the slots and
// the waiting and running requests. Its methods are called with the Admitter's lock
// held. They resolve waiters, that is, grant them a slot or refuse them.
type queue interface {
	arrive(now time.Time, w *waiter)
	cancel(now time.Time, w *waiter)
	release(now time.Time, id uint64, used time.Duration) bool
	setInstances(now time.Time, instances []gypsumyard.InstanceCapacity)
	setRateFactor(now time.Time, factor float64)
	// nextTick returns when tick must be called next, or false if it need not be
	// called.
	nextTick() (time.Time, bool)
	tick(now time.Time)
	// refuseAll resolves all waiters with the error.
	refuseAll(err *gypsumyard.Error)
	lengths() (queued, running int)
	utilization(instance string) float64
}

// An Admitter implements [gypsumyard.Admitter] for one database.
type Admitter struct {
	settings *settings
	metrics  *metrics
	mu       sync.Mutex
	queue    queue
	closed   bool
	// timerAt is when the timer goroutine calls tick next. Zero means never.
	timerAt      time.Time
	timerChanged chan struct{}
	stop         chan struct{}
	done         chan struct{}
}

var _ gypsumyard.Admitter = (*Admitter)(nil)

// NewFCFS returns an Admitter that serves requests of all customers first come,
// first served. It is the baseline for measurements.
func NewFCFS(database string, options ...Option) *Admitter {
	s := newSettings(database, options)
	return start(s, newFCFSQueue())
}

func start(s *settings, q queue) *Admitter {
	a := &Admitter{
		settings:     s,
		metrics:      newMetrics(s.scope),
		queue:        q,
		timerChanged: make(chan struct{}, 1),
		stop:         make(chan struct{}),
		done:         make(chan struct{}),
	}
	go a.run()
	return a
}

// Acquire waits for a slot. See [gypsumyard.Admitter].
func (a *Admitter) Acquire(ctx context.Context, r gypsumyard.SlotRequest) (gypsumyard.Grant, error) {
	if ctx.Err() != nil {
		return gypsumyard.Grant{}, context.Cause(ctx)
	}
	w := a.enqueue(r)
	if w.ready == nil {
		return a.result(w)
	}
	select {
	case <-w.ready:
		return a.result(w)
	case <-ctx.Done():
		a.withdraw(w)
		return gypsumyard.Grant{}, context.Cause(ctx)
	}
}

// enqueue adds the request to the queue. The returned waiter has a ready channel
// unless it is already resolved.
func (a *Admitter) enqueue(r gypsumyard.SlotRequest) *waiter {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.settings.clock.Now()
	w := newWaiter(r, now)
	if a.closed {
		w.refuse(newClosedError())
		return w
	}
	a.queue.arrive(now, w)
	if !w.resolved {
		w.ready = make(chan struct{})
	}
	a.updateTimer()
	return w
}

// withdraw removes a waiter whose context is done from the queue, or releases
// the slot that it was granted in the meantime.
func (a *Admitter) withdraw(w *waiter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.settings.clock.Now()
	switch {
	case !w.resolved:
		a.queue.cancel(now, w)
	case w.err == nil:
		a.queue.release(now, w.grant.ID, 0)
	}
	a.updateTimer()
}

func (a *Admitter) result(w *waiter) (gypsumyard.Grant, error) {
	a.metrics.record(w)
	a.logDecision(w)
	if w.err != nil {
		return gypsumyard.Grant{}, w.err
	}
	return w.grant, nil
}

// Release returns the slot and charges the customer for the time that the request
// ran. It ignores a grant that has already been released.
func (a *Admitter) Release(g gypsumyard.Grant, used time.Duration) {
	a.mu.Lock()
	held := a.queue.release(a.settings.clock.Now(), g.ID, used)
	a.updateTimer()
	queued, running := a.queue.lengths()
	a.mu.Unlock()
	a.metrics.setLengths(queued, running)
	if !held {
		a.settings.log.WithFields(map[string]any{"database": a.settings.database, "customer": g.Customer, "grant": g.ID}).
			Warn("ignoring release of a grant that is not held")
	}
}

// SetInstances replaces the instances and their capacities. Requests that still
// run on a removed instance remain charged to their customers.
func (a *Admitter) SetInstances(instances []gypsumyard.InstanceCapacity) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.setInstances(a.settings.clock.Now(), instances)
	a.updateTimer()
	if debugEnabled(a.settings.log) {
		a.settings.log.WithFields(map[string]any{"database": a.settings.database, "instances": instances}).Debug("instances set")
	}
}

// SetRateFactor scales the limits and shares of all customers. A host that became
// owner without a handover by the previous owner uses one half for the takeover
// period.
func (a *Admitter) SetRateFactor(factor float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.setRateFactor(a.settings.clock.Now(), factor)
	a.updateTimer()
	a.settings.log.WithFields(map[string]any{"database": a.settings.database, "factor": factor}).Info("rate factor set")
}

// Utilization returns the fraction of the instance's slots that are in use, as in
// [gypsumyard.InstanceView].
func (a *Admitter) Utilization(instance string) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.utilization(instance)
}

// Lengths returns the numbers of requests that are queued and that hold a slot.
func (a *Admitter) Lengths() (queued, running int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.lengths()
}

// Close refuses all queued requests with ClassNotRun and stops the Admitter.
// Grants that are held can still be released.
func (a *Admitter) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return
	}
	a.closed = true
	a.queue.refuseAll(newClosedError())
	close(a.stop)
}

// Done returns a channel that is closed when the Admitter has stopped.
func (a *Admitter) Done() <-chan struct{} { return a.done }

func newClosedError() *gypsumyard.Error {
	return gypsumyard.Errorf(gypsumyard.ClassNotRun, "the admission queue is closed")
}

// updateTimer notifies the timer goroutine if the queue needs a tick earlier than
// the timer is set.
func (a *Admitter) updateTimer() {
	next, ok := a.queue.nextTick()
	if !ok || (!a.timerAt.IsZero() && !next.Before(a.timerAt)) {
		return
	}
	a.timerAt = next
	select {
	case a.timerChanged <- struct{}{}:
	default:
	}
}

// run calls tick whenever the queue has requested it, until Close.
func (a *Admitter) run() {
	defer close(a.done)
	timer := a.settings.clock.NewTimer(time.Hour)
	timer.Stop()
	defer timer.Stop()
	for {
		select {
		case <-a.stop:
			return
		case <-a.timerChanged:
		case <-timer.C():
			a.tick()
		}
		a.mu.Lock()
		timerAt := a.timerAt
		now := a.settings.clock.Now()
		a.mu.Unlock()
		timer.Stop()
		if !timerAt.IsZero() {
			timer.Reset(max(timerAt.Sub(now), 0))
		}
	}
}

func (a *Admitter) tick() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.tick(a.settings.clock.Now())
	a.timerAt = time.Time{}
	if next, ok := a.queue.nextTick(); ok {
		a.timerAt = next
	}
}
