package owner

import (
	"context"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/sirupsen/logrus"
)

const (
	// evaluateInterval is the pause between two evaluations of the primary.
	evaluateInterval = 50 * time.Millisecond
	// maxProbes is how many hosts are asked to probe an instance.
	maxProbes = 2
	// probeTimeout limits a round of probes.
	probeTimeout = 500 * time.Millisecond
	// followInterval is the minimum interval between two follow orders to an
	// instance, and the age of its stream from which on it counts as not
	// following.
	followInterval = time.Second
)

// supervise has the promoter evaluate the primary, and orders instances to
// follow it, until the group ends. Only an owner promotes or gives these
// orders.
func (g *group) supervise() {
	defer g.work.Done()
	for g.clock.Sleep(g.ctx, evaluateInterval) == nil {
		if !g.mayPromote() {
			continue
		}
		s := g.promotionState()
		d := g.promoter.Evaluate(g.ctx, s)
		if d.Promote {
			g.promote(s, d)
			continue
		}
		g.orderFollowers()
		g.dropStoredFormer()
	}
}

func (g *group) mayPromote() bool {
	g.service.mu.Lock()
	blocked := g.service.stale || g.service.stopping
	g.service.mu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	return !blocked && g.ownedCtx.Err() == nil
}

func (g *group) promotionState() PromotionState {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := PromotionState{Database: g.database, Lists: g.countedInstances(), ListReplicated: g.listReplicated(), Views: g.views(), Primary: g.lastPrimary, Probe: g.probe}
	for _, m := range g.members {
		s.Instances = append(s.Instances, m.orderConn)
		if m.name == g.lastPrimary {
			s.Failures, s.Refused = m.failures, m.refused
		}
	}
	return s
}

func (g *group) promote(s PromotionState, d PromotionDecision) {
	log := g.log.WithFields(logrus.Fields{"instance": s.Primary, "planned": d.Planned, "reason": d.Reason})
	log.Warn("replacing primary")
	start := g.clock.Now()
	name, term, err := g.promoter.Promote(g.ctx, s, d)
	if err != nil {
		log.WithError(err).Error("failed to replace primary")
		return
	}
	g.metrics.promotions.Inc(1)
	g.log.WithFields(logrus.Fields{
		"instance": name,
		"term":     term,
		"reason":   d.Reason,
		"took":     g.clock.Since(start),
	}).Info("primary replaced")
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expireWrites(name)
	for _, m := range g.members {
		m.requestPoll()
	}
}

// replacedWriteTimeout is how long a replaced primary may take to answer the
// writes that it was running.
const replacedWriteTimeout = 250 * time.Millisecond

// expireWrites bounds the wait for writes that run on instances other than the
// new primary. They can no longer be confirmed, so their callers are told that
// the outcome is unknown. The caller must hold g.mu.
func (g *group) expireWrites(primary string) {
	for _, e := range g.running {
		if e.write && e.member.name != primary {
			e.conn.SetReadTimeout(replacedWriteTimeout)
		}
	}
}

// probe asks hosts in other failure domains to read the status of an instance.
func (g *group) probe(ctx context.Context, instance string) []Probe {
	peers, err := kernel.Lookup[gypsumyard.PeerClient](g.service.kernel, "peer")
	if err != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	hosts := g.witnesses()
	out := make([]Probe, len(hosts))
	done := make(chan struct{})
	for i, h := range hosts {
		go func() {
			out[i].Host = h
			out[i].Status, out[i].Err = peers.ProbeInstance(ctx, h, g.name, instance)
			done <- struct{}{}
		}()
	}
	for range hosts {
		<-done
	}
	return out
}

// witnesses returns up to maxProbes live hosts, each in a failure domain of
// its own that is not that of this host.
func (g *group) witnesses() (out []gypsumyard.Host) {
	self := g.service.members.Self()
	seen := map[string]bool{self.FailureDomain: true}
	for _, h := range g.service.members.Hosts() {
		if len(out) < maxProbes && h.State == gypsumyard.HostLive && !seen[h.FailureDomain] {
			seen[h.FailureDomain] = true
			out = append(out, h)
		}
	}
	return out
}

// orderFollowers orders instances that do not replicate from the primary to
// follow it: a former primary that has come back, or an instance that missed
// the order.
func (g *group) orderFollowers() {
	g.mu.Lock()
	p := g.primary()
	var detached []*member
	var term gypsumyard.Term
	if p != nil {
		term = p.view.Status.Term()
		for _, m := range g.members {
			if m != p && g.notFollowing(m, term) {
				m.followOrderedAt = g.clock.Now()
				detached = append(detached, m)
			}
		}
	}
	g.mu.Unlock()
	for _, m := range detached {
		err := m.orderConn.Follow(g.ctx, term, p.name)
		log := g.log.WithFields(logrus.Fields{"instance": m.name, "primary": p.name, "term": term})
		if err != nil {
			log.WithError(err).Warn("failed to order instance to follow the primary")
			continue
		}
		log.Info("instance ordered to follow the primary")
	}
}

// notFollowing reports whether the instance does not replicate from the
// primary and may be ordered to. The caller must hold g.mu.
func (g *group) notFollowing(m *member, term gypsumyard.Term) bool {
	if !m.view.Reachable || g.clock.Since(m.followOrderedAt) < followInterval {
		return false
	}
	s := &m.view.Status
	return s.Fence <= term && (s.Role == gypsumyard.RolePrimary || s.StreamAge > followInterval)
}
