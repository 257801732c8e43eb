package quota

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

const (
	// maxPause is the time without a call of Tick after which the host may have been
	// suspended, and another one may have become the owner of the group.
	maxPause = time.Second
	// pauseDelay is how long after a pause the buckets are not refilled: the host first
	// has to learn whether another one owns the group.
	pauseDelay = time.Second
	// takeoverDelay is how long those of a new owner are not refilled, as its predecessor
	// may learn of the change later.
	takeoverDelay = 200 * time.Millisecond
	// riseDelay is how long hosts must be reached again before the fraction of the limits
	// rises, since the group may still have another owner on their side.
	riseDelay = time.Second
	// sweepInterval is the time between two searches for buckets to drop.
	sweepInterval = time.Second
	// demandWindow is the time constant of the estimate of a customer's demand.
	demandWindow = 300 * time.Millisecond
	// longDemandWindow is that of the estimate by which a single token is kept.
	longDemandWindow = 2 * time.Second
	// idleDemand is the demand in operations a second below which a customer is idle.
	idleDemand = 0.01
	// firstTokens is what a new owner starts with at most: its predecessor may have
	// spent the rest.
	firstTokens = 1
	// exchangeDelay is the least time after which a caller is told to retry if other owners
	// have parts of the limit: they may have tokens then.
	exchangeDelay = 100 * time.Millisecond
	// epsilon absorbs rounding errors of sums of tokens.
	epsilon = 1e-9
)

// NoIndex is the index of a group that is not among those which divide the limits. It has no
// part of any limit and uses tokens of the others.
const NoIndex = -1

// An Allocation is the part of all customers' limits that belongs to one group. Its
// methods may be called concurrently.
type Allocation struct {
	tolerance Tolerance
	clock     gypsumyard.Clock

	mu    sync.Mutex
	place place
	// pendingFraction is the fraction that will be in force at risesAt. It is zero if the
	// fraction is not about to rise.
	pendingFraction float64
	risesAt         time.Time
	buckets         map[string]*bucket
	// random determines the order in which owners are queried.
	random *rand.Rand
	// started is when the refill of the buckets began. Those without a record had at most
	// firstTokens then.
	started  time.Time
	tickedAt time.Time
	sweptAt  time.Time
	answers  chan struct{}
}

// A bucket holds one customer's tokens at one allocation.
type bucket struct {
	limit Limit
	part  part
	// tokens is the content at the given time.
	tokens float64
	at     time.Time
	// reserved is the part of the tokens of charges whose operations were not sent yet.
	// They take up capacity, so that a long queue does not raise the sum later.
	reserved float64
	// given holds the transfers of which other allocations may still have tokens. They
	// take up capacity as well, so that the sum over all allocations is never above that
	// of the capacities.
	given []transfer
	// received holds tokens of other allocations for which the bucket has no room.
	received []transfer
	// demand and longDemand are estimates over a short and a long time, in operations a
	// second, at the time of at.
	demand, longDemand float64
	lastTake           time.Time
	rejectedAt         time.Time
	// emptyAnswers counts the answers in a row that granted nothing.
	emptyAnswers int
	pausedUntil  time.Time
	// waiting counts the operations that wait for tokens of other allocations.
	waiting int
}

// A transfer is a number of tokens that were moved between allocations. Until it expires,
// they take up capacity of the giver.
type transfer struct {
	tokens  float64
	expires time.Time
}

// NewAllocation returns the allocation of a group that this host has begun to own.
func NewAllocation(t Tolerance, c gypsumyard.Clock) *Allocation {
	now := c.Now()
	return &Allocation{
		tolerance: t, clock: c, place: place{groups: 1, fraction: 1}, buckets: map[string]*bucket{},
		started: now.Add(takeoverDelay), tickedAt: now, sweptAt: now, answers: make(chan struct{}),
	}
}

// Configure sets the number of groups, the index of this one in the order of their names or
// NoIndex, and the fraction of the limits that belongs to the hosts which this one reaches. It must
// be called before the first use, and again at each change. A higher fraction takes effect
// after riseDelay.
func (a *Allocation) Configure(index, groups int, fraction float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	switch {
	case fraction <= a.place.fraction:
		a.pendingFraction = 0
	case a.pendingFraction == 0:
		a.pendingFraction, a.risesAt = fraction, now.Add(riseDelay)
		fraction = a.place.fraction
	default:
		a.pendingFraction = fraction
		fraction = a.place.fraction
	}
	a.move(place{index: index, groups: groups, fraction: fraction}, now)
}

