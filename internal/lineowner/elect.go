package lineowner

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/sirupsen/logrus"
)

const (
	// superviseInterval is the time between two checks of the primary.
	superviseInterval = 50 * time.Millisecond
	// electionRetryDelay is the mean pause after a failed election. The actual
	// pause is between a half and one and a half of it.
	electionRetryDelay = 200 * time.Millisecond
	// electionCooldown is the pause after a promotion, in which the replicas
	// connect to the new primary.
	electionCooldown = 2 * time.Second
	// maxClaimAge is the greatest age of a claim at which the promotion order is
	// still sent. This process may have been suspended since the claim.
	maxClaimAge = 1500 * time.Millisecond
	// promotionConfirmTimeout is how long an instance may take to report its
	// promotion.
	promotionConfirmTimeout = 3 * time.Second
	// foreignElectionTimeout is how long an election that another host has
	// started may take until its promotion order has taken effect.
	foreignElectionTimeout = 3 * time.Second
	// claimTimeout bounds the claim of a generation.
	claimTimeout = 800 * time.Millisecond
	// primaryDrainTimeout is how long open transactions on a leaving primary may
	// continue before it is replaced.
	primaryDrainTimeout = 1500 * time.Millisecond
	// primaryDrainCheckInterval is the time between two checks for them.
	primaryDrainCheckInterval = 10 * time.Millisecond
)

var (
	errTooFewFenced = errors.New("too few instances are fenced")
	errClaimTooOld  = errors.New("claim is too old to order a promotion")
	// errForeignElection indicates that another host may be promoting.
	errForeignElection      = errors.New("another host has started an election")
	errPromotionUnconfirmed = errors.New("instance did not confirm its promotion")
)

// An election holds the state of failure detection and of elections between
// rounds of supervise. Only supervise uses it.
type election struct {
	// notBefore is when the next election may start.
	notBefore time.Time
	// leaderlessSince is since when there has been no primary.
	leaderlessSince time.Time
	// behindSince is since when no replica has received any more of the log
	// although the primary has written more. replicatedPosition is the highest
	// position that a replica had received by then.
	behindSince        time.Time
	replicatedPosition gypsumyard.Position
	// fencedSince is since when a replica has been fenced for a term above the
	// primary's.
	fencedSince time.Time
	// lastDemoteAt is when a primary of an old term was last told to step down.
	lastDemoteAt time.Time
}

// An electionCause says why a primary is replaced.
type electionCause struct {
	reason string
	// planned indicates that the primary works but is leaving.
	planned bool
	primary *instance
}

// supervise replaces the primary when it has failed or is leaving.
func (g *group) supervise() {
	for g.clock.Sleep(g.ctx, superviseInterval) == nil {
		g.mu.Lock()
		owned := g.ownedCtx.Err() == nil
		var why electionCause
		if owned {
			why = g.checkPrimary(g.clock.Now())
		}
		old := g.stalePrimary()
		g.mu.Unlock()
		if old != nil && owned {
			g.demote(old)
		}
		if owned {
			g.refreshClaim()
			g.syncReplicaSet()
			g.forgetDeparted()
		}
		g.completeLoss()
		if owned && g.maybeTransfer(g.clock.Now()) {
			continue
		}
		if g.updateElectionWait(owned, why) || why.reason == "" || g.clock.Now().Before(g.election.notBefore) || g.mustAwaitLostClaims() {
			continue
		}
		g.elect(why)
	}
}

// elect runs one election to replace the primary.
func (g *group) elect(why electionCause) {
	began := g.clock.Now()
	log := g.log.WithField("reason", why.reason)
	if why.primary != nil {
		log = log.WithField("primary", why.primary.id)
	}
	log.Info("election begins")
	g.metrics.elections.Inc(1)
	chosen, err := g.runElection(why)
	e := &g.election
	e.behindSince, e.leaderlessSince, e.fencedSince = time.Time{}, time.Time{}, time.Time{}
	if err != nil {
		e.notBefore = g.clock.Now().Add(electionRetryDelay/2 + rand.N(electionRetryDelay))
		log.WithError(err).Warn("election failed")
		return
	}
	e.notBefore = g.clock.Now().Add(electionCooldown)
	log.WithFields(logrus.Fields{"instance": chosen.id, "took": g.clock.Since(began).String()}).Info("election ends")
	g.metrics.promotions.Inc(1)
}

// runElection elects a primary. A planned election replaces a working one, so it is begun
// only if enough instances answer, both before the primary is drained and after.
func (g *group) runElection(why electionCause) (chosen *instance, err error) {
	if !why.planned {
		return g.electOnce()
	}
	if err := g.checkAnswering(); err != nil {
		return nil, err
	}
	defer g.drainPrimary(why.primary)()
	if err := g.checkAnswering(); err != nil {
		return nil, err
	}
	return g.electOnce()
}

