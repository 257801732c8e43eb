package owner

import (
	"context"
	"slices"

	"github.com/gypsumyard/gypsumyard"
)

// A waiter waits for a change of what the group knows.
type waiter struct {
	// check is called with the lock held.
	check func() bool
	// fire is called once with the lock held, when check has returned true.
	fire func()
	// urgent has the instances polled often meanwhile.
	urgent bool
}

// await waits until check, which is called with the lock held, returns true.
// While it waits the instances are polled often.
func (g *group) await(ctx context.Context, check func() bool) error {
	g.mu.Lock()
	if check() {
		g.mu.Unlock()
		return nil
	}
	done := make(chan struct{})
	w := &waiter{check: check, fire: func() { close(done) }, urgent: true}
	g.addWaiter(w)
	g.mu.Unlock()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.removeWaiter(w)
	return context.Cause(ctx)
}

// errMoved ends the wait in a queue for instances that cannot serve any more.
var errMoved = gypsumyard.Errorf(gypsumyard.ClassNotRun, "the instances that could serve the request have changed")

// whileValid returns a context that ends with the cause errMoved when check
// returns true.
func (g *group) whileValid(ctx context.Context, check func() bool) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &waiter{check: check, fire: func() { cancel(errMoved) }}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.addWaiter(w)
	return ctx, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.removeWaiter(w)
		cancel(nil)
	}
}

// addWaiter is called with the lock held.
func (g *group) addWaiter(w *waiter) {
	g.waiters = append(g.waiters, w)
	if !w.urgent {
		return
	}
	g.urgent++
	for _, m := range g.members {
		m.poke()
	}
}

// removeWaiter is called with the lock held.
func (g *group) removeWaiter(w *waiter) {
	i := slices.Index(g.waiters, w)
	if i < 0 {
		return
	}
	g.waiters = slices.Delete(g.waiters, i, i+1)
	if w.urgent {
		g.urgent--
	}
}

// afterChange releases the waiters whose condition holds. It is called with
// the lock held.
func (g *group) afterChange() {
	rest := g.waiters[:0]
	for _, w := range g.waiters {
		if !w.check() {
			rest = append(rest, w)
			continue
		}
		if w.urgent {
			g.urgent--
		}
		w.fire()
	}
	clear(g.waiters[len(rest):])
	g.waiters = rest
}

// noneUsable returns a check that none of the targets may get new work.
func (g *group) noneUsable(targets []gypsumyard.Target) func() bool {
	return func() bool {
		for _, t := range targets {
			if m := g.find(t.Instance); m != nil && m.usable() {
				return false
			}
		}
		return true
	}
}

// movedFrom returns a check that another primary than m is known.
func (g *group) movedFrom(m *member) func() bool {
	return func() bool {
		p := g.primary()
		return p != nil && p != m
	}
}
