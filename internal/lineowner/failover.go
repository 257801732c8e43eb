package lineowner

import (
	"fmt"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/sirupsen/logrus"
)

const (
	// silenceTimeout is how long a primary must be silent before it is replaced,
	// refusedTimeout how long if nothing listens at its address.
	silenceTimeout = 500 * time.Millisecond
	refusedTimeout = 150 * time.Millisecond
	// stuckTimeout is how long replication must have made no progress before
	// the primary is replaced.
	stuckTimeout = 800 * time.Millisecond
	// fencedTimeout is how long replicas may be fenced before another election
	// replaces the one that fenced them.
	fencedTimeout = 700 * time.Millisecond
	// demoteInterval is the time between two commands to demote a primary of an
	// old term.
	demoteInterval = 500 * time.Millisecond
)

// checkPrimary decides whether the primary must be replaced. The caller must
// hold g.mu.
func (g *group) checkPrimary(now time.Time) (why electionCause) {
	e := &g.election
	if len(g.instances) == 0 {
		return why
	}
	p := g.claimedPrimary()
	if p == nil {
		return g.checkLeaderless(now)
	}
	e.leaderlessSince = time.Time{}
	switch {
	case p.listed.Leaving && g.hasSuccessor(p):
		return electionCause{"the primary is leaving", true, p}
	case g.replicasFenced(p, now):
		return electionCause{"replicas are fenced for a later term", false, p}
	case g.replicationStuck(p, now):
		return electionCause{"replicas do not receive the log of the primary", false, p}
	}
	return why
}

// checkLeaderless decides whether an election is due while no reachable
// instance is the primary of the newest term. The caller must hold g.mu.
func (g *group) checkLeaderless(now time.Time) (why electionCause) {
	e := &g.election
	if e.leaderlessSince.IsZero() {
		e.leaderlessSince = now
	}
	timeout := silenceTimeout
	for _, i := range g.instances {
		switch {
		case !i.statusKnown && i.silentSince.IsZero() && !i.retired:
			return why // Not polled yet.
		case i == g.lastPrimary && !i.silentSince.IsZero():
			e.leaderlessSince = earlier(e.leaderlessSince, i.silentSince)
			if i.connRefused {
				timeout = refusedTimeout
			}
		}
	}
	if now.Sub(e.leaderlessSince) < timeout {
		return why
	}
	return electionCause{reason: "no instance leads", primary: g.lastPrimary}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// hasSuccessor reports whether an instance other than p could take over. The
// caller must hold g.mu.
func (g *group) hasSuccessor(p *instance) bool {
	for _, i := range g.instances {
		if i != p && i.usable() && i.status.role == gypsumyard.RoleReplica {
			return true
		}
	}
	return false
}

// replicasFenced reports whether an election was started and not finished
// within fencedTimeout: a fenced replica receives nothing until a promotion. While an
// election waits for instances, a fence counts as abandoned at once. The caller must hold
// g.mu.
func (g *group) replicasFenced(p *instance, now time.Time) bool {
	e := &g.election
	for _, i := range g.instances {
		if i == p || !i.statusKnown || !i.reachable || i.status.fencedTerm <= p.status.term {
			continue
		}
		if e.fencedSince.IsZero() {
			e.fencedSince = now
		}
		return now.Sub(e.fencedSince) >= fencedTimeout || g.wait.declared
	}
	e.fencedSince = time.Time{}
	return false
}

// replicationStuck reports whether no replica has received any more of the
// primary's log for stuckTimeout although they answer and lack records of it.
// The primary's commits are not acknowledged then. The caller must hold g.mu.
func (g *group) replicationStuck(p *instance, now time.Time) bool {
	e := &g.election
	var best gypsumyard.Position
	replicas := 0
	for _, i := range g.instances {
		if i == p || !i.statusKnown || !i.reachable || i.listed.Leaving || i.status.role != gypsumyard.RoleReplica {
			continue
		}
		if now.Sub(i.reachableSince) < stuckTimeout {
			e.behindSince = now // It may still catch up.
		}
		replicas++
		if i.status.received.Compare(best) > 0 {
			best = i.status.received
		}
	}
	if g.settings.SyncReplicas == 0 || replicas == 0 || best.Compare(p.status.received) >= 0 || e.behindSince.IsZero() || best.Compare(e.replicatedPosition) > 0 {
		e.behindSince, e.replicatedPosition = now, best
		return false
	}
	return now.Sub(e.behindSince) >= stuckTimeout
}

// stalePrimary returns an instance that claims to be the primary of an old
// term, or nil if there is none or the last demotion was less than
// demoteInterval ago. The caller must hold g.mu.
func (g *group) stalePrimary() *instance {
	p, _ := g.provenPrimary()
	if p == nil || g.clock.Since(g.election.lastDemoteAt) < demoteInterval {
		return nil
	}
	for _, i := range g.instances {
		if i != p && i.statusKnown && i.reachable && i.status.role == gypsumyard.RolePrimary && i.status.term < p.status.term {
			return i
		}
	}
	return nil
}

// demote tells a primary of an old term to step down.
func (g *group) demote(i *instance) {
	g.mu.Lock()
	term := g.lastPrimaryTerm
	g.mu.Unlock()
	g.election.lastDemoteAt = g.clock.Now()
	_, _, err := i.control.exec(g.ctx, fmt.Sprintf("DEMOTE %d", term), commandTimeout)
	g.log.WithFields(logrus.Fields{"instance": i.id, "term": term}).WithError(err).Info("demote command sent to primary of an old term")
}
