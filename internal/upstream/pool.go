package upstream

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/uber-go/tally/v4"
)

const (
	// connectionShare is the part of an instance's connections that one owner
	// uses, so that two hosts that both believe to own the database do not
	// exceed the cap together.
	connectionShare = 0.45
	// spareConnections is the least number of connections beyond the slots.
	spareConnections = 2
	// ControlConnections is how many connections an owner uses for control.
	ControlConnections = 2
	// checkedFor is how long an answered connection counts as checked.
	checkedFor = time.Second
	// pingBound is how long a ping may take before its connection is closed.
	pingBound = 500 * time.Millisecond
	// tickInterval is the pause between two rounds of maintenance.
	tickInterval = 250 * time.Millisecond
	// peakDecay is applied to the peak of concurrent use at each tick. It
	// halves the peak in about 20 s.
	peakDecay = 0.9915
	// idlePing is the idle time after which a connection is pinged.
	idlePing = 5 * time.Second
	// backoffMin and backoffMax bound the pause after a failure to open a
	// connection.
	backoffMin = 100 * time.Millisecond
	backoffMax = 2 * time.Second
)

// MaxConnections returns how many connections for requests one owner may hold
// to an instance of the database.
func MaxConnections(d gypsumyard.Database) int {
	n := int(math.Floor(connectionShare * float64(d.Connections)))
	return max(n, d.Slots+spareConnections) - ControlConnections
}

// A Pool holds the connections of one owner to one instance.
type Pool struct {
	clock   gypsumyard.Clock
	address Address
	proven  provenSettings
	ctx     context.Context
	cancel  context.CancelCauseFunc
	work    sync.WaitGroup
	opened  tally.Counter
	closed  tally.Counter

	mu      sync.Mutex
	limit   int
	idle    []*Conn
	open    int // held, idle or being opened
	opening int
	used    int
	waiters []*waiter
	// peak is the decaying peak of concurrent use, waiters included.
	peak float64
	// suspect is when a connection of the pool was last found silent. Those
	// that have not answered since are pinged before use.
	suspect time.Time
	// retryAt is when the next connection may be opened after a failure.
	retryAt time.Time
	backoff time.Duration
	failure error
}

// A waiter is a call of Get that waits for a connection.
type waiter struct {
	ready chan handover
}

// A handover ends the wait of a Get: a connection or the reason for none.
type handover struct {
	conn *Conn
	// fresh indicates that the connection was just opened.
	fresh bool
	err   error
}

// NewPool returns a pool of up to limit connections. It opens none until the
// first Get. Close ends it.
func NewPool(clock gypsumyard.Clock, a Address, limit int, scope tally.Scope) *Pool {
	ctx, cancel := context.WithCancelCause(context.Background())
	p := &Pool{clock: clock, address: a, limit: limit, ctx: ctx, cancel: cancel}
	p.opened, p.closed = scope.Counter("connections-opened"), scope.Counter("connections-closed")
	p.work.Add(1)
	go p.maintain()
	return p
}

// SetLimit changes how many connections the pool may hold.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
}

// Get returns a connection, which must be given back with Put or Discard. If
// checked is true the instance has answered on it less than a second ago. An
// error means that nothing was sent.
func (p *Pool) Get(ctx context.Context, checked bool) (c *Conn, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("connection to %s: %w", p.address.Addr, err)
		}
	}()
	for {
		h := p.take(ctx)
		if h.err != nil {
			return nil, h.err
		}
		if h.fresh || p.usable(ctx, h.conn, checked) {
			return h.conn, nil
		}
		p.Discard(h.conn)
		if err := context.Cause(ctx); err != nil {
			return nil, err
		}
	}
}

// usable checks an idle connection before it is handed out.
func (p *Pool) usable(ctx context.Context, c *Conn, checked bool) bool {
	if !c.quiet() {
		return false
	}
	p.mu.Lock()
	suspect := !c.lastUsed.After(p.suspect)
	p.mu.Unlock()
	if !suspect && (!checked || p.clock.Since(c.lastUsed) < checkedFor) {
		return true
	}
	return p.ping(ctx, c)
}

func (p *Pool) ping(ctx context.Context, c *Conn) bool {
	ctx, cancel := context.WithTimeoutCause(ctx, pingBound, ErrResponseTimeout)
	defer cancel()
	err := c.Ping(ctx)
	if errors.Is(err, ErrResponseTimeout) {
		p.RevalidateIdle()
	}
	return err == nil
}

// RevalidateIdle makes the pool ping its idle connections before their next
// use.
func (p *Pool) RevalidateIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspect = p.clock.Now()
}

// ResetBackoff ends the pause after failed dials. It is called when the
// instance has been found to answer again.
func (p *Pool) ResetBackoff() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backoff, p.retryAt = 0, time.Time{}
	p.openFor(len(p.waiters))
}

