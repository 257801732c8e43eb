package lineowner

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/sirupsen/logrus"
)

const (
	// superviseInterval is the time between two looks at the primary.
	superviseInterval = 50 * time.Millisecond
	// electionPause is the pause after an election that failed.
	electionPause = 200 * time.Millisecond
	// calmAfter is the pause after a promotion, in which the new primary and
	// its replicas find each other.
	calmAfter = 2 * time.Second
	// orderTimeout bounds an order to an instance.
	orderTimeout = 300 * time.Millisecond
	// fenceGrace is how long an election waits for more fences than it needs.
	fenceGrace = 50 * time.Millisecond
	// orderWithin is how soon after the claim the order to promote must leave.
	// This process may have been suspended meanwhile.
	orderWithin = 1500 * time.Millisecond
	// promotedWithin is how long a promotion may take until the instance shows
	// it.
	promotedWithin = 3 * time.Second
	// foreignFor is how long an election that another host has begun may take,
	// until its order has had its effect.
	foreignFor = 3 * time.Second
	// claimTimeout bounds the claim of a generation.
	claimTimeout = 800 * time.Millisecond
	// handOverPatience is how long open transactions of a leaving primary may
	// go on before it is replaced.
	handOverPatience = 1500 * time.Millisecond
	// handOverCheck is the pause between two looks at them.
	handOverCheck = 10 * time.Millisecond
)

var (
	errTooFewFenced = errors.New("too few instances are fenced")
	errTooLate      = errors.New("claim is too old for an order to promote")
	// errOtherElection indicates that another host promotes.
	errOtherElection = errors.New("another host has begun an election")
	errNotPromoted   = errors.New("instance does not show its promotion")
)

// An election is the state of the search for a new primary. Only supervise uses
// it.
type election struct {
	// notBefore is when the next one may begin.
	notBefore time.Time
	// leaderless is since when no instance has led.
	leaderless time.Time
	// behind is since when no replica has received what the primary has
	// written, and mark what was missing.
	behind time.Time
	mark   gypsumyard.Position
	// heldSince is since when replicas are held for a term above the
	// primary's.
	heldSince time.Time
	// demotedAt is when a primary of an old term was last told to step down.
	demotedAt time.Time
}

// An electionCause tells why a primary is replaced.
type electionCause struct {
	reason string
	// planned indicates that the primary works and leaves.
	planned bool
	primary *instance
}

// supervise replaces the primary when it has failed or leaves.
func (g *group) supervise() {
	for g.clock.Sleep(g.ctx, superviseInterval) == nil {
		g.mu.Lock()
		owned := g.owned.Err() == nil
		var why electionCause
		if owned {
			why = g.judge(g.clock.Now())
		}
		old := g.outdatedPrimary()
		g.mu.Unlock()
		if old != nil && owned {
			g.demote(old)
		}
		if owned {
			g.checkClaim()
		}
		if owned && g.giveAway(g.clock.Now()) {
			continue
		}
		if why.reason == "" || g.clock.Now().Before(g.election.notBefore) {
			continue
		}
		g.elect(why)
	}
}

// elect replaces the primary.
func (g *group) elect(why electionCause) {
	began := g.clock.Now()
	log := g.log.WithField("reason", why.reason)
	if why.primary != nil {
		log = log.WithField("primary", why.primary.id)
	}
	log.Info("election begins")
	g.metrics.elections.Inc(1)
	if why.planned {
		defer g.handOver(why.primary)()
	}
	chosen, err := g.electOnce()
	e := &g.election
	e.behind, e.leaderless, e.heldSince = time.Time{}, time.Time{}, time.Time{}
	if err != nil {
		e.notBefore = g.clock.Now().Add(electionPause/2 + rand.N(electionPause))
		log.WithError(err).Warn("election failed")
		return
	}
	e.notBefore = g.clock.Now().Add(calmAfter)
	log.WithFields(logrus.Fields{"instance": chosen.id, "took": g.clock.Since(began).String()}).Info("election ends")
	g.metrics.promotions.Inc(1)
}

func (g *group) setElecting(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.electing = on
}

// handOver holds back new work of a leaving primary and gives its open
// transactions time to end. The returned function ends the hold.
func (g *group) handOver(p *instance) (resume func()) {
	g.mu.Lock()
	g.handingOver = true
	g.mu.Unlock()
	end := g.clock.Now().Add(handOverPatience)
	for g.clock.Now().Before(end) && g.clock.Sleep(g.ctx, handOverCheck) == nil {
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
		g.handingOver = false
		g.broadcast()
	}
}