// checkAnswering returns an error if too few instances answer to hold an election.
func (g *group) checkAnswering() error {
	b := g.prepareBallot()
	if n := g.countAnswering(b.remaining()); n < b.needed() {
		return fmt.Errorf("%w: %d of %d answer, %d needed", errTooFewFenced, n, len(b.counted), b.needed())
	}
	return nil
}

func (g *group) setElecting(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.electing = on
}

// drainPrimary holds back new work from a leaving primary and gives its open
// transactions time to end. The returned function lifts the restriction.
func (g *group) drainPrimary(p *instance) (resume func()) {
	g.mu.Lock()
	g.drainingPrimary = true
	g.mu.Unlock()
	end := g.clock.Now().Add(primaryDrainTimeout)
	for g.clock.Now().Before(end) && g.clock.Sleep(g.ctx, primaryDrainCheckInterval) == nil {
		g.mu.Lock()
		busy := p.running
		for _, t := range g.transactions {
			if t.instance == p && !t.readOnly {
				busy++
			}
		}
		g.mu.Unlock()
		if busy == 0 {
			break
		}
	}
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.drainingPrimary = false
		g.broadcast()
	}
}

// electOnce claims a generation, fences enough instances, chooses the one with
// the longest log and has the platform promote it.
func (g *group) electOnce() (chosen *instance, err error) {
	claimedAt := g.clock.Now()
	generation, err := g.acquireClaim()
	if err != nil {
		return nil, err
	}
	ordered := false
	defer func() {
		if err == nil || !ordered {
			g.markClaimDone(generation)
		}
	}()
	setRead := g.startReplicaSetRead()
	b := g.prepareBallot()
	g.logInstances(b.term, generation, b.counted)
	answers := g.fence(b.remaining(), b.term, b.needed())
	best, err := g.chooseFenced(b, answers, generation)
	if err != nil {
		return nil, err
	}
	g.setElecting(true)
	defer g.setElecting(false)
	if err := g.clock.Sleep(g.ctx, g.fenceWaitFor(b.counted, answers)); err != nil {
		return nil, err
	}
	if err := <-setRead; err != nil {
		return nil, err
	}
	if err := g.checkCounted(b.counted); err != nil {
		return nil, err
	}
	if err := g.confirmElection(answers, b.term, b.needed(), generation, claimedAt); err != nil {
		return nil, err
	}
	if ordered, err = g.orderPromotion(b, best, generation); err != nil {
		return nil, err
	}
	return best, g.awaitPromoted(best, b.term)
}

// chooseFenced returns the instance to promote among those fenced, if they are enough.
func (g *group) chooseFenced(b ballot, answers []fencedInstance, generation gypsumyard.Generation) (*instance, error) {
	if len(answers) < b.needed() {
		return nil, fmt.Errorf("%w: %d of %d, %d needed", errTooFewFenced, len(answers), len(b.counted), b.needed())
	}
	best, err := chooseCandidate(answers)
	if err != nil {
		return nil, err
	}
	g.log.WithFields(logrus.Fields{
		"term": b.term, "generation": generation, "fenced": describeFenced(answers), "needed": b.needed(),
		"instance": best.instance.id, "received": best.status.received.String(), "accepted-loss": instanceIDs(b.lost),
	}).Info("instance chosen to lead")
	return best.instance, nil
}

// orderPromotion has the platform promote the instance. It reports whether the order may
// have had an effect, also if it returns an error. An unknown outcome is no error.
func (g *group) orderPromotion(b ballot, chosen *instance, generation gypsumyard.Generation) (ordered bool, err error) {
	ctx, cancel := context.WithTimeout(g.ctx, promoteTimeout)
	defer cancel()
	o := gypsumyard.PromotionOrder{Group: g.name, Instance: chosen.id, Holder: g.service.self, Generation: generation}
	err = g.service.promotions.Promote(ctx, o)
	ordered = !errors.Is(err, gypsumyard.ErrConflict) // After a conflict the order had no effect.
	g.log.WithFields(logrus.Fields{"instance": o.Instance, "generation": generation}).WithError(err).Info("promotion ordered")
	if ordered {
		g.noteLossOrdered(b, chosen)
	}
	if errors.Is(err, gypsumyard.ErrOutcomeUnknown) {
		err = nil
	}
	return ordered, err
}

// startReplicaSetRead reads the stored replica set in the background, beside the fences.
func (g *group) startReplicaSetRead() <-chan error {
	result := make(chan error, 1)
	g.wg.Go(func() {
		ctx, cancel := context.WithTimeout(g.ctx, replicaSetTimeout)
		defer cancel()
		result <- g.readReplicaSet(ctx)
	})
	return result
}

