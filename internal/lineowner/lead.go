package lineowner

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/sirupsen/logrus"
)

const (
	// evidenceTTL is how long evidence that an instance is the primary may be
	// relied on. After fencing the instances, a promotion waits for it to
	// expire, see fenceWait.
	evidenceTTL = 400 * time.Millisecond
	// fenceWait is the pause between fencing enough instances and the last check of
	// the fences. No evidence from before the fencing is in use after it.
	fenceWait = evidenceTTL
	// crashedFenceWait replaces fenceWait if the other instances cannot acknowledge
	// commits. The platform takes at least minPromotionTime to carry out the order.
	// Together they ensure that no such evidence is in use when the new primary
	// acknowledges its first commit.
	crashedFenceWait = evidenceTTL - minPromotionTime
	minPromotionTime = 150 * time.Millisecond
	// noPrimaryTimeout is how long there must have been no proven primary before
	// requests that need one are rejected at once. An election takes less.
	noPrimaryTimeout = 2 * time.Second
	// noPrimaryRetryAfter is the delay after which their callers may retry.
	noPrimaryRetryAfter = 500 * time.Millisecond
	// drainMargin is how long before the drain timeout a leaving primary gets its
	// last work: other hosts may have learned earlier that it is leaving, and
	// statements wait at the instance.
	drainMargin = 1500 * time.Millisecond
	// sampleRetention is how long samples of the primary's position are kept. It
	// exceeds the staleness that routes accept.
	sampleRetention = 12 * time.Second
	// unconfirmedSampleInterval is the time after the last sample at which a
	// sample is taken even if not all replicas confirm it.
	unconfirmedSampleInterval = 300 * time.Millisecond
	// stalenessMargin is subtracted from the staleness that a route accepts, for
	// the time between the choice of a sample and the read.
	stalenessMargin = 20 * time.Millisecond
)

var errCommitUnconfirmed = errors.New("no evidence that the instance led as it acknowledged the commit")

// A sample states that all commits acknowledged before at are at or before
// position.
type sample struct {
	at       time.Time
	position gypsumyard.Position
}

// claimedPrimary returns the reachable instance that claims to be the primary
// of the highest term, unless another instance has seen a higher term. The
// caller must hold g.mu.
func (g *group) claimedPrimary() (p *instance) {
	var highest gypsumyard.Term
	for _, i := range g.instances {
		if !i.statusKnown {
			continue
		}
		highest = max(highest, i.status.term)
		if i.status.role == gypsumyard.RolePrimary && i.reachable && (p == nil || i.status.term > p.status.term) {
			p = i
		}
	}
	if p == nil || p.status.term < highest || g.wasReplaced(p.status.term) {
		return nil
	}
	return p
}

// wasReplaced reports whether the primary of the term has been replaced according to the
// stored set. It was not if an operator has accepted the loss of those that led since. The
// caller must hold g.mu.
func (g *group) wasReplaced(term gypsumyard.Term) bool {
	return g.replicas.showReplaced(term) && !g.loss.isFor(term)
}

// provenPrimary returns the primary and the time up to which it is certain that
// no other instance has been promoted. The caller must hold g.mu.
func (g *group) provenPrimary() (p *instance, at time.Time) {
	p = g.claimedPrimary()
	if p == nil || !g.checkSettled(p) || g.mustAwaitReplicaSet() {
		return nil, at
	}
	at = g.evidenceFrom(p, g.provesPrimary)
	if !at.IsZero() && (g.lastProof.primary != p || g.lastProof.term != p.status.term || at.After(g.lastProof.at)) {
		g.lastProof = leadershipProof{p, p.status.term, at}
	}
	if t := earlier(p.sampledAt, g.claimEvidence(p)); t.After(at) {
		at = t
	}
	if at.IsZero() {
		return nil, at
	}
	return p, at
}

// evidenceFrom returns the time up to which the instances that count prove that p is the
// primary, or the zero time. The caller must hold g.mu.
func (g *group) evidenceFrom(p *instance, counts func(*instance) bool) (at time.Time) {
	var seen []time.Time
	for _, i := range g.instances {
		if i != p && i.statusKnown && i.status.fencedTerm <= p.status.term && i.status.term <= p.status.term && counts(i) {
			seen = append(seen, i.sampledAt)
		}
	}
	slices.SortFunc(seen, func(a, b time.Time) int { return b.Compare(a) })
	others := evidenceNeeded(g.countedNumber()) - 1
	switch {
	case others == 0:
		at = p.sampledAt
	case len(seen) >= others:
		at = earlier(p.sampledAt, seen[others-1])
	}
	return at
}

