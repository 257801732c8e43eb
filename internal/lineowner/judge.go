package lineowner

import (
	"fmt"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/sirupsen/logrus"
)

const (
	// silentFor is how long a primary must be silent before it is replaced,
	// refusedFor how long if nothing listens at its address.
	silentFor  = 500 * time.Millisecond
	refusedFor = 150 * time.Millisecond
	// stuckFor is how long the replicas must not have received what the
	// primary has written before it is replaced.
	stuckFor = 800 * time.Millisecond
	// heldFor is how long replicas may be held before another election is
	// begun in place of the one that holds them.
	heldFor = 700 * time.Millisecond
	// demoteEvery is the time between two orders to a primary of an old term.
	demoteEvery = 500 * time.Millisecond
)

// judge decides whether the primary must be replaced. It is called with the
// lock held.
func (g *group) judge(now time.Time) (why electionCause) {
	e := &g.election
	if len(g.instances) == 0 {
		return why
	}
	p := g.primary()
	if p == nil {
		return g.judgeLeaderless(now)
	}
	e.leaderless = time.Time{}
	switch {
	case p.listed.Leaving && g.successor(p):
		return electionCause{"the primary is leaving", true, p}
	case g.heldReplicas(p, now):
		return electionCause{"replicas are held for a later term", false, p}
	case g.stuck(p, now):
		return electionCause{"replicas do not receive the log of the primary", false, p}
	}
	return why
}

// judgeLeaderless decides while no reachable instance claims the newest term.
func (g *group) judgeLeaderless(now time.Time) (why electionCause) {
	e := &g.election
	if e.leaderless.IsZero() {
		e.leaderless = now
	}
	patience := silentFor
	for _, i := range g.instances {
		switch {
		case !i.known && i.silentSince.IsZero():
			return why // Not asked yet.
		case i == g.leading && !i.silentSince.IsZero():
			e.leaderless = earlier(e.leaderless, i.silentSince)
			if i.refused {
				patience = refusedFor
			}
		}
	}
	if now.Sub(e.leaderless) < patience {
		return why
	}
	return electionCause{reason: "no instance leads", primary: g.leading}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// successor reports whether another instance than p could take over. It is
// called with the lock held.
func (g *group) successor(p *instance) bool {
	for _, i := range g.instances {
		if i != p && i.usable() && i.status.role == gypsumyard.RoleReplica {
			return true
		}
	}
	return false
}

// heldReplicas reports whether an election was begun and not finished: a
// replica that is held receives nothing until a promotion. It is called with
// the lock held.
func (g *group) heldReplicas(p *instance, now time.Time) bool {
	e := &g.election
	for _, i := range g.instances {
		if i == p || !i.known || !i.reachable || i.status.held <= p.status.term {
			continue
		}
		if e.heldSince.IsZero() {
			e.heldSince = now
		}
		return now.Sub(e.heldSince) >= heldFor
	}
	e.heldSince = time.Time{}
	return false
}

// stuck reports whether the primary has written something that no replica has
// received for a while, although replicas answer. Its commits are not
// acknowledged then. It is called with the lock held.
func (g *group) stuck(p *instance, now time.Time) bool {
	e := &g.election
	var best gypsumyard.Position
	replicas := 0
	for _, i := range g.instances {
		if i == p || !i.usable() || i.status.role != gypsumyard.RoleReplica {
			continue
		}
		if now.Sub(i.answersSince) < stuckFor {
			e.behind = now // It may still catch up.
		}
		replicas++
		if i.status.received.Compare(best) > 0 {
			best = i.status.received
		}
	}
	if g.settings.SyncReplicas == 0 || replicas == 0 || best.Compare(p.status.received) >= 0 || e.behind.IsZero() || best.Compare(e.mark) > 0 {
		e.behind, e.mark = now, best
		return false
	}
	return now.Sub(e.behind) >= stuckFor
}

// outdatedPrimary returns an instance that claims to lead in an old term, if it
// may be told again. It is called with the lock held.
func (g *group) outdatedPrimary() *instance {
	p, _ := g.lead()
	if p == nil || g.clock.Since(g.election.demotedAt) < demoteEvery {
		return nil
	}
	for _, i := range g.instances {
		if i != p && i.known && i.reachable && i.status.role == gypsumyard.RolePrimary && i.status.term < p.status.term {
			return i
		}
	}
	return nil
}

// demote tells a primary of an old term to step down.
func (g *group) demote(i *instance) {
	g.mu.Lock()
	term := g.leadingTerm
	g.mu.Unlock()
	g.election.demotedAt = g.clock.Now()
	_, _, err := i.orders.order(g.ctx, fmt.Sprintf("DEMOTE %d", term), orderTimeout)
	g.log.WithFields(logrus.Fields{"instance": i.id, "term": term}).WithError(err).Info("primary of an old term was told to step down")
}