// logInstances logs the instances that an election counts, with what was last known
// of each.
func (g *group) logInstances(term gypsumyard.Term, generation gypsumyard.Generation, instances []*instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var known []string
	for _, i := range instances {
		known = append(known, fmt.Sprintf("%s %s term %d received %s held %d age %v leaving %t started %d", i.id, i.status.role, i.status.term,
			i.status.received, i.status.fencedTerm, g.clock.Since(i.sampledAt).Round(time.Millisecond), i.listed.Leaving, i.listed.Started.UnixMilli()))
	}
	g.log.WithFields(logrus.Fields{"term": term, "generation": generation, "instances": known}).Info("instances of election")
}

// fenceWaitFor returns how long an election waits after the fences. An instance that is
// not fenced may lead and acknowledge commits unless its process has ended.
func (g *group) fenceWaitFor(instances []*instance, fenced []fencedInstance) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, i := range instances {
		isFenced := slices.ContainsFunc(fenced, func(f fencedInstance) bool { return f.instance == i })
		if !isFenced && !i.connRefused && !i.retired {
			return fenceWait
		}
	}
	return crashedFenceWait
}

// checkCounted returns an error if the election did not count an instance of the list or
// of the stored set, or if no set is stored and the list does not even hold a primary and
// the replicas that acknowledge its commits.
func (g *group) checkCounted(counted []*instance) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if n := g.countedNumber(); len(g.replicas.set.Replicas) == 0 && n <= g.settings.SyncReplicas {
		return fmt.Errorf("%w: %d, commits are on %d", errTooFewListed, n, g.settings.SyncReplicas+1)
	}
	for _, i := range g.instances {
		if !i.lossAccepted && !slices.Contains(counted, i) {
			return fmt.Errorf("%w: %s was added", errTooFewFenced, i.id)
		}
	}
	return nil
}

// acquireClaim obtains a generation. It fails while another host may be
// promoting: that host's promotion order may be in flight, and a new claim would
// only force it to start over.
func (g *group) acquireClaim() (gypsumyard.Generation, error) {
	ctx, cancel := context.WithTimeout(g.ctx, claimTimeout)
	defer cancel()
	v, latest, err := g.service.claims.latest(ctx, g.name)
	if err != nil {
		return 0, err
	}
	g.mu.Lock()
	now := g.clock.Now()
	g.claim.record(v, latest.Done, now)
	err = g.claim.mayClaim(g.service.claims.isOwn(latest), g.service.storeEra(), defaultElectionLimits, now)
	g.mu.Unlock()
	if err != nil {
		return 0, fmt.Errorf("latest claim is of %q: %w", latest.Holder, err)
	}
	gen, err := g.service.claims.acquire(ctx, g.name, v)
	if err != nil {
		return 0, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.claim.record(gypsumyard.Version(gen), false, g.clock.Now())
	return gen, nil
}

// mustAwaitLostClaims reports whether another host may still be promoting with a
// claim that a restore of the store has lost.
func (g *group) mustAwaitLostClaims() bool {
	return g.clock.Now().Before(g.service.storeEra().lostClaimsEnd(defaultElectionLimits.foreign))
}

// markClaimDone tells other hosts that they need not wait for a promotion order
// of the claim.
func (g *group) markClaimDone(gen gypsumyard.Generation) {
	ctx, cancel := context.WithTimeout(g.ctx, claimTimeout)
	defer cancel()
	if err := g.service.claims.markDone(ctx, g.name, gen); err != nil {
		g.log.WithField("generation", gen).WithError(err).Info("could not mark claim as done")
	}
}

// confirmElection checks just before the order that it may be sent: that the claim is
// still the latest, and that enough instances are still fenced.
func (g *group) confirmElection(answers []fencedInstance, term gypsumyard.Term, needed int, generation gypsumyard.Generation, claimedAt time.Time) error {
	ctx, cancel := context.WithTimeout(g.ctx, claimTimeout)
	defer cancel()
	latest, _, err := g.service.claims.latest(ctx, g.name)
	if err != nil {
		return err
	}
	if err := g.confirmFences(answers, term, needed); err != nil {
		return err
	}
	return mayOrder(gypsumyard.Version(generation), latest, g.clock.Since(claimedAt), defaultElectionLimits)
}

// awaitPromoted waits until the instance reports that it is the primary.
func (g *group) awaitPromoted(i *instance, term gypsumyard.Term) error {
	ctx, cancel := context.WithTimeoutCause(g.ctx, promotionConfirmTimeout, errPromotionUnconfirmed)
	defer cancel()
	return g.await(ctx, func() bool {
		return i.status.role == gypsumyard.RolePrimary && i.status.term >= term
	})
}
