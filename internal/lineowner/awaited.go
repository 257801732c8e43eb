package lineowner

import (
	"fmt"
	"slices"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/sirupsen/logrus"
)

const (
	// waitDeclareDelay is how long an election must have lacked instances before its
	// requests are rejected at once: an instance that misses one status request is back
	// within it.
	waitDeclareDelay = 500 * time.Millisecond
	// leadershipMaxAge is the age of evidence up to which a primary that answers counts as
	// leading. It exceeds the time between two status requests of an idle group.
	leadershipMaxAge = time.Second
	// awaitedPollInterval and awaitedPollTimeout apply to instances that an election
	// lacks, so that it ends within a second after one has returned: an election takes
	// up to 0.8 s itself. Every other request has the usual time limit, since a new
	// connection to a slow instance takes longer than the short one.
	awaitedPollInterval = 100 * time.Millisecond
	awaitedPollTimeout  = 150 * time.Millisecond
	// awaitedRetryAfter is the delay after which rejected callers may retry.
	awaitedRetryAfter = time.Second
)

// An electionWait is the state of an election that cannot be held because too few of the
// instances that count answer. It lasts until some return or an operator accepts their
// loss; no time limit ends it. A primary that answers alone, so that nothing proves that it
// has not been replaced, is awaited by the same rules.
type electionWait struct {
	// since is since when instances have been lacking, or zero.
	since time.Time
	// declared indicates that requests which need the primary are rejected at once.
	declared bool
	// awaited holds the IDs of the instances reported to the operator as awaited, and reportedAt
	// the time since when.
	awaited    []string
	reportedAt time.Time
}

// errAwaitsInstances returns the error for requests that need a primary while the
// election of one waits.
func errAwaitsInstances() error {
	e := gypsumyard.Errorf(gypsumyard.ClassNotRun, "no instance can lead until absent instances return: they may hold acknowledged commits")
	e.RetryAfter, e.NoRetry = awaitedRetryAfter, true
	return e
}

// updateElectionWait updates the state of the wait. It reports whether an election for the
// given cause would lack fences, or the only instance that answers claims to lead and
// nothing proves it. Such an election is not begun: it would only fence instances that work.
func (g *group) updateElectionWait(owned bool, why electionCause) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	maybeUnproven := now.Sub(g.evidenceAt) > noPrimaryTimeout
	if why.reason == "" && g.wait.since.IsZero() && !maybeUnproven {
		return false
	}
	p, at := g.provenPrimary()
	led := p != nil && now.Sub(at) <= leadershipMaxAge
	unproven := owned && maybeUnproven && !led && g.claimedPrimary() != nil
	if unproven && g.acceptsAllOthers(g.claimedPrimary()) {
		g.excludeLost(ballot{lost: g.othersThan(g.claimedPrimary()), acceptance: g.loss.accepted.version}, true)
	}
	b := g.nextBallot()
	lacks := owned && (why.reason != "" || unproven) && b.lacksFences()
	switch {
	case !lacks && (why.reason != "" || led || !owned):
		g.endWait(led)
		return false
	case !lacks:
		return false // It is not certain yet whether an instance leads.
	case g.wait.since.IsZero():
		g.wait.since = now
		g.replicas.mustRead = true // Another host may have removed an instance.
	case !led && !g.wait.declared && now.Sub(g.wait.since) >= waitDeclareDelay:
		g.declareWait(b)
	case g.wait.mustReport(b, now):
		g.reportWait(b)
	}
	if g.wait.declared {
		g.refreshLossAcceptance(now)
	}
	return true
}

// declareWait makes the wait visible and wakes the requests that it concerns. The caller
// must hold g.mu.
func (g *group) declareWait(b ballot) {
	g.wait.declared = true
	g.reportWait(b)
	g.broadcast()
}

// mustReport reports whether the wait is declared and awaits other instances than were
// reported. An operator who accepts the loss of those reported would not end it. The caller must hold the
// group's mutex.
func (w *electionWait) mustReport(b ballot, now time.Time) bool {
	return w.declared && now.Sub(w.reportedAt) >= waitDeclareDelay && !slices.Equal(instanceIDs(b.absent()), w.awaited)
}

// reportWait logs which instances the election waits for and sets the gauge. The caller must
// hold g.mu.
func (g *group) reportWait(b ballot) {
	g.wait.awaited, g.wait.reportedAt = instanceIDs(b.absent()), g.clock.Now()
	var awaited, answering []string
	var longest gypsumyard.Position
	for _, i := range b.remaining() {
		text := fmt.Sprintf("%s at %v term %d received %v", i.id, i.listed.Addr, i.status.term, i.status.received)
		if !i.reachable {
			awaited = append(awaited, text)
			continue
		}
		answering = append(answering, text)
		if i.status.received.Compare(longest) > 0 {
			longest = i.status.received
		}
	}
	g.log.WithFields(logrus.Fields{
		"term": b.term, "awaited": awaited, "answering": answering, "needed": b.needed(),
		"longest": longest.String(), "acknowledged": g.acknowledged.String(),
	}).Warn("election waits for absent instances")
	g.metrics.awaits(g.name, len(awaited))
}

// endWait ends the wait, if there is one. The caller must hold g.mu.
func (g *group) endWait(led bool) {
	if g.wait.declared {
		g.log.WithFields(logrus.Fields{"waited": g.clock.Since(g.wait.since).String(), "led": led}).Info("election waits no longer")
		g.metrics.awaits(g.name, 0)
	}
	g.wait = electionWait{}
}

// isAwaited reports whether an election lacks the instance. The caller must hold g.mu.
func (g *group) isAwaited(i *instance) bool { return !g.wait.since.IsZero() && !i.reachable }

// pollTimeoutOf returns the time limit of the next status request to the instance.
func (g *group) pollTimeoutOf(i *instance) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	i.polledBriefly = g.isAwaited(i) && !i.polledBriefly
	if i.polledBriefly {
		return awaitedPollTimeout
	}
	return pollTimeout
}

// noteAcknowledged records that the commit which ends at the position was acknowledged.
// The caller must hold g.mu.
func (g *group) noteAcknowledged(p gypsumyard.Position) {
	if p.Compare(g.acknowledged) > 0 {
		g.acknowledged = p
	}
}
