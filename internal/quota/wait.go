package quota

import "time"

const (
	// MaxWait is how long an operation may wait for tokens of other allocations. It covers
	// requests to several owners that answer, and is short beside the time that callers allow.
	MaxWait = 100 * time.Millisecond
	// maxWaiting is how many operations of one customer wait at a time. More of them mean
	// that the customer exceeds its limit, and that further ones would wait in vain.
	maxWaiting = 4
)

// A Waiter is an operation that waits for tokens of other allocations. It must be ended.
type Waiter struct {
	allocation *Allocation
	customer   string
	limit      Limit
}

// Await lets an operation wait that Take has rejected. It returns nil if no tokens may
// arrive, or if enough operations of the customer wait.
func (a *Allocation) Await(customer string, l Limit) *Waiter {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	b := a.bucket(customer, l, now)
	if !b.mayReceive(now) || b.waiting >= maxWaiting {
		return nil
	}
	b.waiting++
	return &Waiter{allocation: a, customer: customer, limit: l}
}

// Take is Allocation.Take without a further effect on the estimated demand. It also reports
// whether tokens may still arrive.
func (w *Waiter) Take() (c *Charge, retryAfter time.Duration, mayArrive bool) {
	a := w.allocation
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	b := a.buckets[w.customer] // Its limit may have changed since the wait began.
	if b == nil {
		b = a.bucket(w.customer, w.limit, now)
	}
	b.refill(now)
	if c := a.charge(b, w.customer, w.limit); c != nil {
		b.rejectedAt = time.Time{} // No tokens are missing any more.
		return c, 0, false
	}
	return nil, a.retryAfter(b, now), b.mayReceive(now)
}

// Customer returns whose operation it is.
func (w *Waiter) Customer() string { return w.customer }

// End ends the wait.
func (w *Waiter) End() {
	a := w.allocation
	a.mu.Lock()
	defer a.mu.Unlock()
	if b := a.buckets[w.customer]; b != nil {
		b.waiting = max(b.waiting-1, 0)
	}
}

// Answers returns a channel that is closed when the next answer of another allocation has
// been received.
func (a *Allocation) Answers() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.answers
}

// notifyWaiters closes the channel of Answers. The caller must hold a.mu.
func (a *Allocation) notifyWaiters() {
	close(a.answers)
	a.answers = make(chan struct{})
}

// mayReceive reports whether other allocations may have tokens.
func (b *bucket) mayReceive(now time.Time) bool {
	return b.part.others > 0 && !now.Before(b.pausedUntil)
}
