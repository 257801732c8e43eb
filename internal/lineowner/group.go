package lineowner

import (
	"context"
	"errors"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/admit"
	"github.com/gypsumyard/gypsumyard/internal/balance"
	"github.com/sirupsen/logrus"
)

const (
	// reservedConnections is how many connections of an instance the pool leaves
	// to other uses: two status connections, the control connection, and another
	// host that believes it owns the group.
	reservedConnections = 6
	// leastPoolConnections is the least size of a pool, also if the instance accepts fewer
	// connections beyond the reserved ones.
	leastPoolConnections = 2
	// reservedForStatements is how many connections transactions leave to
	// statements outside transactions.
	reservedForStatements = 4
	// overcommit is how many short statements may be in flight to an instance
	// beyond its slots, so that no slot is idle for a round trip.
	overcommit = 1
)

var (
	errNotOwner = gypsumyard.Errorf(gypsumyard.ClassNotOwner, "this host does not own the database")
	errStopped  = errors.New("host stops")
	errDeadline = errors.New("time of the statement is over")
)

// MinConnections is how many connections an instance must accept. With fewer, the pool and
// the reserved connections together exceed the instance's limit.
const MinConnections = reservedConnections + leastPoolConnections

// A group serves one database group that this host owns, or that it owned and
// that still has work in progress.
type group struct {
	service  *Service
	name     string
	clock    gypsumyard.Clock
	log      logrus.FieldLogger
	metrics  *metrics
	admitter *admit.Admitter
	runTimes *admit.RunTimeEstimator
	// balance estimates the time to serve of instances, or is nil if their costs depend on
	// the own statements only. mu guards it.
	balance *balance.Chooser
	// suspects is how many slow and failing instances the metrics count.
	suspects suspects
	// ctx ends all work of the group.
	ctx    context.Context
	cancel context.CancelCauseFunc
	wg     sync.WaitGroup

	// statementCount counts the statements, for sampling their log lines.
	statementCount atomic.Uint64

	mu       sync.Mutex
	settings gypsumyard.Group
	// instances holds the listed instances, and after them those that have departed
	// but still count in elections.
	instances []*instance
	// replicas is the stored set of the instances that count.
	replicas storedReplicas
	// forgotten holds departed instances that need not count any more, though the
	// stored set may still hold them.
	forgotten map[replica]bool
	// topPriority is the highest priority of the group's routes, if they
	// differ. Zero is the highest.
	topPriority int
	// longRunThreshold is the run time above which a statement may make one of
	// the highest priority miss its latency objective. Zero means no threshold.
	longRunThreshold time.Duration
	// maxStaleness is the longest staleness that a route of the group accepts.
	maxStaleness           time.Duration
	idleTransactionTimeout time.Duration
	// keyed indicates that the deployment has customers.
	keyed           bool
	samples         []sample
	lastPrimary     *instance
	lastPrimaryTerm gypsumyard.Term
	// electing indicates that a candidate has been chosen and its promotion is in
	// progress.
	electing bool
	// drainingPrimary holds back new work from the primary.
	drainingPrimary bool
	commits         commitGate
	transactions    map[string]*transaction
	// transactionWaits counts the requests by customer that wait because the customer
	// has too many open transactions.
	transactionWaits map[string]int
	inFlight         int
	lastRequest      time.Time
	// changed is closed and replaced when something that requests wait for may
	// have changed.
	changed chan struct{}
	// ownedCtx is canceled when the ownership of the group is lost.
	ownedCtx    context.Context
	cancelOwned context.CancelCauseFunc
	// lastProof is the latest evidence from instances, claim the latest claim in
	// the store.
	lastProof leadershipProof
	claim     claimState
	// evidenceAt is the latest time at which the primary was certain, or when
	// the group was taken over.
	evidenceAt time.Time
	// ownedSince is when this host last took the group over.
	ownedSince time.Time
	peerViews  peerViews
	// election is the state of failure detection and elections.
	election election
	quota    groupQuota
	// wait is the state of an election that too few instances answer, loss what an
	// operator has accepted to lose.
	wait electionWait
	loss lossState
	// acknowledged is the highest position that is known to have been acknowledged.
	acknowledged gypsumyard.Position
}

