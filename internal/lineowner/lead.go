package lineowner

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/sirupsen/logrus"
)

const (
	// leadWindow is how long evidence that an instance leads may be relied on.
	// A promotion waits for it to run out after it has fenced the instances,
	// see fenceWait.
	leadWindow = 400 * time.Millisecond
	// fenceWait is the pause between the fencing of enough instances and the
	// order to promote. The platform takes at least promotionTime to carry the
	// order out, so that together no older evidence is in use when the new
	// primary acknowledges its first commit.
	fenceWait     = leadWindow - promotionTime
	promotionTime = 150 * time.Millisecond
	// hopelessAfter is how long no instance has been known to lead when requests
	// that need one are refused at once. An election takes less.
	hopelessAfter = 2 * time.Second
	// hopelessRetry is when their callers may come back.
	hopelessRetry = 500 * time.Millisecond
	// sampleAge is how long samples of the primary's position are kept. It
	// exceeds the staleness that routes accept.
	sampleAge = 12 * time.Second
	// sampleGap is the time after the last sample at which one is taken that not
	// all replicas confirm.
	sampleGap = 300 * time.Millisecond
	// sampleSlack is taken off the staleness that a route accepts, for the time
	// between the choice of a sample and the read.
	sampleSlack = 20 * time.Millisecond
)

// A sample says that all commits that were acknowledged before at are at or
// before position.
type sample struct {
	at       time.Time
	position gypsumyard.Position
}

// fencesNeeded returns how many of n instances must be fenced before a
// promotion, so that every acknowledged commit is on a fenced instance and no
// unfenced ones can acknowledge another. A commit is on the primary and on one
// replica. Groups that ask for more replicas are treated alike: an instance may
// acknowledge with fewer while some do not answer.
func fencesNeeded(n int) int { return max(n-1, 1) }

// evidenceNeeded returns how many of n instances, the primary among them, must
// be unfenced for the primary to lead. Each such set meets each set of
// fencesNeeded.
func evidenceNeeded(n int) int { return n - fencesNeeded(n) + 1 }

// primary returns the reachable instance that claims to be the primary of the
// highest term, unless another instance has seen a higher term. It is called
// with the lock held.
func (g *group) primary() (p *instance) {
	var highest gypsumyard.Term
	for _, i := range g.instances {
		if !i.known {
			continue
		}
		highest = max(highest, i.status.term)
		if i.status.role == gypsumyard.RolePrimary && i.reachable && (p == nil || i.status.term > p.status.term) {
			p = i
		}
	}
	if p == nil || p.status.term < highest {
		return nil
	}
	return p
}

// lead returns the primary and the time up to which it is certain that no
// other instance has been promoted. It is called with the lock held.
func (g *group) lead() (p *instance, at time.Time) {
	p = g.primary()
	if p == nil {
		return nil, at
	}
	var seen []time.Time
	for _, i := range g.instances {
		if i != p && i.known && i.status.held <= p.status.term && i.status.term <= p.status.term {
			seen = append(seen, i.sampledAt)
		}
	}
	slices.SortFunc(seen, func(a, b time.Time) int { return b.Compare(a) })
	others := evidenceNeeded(len(g.instances)) - 1
	switch {
	case others == 0:
		at = p.sampledAt
	case len(seen) >= others:
		at = earlier(p.sampledAt, seen[others-1])
	}
	if !at.IsZero() && (g.proven.primary != p || g.proven.term != p.status.term || at.After(g.proven.at)) {
		g.proven = proof{p, p.status.term, at}
	}
	if t := earlier(p.sampledAt, g.claimEvidence(p)); t.After(at) {
		at = t
	}
	if at.IsZero() {
		return nil, at
	}
	return p, at
}

// A proof says that at a time enough instances showed that the primary led.
type proof struct {
	primary *instance
	term    gypsumyard.Term
	at      time.Time
}

