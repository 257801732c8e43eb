package owner

import (
	"context"
	"slices"

	"github.com/gypsumyard/gypsumyard"
)

// A waiter waits for a condition on the state of the group.
type waiter struct {
	// check reports whether the condition holds. It is called with the mutex
	// of the group held.
	check func() bool
	// notify is called once with the mutex of the group held, when check has
	// returned true.
	notify func()
	// urgent has the instances polled at the urgent interval meanwhile.
	urgent bool
}

// await waits until check, which is called with g.mu held, returns true.
// Meanwhile the instances are polled at the urgent interval.
func (g *group) await(ctx context.Context, check func() bool) error {
	g.mu.Lock()
	if check() {
		g.mu.Unlock()
		return nil
	}
	done := make(chan struct{})
	w := &waiter{check: check, notify: func() { close(done) }, urgent: true}
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

// errTargetsChanged ends the wait for a slot of instances that can no longer
// serve the request.
var errTargetsChanged = gypsumyard.Errorf(gypsumyard.ClassNotRun, "the instances that could serve the request have changed")

// whileValid returns a context that ends with the cause errTargetsChanged when
// check returns true.
func (g *group) whileValid(ctx context.Context, check func() bool) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &waiter{check: check, notify: func() { cancel(errTargetsChanged) }}
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

// addWaiter adds w. The caller must hold g.mu.
func (g *group) addWaiter(w *waiter) {
	g.waiters = append(g.waiters, w)
	if !w.urgent {
		return
	}
	g.urgentWaiters++
	for _, m := range g.members {
		m.requestPoll()
	}
}

// removeWaiter removes w unless it has been notified. The caller must hold
// g.mu.
func (g *group) removeWaiter(w *waiter) {
	i := slices.Index(g.waiters, w)
	if i < 0 {
		return
	}
	g.waiters = slices.Delete(g.waiters, i, i+1)
	if w.urgent {
		g.urgentWaiters--
	}
}

// notifyWaiters notifies and removes the waiters whose condition holds. The
// caller must hold g.mu.
func (g *group) notifyWaiters() {
	rest := g.waiters[:0]
	for _, w := range g.waiters {
		if !w.check() {
			rest = append(rest, w)
			continue
		}
		if w.urgent {
			g.urgentWaiters--
		}
		w.notify()
	}
	clear(g.waiters[len(rest):])
	g.waiters = rest
}

// noneUsable returns a check that none of the targets may get new work.
func (g *group) noneUsable(targets []gypsumyard.Target) func() bool {
	return func() bool {
		for _, t := range targets {
			if m := g.findMember(t.Instance); m != nil && m.usable() {
				return false
			}
		}
		return true
	}
}

// otherPrimary returns a check that the primary is known and is not m.
func (g *group) otherPrimary(m *member) func() bool {
	return func() bool {
		p := g.primary()
		return p != nil && p != m
	}
}
