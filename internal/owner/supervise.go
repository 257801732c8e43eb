package owner

import (
	"context"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/sirupsen/logrus"
)

const (
	// judgeInterval is the pause between two judgements of the primary.
	judgeInterval = 50 * time.Millisecond
	// maxProbes is how many hosts are asked to probe an instance.
	maxProbes = 2
	// probeBound limits one probe.
	probeBound = 500 * time.Millisecond
	// followInterval is the pause between two orders to follow.
	followInterval = time.Second
)

// supervise has the promoter judge the primary until the group ends. Only an
// owner promotes.
func (g *group) supervise() {
	defer g.work.Done()
	for g.clock.Sleep(g.ctx, judgeInterval) == nil {
		if !g.mayPromote() {
			continue
		}
		s := g.promotionState()
		v := g.promoter.Judge(g.ctx, s)
		if v.Promote {
			g.promote(s, v)
			continue
		}
		g.orderFollowers()
	}
}

func (g *group) mayPromote() bool {
	g.service.mu.Lock()
	blocked := g.service.stale || g.service.stopping
	g.service.mu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	return !blocked && g.owned.Err() == nil
}

func (g *group) promotionState() PromotionState {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := PromotionState{Database: g.database, Views: g.views(), Primary: g.lastPrimary, Probe: g.probe}
	for _, m := range g.members {
		s.Instances = append(s.Instances, m.order)
		if m.name == g.lastPrimary {
			s.Failures, s.Refused = m.failures, m.refused
		}
	}
	return s
}

func (g *group) promote(s PromotionState, v Verdict) {
	log := g.log.WithFields(logrus.Fields{"instance": s.Primary, "planned": v.Planned, "reason": v.Reason})
	log.Warn("primary is being replaced")
	start := g.clock.Now()
	name, term, err := g.promoter.Promote(g.ctx, s, v)
	if err != nil {
		log.WithError(err).Error("primary was not replaced")
		return
	}
	g.metrics.promotions.Inc(1)
	g.log.WithFields(logrus.Fields{
		"instance": name,
		"term":     term,
		"reason":   v.Reason,
		"took":     g.clock.Since(start),
	}).Info("primary replaced")
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expireWrites(name)
	for _, m := range g.members {
		m.poke()
	}
}

// replacedBound is how long a replaced primary may take to answer the writes
// that it was running.
const replacedBound = 250 * time.Millisecond

// expireWrites bounds the wait for writes that run on other instances than the
// new primary. They cannot be confirmed any more, so their callers are told
// that the outcome is unknown. It is called with the lock held.
func (g *group) expireWrites(primary string) {
	for _, e := range g.running {
		if e.write && e.member.name != primary {
			e.conn.SetReadTimeout(replacedBound)
		}
	}
}

// probe asks hosts in other failure domains to read the status of an instance.
func (g *group) probe(ctx context.Context, instance string) []Probe {
	peers, err := kernel.Lookup[gypsumyard.Peers](g.service.kernel, "peer")
	if err != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, probeBound)
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

// witnesses returns up to two live hosts, preferably of other failure domains.
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

// orderFollowers tells instances that do not replicate from the primary to do
// so: a former primary that has come back, or one that missed the order.
func (g *group) orderFollowers() {
	g.mu.Lock()
	p := g.primary()
	var lost []*member
	var term gypsumyard.Term
	if p != nil {
		term = p.view.Status.Term()
		for _, m := range g.members {
			if m != p && g.astray(m, term) {
				m.followAt = g.clock.Now()
				lost = append(lost, m)
			}
		}
	}
	g.mu.Unlock()
	for _, m := range lost {
		err := m.order.Follow(g.ctx, term, p.name)
		log := g.log.WithFields(logrus.Fields{"instance": m.name, "primary": p.name, "term": term})
		if err != nil {
			log.WithError(err).Warn("instance was not told to follow the primary")
			continue
		}
		log.Info("instance told to follow the primary")
	}
}

// astray reports whether the instance does not hear from the primary. It is
// called with the lock held.
func (g *group) astray(m *member, term gypsumyard.Term) bool {
	if !m.view.Reachable || g.clock.Since(m.followAt) < followInterval {
		return false
	}
	s := &m.view.Status
	return s.Fence <= term && (s.Role == gypsumyard.RolePrimary || s.StreamAge > followInterval)
}
