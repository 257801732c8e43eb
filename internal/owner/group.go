package owner

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/admit"
	"github.com/gypsumyard/gypsumyard/internal/upstream"
	"github.com/sirupsen/logrus"
)

// A group runs one database that this host owns, or has owned while work that
// it began goes on.
type group struct {
	settings
	service  *Service
	name     string
	log      logrus.FieldLogger
	metrics  metrics
	admitter gypsumyard.Admitter
	router   gypsumyard.Router
	promoter Promoter
	learner  *admit.Learner
	flights  flights
	// ctx ends all work of the group.
	ctx       context.Context
	cancel    context.CancelCauseFunc
	work      sync.WaitGroup
	ending    sync.Once
	decisions atomic.Uint64

	mu       sync.Mutex
	database gypsumyard.Database
	members  []*member
	waiters  []*waiter
	samples  samples
	// boundTerm is the term of the samples.
	boundTerm gypsumyard.Term
	// lastPrimary is the name of the last known primary.
	lastPrimary string
	// sampleAfter asks for polls that are sent after it.
	sampleAfter time.Time
	// urgent counts the requests that wait for a position.
	urgent       int
	transactions map[string]*transaction
	running      map[gypsumyard.SessionID]exchange
	jobs         map[gypsumyard.SessionID]*job
	inFlight     int
	// meanRun is the smoothed run time of short statements.
	meanRun     time.Duration
	lastRequest time.Time
	// owned ends with the ownership of the database.
	owned  context.Context
	disown context.CancelCauseFunc
}

func newGroup(s *Service, d gypsumyard.Database) *group {
	ctx, cancel := context.WithCancelCause(context.Background())
	g := &group{
		settings:     s.settings,
		service:      s,
		name:         d.Name,
		log:          s.log.WithField("database", d.Name),
		metrics:      newMetrics(s.scope.Tagged(map[string]string{"database": d.Name})),
		admitter:     s.admitter(d),
		router:       s.router(d),
		learner:      admit.NewLearner(),
		ctx:          ctx,
		cancel:       cancel,
		transactions: map[string]*transaction{},
		running:      map[gypsumyard.SessionID]exchange{},
		jobs:         map[gypsumyard.SessionID]*job{},
	}
	if s.promoter != nil {
		g.promoter = s.promoter(d)
	}
	g.owned, g.disown = context.WithCancelCause(ctx)
	g.update(d)
	g.work.Add(1)
	go g.sweep()
	if g.promoter != nil {
		g.work.Add(1)
		go g.supervise()
	}
	return g
}

// update takes over a changed entry of the database.
func (g *group) update(d gypsumyard.Database) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.database = d
	keep := map[gypsumyard.Upstream]*member{}
	for _, m := range g.members {
		keep[m.view.Upstream] = m
	}
	g.members = nil
	for _, u := range d.Instances {
		m := keep[u]
		delete(keep, u)
		if m == nil {
			m = g.newMember(d, u)
		}
		m.pool.SetLimit(upstream.MaxConnections(d))
		m.permits.setLimit(upstream.MaxConnections(d), d.Slots)
		g.members = append(g.members, m)
	}
	for _, m := range keep {
		g.work.Add(1)
		go g.retire(m)
	}
	g.setInstances()
}

func (g *group) newMember(d gypsumyard.Database, u gypsumyard.Upstream) *member {
	ctx, cancel := context.WithCancel(g.ctx)
	m := &member{
		name:   u.Name,
		poll:   g.instance(d, u),
		order:  g.instance(d, u),
		pool:   upstream.NewPool(g.clock, upstream.AddressOf(d, u), upstream.MaxConnections(d), g.metrics.scope),
		wake:   make(chan struct{}, 1),
		cancel: cancel,
	}
	m.view.Upstream = u
	g.work.Add(1)
	go g.watch(ctx, m)
	return m
}

// retire ends the connections to an instance. Those that hold transactions
// are closed when they are given back.
func (g *group) retire(m *member) {
	defer g.work.Done()
	m.cancel()
	m.pool.Close()
	_ = m.poll.Close()
	_ = m.order.Close()
}

// shortRun is the longest run time that counts for the mean by which statements
// are sent ahead.
const shortRun = 50 * time.Millisecond

// aheadFor returns how many short statements may be on their way to an instance
// beyond its slots. Without any, each slot idles for a round trip after each
// statement; as many as the slots run in one round trip fill the gap. It is
// called with the lock held.
func (g *group) aheadFor(m *member) int {
	slots := g.database.Slots
	switch {
	case !g.ahead:
		return 0
	case g.meanRun <= 0:
		return 1
	}
	trip := 2 * m.view.Distance
	n := int(math.Ceil(float64(slots) * float64(trip) / float64(g.meanRun)))
	return min(max(n, 1), slots)
}