// take returns an idle connection or waits for one.
func (p *Pool) take(ctx context.Context) handover {
	p.mu.Lock()
	if p.ctx.Err() != nil {
		p.mu.Unlock()
		return handover{err: ErrClosed}
	}
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.countUse()
		p.mu.Unlock()
		return handover{conn: c}
	}
	if p.open == 0 && p.clock.Now().Before(p.retryAt) {
		err := p.failure
		p.mu.Unlock()
		return handover{err: err}
	}
	w := &waiter{ready: make(chan handover, 1)}
	p.waiters = append(p.waiters, w)
	p.openFor(len(p.waiters))
	p.mu.Unlock()
	return p.wait(ctx, w)
}

func (p *Pool) wait(ctx context.Context, w *waiter) handover {
	select {
	case h := <-w.ready:
		return h
	case <-ctx.Done():
	}
	p.mu.Lock()
	p.waiters = slices.DeleteFunc(p.waiters, func(o *waiter) bool { return o == w })
	p.mu.Unlock()
	select {
	case h := <-w.ready:
		if h.conn != nil {
			p.Put(h.conn)
		}
	default:
	}
	return handover{err: context.Cause(ctx)}
}

// countUse counts a connection that is handed out. It is called with the lock
// held.
func (p *Pool) countUse() {
	p.used++
	p.peak = max(p.peak, float64(p.used+len(p.waiters)))
}

// openFor opens connections until want of them are on the way, as far as the
// limit and the backoff allow. It is called with the lock held.
func (p *Pool) openFor(want int) {
	if p.clock.Now().Before(p.retryAt) {
		return
	}
	for p.opening < want && p.open < p.limit {
		p.open++
		p.opening++
		p.work.Add(1)
		go p.dial()
	}
}

// dial opens one connection and hands it to the first waiter.
func (p *Pool) dial() {
	defer p.work.Done()
	c, err := Dial(p.ctx, p.clock, p.address)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening--
	if err != nil {
		p.open--
		p.fail(err)
		return
	}
	c.proven = &p.proven
	p.opened.Inc(1)
	p.backoff = 0
	if p.ctx.Err() != nil {
		p.open--
		c.Close()
		return
	}
	p.offer(c, true)
}

// fail starts a pause with jitter after a connection could not be opened. All
// waiters learn of it when no connection can come back to them. It is called
// with the lock held.
func (p *Pool) fail(err error) {
	p.backoff = min(max(2*p.backoff, backoffMin), backoffMax)
	p.retryAt = p.clock.Now().Add(p.backoff/2 + rand.N(p.backoff/2))
	p.failure = err
	if p.open > 0 {
		return
	}
	for _, w := range p.waiters {
		w.ready <- handover{err: err}
	}
	p.waiters = nil
}

// offer hands a connection to the first waiter or keeps it idle. It is called
// with the lock held.
func (p *Pool) offer(c *Conn, fresh bool) {
	if len(p.waiters) == 0 {
		p.idle = append(p.idle, c)
		return
	}
	w := p.waiters[0]
	p.waiters = p.waiters[1:]
	p.countUse()
	w.ready <- handover{conn: c, fresh: fresh}
}

// Put gives back a connection outside a transaction.
func (p *Pool) Put(c *Conn) {
	if c.Cancelled() || !c.quiet() {
		p.Discard(c)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used--
	if p.ctx.Err() != nil || p.open > p.limit {
		p.drop(c)
		return
	}
	p.offer(c, false)
}

// Discard closes a connection that is not usable.
func (p *Pool) Discard(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used--
	p.drop(c)
	if len(p.waiters) > 0 {
		p.openFor(len(p.waiters))
	}
}

// Abort closes a connection whose statement may still run, and asks the
// instance to cancel it.
func (p *Pool) Abort(c *Conn) {
	p.Discard(c)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return
	}
	p.work.Add(1)
	go func() {
		defer p.work.Done()
		_ = c.Cancel(p.ctx)
	}()
}

// drop closes a connection of the pool. It is called with the lock held.
func (p *Pool) drop(c *Conn) {
	p.open--
	p.closed.Inc(1)
	c.Close()
}

// Counts returns how many connections are held and how many are in use.
func (p *Pool) Counts() (open, used int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, p.used
}

// Close closes the idle connections. Those in use are closed when they are
// given back.
func (p *Pool) Close() {
	p.mu.Lock()
	p.cancel(ErrClosed)
	for _, c := range p.idle {
		p.drop(c)
	}
	p.idle = nil
	for _, w := range p.waiters {
		w.ready <- handover{err: ErrClosed}
	}
	p.waiters = nil
	p.mu.Unlock()
	p.work.Wait()
}