// provesPrimary reports whether the status of a replica may prove who leads. An election
// counts the listed instances and those of the stored set, so others prove nothing. The
// caller must hold g.mu.
func (g *group) provesPrimary(i *instance) bool {
	stored := !i.storedAt.IsZero() || !g.replicas.known
	return i.isListed() && stored && g.checkSettled(i)
}

// checkSettled reports whether the status of the instance may prove who leads. The
// caller must hold g.mu.
func (g *group) checkSettled(i *instance) bool {
	if !i.settled {
		idle := g.claim.idleAt(g.service.storeEra(), defaultElectionLimits)
		i.settled = hasSettled(i.knownSince, i.storedAt, idle, g.clock.Now(), defaultElectionLimits)
	}
	return i.settled
}

// A leadershipProof records that at a time enough instances confirmed that the
// instance was the primary.
type leadershipProof struct {
	primary *instance
	term    gypsumyard.Term
	at      time.Time
}

// recordSample adds a sample if the evidence has advanced. The caller must hold
// g.mu.
func (g *group) recordSample() {
	p, at := g.provenPrimary()
	if p == nil {
		return
	}
	if g.lastPrimary != p || g.lastPrimaryTerm != p.status.term {
		g.log.WithFields(logrus.Fields{
			"instance": p.id, "term": p.status.term, "position": p.status.received.String(), "age": g.clock.Since(at).String(),
		}).Info("primary found")
		g.lastPrimary, g.lastPrimaryTerm = p, p.status.term
	}
	s, ok := g.acknowledgedSample(p, at)
	if n := len(g.samples); n > 0 {
		last := g.samples[n-1].at
		if !ok || !s.at.After(last) {
			// The end of the primary's log is a higher bound than needed, so it
			// is used only if the replicas give no newer sample.
			s = sample{at, p.status.received}
			last = last.Add(unconfirmedSampleInterval)
		}
		if !s.at.After(last) {
			return
		}
	} else if !ok {
		s = sample{at, p.status.received}
	}
	g.samples = append(g.samples, s)
	limit := g.clock.Now().Add(-sampleRetention)
	for len(g.samples) > 1 && g.samples[0].at.Before(limit) {
		g.samples = g.samples[1:]
	}
}

// acknowledgedSample returns a sample from the positions that the replicas have
// received, if all have answered: an acknowledged commit is on at least one of
// them. Unacknowledged commits of the primary do not raise it. The caller must
// hold g.mu.
func (g *group) acknowledgedSample(p *instance, at time.Time) (s sample, ok bool) {
	var received []gypsumyard.Position
	for _, i := range g.instances {
		if i.lossAccepted {
			continue
		}
		if !i.statusKnown || i.status.term != p.status.term {
			return s, false
		}
		at = earlier(at, i.sampledAt)
		if i != p {
			received = append(received, i.status.received)
		}
	}
	if g.settings.SyncReplicas < 1 || len(received) == 0 {
		return s, false
	}
	return sample{at, slices.MaxFunc(received, gypsumyard.Position.Compare)}, true
}

// stalenessBound returns the lowest sampled position that covers all commits
// that were acknowledged longer ago than staleness, or false if no sample is
// recent enough. The caller must hold g.mu.
func (g *group) stalenessBound(staleness time.Duration, now time.Time) (gypsumyard.Position, bool) {
	limit := now.Add(-max(staleness-stalenessMargin, 0))
	for _, s := range g.samples {
		if !s.at.Before(limit) {
			return s.position, true
		}
	}
	return gypsumyard.Position{}, false
}

// awaitPrimary returns the primary once there is evidence for it that was gathered
// at most evidenceTTL before arrived.
func (g *group) awaitPrimary(ctx context.Context, arrived time.Time) (*instance, error) {
	var found *instance
	drained := false
	err := g.awaitEvidence(ctx, func() bool {
		p, at := g.provenPrimary()
		if p == nil || at.Before(arrived.Add(-evidenceTTL)) || g.drainingPrimary {
			return false
		}
		found, drained = p, g.mustDrain(p)
		return !drained || !g.electing
	})
	if err != nil {
		return nil, fmt.Errorf("wait for an instance that is known to lead: %w", err)
	}
	if drained {
		return nil, errPrimaryDrained()
	}
	return found, nil
}

