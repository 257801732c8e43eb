package owner

import (
	"context"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/admit"
	"github.com/gypsumyard/gypsumyard/internal/upstream"
	"github.com/sirupsen/logrus"
)

// A group runs one database that this host owns, or has owned while requests
// and transactions that began before are not finished.
type group struct {
	settings
	service  *Service
	name     string
	log      logrus.FieldLogger
	metrics  metrics
	admitter gypsumyard.Admitter
	router   gypsumyard.Router
	promoter Promoter
	runTimes *admit.RunTimeEstimator
	flights  flights
	// ctx ends all work of the group.
	ctx       context.Context
	cancel    context.CancelCauseFunc
	work      sync.WaitGroup
	closeOnce sync.Once
	decisions atomic.Uint64

	mu       sync.Mutex
	database gypsumyard.Database
	// members are the listed instances and then the former ones that count.
	members []*member
	// counted holds the lists of instances that count, the one in force first.
	counted     []countedList
	unversioned unversionedEdit
	// listedSince is when the list in force was applied. listedPosition is the
	// position of the primary in the first status after that, zero without one.
	listedSince    time.Time
	listedPosition gypsumyard.Position
	// formerDropAt is when the former lists were last to be removed from the entry.
	formerDropAt time.Time
	waiters      []*waiter
	samples      samples
	// samplesTerm is the term of the samples.
	samplesTerm gypsumyard.Term
	// lastPrimary is the name of the last known primary.
	lastPrimary string
	// pollAfter requests polls that are sent after this time.
	pollAfter time.Time
	// urgentWaiters counts the waiters for which the instances are polled at
	// the urgent interval.
	urgentWaiters int
	transactions  map[string]*transaction
	running       map[gypsumyard.SessionID]runningRequest
	jobs          map[gypsumyard.SessionID]*job
	inFlight      int
	// meanShortRunTime is the moving average of the run times below
	// maxShortRunTime.
	meanShortRunTime time.Duration
	lastRequest      time.Time
	// ownedCtx is canceled when this host loses the ownership of the database.
	ownedCtx    context.Context
	cancelOwned context.CancelCauseFunc
}

func newGroup(s *Service, d gypsumyard.Database) *group {
	ctx, cancel := context.WithCancelCause(context.Background())
	g := &group{
		settings:     s.settings,
		service:      s,
		name:         d.Name,
		log:          s.log.WithField("database", d.Name),
		metrics:      newMetrics(s.scope.Tagged(map[string]string{"database": d.Name})),
		admitter:     s.newAdmitter(d),
		router:       s.newRouter(d),
		runTimes:     admit.NewRunTimeEstimator(),
		ctx:          ctx,
		cancel:       cancel,
		transactions: map[string]*transaction{},
		running:      map[gypsumyard.SessionID]runningRequest{},
		jobs:         map[gypsumyard.SessionID]*job{},
	}
	if s.newPromoter != nil {
		g.promoter = s.newPromoter(d)
	}
	g.ownedCtx, g.cancelOwned = context.WithCancelCause(ctx)
	g.update(d)
	g.work.Add(1)
	go g.rollBackIdleTransactions()
	if g.promoter != nil {
		g.work.Add(1)
		go g.supervise()
	}
	return g
}

// update applies a changed entry of the database.
func (g *group) update(d gypsumyard.Database) {
	g.mu.Lock()
	defer g.mu.Unlock()
	lists := g.listsOf(d)
	if g.counted == nil || d.ListVersion != g.database.ListVersion {
		g.formerDropAt = time.Time{}
		g.listedSince, g.listedPosition = g.clock.Now(), gypsumyard.Position{}
	}
	g.database = d
	g.setMembers(lists)
	g.dropFormer()
}

