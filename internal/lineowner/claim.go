package lineowner

import (
	"context"
	"time"
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
	claimView
	pending     bool
	requestedAt time.Time
}

// claimEvidence returns the time up to which the store proves that p is the
// primary, or the zero time. The caller must hold g.mu.
func (g *group) claimEvidence(p *instance) time.Time {
	if g.lastProof.primary != p || g.lastProof.term != p.status.term {
		return time.Time{}
	}
	return g.claim.provesUntil(g.lastProof.at, g.service.storeEra(), defaultElectionLimits)
}

// storeEra returns the latest era of the store that this host knows.
func (s *Service) storeEra() storeEra {
	e, since := s.eras.Era()
	return storeEra{e, since}
}

// refreshClaim reads the latest claim from the store in the background: once
// initially, while the evidence from instances is old, and while an instance has not
// settled.
func (g *group) refreshClaim() {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := &g.claim
	now := g.clock.Now()
	if c.pending || now.Sub(c.requestedAt) < claimReadInterval {
		return
	}
	needless := now.Sub(g.lastProof.at) < claimReadDelay || g.claimedPrimary() == nil
	if c.known && needless && !g.mustSettle() {
		return
	}
	c.pending, c.requestedAt = true, now
	g.wg.Go(func() { g.readClaim(now) })
}

// mustSettle reports whether a newer claim may settle an instance. The caller must hold
// g.mu.
func (g *group) mustSettle() bool {
	for _, i := range g.instances {
		if i.isListed() && i.reachable && !i.storedAt.IsZero() && !g.checkSettled(i) {
			return true
		}
	}
	return false
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
	c.record(v, latest.Done, g.clock.Now())
	c.lastSeen = sent
	g.recordSample()
	g.broadcast()
}