// move applies another place. The caller must hold a.mu.
func (a *Allocation) move(to place, now time.Time) {
	if to == a.place {
		return
	}
	rises := to.groups != a.place.groups || to.index != a.place.index || to.fraction > a.place.fraction
	for _, b := range a.buckets {
		b.refill(now)
	}
	a.place = to
	for name, b := range a.buckets {
		b.part = a.tolerance.partOf(name, b.limit, to)
		b.refill(now)
	}
	if rises && now.After(a.started) {
		a.started = now // A bucket without a record is not full by the larger capacity.
	}
}

// Restart resets the buckets: this host owns the group again after another one may
// have.
func (a *Allocation) Restart() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.restart(a.now(), takeoverDelay)
}

// restart is Restart with a delay of the refill. The caller must hold a.mu.
func (a *Allocation) restart(now time.Time, delay time.Duration) {
	a.started = now.Add(delay)
	for _, b := range a.buckets {
		b.refill(now)
		b.tokens = min(b.tokens, max(firstTokens-b.reserved, 0))
		b.received = nil
		b.at = a.started
	}
}

// Tick must be called several times a second while this host runs. It drops buckets that
// are not needed.
func (a *Allocation) Tick() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	a.tickedAt = now
	if now.Sub(a.sweptAt) < sweepInterval {
		return
	}
	a.sweptAt = now
	for name, b := range a.buckets {
		b.refill(now)
		if b.isIdle() && b.tokens >= a.unrecorded(b.part, now)-epsilon {
			delete(a.buckets, name)
		}
	}
}

// isIdle reports whether the bucket records nothing but its tokens.
func (b *bucket) isIdle() bool {
	return b.reserved <= epsilon && len(b.given)+len(b.received)+b.waiting == 0 && b.longDemand < idleDemand
}

// now returns the time. It restarts the buckets after a pause of the host, and applies a
// fraction that is due. The caller must hold a.mu.
func (a *Allocation) now() time.Time {
	now := a.clock.Now()
	if now.Sub(a.tickedAt) > maxPause {
		a.tickedAt = now
		a.restart(now, pauseDelay)
	}
	if a.pendingFraction > 0 && !now.Before(a.risesAt) {
		to := a.place
		to.fraction, a.pendingFraction = a.pendingFraction, 0
		a.move(to, now)
	}
	return now
}

// unrecorded returns the content of a bucket without a record.
func (a *Allocation) unrecorded(p part, now time.Time) float64 {
	return min(p.capacity, firstTokens+p.rate*max(now.Sub(a.started), 0).Seconds())
}

// bucket returns the customer's bucket as of now. The caller must hold a.mu.
func (a *Allocation) bucket(customer string, l Limit, now time.Time) *bucket {
	b := a.buckets[customer]
	if b == nil {
		p := a.tolerance.partOf(customer, l, a.place)
		b = &bucket{limit: l, part: p, tokens: a.unrecorded(p, now), at: later(now, a.started)}
		a.buckets[customer] = b
		return b
	}
	b.refill(now)
	if b.limit != l {
		b.limit, b.part = l, a.tolerance.partOf(customer, l, a.place)
		b.refill(now)
	}
	return b
}