func newGroup(s *Service, name string) *group {
	ctx, cancel := context.WithCancelCause(context.Background())
	g := &group{
		service:      s,
		name:         name,
		clock:        s.clock,
		log:          s.log.WithField("database", name),
		metrics:      s.metrics,
		admitter:     admit.New(name, admit.WithClock(s.clock)),
		runTimes:     admit.NewRunTimeEstimator(),
		ctx:          ctx,
		cancel:       cancel,
		transactions: map[string]*transaction{},
		forgotten:    map[replica]bool{},
		changed:      make(chan struct{}),
		lastRequest:  s.clock.Now(),
		evidenceAt:   s.clock.Now(),
		ownedSince:   s.clock.Now(),

		transactionWaits: map[string]int{},
	}
	if s.unevenInstances {
		g.balance = balance.New(balance.WithClock(s.clock), balance.WithSamples(maxLoadSampleAge))
	}
	g.ownedCtx, g.cancelOwned = context.WithCancelCause(ctx)
	g.awaitReplicaSet()
	g.update()
	g.wg.Go(g.supervise)
	g.wg.Go(g.rollBackIdleTransactions)
	return g
}

// update applies the desired state and the listed instances.
func (g *group) update() {
	d := g.service.lists.Desired()
	if d == nil {
		return
	}
	listed := g.service.lists.Instances(g.name)
	g.mu.Lock()
	defer g.mu.Unlock()
	if s, ok := d.Groups[g.name]; ok {
		g.settings = s
	}
	g.idleTransactionTimeout, g.keyed = d.TransactionIdle, d.Keyed
	g.topPriority = topPriority(d, g.name)
	g.longRunThreshold = longRunThreshold(d, g.name, g.topPriority)
	g.maxStaleness = longestStaleness(d, g.name)
	g.updateQuota(d)
	first := len(g.instances) == 0
	g.updateInstances(d, listed)
	if first {
		g.recallStarts()
	}
	g.updateCapacities()
	g.broadcast()
}

// topPriority returns the highest priority of the group's routes, or -1 if all
// are equal.
func topPriority(d *gypsumyard.DesiredState, group string) int {
	top, low := math.MaxInt, -1
	for _, r := range d.Routes {
		if r.Group == group {
			top, low = min(top, r.Priority), max(low, r.Priority)
		}
	}
	if top >= low {
		return -1
	}
	return top
}

// longRunThreshold returns the shortest time that a request of the priority may
// spend in the queue, or zero if no route of the priority has a latency
// objective.
func longRunThreshold(d *gypsumyard.DesiredState, group string, priority int) (least time.Duration) {
	for _, r := range d.Routes {
		if r.Group == group && r.Priority == priority && r.Objective > 0 && (least == 0 || r.Objective < least) {
			least = r.Objective
		}
	}
	return least / queueBudgetDivisor
}

// longestStaleness returns the longest staleness that a route of the group accepts.
func longestStaleness(d *gypsumyard.DesiredState, group string) (most time.Duration) {
	for _, r := range d.Routes {
		if r.Group == group {
			most = max(most, r.MaxStaleness)
		}
	}
	return most
}

// updateInstances replaces the listed instances. An entry with another start time or
// address is a new instance. Instances that are no longer listed depart. The caller
// must hold g.mu.
func (g *group) updateInstances(d *gypsumyard.DesiredState, listed []gypsumyard.ListedInstance) {
	old := g.instances
	g.instances = nil
	for _, l := range listed {
		n := slices.IndexFunc(old, func(i *instance) bool { return i.isEntry(l) })
		var i *instance
		if n >= 0 {
			i = old[n]
			old = slices.Delete(old, n, n+1)
		} else {
			i = g.newInstance(l)
		}
		if l.Leaving && !i.listed.Leaving {
			g.log.WithField("instance", l.ID).Info("instance is leaving")
		}
		i.listed, i.departure = l, nil
		delete(g.forgotten, i.asReplica())
		i.pool.setLimits(max(g.settings.Connections-reservedConnections, leastPoolConnections), g.transactionLimit())
		i.pool.setCustomers(d)
		g.instances = append(g.instances, i)
	}
	for _, i := range old {
		i.pool.setCustomers(d)
		g.depart(i)
	}
}

