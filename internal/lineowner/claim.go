package lineowner

import (
	"context"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

const (
	// maxElectionDuration is the longest time between the claim of a generation
	// and the end of the promotion order that it covers.
	maxElectionDuration = maxClaimAge + promoteTimeout + promotionConfirmTimeout
	// promoteTimeout bounds the promotion order.
	promoteTimeout = 3 * time.Second
	// claimReadDelay is how old the evidence from instances must be before the
	// claim is read from the store as well. It exceeds idlePollInterval.
	// claimReadInterval is the time between two such reads.
	claimReadDelay    = 650 * time.Millisecond
	claimReadInterval = 150 * time.Millisecond
	// claimReadTimeout bounds one read of the claim.
	claimReadTimeout = 300 * time.Millisecond
)

// A claimState is the latest claim for the group that was read from the store.
// Each promotion begins with a claim there, so the primary cannot have been
// replaced while there is no newer claim, even if no host reaches the replicas.
type claimState struct {
	pending     bool
	requestedAt time.Time
	known       bool
	// generation is that of the latest claim. If there is none, it holds only the
	// era. It was first read at firstSeen and was still the latest in the read that
	// was sent at lastSeen.
	generation gypsumyard.Generation
	firstSeen  time.Time
	lastSeen   time.Time
	// done indicates that the election of the claim is over.
	done bool
}

// claimEvidence returns the time up to which the store proves that p is the
// primary, or the zero time. Elections with the latest or an older claim, or with
// one that a restore of the store has lost, must have ended before the instances
// last proved it. The caller must hold g.mu.
func (g *group) claimEvidence(p *instance) time.Time {
	c := &g.claim
	if !c.known || g.lastProof.primary != p || g.lastProof.term != p.status.term {
		return time.Time{}
	}
	electionsEnd := c.firstSeen
	if !c.done && gypsumyard.Version(c.generation).Revision() != 0 {
		electionsEnd = electionsEnd.Add(maxElectionDuration)
	}
	if end, known := g.service.lostClaimsEnd(gypsumyard.Version(c.generation).Era(), maxElectionDuration); !known {
		return time.Time{}
	} else if end.After(electionsEnd) {
		electionsEnd = end
	}
	if g.lastProof.at.Before(electionsEnd) {
		return time.Time{}
	}
	return c.lastSeen
}

// lostClaimsEnd returns when an election is over whose claim was lost when the store
// entered the era, if an election takes at most duration. Known is false if the
// store is no longer in that era. In era zero the store loses no claims.
func (s *Service) lostClaimsEnd(e gypsumyard.Era, duration time.Duration) (end time.Time, known bool) {
	latest, since := s.eras.Era()
	switch {
	case latest != e:
		return end, false
	case e == 0:
		return end, true
	}
	// This host may have learned of the era long after the restore.
	return since.Add(duration), true
}

// refreshClaim reads the latest claim from the store in the background, once
// initially and then while the evidence from instances is old.
func (g *group) refreshClaim() {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := &g.claim
	now := g.clock.Now()
	if c.pending || now.Sub(c.requestedAt) < claimReadInterval {
		return
	}
	if c.known && (now.Sub(g.lastProof.at) < claimReadDelay || g.claimedPrimary() == nil) {
		return
	}
	c.pending, c.requestedAt = true, now
	g.wg.Go(func() { g.readClaim(now) })
}

// record stores the latest claim. The caller must hold the mutex of the group.
func (c *claimState) record(gen gypsumyard.Generation, done bool, now time.Time) {
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
	c.pending = false
	if err != nil {
		g.log.WithError(err).Debug("could not read latest claim")
		return
	}
	c.record(gypsumyard.Generation(v), latest.Done, g.clock.Now())
	c.lastSeen = sent
	g.recordSample()
	g.broadcast()
}