// updateSamples adds a sample if the evidence has advanced. It is called with
// the lock held.
func (g *group) updateSamples() {
	p, at := g.lead()
	if p == nil {
		return
	}
	if g.leading != p || g.leadingTerm != p.status.term {
		g.log.WithFields(logrus.Fields{
			"instance": p.id, "term": p.status.term, "position": p.status.received.String(), "age": g.clock.Since(at).String(),
		}).Info("primary found")
		g.leading, g.leadingTerm = p, p.status.term
	}
	s, ok := g.acknowledgedBy(p, at)
	if n := len(g.samples); n > 0 {
		last := g.samples[n-1].at
		if !ok || !s.at.After(last) {
			// What the primary has written is a higher bound than needed, so it
			// is used only if not all replicas answer.
			s = sample{at, p.status.received}
			last = last.Add(sampleGap)
		}
		if !s.at.After(last) {
			return
		}
	} else if !ok {
		s = sample{at, p.status.received}
	}
	g.samples = append(g.samples, s)
	limit := g.clock.Now().Add(-sampleAge)
	for len(g.samples) > 1 && g.samples[0].at.Before(limit) {
		g.samples = g.samples[1:]
	}
}

// acknowledgedBy returns a sample from what the replicas have received, if all
// have answered: an acknowledged commit is on one of them at least. A primary
// whose commits are not acknowledged does not raise it. It is called
// with the lock held.
func (g *group) acknowledgedBy(p *instance, at time.Time) (s sample, ok bool) {
	var received []gypsumyard.Position
	for _, i := range g.instances {
		if !i.known || i.status.term != p.status.term {
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

// floor returns the lowest position that covers all commits that were
// acknowledged longer ago than staleness, or false if no sample tells. It is
// called with the lock held.
func (g *group) floor(staleness time.Duration, now time.Time) (gypsumyard.Position, bool) {
	limit := now.Add(-max(staleness-sampleSlack, 0))
	for _, s := range g.samples {
		if !s.at.Before(limit) {
			return s.position, true
		}
	}
	return gypsumyard.Position{}, false
}

// awaitLead returns the primary once there is evidence that it leads which was
// gathered no longer than leadWindow before arrived.
func (g *group) awaitLead(ctx context.Context, arrived time.Time) (*instance, error) {
	var found *instance
	err := g.awaitEvidence(ctx, func() bool {
		p, at := g.lead()
		if p == nil || at.Before(arrived.Add(-leadWindow)) || g.handingOver {
			return false
		}
		found = p
		return true
	})
	if err != nil {
		return nil, fmt.Errorf("wait for an instance that is known to lead: %w", err)
	}
	return found, nil
}

// awaitFloor returns the position that a read must see by the staleness alone.
func (g *group) awaitFloor(ctx context.Context, staleness time.Duration, arrived time.Time) (p gypsumyard.Position, err error) {
	err = g.awaitEvidence(ctx, func() (ok bool) {
		p, ok = g.floor(staleness, arrived)
		return ok
	})
	if err != nil {
		return p, fmt.Errorf("wait for a position that bounds the staleness: %w", err)
	}
	return p, nil
}

// awaitEvidence is await for what needs evidence of who leads. It fails at once
// if there has been none for so long that none is to be expected soon.
func (g *group) awaitEvidence(ctx context.Context, check func() bool) error {
	hopeless := false
	err := g.await(ctx, func() bool {
		if check() {
			hopeless = false
			return true
		}
		hopeless = !g.electing && g.clock.Since(g.evidenceAt) > hopelessAfter
		return hopeless
	})
	if err == nil && hopeless {
		e := gypsumyard.Errorf(gypsumyard.ClassNotRun, "no instance has been known to lead for %v", hopelessAfter)
		e.RetryAfter = hopelessRetry
		return e
	}
	return err
}

// await waits until check, which is called with the lock held, returns true.
// Instances are polled at once while it does not.
func (g *group) await(ctx context.Context, check func() bool) error {
	for {
		g.mu.Lock()
		if check() {
			g.mu.Unlock()
			return nil
		}
		changed := g.changed
		g.kickPolls()
		g.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// broadcast wakes all who wait in await. It is called with the lock held.
func (g *group) broadcast() {
	close(g.changed)
	g.changed = make(chan struct{})
}