// recallStarts takes the start times of the first instances from their entries: they
// may have run for long before this host learned of them. The caller must hold g.mu.
func (g *group) recallStarts() {
	for _, i := range g.instances {
		if i.listed.Started.Before(i.knownSince) {
			i.knownSince = i.listed.Started
		}
	}
}

// isEntry reports whether the list entry is of this instance. Start times are compared in
// milliseconds, as the stored replica set holds them: an instance that is known only from
// the set must not be taken for another one when it is listed.
func (i *instance) isEntry(l gypsumyard.ListedInstance) bool {
	return !i.retired && i.id == l.ID && i.listed.Addr == l.Addr && i.listed.Started.UnixMilli() == l.Started.UnixMilli()
}

// updateCapacities passes the slots and availability of the instances to the
// admitter. The caller must hold g.mu.
func (g *group) updateCapacities() {
	var out []gypsumyard.InstanceCapacity
	for _, i := range g.instances {
		if i.listed.Slots == 0 {
			continue // Known only from the stored replica set.
		}
		out = append(out, gypsumyard.InstanceCapacity{
			Name:       i.id,
			Slots:      i.listed.Slots,
			Overcommit: overcommit,
			Available:  i.reachable,
		})
	}
	g.admitter.SetInstances(out)
	g.setBalanced(out)
}

// instanceByID returns the listed instance, or nil. The caller must hold g.mu.
func (g *group) instanceByID(name string) *instance {
	for _, i := range g.instances {
		if i.id == name {
			return i
		}
	}
	return nil
}

// beginRequest counts a request in flight. It reports false if the group is
// closed, or if the request is new work and the group is not owned.
func (g *group) beginRequest(newWork bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ctx.Err() != nil || newWork && g.ownedCtx.Err() != nil {
		return false
	}
	g.inFlight++
	g.lastRequest = g.clock.Now()
	return true
}

func (g *group) endRequest() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
}

// loseOwnership cancels queued requests. Requests in flight and open transactions
// continue.
func (g *group) loseOwnership() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ownedCtx.Err() == nil {
		g.log.Info("ownership lost")
		g.cancelOwned(errNotOwner)
	}
}

// regainOwnership resumes a group whose ownership was lost.
func (g *group) regainOwnership() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ownedCtx.Err() != nil && g.ctx.Err() == nil {
		g.log.Info("ownership regained")
		g.ownedCtx, g.cancelOwned = context.WithCancelCause(g.ctx)
		g.ownedSince = g.clock.Now()
		g.restartQuota()
		g.awaitReplicaSet()
	}
}

// drained reports whether the ownership of the group is lost and no work is
// left.
func (g *group) drained() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ownedCtx.Err() != nil && g.inFlight == 0 && len(g.transactions) == 0
}

// close ends all work of the group. Requests that wait for a slot are refused before
// those at instances are canceled: they must not get the slots that become free.
func (g *group) close() {
	g.admitter.Close()
	g.cancel(errStopped)
	g.mu.Lock()
	instances := slices.Clone(g.instances)
	open := g.transactions
	g.transactions = map[string]*transaction{}
	g.mu.Unlock()
	for _, t := range open {
		t.conn.close()
	}
	g.mu.Lock()
	for _, i := range instances {
		i.retire()
	}
	g.endWait(false)
	g.countSuspects(suspects{})
	g.mu.Unlock()
	g.wg.Wait()
	for _, i := range instances {
		i.control.close()
	}
}
