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
	// connectionShare is the fraction of an instance's connection limit that
	// one owner uses, so that two hosts that both consider themselves the
	// owner of the database do not exceed the limit together.
	connectionShare = 0.45
	// minSpareConnections is the minimum number of connections in excess of
	// the execution slots.
	minSpareConnections = 2
	// ControlConnections is how many connections an owner uses for control
	// calls.
	ControlConnections = 2
	// validationTTL is how long after its last response a connection counts as
	// checked.
	validationTTL = time.Second
	// pingTimeout is how long a ping may take before its connection is closed.
	pingTimeout = 500 * time.Millisecond
	// maintenanceInterval is the time between two rounds of maintenance.
	maintenanceInterval = 250 * time.Millisecond
	// peakDecay is the factor applied to the peak of concurrent use in each
	// round of maintenance. It halves the peak in about 20 s.
	peakDecay = 0.9915
	// keepaliveIdle is the idle time after which a connection is pinged.
	keepaliveIdle = 5 * time.Second
	// backoffMin and backoffMax limit the pause after a failed dial.
	backoffMin = 100 * time.Millisecond
	backoffMax = 2 * time.Second
)

// MaxConnections returns how many connections for requests one owner may hold
// to an instance of the database.
func MaxConnections(d gypsumyard.Database) int {
	n := int(math.Floor(connectionShare * float64(d.Connections)))
	return max(n, d.Slots+minSpareConnections) - ControlConnections
}

// A Pool holds the connections of one owner to one instance.
type Pool struct {
	clock    gypsumyard.Clock
	accepted acceptedSettings
	ctx      context.Context
	cancel   context.CancelCauseFunc
	work     sync.WaitGroup
	opened   tally.Counter
	closed   tally.Counter

	mu      sync.Mutex
	address Address
	limit   int
	idle    []*Conn
	open    int // in use, idle or being opened
	opening int
	used    int
	waiters []*waiter
	// peak is the decaying peak of concurrent use, waiters included.
	peak float64
	// lastTimeout is when a connection of the pool last failed to respond in
	// time. Connections that have not responded since are pinged before use.
	lastTimeout time.Time
	// retryAt is the earliest time of the next dial after a failed one.
	retryAt     time.Time
	backoff     time.Duration
	lastDialErr error
}

// A waiter is a call of Get that waits for a connection.
type waiter struct {
	ready chan getResult
}

// A getResult ends the wait of a Get: a connection, or the error.
type getResult struct {
	conn *Conn
	// fresh indicates that the connection was just opened.
	fresh bool
	err   error
}

// NewPool returns a pool of up to limit connections. It opens none before the
// first Get. The pool must be closed with Close.
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

// SetAddress changes the address and the credentials. Idle connections with the
// former ones are closed, those in use when they are given back.
func (p *Pool) SetAddress(a Address) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.address == a {
		return
	}
	p.address = a
	p.accepted.clear()
	for _, c := range p.idle {
		p.drop(c)
	}
	p.idle = nil
	p.backoff, p.retryAt = 0, time.Time{}
	p.dialUpTo(len(p.waiters))
}

func (p *Pool) currentAddress() Address {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// Get returns a connection, which must be given back with Put, Discard or Abort.
// If checked is true, the instance has responded on it less than a second ago. An
// error means that no request was sent.
func (p *Pool) Get(ctx context.Context, checked bool) (c *Conn, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("connection to %s: %w", p.currentAddress().Addr, err)
		}
	}()
	for {
		h := p.acquire(ctx)
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

// usable validates an idle connection before it is handed out.
func (p *Pool) usable(ctx context.Context, c *Conn, checked bool) bool {
	if !c.socketIdle() {
		return false
	}
	p.mu.Lock()
	stale := !c.lastResponse.After(p.lastTimeout)
	p.mu.Unlock()
	if !stale && (!checked || p.clock.Since(c.lastResponse) < validationTTL) {
		return true
	}
	return p.ping(ctx, c)
}

func (p *Pool) ping(ctx context.Context, c *Conn) bool {
	ctx, cancel := context.WithTimeoutCause(ctx, pingTimeout, ErrResponseTimeout)
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
	p.lastTimeout = p.clock.Now()
}

// ResetBackoff ends the pause after failed dials. It is called when the
// instance has been found to respond again.
func (p *Pool) ResetBackoff() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backoff, p.retryAt = 0, time.Time{}
	p.dialUpTo(len(p.waiters))
}

