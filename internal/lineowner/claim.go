package lineowner

import (
	"context"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

const (
	// electionBound is the longest time between the claim of a generation and
	// the end of the order to promote that it covers.
	electionBound = orderWithin + promoteBound + promotedWithin
	// promoteBound bounds the order to promote.
	promoteBound = 3 * time.Second
	// claimAfter is how old the evidence from instances must be before the
	// store is asked as well, which is longer than quietInterval, claimEvery the time between two questions.
	claimAfter = 650 * time.Millisecond
	claimEvery = 150 * time.Millisecond
	// claimReadTimeout bounds one question.
	claimReadTimeout = 300 * time.Millisecond
)

// A claimState is what the store says of claims for the group. Each promotion
// begins with a claim there, so that a primary leads as long as there is no
// newer claim, even if no host reaches the replicas.
type claimState struct {
	asking  bool
	askedAt time.Time
	known   bool
	// generation is that of the latest claim, seen since firstSeen and still
	// seen by the question that was sent at lastSeen.
	generation gypsumyard.Generation
	firstSeen  time.Time
	lastSeen   time.Time
	// done indicates that its election is over.
	done bool
}

// claimEvidence returns up to when the store proves that the instance leads, or
// the zero time. Elections that were begun with an older claim must have ended
// before the instances last proved it. It is called with the lock held.
func (g *group) claimEvidence(p *instance) time.Time {
	c := &g.claim
	if !c.known || g.proven.primary != p || g.proven.term != p.status.term {
		return time.Time{}
	}
	over := c.firstSeen
	if !c.done && c.generation != 0 {
		over = over.Add(electionBound)
	}
	if g.proven.at.Before(over) {
		return time.Time{}
	}
	return c.lastSeen
}

// checkClaim asks the store for the latest claim, once at first and then while
// the evidence from instances is old.
func (g *group) checkClaim() {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := &g.claim
	now := g.clock.Now()
	if c.asking || now.Sub(c.askedAt) < claimEvery {
		return
	}
	if c.known && (now.Sub(g.proven.at) < claimAfter || g.primary() == nil) {
		return
	}
	c.asking, c.askedAt = true, now
	g.work.Go(func() { g.readClaim(now) })
}

// note takes over the latest claim. It is called with the lock held.
func (c *claimState) note(gen gypsumyard.Generation, done bool, now time.Time) {
	if !c.known || gen != c.generation {
		c.known, c.generation, c.firstSeen = true, gen, now
	}
	c.done = done
}

func (g *group) readClaim(sent time.Time) {
	ctx, cancel := context.WithTimeout(g.ctx, claimReadTimeout)
	defer cancel()
	v, latest, err := g.service.claims.latest(ctx, g.name)
	g.mu.Lock()
	defer g.mu.Unlock()
	c := &g.claim
	c.asking = false
	if err != nil {
		g.log.WithError(err).Debug("latest claim is not known")
		return
	}
	c.note(gypsumyard.Generation(v), latest.Done, g.clock.Now())
	c.lastSeen = sent
	g.updateSamples()
	g.broadcast()
}