// A fenced instance has accepted a fencing order.
type fenced struct {
	instance *instance
	status   status
	// leaving indicates that the instance has announced that it leaves.
	leaving bool
}

// electOnce fences enough instances, chooses the one with the longest log and
// has the platform promote it.
func (g *group) electOnce() (chosen *instance, err error) {
	ctx, cancel := context.WithTimeout(g.ctx, claimTimeout)
	defer cancel()
	claimedAt := g.clock.Now()
	generation, err := g.takeClaim(ctx)
	if err != nil {
		return nil, err
	}
	ordered := false
	defer func() {
		if err == nil || !ordered {
			g.finishClaim(generation)
		}
	}()
	term, instances := g.nextTerm()
	needed := fencesNeeded(len(instances))
	answers := g.fence(instances, term, needed)
	if len(answers) < needed {
		return nil, fmt.Errorf("%w: %d of %d, %d needed", errTooFewFenced, len(answers), len(instances), needed)
	}
	best, err := choose(answers)
	if err != nil {
		return nil, err
	}
	g.log.WithFields(logrus.Fields{
		"term": term, "generation": generation, "fenced": len(answers), "needed": needed,
		"instance": best.instance.id, "received": best.status.received.String(),
	}).Info("instance chosen to lead")
	g.setElecting(true)
	defer g.setElecting(false)
	if err := g.clock.Sleep(g.ctx, fenceWait); err != nil {
		return nil, err
	}
	if err := g.confirmFences(answers, term, needed, generation); err != nil {
		return nil, err
	}
	if g.clock.Since(claimedAt) > orderWithin {
		return nil, errTooLate
	}
	o := gypsumyard.PromotionOrder{Group: g.name, Instance: best.instance.id, Holder: g.service.self, Generation: generation}
	order, stop := context.WithTimeout(g.ctx, promoteBound)
	defer stop()
	err = g.service.promotions.Promote(order, o)
	ordered = !errors.Is(err, gypsumyard.ErrConflict) // Else the order had no effect.
	g.log.WithFields(logrus.Fields{"instance": o.Instance, "generation": generation}).WithError(err).Info("promotion ordered")
	if err != nil && !errors.Is(err, gypsumyard.ErrOutcomeUnknown) {
		return nil, err
	}
	return best.instance, g.awaitPromoted(best.instance, term)
}

