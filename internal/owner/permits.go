package owner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

var errTooManyTransactions = gypsumyard.Errorf(gypsumyard.ClassLoad, "too many open transactions")

// reservePermit waits for a permit if the request begins a transaction, and
// narrows the targets to the instance of the permit.
func (g *group) reservePermit(ctx context.Context, r *job, targets []gypsumyard.Target) (*permit, []gypsumyard.Target, error) {
	if r.Class != gypsumyard.StatementBegin && r.Class != gypsumyard.StatementBeginRead {
		return nil, targets, nil
	}
	plan, err := g.service.plan(r.Customer)
	if err != nil {
		return nil, nil, err
	}
	chosen, m := g.availableTarget(targets)
	if m == nil {
		return nil, nil, gypsumyard.Errorf(gypsumyard.ClassNotRun, "instance %s was removed", chosen.Instance)
	}
	if plan.MaxWait > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeoutCause(ctx, time.Duration(plan.MaxWait), errTooManyTransactions)
		defer cancel()
	}
	w, err := m.permits.acquire(ctx, r.Customer, plan.Limit, r.Priority && plan.Priority)
	if err != nil {
		return nil, nil, notRun(err)
	}
	return w, []gypsumyard.Target{chosen}, nil
}

// availableTarget returns the first target with a free permit, or else the
// first target.
func (g *group) availableTarget(targets []gypsumyard.Target) (gypsumyard.Target, *member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range targets {
		if m := g.findMember(t.Instance); m != nil && m.permits.available() {
			return t, m
		}
	}
	return targets[0], g.findMember(targets[0].Instance)
}

// permits bounds the open transactions on one instance. Each transaction holds
// a connection, and a request that holds a slot must be able to get one.
// Without the bound there could be a deadlock: transactions would wait for
// slots whose holders wait for the transactions' connections.
type permits struct {
	mu      sync.Mutex
	limit   int
	held    int
	heldBy  map[string]int
	waiters []*permit
}

// A permit is the right to hold a connection for a transaction.
type permit struct {
	issuer   *permits
	customer string
	// customerLimit is how many permits the customer may hold.
	customerLimit int
	priority      bool
	granted       chan struct{}
}

// setLimit sets how many transactions may be open, given the connections and
// the slots of the instance.
func (p *permits) setLimit(connections, slots int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = max(1, connections-slots)
	p.grantWaiting()
}

// acquire waits for a permit. A customer holds at most the given fraction of
// the permits, so that its idle transactions cannot lock out other customers.
func (p *permits) acquire(ctx context.Context, customer string, fraction float64, priority bool) (*permit, error) {
	p.mu.Lock()
	w := &permit{issuer: p, customer: customer, priority: priority, granted: make(chan struct{})}
	w.customerLimit = max(1, int(fraction*float64(p.limit)))
	at := len(p.waiters)
	if priority {
		at = slices.IndexFunc(p.waiters, func(o *permit) bool { return !o.priority })
		if at < 0 {
			at = len(p.waiters)
		}
	}
	p.waiters = slices.Insert(p.waiters, at, w)
	p.grantWaiting()
	p.mu.Unlock()
	select {
	case <-w.granted:
		return w, nil
	case <-ctx.Done():
	}
	if !p.dequeue(w) {
		w.release()
	}
	return nil, context.Cause(ctx)
}

// dequeue removes w from the queue. It reports false if w was granted.
func (p *permits) dequeue(w *permit) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.Index(p.waiters, w)
	if i < 0 {
		return false
	}
	p.waiters = slices.Delete(p.waiters, i, i+1)
	return true
}

// available reports whether fewer permits are held than the limit allows.
func (p *permits) available() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held < p.limit
}

// forceAcquire counts a transaction that was begun without a permit.
func (p *permits) forceAcquire(customer string) *permit {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := &permit{issuer: p, customer: customer}
	p.count(w, 1)
	return w
}

// release returns the permit.
func (w *permit) release() {
	p := w.issuer
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count(w, -1)
	p.grantWaiting()
}

func (p *permits) count(w *permit, n int) {
	if p.heldBy == nil {
		p.heldBy = map[string]int{}
	}
	p.held += n
	p.heldBy[w.customer] += n
	if p.heldBy[w.customer] == 0 {
		delete(p.heldBy, w.customer)
	}
}

// grantWaiting grants the free permits to waiting requests. The caller must
// hold p.mu.
func (p *permits) grantWaiting() {
	rest := p.waiters[:0]
	for _, w := range p.waiters {
		if p.held >= p.limit || p.heldBy[w.customer] >= w.customerLimit {
			rest = append(rest, w)
			continue
		}
		p.count(w, 1)
		close(w.granted)
	}
	clear(p.waiters[len(rest):])
	p.waiters = rest
}