// mustDrain reports whether a leaving instance must get no more work. The caller must
// hold g.mu.
func (g *group) mustDrain(i *instance) bool {
	limit := g.service.drainTimeout
	since := i.listed.LeavingSince
	return i.listed.Leaving && limit > 0 && !since.IsZero() && g.clock.Since(since) > limit-drainMargin
}

// errPrimaryDrained returns the error for requests that need a primary while the only
// one is leaving and no other instance can take over yet.
func errPrimaryDrained() error {
	e := gypsumyard.Errorf(gypsumyard.ClassNotRun, "the primary is leaving and no other instance can lead yet")
	e.RetryAfter, e.NoRetry = noPrimaryRetryAfter, true
	return e
}

// confirmCommit returns nil if there is evidence, no older than evidenceTTL, that the
// instance was the primary as it acknowledged a commit, which ends at the position. A
// replica whose fence has ended may let a replaced primary acknowledge commits. A commit
// of a leaving primary must also be on a replica that stays, since a leaving replica may
// have acknowledged it. confirmCommit waits for evidenceTTL for what is missing.
func (g *group) confirmCommit(ctx context.Context, i *instance, commit gypsumyard.Position) error {
	oldest := g.clock.Now().Add(-evidenceTTL)
	ctx, cancel := context.WithTimeoutCause(ctx, evidenceTTL, errCommitUnconfirmed)
	defer cancel()
	err := g.await(ctx, func() bool {
		p, at := g.provenPrimary()
		kept := p == i && !at.Before(oldest) && (!i.listed.Leaving || g.isOnStayingReplica(p, commit))
		if kept {
			g.noteAcknowledged(commit)
		}
		return kept
	})
	if err != nil {
		g.log.WithField("instance", i.id).WithError(err).Warn("commit is not known to be kept")
		return outcomeUnknown(err)
	}
	return nil
}

// isOnStayingReplica reports whether a replica that is not leaving has received the log
// of the primary p up to the position. The caller must hold g.mu.
func (g *group) isOnStayingReplica(p *instance, position gypsumyard.Position) bool {
	for _, i := range g.instances {
		if i != p && i.usable() && i.status.term == p.status.term && i.status.received.Compare(position) >= 0 {
			return true
		}
	}
	return false
}

// awaitStalenessBound returns the position that a read must see to meet the
// staleness.
func (g *group) awaitStalenessBound(ctx context.Context, staleness time.Duration, arrived time.Time) (p gypsumyard.Position, err error) {
	err = g.awaitEvidence(ctx, func() (ok bool) {
		p, ok = g.stalenessBound(staleness, arrived)
		return ok
	})
	if err != nil {
		return p, fmt.Errorf("wait for a position that bounds the staleness: %w", err)
	}
	return p, nil
}

// awaitEvidence is await for conditions that need a proven primary. It fails at
// once if there has been none for noPrimaryTimeout and no promotion is in
// progress, or if the election waits for absent instances.
func (g *group) awaitEvidence(ctx context.Context, check func() bool) error {
	noPrimary, awaits := false, false
	err := g.await(ctx, func() bool {
		if check() {
			noPrimary, awaits = false, false
			return true
		}
		awaits = g.wait.declared
		noPrimary = !g.electing && g.clock.Since(g.evidenceAt) > noPrimaryTimeout
		return noPrimary || awaits
	})
	if err == nil && awaits {
		return errAwaitsInstances()
	}
	if err == nil && noPrimary {
		e := gypsumyard.Errorf(gypsumyard.ClassNotRun, "no instance has been known to lead for %v", noPrimaryTimeout)
		e.RetryAfter, e.NoRetry = noPrimaryRetryAfter, true
		return e
	}
	return err
}

// await waits until check, which is called with g.mu held, returns true.
// Instances are polled at once while it does not.
func (g *group) await(ctx context.Context, check func() bool) error {
	for {
		g.mu.Lock()
		if check() {
			g.mu.Unlock()
			return nil
		}
		changed := g.changed
		g.requestPolls()
		g.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// broadcast wakes all goroutines waiting in await. The caller must hold g.mu.
func (g *group) broadcast() {
	close(g.changed)
	g.changed = make(chan struct{})
}