// takeClaim obtains a generation. It fails while another host may be promoting: its
// order may be on the way, and a claim would only make it start over.
func (g *group) takeClaim(ctx context.Context) (gypsumyard.Generation, error) {
	v, latest, err := g.service.claims.latest(ctx, g.name)
	if err != nil {
		return 0, err
	}
	g.mu.Lock()
	c := &g.claim
	c.note(gypsumyard.Generation(v), latest.Done, g.clock.Now())
	seen := g.clock.Since(c.firstSeen)
	g.mu.Unlock()
	if v != 0 && !latest.Done && !g.service.claims.mine(latest) && seen < foreignFor {
		return 0, fmt.Errorf("%w: claim %d of %s, seen for %v", errOtherElection, v, latest.Holder, seen)
	}
	gen, err := g.service.claims.take(ctx, g.name, v)
	if err != nil {
		return 0, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	c.note(gen, false, g.clock.Now())
	return gen, nil
}

// finishClaim tells other hosts that they need not wait for an order of the
// claim.
func (g *group) finishClaim(gen gypsumyard.Generation) {
	ctx, cancel := context.WithTimeout(g.ctx, claimTimeout)
	defer cancel()
	if err := g.service.claims.finish(ctx, g.name, gen); err != nil {
		g.log.WithField("generation", gen).WithError(err).Info("claim is not marked as done")
	}
}

// confirmFences checks that no other host has claimed the promotion since, and
// that enough instances are still held: a promotion by another host ends holds.
func (g *group) confirmFences(answers []fenced, term gypsumyard.Term, needed int, generation gypsumyard.Generation) error {
	ctx, cancel := context.WithTimeout(g.ctx, claimTimeout)
	defer cancel()
	latest, _, err := g.service.claims.latest(ctx, g.name)
	if err != nil {
		return err
	}
	if gypsumyard.Generation(latest) != generation {
		return fmt.Errorf("%w: claim %d follows %d", errOtherElection, latest, generation)
	}
	var held atomic.Int64
	var wg sync.WaitGroup
	for _, f := range answers {
		wg.Go(func() {
			s, _, err := f.instance.orders.order(g.ctx, statusOrder, orderTimeout)
			if err != nil {
				g.log.WithField("instance", f.instance.id).WithError(err).Warn("fence is not confirmed")
				return
			}
			if s.role == gypsumyard.RoleReplica && s.term < term && (s.held == f.status.held || s.held >= term) {
				held.Add(1)
			}
		})
	}
	wg.Wait()
	if n := int(held.Load()); n < needed {
		return fmt.Errorf("%w: %d of %d are still held", errTooFewFenced, n, len(answers))
	}
	return nil
}

// nextTerm returns the term that the next promotion begins, and the instances.
// Holds of elections that were given up do not raise it: an instance held for a
// later term than that of the new primary would receive nothing from it.
func (g *group) nextTerm() (term gypsumyard.Term, instances []*instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, i := range g.instances {
		term = max(term, i.status.term)
	}
	return term + 1, append(instances, g.instances...)
}

// fence tells replicas to receive nothing and primaries to step down. It
// returns the answers of those that have done so for the term. With enough of
// them it waits only a moment for the rest, one of which may be dead.
func (g *group) fence(instances []*instance, term gypsumyard.Term, needed int) (answers []fenced) {
	results := make(chan *fenced, len(instances))
	for _, i := range instances {
		g.work.Go(func() {
			f, err := g.fenceOne(i, term)
			if err != nil {
				g.log.WithFields(logrus.Fields{"instance": i.id, "term": term}).WithError(err).Warn("instance is not fenced")
				results <- nil
				return
			}
			results <- &f
		})
	}
	var enough <-chan time.Time
	for range instances {
		select {
		case f := <-results:
			if f != nil {
				answers = append(answers, *f)
			}
		case <-enough:
			return answers
		}
		if len(answers) >= needed && enough == nil {
			t := g.clock.NewTimer(fenceGrace)
			defer t.Stop()
			enough = t.C()
		}
	}
	return answers
}

func (g *group) fenceOne(i *instance, term gypsumyard.Term) (f fenced, err error) {
	at := g.clock.Now()
	g.mu.Lock()
	leads := i.known && i.status.role == gypsumyard.RolePrimary
	g.mu.Unlock()
	orders := []string{fmt.Sprintf("PAUSE %d", term)}
	if leads {
		orders = []string{fmt.Sprintf("DEMOTE %d", term), fmt.Sprintf("PAUSE %d", term)}
	}
	var s status
	for _, o := range orders {
		s, _, err = i.orders.order(g.ctx, o, orderTimeout)
		if err != nil {
			s, _, err = i.orders.order(g.ctx, o, orderTimeout) // Over a fresh connection.
		}
		if err != nil {
			return f, err
		}
	}
	if s.role == gypsumyard.RolePrimary || s.held < term && !leads {
		return f, fmt.Errorf("it is a %s held for term %d", s.role, s.held)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.takeStatus(i, at, s)
	return fenced{i, s, i.listed.Leaving}, nil
}

// choose returns the fenced instance with the longest log. One that leaves is
// chosen only if all others lack records that it has.
func choose(answers []fenced) (best fenced, err error) {
	for _, f := range answers {
		c := f.status.received.Compare(best.status.received)
		if best.instance == nil || c > 0 || c == 0 && preferred(f, best) {
			best = f
		}
	}
	if best.instance == nil {
		return best, errTooFewFenced
	}
	return best, nil
}

// preferred orders instances of equal logs: those that stay go first, then the
// order is fixed, so that two hosts choose the same.
func preferred(a, b fenced) bool {
	if a.leaving != b.leaving {
		return !a.leaving
	}
	return a.instance.id < b.instance.id
}

// awaitPromoted waits until the instance shows that it leads.
func (g *group) awaitPromoted(i *instance, term gypsumyard.Term) error {
	ctx, cancel := context.WithTimeoutCause(g.ctx, promotedWithin, errNotPromoted)
	defer cancel()
	return g.await(ctx, func() bool {
		return i.status.role == gypsumyard.RolePrimary && i.status.term >= term
	})
}