// setMembers makes the instances of the lists the members, those of the first list
// first, and retires the others. The caller must hold g.mu.
func (g *group) setMembers(lists []gypsumyard.InstanceList) {
	keep := map[gypsumyard.Upstream]*member{}
	for _, m := range g.members {
		keep[m.view.Upstream] = m
	}
	g.members = nil
	for i, l := range lists {
		for _, u := range l.Instances {
			if i > 0 && slices.ContainsFunc(g.members, func(m *member) bool { return u.Same(m.view.Upstream) }) {
				continue
			}
			m := keep[u]
			delete(keep, u)
			if m == nil {
				m = g.newMember(g.database, u)
			}
			m.setAddress(upstream.AddressOf(g.database, u))
			m.pool.SetLimit(upstream.MaxConnections(g.database))
			m.permits.setLimit(upstream.MaxConnections(g.database), g.database.Slots)
			g.setFormer(m, i > 0)
			g.members = append(g.members, m)
		}
	}
	g.setCounted(lists)
	for _, m := range keep {
		g.work.Add(1)
		go g.retire(m)
	}
	g.updateCapacities()
	g.notifyWaiters()
}

// setFormer records whether the instance counts only as a former one. Like a
// leaving instance, it gets no new work, and a former primary is handed over from.
// The caller must hold g.mu.
func (g *group) setFormer(m *member, former bool) {
	if former && !m.view.Leaving {
		m.leavingSince = g.clock.Now()
		m.view.Leaving = true
	}
	if former && !m.former {
		g.log.WithField("instance", m.name).Info("instance is no longer listed; it counts until a majority of the listed ones holds all that it acknowledged")
	}
	m.former = former
}

func (g *group) newMember(d gypsumyard.Database, u gypsumyard.Upstream) *member {
	ctx, cancel := context.WithCancel(g.ctx)
	m := &member{
		name:          u.Name,
		pollConn:      g.newControl(d, u),
		orderConn:     g.newControl(d, u),
		pool:          upstream.NewPool(g.clock, upstream.AddressOf(d, u), upstream.MaxConnections(d), g.metrics.scope),
		pollRequested: make(chan struct{}, 1),
		cancel:        cancel,
	}
	m.view.Upstream = u
	g.work.Add(1)
	go g.pollLoop(ctx, m)
	return m
}

// retire stops the polls of an instance and closes its connections. Those that
// hold transactions are closed when they are returned.
func (g *group) retire(m *member) {
	defer g.work.Done()
	m.cancel()
	m.pool.Close()
	_ = m.pollConn.Close()
	_ = m.orderConn.Close()
}

// Only run times below maxShortRunTime count for meanShortRunTime, which
// determines the overcommit.
const maxShortRunTime = 50 * time.Millisecond

// overcommitFor returns how many short statements may be sent to an instance
// beyond its slots. With none, each slot idles for a network round trip after
// each statement; the number that the slots run in one round trip fills the
// gap. The caller must hold g.mu.
func (g *group) overcommitFor(m *member) int {
	slots := g.database.Slots
	switch {
	case !g.overcommit:
		return 0
	case g.meanShortRunTime <= 0:
		return 1
	}
	trip := 2 * m.view.Distance
	n := int(math.Ceil(float64(slots) * float64(trip) / float64(g.meanShortRunTime)))
	return min(max(n, 1), slots)
}

// updateOvercommit passes the result of overcommitFor to the admitter if it has
// changed. The caller must hold g.mu.
func (g *group) updateOvercommit(m *member) {
	if n := g.overcommitFor(m); n != m.overcommit {
		m.overcommit = n
		g.updateCapacities()
	}
}

// updateCapacities passes the capacities of the instances to the admitter. An
// instance that gets no new work stays available for the transactions that are
// open on it: new requests do not name it as a target. The caller must hold
// g.mu.
func (g *group) updateCapacities() {
	var out []gypsumyard.InstanceCapacity
	for _, m := range g.members {
		m.available = m.usable() || m.openTransactions > 0
		out = append(out, gypsumyard.InstanceCapacity{Name: m.name, Slots: g.database.Slots, Overcommit: m.overcommit, Available: m.available})
	}
	g.admitter.SetInstances(out)
}

// updateAvailability informs the admitter if the availability of the instance
// has changed. The caller must hold g.mu.
func (g *group) updateAvailability(m *member) {
	if m.available != (m.usable() || m.openTransactions > 0) {
		g.updateCapacities()
	}
}

