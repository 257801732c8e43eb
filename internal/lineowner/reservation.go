package lineowner

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/connshare"
)

// openCost is added to the cost of a read that has to open a connection first: the time
// of a connect and its startup exchange, during which it holds a slot.
const openCost = 12 * time.Millisecond

// A reservation is a connection, or a place in the pool for one, that a caller of a
// deployment with customers got after waiting. It is used or released.
type reservation struct {
	pool     *pool
	customer string
	// conn is nil if the connection has to be opened.
	conn *conn
}

// awaitFree waits until get may succeed: freed is closed, or connections may be
// opened again after a refusal. It returns no reservation if get should be tried again. With customers it waits for a connection of the
// customer's own, so that callers of other customers can't take each that becomes
// free.
func (p *pool) awaitFree(ctx context.Context, customer string, freed <-chan struct{}) (*reservation, error) {
	w, granted := p.enqueue(customer)
	if w != nil {
		freed = nil
	}
	t := p.clock.NewTimer(freeCheckInterval)
	defer t.Stop()
	for {
		select {
		case r := <-granted:
			return r, nil
		case <-freed:
			return nil, nil
		case <-t.C():
			if w == nil || p.dispatchWaiters() {
				p.withdraw(w, granted)
				return nil, nil
			}
			t.Reset(freeCheckInterval)
		case <-ctx.Done():
			p.withdraw(w, granted)
			return nil, fmt.Errorf("%w: %w", errNoMoreConns, context.Cause(ctx))
		}
	}
}

// enqueue adds a waiter for a connection of the customer. In deployments without
// customers there are none.
func (p *pool) enqueue(customer string) (*connshare.Waiter, <-chan *reservation) {
	p.mu.Lock()
	defer p.unlockAndClose()
	if !p.keyed {
		return nil, nil
	}
	granted := make(chan *reservation, 1)
	w := p.share.Enqueue(customer, func(d connshare.Decision) {
		granted <- &reservation{pool: p, customer: customer, conn: p.carryOut(d, customer, nil)}
	})
	p.share.Dispatch()
	return w, granted
}

// dispatchWaiters grants connections to waiters if any may be opened by now. It reports whether
// the pool is closed.
func (p *pool) dispatchWaiters() (closed bool) {
	p.mu.Lock()
	defer p.unlockAndClose()
	p.share.Dispatch()
	return p.closed
}

// withdraw removes a waiter, or releases what it was granted in the meantime.
func (p *pool) withdraw(w *connshare.Waiter, granted <-chan *reservation) {
	if w == nil {
		return
	}
	p.mu.Lock()
	canceled := p.share.Cancel(w)
	p.mu.Unlock()
	if !canceled {
		(<-granted).release()
	}
}

// use returns the reserved connection, or opens it. It must not be called again.
func (r *reservation) use(ctx context.Context) (*conn, error) {
	p := r.pool
	p.mu.Lock()
	closed := p.closed
	current := r.conn != nil && r.conn.epoch == p.epoch
	p.mu.Unlock()
	if closed {
		r.release()
		return nil, errPoolClosed
	}
	if current && p.isUsable(r.conn) {
		return r.conn, nil
	}
	if r.conn != nil {
		r.conn.close()
	}
	return p.dial(ctx, r.customer)
}

// release gives the reservation back. It does nothing without one.
func (r *reservation) release() {
	switch {
	case r == nil:
	case r.conn != nil:
		r.pool.put(r.conn)
	default:
		r.pool.mu.Lock()
		defer r.pool.unlockAndClose()
		r.pool.share.Close(r.customer, true)
		r.pool.notifyWaiters()
	}
}

// openCost returns the cost of opening a connection for a request of the customer,
// which is zero if one is idle. In deployments without customers it is always zero.
func (p *pool) openCost(customer string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.keyed || p.share.HasIdle(customer) {
		return 0
	}
	return openCost
}

// mayBegin reports whether the customer may open a transaction. In deployments without
// customers it always may.
func (p *pool) mayBegin(customer string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.keyed || p.share.MayBegin(customer)
}

// beginTransaction counts a transaction of the customer and reports whether it may be
// opened. It also counts without customers, since the desired state may add some.
func (p *pool) beginTransaction(customer string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.keyed && !p.share.MayBegin(customer) {
		return false
	}
	p.share.Begin(customer)
	return true
}

func (p *pool) endTransaction(customer string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.share.End(customer)
}

// restrict restricts the placement to the reserved instance. It reports false if that
// may not run the request any more, or if there is no reservation.
func (r *reservation) restrict(p *placement) bool {
	if r == nil {
		return false
	}
	n := slices.IndexFunc(p.targets, func(t gypsumyard.Target) bool { return t.Instance == r.pool.instance.ID })
	if n < 0 {
		return false
	}
	p.targets = p.targets[n : n+1]
	return true
}