// acquire returns an idle connection or waits for one.
func (p *Pool) acquire(ctx context.Context) getResult {
	p.mu.Lock()
	if p.ctx.Err() != nil {
		p.mu.Unlock()
		return getResult{err: ErrClosed}
	}
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.countUse()
		p.mu.Unlock()
		return getResult{conn: c}
	}
	if p.open == 0 && p.clock.Now().Before(p.retryAt) {
		err := p.lastDialErr
		p.mu.Unlock()
		return getResult{err: err}
	}
	w := &waiter{ready: make(chan getResult, 1)}
	p.waiters = append(p.waiters, w)
	p.dialUpTo(len(p.waiters))
	p.mu.Unlock()
	return p.wait(ctx, w)
}

func (p *Pool) wait(ctx context.Context, w *waiter) getResult {
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
	return getResult{err: context.Cause(ctx)}
}

// countUse counts a connection that is handed out. The caller must hold p.mu.
func (p *Pool) countUse() {
	p.used++
	p.peak = max(p.peak, float64(p.used+len(p.waiters)))
}

// dialUpTo starts dials until want of them are in progress, as far as the limit
// and the backoff allow. The caller must hold p.mu.
func (p *Pool) dialUpTo(want int) {
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
	a := p.currentAddress()
	c, err := Dial(p.ctx, p.clock, a)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening--
	if a != p.address {
		p.open--
		if err == nil {
			c.Close()
		}
		p.dialUpTo(len(p.waiters))
		return
	}
	if err != nil {
		p.open--
		p.dialFailed(err)
		return
	}
	c.accepted = &p.accepted
	p.opened.Inc(1)
	p.backoff = 0
	if p.ctx.Err() != nil {
		p.open--
		c.Close()
		return
	}
	p.handOut(c, true)
}

// dialFailed starts a backoff with jitter after a failed dial. If the pool has
// no connection left that could be returned to the waiters, they all fail with
// err. The caller must hold p.mu.
func (p *Pool) dialFailed(err error) {
	p.backoff = min(max(2*p.backoff, backoffMin), backoffMax)
	p.retryAt = p.clock.Now().Add(p.backoff/2 + rand.N(p.backoff/2))
	p.lastDialErr = err
	if p.open > 0 {
		return
	}
	for _, w := range p.waiters {
		w.ready <- getResult{err: err}
	}
	p.waiters = nil
}

// handOut passes a connection to the first waiter, or adds it to the idle ones.
// The caller must hold p.mu.
func (p *Pool) handOut(c *Conn, fresh bool) {
	if len(p.waiters) == 0 {
		p.idle = append(p.idle, c)
		return
	}
	w := p.waiters[0]
	p.waiters = p.waiters[1:]
	p.countUse()
	w.ready <- getResult{conn: c, fresh: fresh}
}

// Put returns a connection that is outside a transaction to the pool.
func (p *Pool) Put(c *Conn) {
	if c.Canceled() || !c.socketIdle() {
		p.Discard(c)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used--
	if p.ctx.Err() != nil || p.open > p.limit || c.address != p.address {
		p.drop(c)
		p.dialUpTo(len(p.waiters))
		return
	}
	p.handOut(c, false)
}

// Discard closes a connection in use that must not be reused.
func (p *Pool) Discard(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used--
	p.drop(c)
	if len(p.waiters) > 0 {
		p.dialUpTo(len(p.waiters))
	}
}

// Abort closes a connection whose statement may still be running, and asks the
// instance to cancel that statement.
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

// drop closes a connection and removes it from the counts. The caller
// must hold p.mu.
func (p *Pool) drop(c *Conn) {
	p.open--
	p.closed.Inc(1)
	c.Close()
}

// Counts returns how many connections are open or being opened, and how many
// are in use.
func (p *Pool) Counts() (open, used int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, p.used
}

// Close closes the idle connections and fails the waiting Gets with ErrClosed.
// Connections in use are closed when they are given back.
func (p *Pool) Close() {
	p.mu.Lock()
	p.cancel(ErrClosed)
	for _, c := range p.idle {
		p.drop(c)
	}
	p.idle = nil
	for _, w := range p.waiters {
		w.ready <- getResult{err: ErrClosed}
	}
	p.waiters = nil
	p.mu.Unlock()
	p.work.Wait()
}
