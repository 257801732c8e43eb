package owner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

var errManyTransactions = gypsumyard.Errorf(gypsumyard.ClassLoad, "too many open transactions")

// reserve waits for a permit if the request begins a transaction, and narrows
// the targets to the instance that gave it.
func (g *group) reserve(ctx context.Context, r *job, targets []gypsumyard.Target) (*permit, []gypsumyard.Target, error) {
	if r.Class != gypsumyard.StatementBegin && r.Class != gypsumyard.StatementBeginRead {
		return nil, targets, nil
	}
	plan, err := g.service.plan(r.Customer)
	if err != nil {
		return nil, nil, err
	}
	chosen, m := g.vacantTarget(targets)
	if m == nil {
		return nil, nil, gypsumyard.Errorf(gypsumyard.ClassNotRun, "instance %s was removed", chosen.Instance)
	}
	if plan.MaxWait > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeoutCause(ctx, time.Duration(plan.MaxWait), errManyTransactions)
		defer cancel()
	}
	w, err := m.permits.acquire(ctx, r.Customer, plan.Limit, r.Priority && plan.Priority)
	if err != nil {
		return nil, nil, notRun(err)
	}
	return w, []gypsumyard.Target{chosen}, nil
}

// vacantTarget returns the first target with room for a transaction, or else
// the first one.
func (g *group) vacantTarget(targets []gypsumyard.Target) (gypsumyard.Target, *member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range targets {
		if m := g.find(t.Instance); m != nil && m.permits.vacant() {
			return t, m
		}
	}
	return targets[0], g.find(targets[0].Instance)
}

// permits bounds the open transactions on one instance. Each keeps a
// connection, and a request that holds a slot must be able to get one: the
// transactions could otherwise wait for slots whose holders wait for the
// transactions' connections.
type permits struct {
	mu      sync.Mutex
	limit   int
	held    int
	by      map[string]int
	waiters []*permit
}

// A permit is the right to keep a connection for a transaction.
type permit struct {
	from     *permits
	customer string
	// atMost is how many permits the customer may hold.
	atMost   int
	priority bool
	granted  chan struct{}
}

// setLimit sets how many transactions may be open, given the connections and
// the slots of the instance.
func (p *permits) setLimit(connections, slots int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = max(1, connections-slots)
	p.serve()
}

// acquire waits for a permit. A customer holds no more than its fraction of
// them, so that its idle transactions do not shut out all others.
func (p *permits) acquire(ctx context.Context, customer string, fraction float64, priority bool) (*permit, error) {
	p.mu.Lock()
	w := &permit{from: p, customer: customer, priority: priority, granted: make(chan struct{})}
	w.atMost = max(1, int(fraction*float64(p.limit)))
	at := len(p.waiters)
	if priority {
		at = slices.IndexFunc(p.waiters, func(o *permit) bool { return !o.priority })
		if at < 0 {
			at = len(p.waiters)
		}
	}
	p.waiters = slices.Insert(p.waiters, at, w)
	p.serve()
	p.mu.Unlock()
	select {
	case <-w.granted:
		return w, nil
	case <-ctx.Done():
	}
	if !p.withdraw(w) {
		w.release()
	}
	return nil, context.Cause(ctx)
}

// withdraw takes w out of the queue. It returns false if w was granted.
func (p *permits) withdraw(w *permit) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.Index(p.waiters, w)
	if i < 0 {
		return false
	}
	p.waiters = slices.Delete(p.waiters, i, i+1)
	return true
}

// vacant reports whether a permit would be granted at once.
func (p *permits) vacant() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held < p.limit
}

// force counts a transaction that was begun without a permit.
func (p *permits) force(customer string) *permit {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := &permit{from: p, customer: customer}
	p.count(w, 1)
	return w
}

// release gives back the permit.
func (w *permit) release() {
	p := w.from
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count(w, -1)
	p.serve()
}

func (p *permits) count(w *permit, n int) {
	if p.by == nil {
		p.by = map[string]int{}
	}
	p.held += n
	p.by[w.customer] += n
	if p.by[w.customer] == 0 {
		delete(p.by, w.customer)
	}
}

// serve grants what is free. It is called with the lock held.
func (p *permits) serve() {
	rest := p.waiters[:0]
	for _, w := range p.waiters {
		if p.held >= p.limit || p.by[w.customer] >= w.atMost {
			rest = append(rest, w)
			continue
		}
		p.count(w, 1)
		close(w.granted)
	}
	clear(p.waiters[len(rest):])
	p.waiters = rest
}
