package owner

import (
	"context"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// neededPosition returns the position that a read must see. It also reports
// whether the session advances to that position, which is then a sampled upper
// bound of the session's writes.
func (g *group) neededPosition(ctx context.Context, r *job, arrival time.Time) (p gypsumyard.Position, advancesSession bool, err error) {
	switch {
	case r.MaxStaleness > 0:
		p, err = g.sampleSince(ctx, arrival.Add(-r.MaxStaleness))
		return p, false, err
	case r.PositionKnown:
		return r.Position, false, nil
	}
	p, err = g.sampleSince(ctx, arrival)
	if r.Position.Compare(p) > 0 {
		p = r.Position
	}
	return p, true, err
}

// sampleSince returns a position that covers everything acknowledged before t.
// Concurrent callers share the polls.
func (g *group) sampleSince(ctx context.Context, t time.Time) (p gypsumyard.Position, err error) {
	err = g.await(ctx, func() bool {
		s, ok := g.samples.first(t)
		if !ok && t.After(g.pollAfter) {
			g.pollAfter = t
		}
		p = s.position
		return ok
	})
	return p, err
}

// survivingPosition returns the part of p that the log of the primary holds. An
// acknowledged position always survives a promotion. A bound may name records
// that were not acknowledged and that a promotion has truncated: the session
// then needs what is left of that term. The caller must hold g.mu.
func (g *group) survivingPosition(p gypsumyard.Position) gypsumyard.Position {
	m := g.primary()
	if m == nil || p.Term >= m.view.Status.Term() || m.view.Status.Contains(p) {
		return p
	}
	var left gypsumyard.Position
	h := m.view.Status.History
	for i, t := range h {
		if t.Term > p.Term {
			break
		}
		left = gypsumyard.Position{Term: t.Term, Offset: m.view.Status.Applied.Offset}
		if i+1 < len(h) {
			left.Offset = h[i+1].Start - 1
		}
	}
	return left
}

// readTargets waits until an instance covers the needed position and returns
// the instances that do, except the excluded ones.
func (g *group) readTargets(ctx context.Context, needed *gypsumyard.Position, excluded map[string]bool) (targets []gypsumyard.Target, err error) {
	err = g.await(ctx, func() bool {
		*needed = g.survivingPosition(*needed)
		all := g.router.Targets(gypsumyard.ReadRequest{MinPosition: *needed}, g.views(), g.clock.Now())
		targets = targets[:0]
		for _, t := range all {
			m := g.findMember(t.Instance)
			if m != nil && m.usable() && !excluded[t.Instance] {
				targets = append(targets, t)
			}
		}
		if len(targets) == 0 && len(excluded) > 0 {
			// Each view that was proven wrong has been replaced by the status
			// that the check saw, so the instances may be tried again.
			clear(excluded)
		}
		return len(targets) > 0
	})
	return targets, err
}

// awaitConfirmed waits until a majority holds the record at p. It fails if a
// majority has moved to a later term, unless that term has brought an edited list of
// instances into force and begins after p.
func (g *group) awaitConfirmed(ctx context.Context, p gypsumyard.Position, primary *member) error {
	ctx, cancel := context.WithTimeoutCause(ctx, g.settings.confirmTimeout, errNotConfirmed)
	defer cancel()
	replaced, survives := false, false
	start := g.clock.Now()
	err := g.await(ctx, func() bool {
		if survives = g.survivesEdit(p); survives {
			return true
		}
		replaced = g.replaced(p.Term)
		return replaced && !g.editMayDecide(p) || g.confirmed(p, primary)
	})
	g.metrics.confirmWait.Record(g.clock.Since(start))
	if err == nil && replaced && !survives {
		return errPrimaryReplaced
	}
	return err
}

// replaced reports whether a majority of a list that counts has a later term in its
// log or is fenced for one. The caller must hold g.mu.
func (g *group) replaced(term gypsumyard.Term) bool {
	return g.anyMajority(func(m *member) bool {
		return m.view.Status.Term() > term || m.view.Status.Fence > term
	})
}
