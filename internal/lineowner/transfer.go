package lineowner

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/sirupsen/logrus"
)

const (
	// maxConsultedHosts is how many other hosts are asked which instances they
	// reach.
	maxConsultedHosts = 4
	// consultDelay is how long an instance must be silent before they are
	// asked, consultInterval the time between two rounds.
	consultDelay    = 200 * time.Millisecond
	consultInterval = time.Second
	// consultTimeout bounds one request to a host, including its probe.
	consultTimeout = 350 * time.Millisecond
	// probeTimeout bounds the probe of an instance for another host.
	probeTimeout = 250 * time.Millisecond
	// maxPeerViewAge is how long the answers are relied on.
	maxPeerViewAge = 2 * time.Second
	// transferEvidenceAge is how old the evidence from instances for the primary must
	// be before the group is transferred to a host that reaches more instances.
	transferEvidenceAge = 600 * time.Millisecond
	// assignmentDuration is how long a transfer holds, assignmentInterval how
	// often the assigned owner resends the assignment to the other hosts.
	assignmentDuration = 30 * time.Second
	assignmentInterval = time.Second
	// assignTimeout bounds sending an assignment to the other hosts.
	assignTimeout = 300 * time.Millisecond
)

// A peerView is what another host reports about the instances.
type peerView struct {
	host gypsumyard.Host
	// primary indicates that the host reaches an instance that claims to be the
	// primary.
	primary bool
	// reached is how many instances the host reaches.
	reached int
}

// betterThan reports whether the host of v is a better owner than that of q. A
// host that reaches the primary and enough replicas to trust it needs no
// election.
func (v peerView) betterThan(q peerView, evidence int) bool {
	if l, m := v.primary && v.reached >= evidence, q.primary && q.reached >= evidence; l != m {
		return l
	}
	return v.reached > q.reached
}

// peerViews holds the result of the last round of requests to other hosts.
type peerViews struct {
	mu          sync.Mutex
	pending     bool
	requestedAt time.Time
	receivedAt  time.Time
	best        peerView
}

// consultHosts asks other hosts in the background which instances they reach,
// unless it has done so within consultInterval.
func (g *group) consultHosts(instances []string, evidence int) {
	v := &g.peerViews
	now := g.clock.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.pending || now.Sub(v.requestedAt) < consultInterval || g.ctx.Err() != nil {
		return
	}
	v.pending, v.requestedAt = true, now
	g.wg.Go(func() {
		best := g.askHosts(instances, evidence)
		v.mu.Lock()
		defer v.mu.Unlock()
		v.pending, v.receivedAt, v.best = false, g.clock.Now(), best
	})
}

// bestPeerView returns the best answer of the last round. pending reports that a
// round is in progress or that the last one is too old.
func (g *group) bestPeerView() (best peerView, pending bool) {
	v := &g.peerViews
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.pending || g.clock.Since(v.receivedAt) > maxPeerViewAge {
		return peerView{}, true
	}
	return v.best, false
}

// askHosts returns the best view among some random other hosts.
func (g *group) askHosts(instances []string, evidence int) (best peerView) {
	others := g.service.otherHosts()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, h := range others[:min(len(others), maxConsultedHosts)] {
		wg.Go(func() {
			v := g.askHost(h, instances)
			mu.Lock()
			defer mu.Unlock()
			if v.betterThan(best, evidence) {
				best = v
			}
		})
	}
	wg.Wait()
	g.log.WithFields(logrus.Fields{
		"asked": min(len(others), maxConsultedHosts), "best": best.host.Name, "reached": best.reached, "primary": best.primary, "instances": len(instances),
	}).Info("asked other hosts which instances they reach")
	return best
}

func (g *group) askHost(h gypsumyard.Host, instances []string) peerView {
	v := peerView{host: h}
	ctx, cancel := context.WithTimeout(g.ctx, consultTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, id := range instances {
		wg.Go(func() {
			st, err := g.service.peers.ProbeInstance(ctx, h, g.name, id)
			if err != nil {
				return // The host counts as not reaching the instance.
			}
			mu.Lock()
			defer mu.Unlock()
			v.reached++
			v.primary = v.primary || st.Role == gypsumyard.RolePrimary
		})
	}
	wg.Wait()
	return v
}

// reachability returns the IDs of the listed instances, how many are reachable, and
// whether one has been silent for longer than consultDelay. The caller must
// hold g.mu.
func (g *group) reachability() (ids []string, reached int, silent bool) {
	for _, i := range g.instances {
		if i.departure != nil {
			continue
		}
		ids = append(ids, i.id)
		if i.reachable {
			reached++
		}
		if !i.silentSince.IsZero() && g.clock.Since(i.silentSince) > consultDelay {
			silent = true
		}
	}
	return ids, reached, silent
}

// maybeTransfer transfers the group to another host if this one lacks evidence of
// a primary and the other reaches more instances. It reports whether it did so, or
// whether the decision must wait for the answers of other hosts.
func (g *group) maybeTransfer(now time.Time) (wait bool) {
	g.mu.Lock()
	ids, reached, silent := g.reachability()
	fences := fencesNeeded(g.countedNumber())
	evidence := evidenceNeeded(g.countedNumber())
	if p, at := g.provenPrimary(); p != nil {
		g.evidenceAt = later(at, g.evidenceAt)
	}
	// The claim may prove the primary for as long as the store answers, but it gives
	// this host no replicas.
	evidenceAge := now.Sub(later(g.lastProof.at, g.ownedSince))
	g.mu.Unlock()
	if !silent {
		return false
	}
	g.consultHosts(ids, evidence)
	if evidenceAge < transferEvidenceAge {
		return false
	}
	best, pending := g.bestPeerView()
	switch {
	case pending:
		return true
	case best.primary && best.reached >= evidence, reached < fences && best.reached >= fences:
		g.transferTo(best)
		return true
	}
	return false
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// transferTo makes the host of v the owner of the group in the view of all hosts
// that this one reaches.
func (g *group) transferTo(v peerView) {
	g.log.WithFields(logrus.Fields{"to": v.host.Name, "reached": v.reached, "primary": v.primary}).Warn("transferring group to a host that reaches more instances")
	g.peerViews.mu.Lock()
	g.peerViews.receivedAt = time.Time{}
	g.peerViews.mu.Unlock()
	a := gypsumyard.Assignment{Database: g.name, Host: v.host.Name, Remaining: assignmentDuration}
	g.service.sendAssignment(a)
	g.service.assigner.Assign(a)
}
