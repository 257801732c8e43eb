package lineowner

import (
	"context"
	"errors"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/admit"
	"github.com/sirupsen/logrus"
)

const (
	// reservedConnections is how many connections of an instance this owner
	// leaves to others: two status connections, orders, and another host that
	// believes it owns the group.
	reservedConnections = 6
	// spareForStatements is how many connections transactions leave to single
	// statements.
	spareForStatements = 4
	// aheadOfSlots is how many short statements may be on their way to an
	// instance beyond its slots, so that no slot idles for a round trip.
	aheadOfSlots = 1
)

var (
	errNotOwner = gypsumyard.Errorf(gypsumyard.ClassNotOwner, "this host does not own the database")
	errStopped  = errors.New("host stops")
	errTimeout  = errors.New("time of the statement is over")
)

// A group runs one database group that this host owns, or has owned while work
// that it began goes on.
type group struct {
	service  *Service
	name     string
	clock    gypsumyard.Clock
	log      logrus.FieldLogger
	metrics  *metrics
	admitter *admit.Admitter
	learner  *admit.RunTimeEstimator
	// ctx ends all work of the group.
	ctx    context.Context
	cancel context.CancelCauseFunc
	work   sync.WaitGroup

	// routed counts the statements, for sampling their log lines.
	routed atomic.Uint64

	mu        sync.Mutex
	settings  gypsumyard.Group
	instances []*instance
	// topPriority is the highest priority of the group's routes, if they
	// differ. Zero is the highest.
	topPriority int
	// longFrom is the run time from which on a statement may make one of the
	// highest priority miss its latency objective. Zero means none.
	longFrom time.Duration
	// staleness is the longest that a route accepts.
	staleness   time.Duration
	idleLimit   time.Duration
	samples     []sample
	leading     *instance
	leadingTerm gypsumyard.Term
	// electing indicates that an election goes on.
	electing bool
	// handingOver holds back new work of the primary.
	handingOver  bool
	commits      commitGate
	transactions map[string]*transaction
	inFlight     int
	lastRequest  time.Time
	// changed is closed and replaced when something that requests wait for may
	// have changed.
	changed chan struct{}
	// owned ends with the ownership of the group.
	owned  context.Context
	disown context.CancelCauseFunc
	// proven is the latest evidence from instances, claim what the store says.
	proven proof
	claim  claimState
	// evidenceAt is up to when it was certain who leads, or when the group was
	// taken over.
	evidenceAt time.Time
	opinions   opinions
	// election is the state of the search for a new primary.
	election election
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
		learner:      admit.NewRunTimeEstimator(),
		ctx:          ctx,
		cancel:       cancel,
		transactions: map[string]*transaction{},
		changed:      make(chan struct{}),
		lastRequest:  s.clock.Now(),
		evidenceAt:   s.clock.Now(),
	}
	g.owned, g.disown = context.WithCancelCause(ctx)
	g.update()
	g.work.Go(g.supervise)
	g.work.Go(g.sweep)
	return g
}

// update takes over the desired state and the listed instances.
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
	g.idleLimit = d.TransactionIdle
	g.topPriority = topPriority(d, g.name)
	g.longFrom = longFrom(d, g.name, g.topPriority)
	g.staleness = longestStaleness(d, g.name)
	g.relist(listed)
	g.setCapacity()
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

// longFrom returns the least time that a request of the priority may spend in
// the queue, or zero if none has a latency objective.
func longFrom(d *gypsumyard.DesiredState, group string, priority int) (least time.Duration) {
	for _, r := range d.Routes {
		if r.Group == group && r.Priority == priority && r.Objective > 0 && (least == 0 || r.Objective < least) {
			least = r.Objective
		}
	}
	return least / queueShare
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

// relist replaces the instances by the listed ones. An entry with another
// start or address is another instance. It is called with the lock held.
func (g *group) relist(listed []gypsumyard.ListedInstance) {
	old := map[string]*instance{}
	for _, i := range g.instances {
		old[i.id] = i
	}
	g.instances = nil
	for _, l := range listed {
		i := old[l.ID]
		if i != nil && (i.listed.Addr != l.Addr || !i.listed.Started.Equal(l.Started)) {
			g.log.WithFields(logrus.Fields{"instance": l.ID, "started": l.Started.UnixMilli()}).Info("instance has started anew")
			i.retire()
			i = nil
		}
		delete(old, l.ID)
		if i == nil {
			i = g.newInstance(l)
		}
		if l.Leaving && !i.listed.Leaving {
			g.log.WithField("instance", l.ID).Info("instance is leaving")
		}
		i.listed = l
		i.pool.setLimit(max(g.settings.Connections-reservedConnections, 2))
		g.instances = append(g.instances, i)
	}
	for id, i := range old {
		g.log.WithField("instance", id).Info("instance is no longer listed")
		i.retire()
	}
}

// setCapacity tells the admitter which instances take work. It is called with
// the lock held.
func (g *group) setCapacity() {
	var out []gypsumyard.InstanceCapacity
	for _, i := range g.instances {
		out = append(out, gypsumyard.InstanceCapacity{
			Name:       i.id,
			Slots:      i.listed.Slots,
			Overcommit: aheadOfSlots,
			Available:  i.reachable,
		})
	}
	g.admitter.SetInstances(out)
}

// find returns the instance of the given name. It is called with the lock held.
func (g *group) find(name string) *instance {
	for _, i := range g.instances {
		if i.id == name {
			return i
		}
	}
	return nil
}

// enter counts a request in. A new request needs the ownership.
func (g *group) enter(newWork bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ctx.Err() != nil || newWork && g.owned.Err() != nil {
		return false
	}
	g.inFlight++
	g.lastRequest = g.clock.Now()
	return true
}

func (g *group) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
}

// lose ends the waits of queued requests. Those in flight and open transactions
// go on.
func (g *group) lose() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.owned.Err() == nil {
		g.log.Info("ownership lost")
		g.disown(errNotOwner)
	}
}

// regain continues a group whose ownership was lost.
func (g *group) regain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.owned.Err() != nil && g.ctx.Err() == nil {
		g.log.Info("ownership regained")
		g.owned, g.disown = context.WithCancelCause(g.ctx)
	}
}

// idle reports whether a group that is not owned has no work left.
func (g *group) idle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.owned.Err() != nil && g.inFlight == 0 && len(g.transactions) == 0
}

// close ends all work of the group.
func (g *group) close() {
	g.cancel(errStopped)
	g.mu.Lock()
	instances := g.instances
	open := g.transactions
	g.transactions = map[string]*transaction{}
	g.mu.Unlock()
	for _, t := range open {
		t.conn.close()
	}
	for _, i := range instances {
		i.retire()
	}
	g.work.Wait()
	for _, i := range instances {
		i.orders.close()
	}
	g.admitter.Close()
}