// bucketOf returns the bucket of a charge as of now. Its limit may have changed since the
// charge. The caller must hold the mutex.
func (a *Allocation) bucketOf(c *Charge, now time.Time) *bucket {
	if b := a.buckets[c.customer]; b != nil {
		b.refill(now)
		return b
	}
	return a.bucket(c.customer, c.limit, now)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// refill brings the bucket up to the given time.
func (b *bucket) refill(now time.Time) {
	passed := max(now.Sub(b.at), 0).Seconds()
	b.at = later(now, b.at)
	b.demand *= math.Exp(-passed / demandWindow.Seconds())
	b.longDemand *= math.Exp(-passed / longDemandWindow.Seconds())
	b.given, b.received = unexpired(b.given, now), unexpired(b.received, now)
	room := b.part.capacity - b.reserved - sum(b.given)
	b.tokens = max(min(b.tokens+b.part.rate*passed, room), 0)
	for i := range b.received {
		n := max(min(b.received[i].tokens, room-b.tokens), 0)
		b.received[i].tokens -= n
		b.tokens += n
	}
}

// unexpired returns the transfers that are neither empty nor expired.
func unexpired(list []transfer, now time.Time) []transfer {
	return slices.DeleteFunc(list, func(p transfer) bool { return p.tokens <= epsilon || !now.Before(p.expires) })
}

func sum(list []transfer) (tokens float64) {
	for _, p := range list {
		tokens += p.tokens
	}
	return tokens
}

// available returns how many tokens can be spent now.
func (b *bucket) available() float64 { return b.tokens + sum(b.received) }

// spend takes n tokens, received ones first. The caller has checked that they are
// available.
func (b *bucket) spend(n float64) (own float64, received []transfer) {
	for i := range b.received {
		p := &b.received[i]
		k := min(p.tokens, n)
		if k > 0 {
			received = append(received, transfer{tokens: k, expires: p.expires})
		}
		p.tokens -= k
		n -= k
	}
	b.tokens -= n
	return n, received
}

// A Charge is the token of one operation.
type Charge struct {
	allocation *Allocation
	customer   string
	limit      Limit
	own        float64
	received   []transfer
	sent       bool
}

// Take charges one operation. If there is no token, it returns no charge and the time after
// which there may be one.
func (a *Allocation) Take(customer string, l Limit) (c *Charge, retryAfter time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	b := a.bucket(customer, l, now)
	b.lastTake = now
	b.longDemand += 1 / longDemandWindow.Seconds()
	b.demand = min(b.demand+1/demandWindow.Seconds(), max(l.Rate, 1/demandWindow.Seconds()))
	if c := a.charge(b, customer, l); c != nil {
		return c, 0
	}
	b.rejectedAt = now
	return nil, a.retryAfter(b, now)
}

// charge charges one operation to the bucket. It returns nil if there is no whole token.
// The caller must hold a.mu.
func (a *Allocation) charge(b *bucket, customer string, l Limit) *Charge {
	if b.available() < 1-epsilon {
		return nil
	}
	c := &Charge{allocation: a, customer: customer, limit: l}
	c.own, c.received = b.spend(1)
	b.reserved += c.own
	return c
}

// retryAfter returns the time until the bucket has refilled, or less if tokens of other
// owners may arrive before that.
func (a *Allocation) retryAfter(b *bucket, now time.Time) time.Duration {
	d := time.Hour
	if b.part.rate > 0 {
		d = seconds((1 - b.available()) / b.part.rate)
	}
	if b.part.others > 0 {
		d = min(d, max(b.pausedUntil.Sub(now), exchangeDelay))
	}
	return max(d, time.Millisecond)
}

// Send records that the operation is about to be sent to an instance. It reports false if
// the charge has expired in a queue and the customer is now over its limit.
func (c *Charge) Send() (retryAfter time.Duration, ok bool) {
	a := c.allocation
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.sent {
		return 0, true
	}
	now := a.now()
	b := a.bucketOf(c, now)
	missing := 0.0
	for _, p := range c.received {
		if !now.Before(p.expires) {
			missing += p.tokens
		}
	}
	if missing > b.available()+epsilon {
		return a.retryAfter(b, now), false
	}
	if missing > 0 {
		own, received := b.spend(missing)
		b.reserved += own
		c.own += own
		c.received = append(unexpired(c.received, now), received...)
	}
	c.sent = true
	b.reserved = max(b.reserved-c.own, 0)
	return 0, true
}

// MarkUnsent records that nothing was sent after all, and that the operation is tried again.
func (c *Charge) MarkUnsent() {
	a := c.allocation
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.sent {
		c.sent = false
		a.bucketOf(c, a.now()).reserved += c.own
	}
}

// Refund returns the token of an operation of which nothing was sent. The charge must not
// be used any more.
func (c *Charge) Refund() {
	a := c.allocation
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	b := a.bucketOf(c, now)
	if !c.sent {
		b.reserved = max(b.reserved-c.own, 0)
	}
	b.tokens += c.own
	b.received = append(b.received, c.received...)
	b.refill(now)
}