// findMember returns the member of the given name, or nil. The caller must
// hold g.mu.
func (g *group) findMember(name string) *member {
	for _, m := range g.members {
		if m.name == name {
			return m
		}
	}
	return nil
}

// views returns the views of all instances. The caller must hold g.mu.
func (g *group) views() []gypsumyard.InstanceView {
	out := make([]gypsumyard.InstanceView, 0, len(g.members))
	for _, m := range g.members {
		v := m.view
		v.Utilization = float64(m.running) / float64(max(1, g.database.Slots))
		out = append(out, v)
	}
	return out
}

// primary returns the instance that accepts writes, or nil: the primary of the
// highest term, not fenced by a majority, whose term has begun on a majority.
// The caller must hold g.mu.
func (g *group) primary() *member {
	var best *member
	for _, m := range g.members {
		s := &m.view.Status
		if g.takesWrites(m) && s.Writable() && (best == nil || s.Term() > best.view.Status.Term()) {
			best = m
		}
	}
	if best == nil {
		return nil
	}
	term := best.view.Status.Term()
	for _, m := range g.members {
		if m.view.Status.Term() > term {
			return nil
		}
	}
	h := best.view.Status.History
	fenced := g.anyMajority(func(m *member) bool { return m.view.Status.Fence > term })
	if fenced || len(h) == 0 || h[len(h)-1].Term != term {
		return nil
	}
	if !g.confirmed(gypsumyard.Position{Term: term, Offset: h[len(h)-1].Start}, best) {
		return nil
	}
	return best
}

// confirmed reports whether a majority of each list that counts holds the record
// at p in the term in which it was written, given that the primary does. The
// primary counts only in lists that name it: a promotion need not fence others.
// Another instance counts if its log held p at any earlier moment and it has not
// been fenced for a later term since: a promotion fences a majority, so it finds p
// on at least one of these instances. The majority of a list proves nothing in the
// terms of a later version. The caller must hold g.mu.
func (g *group) confirmed(p gypsumyard.Position, primary *member) bool {
	return p.Term.ListVersion() <= g.database.ListVersion && g.majority(func(m *member) bool {
		return m == primary || m.holds(p)
	})
}

// recordSample adds a sample if the primary and a majority have been polled
// again. The majority proves that no later primary can have acknowledged a
// write before the sample's time. The caller must hold g.mu.
func (g *group) recordSample() {
	p := g.primary()
	if p == nil {
		return
	}
	s := &p.view.Status
	if s.Term() != g.samplesTerm {
		g.samples.discardLost(s)
		g.samplesTerm = s.Term()
	}
	if g.lastPrimary != p.name {
		g.lastPrimary = p.name
		g.log.WithFields(logrus.Fields{"instance": p.name, "term": s.Term(), "position": s.Applied.String()}).Info("primary found")
	}
	at := p.view.SampledAt
	for !g.majorityPolledSince(at, s.Term()) {
		at = g.latestPollBefore(at, s.Term())
		if at.IsZero() {
			return
		}
	}
	g.samples.add(sample{at: at, position: s.Applied})
}

// majorityPolledSince reports whether the status of a majority of each list that
// counts was requested at or after t from instances that are not fenced for a later
// term. The caller must hold g.mu.
func (g *group) majorityPolledSince(t time.Time, term gypsumyard.Term) bool {
	return g.majority(func(m *member) bool {
		return m.view.Status.Fence <= term && !m.view.SampledAt.IsZero() && !m.view.SampledAt.Before(t)
	})
}

// latestPollBefore returns the latest time before t at which the status of an
// instance that is not fenced for a later term was requested. The caller must
// hold g.mu.
func (g *group) latestPollBefore(t time.Time, term gypsumyard.Term) time.Time {
	var at time.Time
	for _, m := range g.members {
		s := m.view.SampledAt
		if m.view.Status.Fence <= term && s.Before(t) && s.After(at) {
			at = s
		}
	}
	return at
}