// checkAhead tells the admitter if the number has changed. It is called with
// the lock held.
func (g *group) checkAhead(m *member) {
	if n := g.aheadFor(m); n != m.ahead {
		m.ahead = n
		g.setInstances()
	}
}

// setInstances tells the admitter the capacities. An instance that gets no new
// work stays available to the transactions that are open on it: new requests
// do not name it as a target. It is called with the lock held.
func (g *group) setInstances() {
	var out []gypsumyard.InstanceCapacity
	for _, m := range g.members {
		m.available = m.usable() || m.pinned > 0
		out = append(out, gypsumyard.InstanceCapacity{Name: m.name, Slots: g.database.Slots, Ahead: m.ahead, Available: m.available})
	}
	g.admitter.SetInstances(out)
}

// checkAvailable tells the admitter if the availability of the instance has
// changed. It is called with the lock held.
func (g *group) checkAvailable(m *member) {
	if m.available != (m.usable() || m.pinned > 0) {
		g.setInstances()
	}
}

// find returns the member of the given name. It is called with the lock held.
func (g *group) find(name string) *member {
	for _, m := range g.members {
		if m.name == name {
			return m
		}
	}
	return nil
}

// views returns the views of all instances. It is called with the lock held.
func (g *group) views() []gypsumyard.InstanceView {
	out := make([]gypsumyard.InstanceView, 0, len(g.members))
	for _, m := range g.members {
		v := m.view
		v.Busy = float64(m.running) / float64(max(1, g.database.Slots))
		out = append(out, v)
	}
	return out
}

// primary returns the instance that takes writes: the primary of the highest
// term, not fenced by a majority, whose term has begun on a majority. It is
// called with the lock held.
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
	term, fenced := best.view.Status.Term(), 0
	for _, m := range g.members {
		if m.view.Status.Term() > term {
			return nil
		}
		if m.view.Status.Fence > term {
			fenced++
		}
	}
	h := best.view.Status.History
	if fenced >= g.database.Majority() || len(h) == 0 || h[len(h)-1].Term != term {
		return nil
	}
	if !g.confirmed(gypsumyard.Position{Term: term, Offset: h[len(h)-1].Start}, best.name) {
		return nil
	}
	return best
}

// confirmed reports whether a majority holds the record at p in the term in
// which it was written, given that the named primary does. An instance whose
// log held p at any earlier moment without a later fence counts: a promotion
// fences a majority, and so finds p on at least one of them. It is called with
// the lock held.
func (g *group) confirmed(p gypsumyard.Position, primary string) bool {
	n := 1
	for _, m := range g.members {
		s := &m.view.Status
		if m.name != primary && s.Term() == p.Term && s.Fence <= p.Term && s.Contains(p) {
			n++
		}
	}
	return n >= g.database.Majority()
}

// updateBound adds a sample if the primary and a majority have been seen
// again. The majority proves that no later primary can have acknowledged a
// write before the sample's time. It is called with the lock held.
func (g *group) updateBound() {
	p := g.primary()
	if p == nil {
		return
	}
	s := &p.view.Status
	if s.Term() != g.boundTerm {
		g.samples.forget(s)
		g.boundTerm = s.Term()
	}
	if g.lastPrimary != p.name {
		g.lastPrimary = p.name
		g.log.WithFields(logrus.Fields{"instance": p.name, "term": s.Term(), "position": s.Applied.String()}).Info("primary found")
	}
	at := p.view.SampledAt
	for g.seenSince(at, s.Term()) < g.database.Majority() {
		at = g.seenBefore(at, s.Term())
		if at.IsZero() {
			return
		}
	}
	g.samples.add(sample{at: at, position: s.Applied})
}

// seenSince counts the instances whose status was asked for at or after t and
// that no later term has fenced.
func (g *group) seenSince(t time.Time, term gypsumyard.Term) int {
	n := 0
	for _, m := range g.members {
		if m.view.Status.Fence <= term && !m.view.SampledAt.IsZero() && !m.view.SampledAt.Before(t) {
			n++
		}
	}
	return n
}

// seenBefore returns the latest time before t at which an instance that no
// later term has fenced was asked.
func (g *group) seenBefore(t time.Time, term gypsumyard.Term) time.Time {
	var at time.Time
	for _, m := range g.members {
		s := m.view.SampledAt
		if m.view.Status.Fence <= term && s.Before(t) && s.After(at) {
			at = s
		}
	}
	return at
}
