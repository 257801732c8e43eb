package lineowner

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/gypsumyard/gypsumyard/internal/era"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"
)

// Name is the name of the service in the kernel.
const Name = "owner"

// drainCheckInterval is the interval at which Drain checks whether all groups
// are drained.
const drainCheckInterval = 20 * time.Millisecond

// Lists provides the desired state and the listed instances.
type Lists interface {
	gypsumyard.DesiredStateSource
	// Instances returns the listed instances of a group.
	Instances(group string) []gypsumyard.ListedInstance
}

// A Service is the kernel service "owner". It implements [gypsumyard.Owner].
type Service struct {
	clock        gypsumyard.Clock
	log          logrus.FieldLogger
	metrics      *metrics
	claims       *claimStore
	replicaSets  *replicaSetStore
	losses       lossStore
	drainTimeout time.Duration
	// unevenInstances indicates that instances may be slow or fail without reporting it.
	unevenInstances bool
	eras            gypsumyard.Eras
	promotions      gypsumyard.PromotionClient
	lists           Lists
	members         gypsumyard.Membership
	assigner        assigner
	peers           gypsumyard.PeerClient
	self            string
	failureDomain   string
	lastHandle      atomic.Uint64
	// states tells which hosts use an outdated desired state.
	states stateHistory
	// keyLog, routeLog and suspectLog bound the lines about rejected keys and routes, and
	// about slow instances.
	keyLog     *rate.Limiter
	routeLog   *rate.Limiter
	suspectLog *rate.Limiter
	quota      quotas
	ctx        context.Context
	cancel     context.CancelFunc
	wg         sync.WaitGroup
	done       chan struct{}

	mu       sync.Mutex
	groups   map[string]*group
	started  bool
	stopping bool
}

var _ gypsumyard.Owner = (*Service)(nil)

// An Option configures a Service.
type Option func(*Service)

// WithClock sets the clock, which must include time spent suspended.
func WithClock(c gypsumyard.Clock) Option { return func(s *Service) { s.clock = c } }

// WithLogger sets the logger.
func WithLogger(l logrus.FieldLogger) Option { return func(s *Service) { s.log = l } }

// WithMetrics sets the scope of the metrics.
func WithMetrics(m tally.Scope) Option { return func(s *Service) { s.metrics = newMetrics(m) } }

// WithEras sets the tracker of the store's era, which the store's client updates.
func WithEras(e gypsumyard.Eras) Option { return func(s *Service) { s.eras = e } }

// WithDrainTimeout sets how soon a leaving instance must get no more work. Without it
// there is no limit.
func WithDrainTimeout(d time.Duration) Option { return func(s *Service) { s.drainTimeout = d } }

// WithLossAcceptances sets where operators accept the loss of instances: in the objects
// of the store that are named by the prefix and the group. Without it they cannot.
func WithLossAcceptances(store gypsumyard.Store, prefix string) Option {
	return func(s *Service) { s.losses = lossStore{store, prefix} }
}

// WithUnevenInstances makes the service learn which instances are slow or fail, and send
// them fewer reads, if on. Without it, reads depend on the own load and the distance only.
func WithUnevenInstances(on bool) Option { return func(s *Service) { s.unevenInstances = on } }

// New returns the service. It stores promotion claims and replica sets below
// claimPrefix.
func New(store gypsumyard.Store, claimPrefix string, promotions gypsumyard.PromotionClient, options ...Option) *Service {
	relayed := &relayedStore{store: store, prefix: claimPrefix}
	s := &Service{
		clock:       clock.Boot(),
		log:         logrus.StandardLogger(),
		metrics:     newMetrics(tally.NoopScope),
		claims:      &claimStore{store: relayed},
		replicaSets: &replicaSetStore{store: relayed},
		eras:        era.NewTracker(),
		promotions:  promotions,
		keyLog:      newRejectionLog(),
		routeLog:    newRejectionLog(),
		suspectLog:  newSuspectLog(),
		done:        make(chan struct{}),
		groups:      map[string]*group{},
		quota:       quotas{tolerance: defaultQuotaTolerance},
	}
	for _, o := range options {
		o(s)
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Name returns the name of the service.
func (s *Service) Name() string { return Name }

// Needs lists the services that Start looks up.
func (s *Service) Needs() []string { return []string{"lists", "members", "peer"} }

// Done returns a channel that is closed when the service has ended.
func (s *Service) Done() <-chan struct{} { return s.done }

// Start starts serving the groups that this host owns.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) (err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists, err = kernel.Lookup[Lists](k, "lists")
	if err != nil {
		return fmt.Errorf("owner: %w", err)
	}
	s.members, err = kernel.Lookup[gypsumyard.Membership](k, "members")
	if err != nil {
		return fmt.Errorf("owner: %w", err)
	}
	s.assigner, err = kernel.Lookup[assigner](k, "members")
	if err != nil {
		return fmt.Errorf("owner: %w", err)
	}
	s.peers, err = kernel.Lookup[gypsumyard.PeerClient](k, "peer")
	if err != nil {
		return fmt.Errorf("owner: %w", err)
	}
	s.self, s.failureDomain = s.members.Self().Name, s.members.Self().FailureDomain
	s.claims.eras, s.replicaSets.eras = s.eras, s.eras
	r := s.claims.store
	r.clock, r.log, r.peers, r.hosts = s.clock, s.log, s.peers, s.otherHosts
	s.claims.holder, s.claims.started = s.self, s.clock.Now().UnixNano()
	s.started = true
	s.wg.Go(s.reconcileLoop)
	s.wg.Go(s.resendAssignments)
	s.wg.Go(s.exchangeQuotas)
	return nil
}

// Drain rejects new requests and waits for requests in flight and open
// transactions to end.
func (s *Service) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	for _, g := range s.groups {
		g.loseOwnership()
	}
	s.mu.Unlock()
	for !s.allDrained() {
		if err := s.clock.Sleep(ctx, drainCheckInterval); err != nil {
			return fmt.Errorf("owner: groups still have work: %w", err)
		}
	}
	return nil
}

func (s *Service) allDrained() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.groups {
		if !g.drained() {
			return false
		}
	}
	return true
}

// Stop ends the service and aborts work in flight.
func (s *Service) Stop(context.Context) error {
	s.mu.Lock()
	s.stopping = true // No goroutine is added to wg from now on.
	s.mu.Unlock()
	s.cancel()
	s.wg.Wait()
	s.mu.Lock()
	groups := s.groups
	s.groups = map[string]*group{}
	s.mu.Unlock()
	for _, g := range groups {
		g.close()
	}
	close(s.done)
	return nil
}

// reconcileLoop reconciles the groups when the lists or the membership change,
// and every second.
func (s *Service) reconcileLoop() {
	for {
		members, lists := s.members.Changes(), s.lists.Changes()
		s.reconcile()
		t := s.clock.NewTimer(time.Second)
		select {
		case <-members:
		case <-lists:
		case <-t.C():
		case <-s.ctx.Done():
			t.Stop()
			return
		}
		t.Stop()
	}
}

// reconcile starts or resumes the groups that this host owns, withdraws from
// those that it no longer owns, and closes those that have no work left.
func (s *Service) reconcile() {
	d := s.lists.Desired()
	if d == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return
	}
	s.states.note(d.Number, s.clock.Now())
	s.updateReach(d)
	for name := range d.Groups {
		g := s.groups[name]
		switch {
		case s.owns(name):
			s.gainOwnership(name)
		case g != nil:
			g.loseOwnership()
			g.update()
		}
	}
	for name, g := range s.groups {
		if _, ok := d.Groups[name]; !ok {
			g.loseOwnership()
		}
		if g.drained() {
			delete(s.groups, name)
			s.wg.Go(g.close)
		}
	}
}

func (s *Service) owns(name string) bool {
	h, ok := s.members.Owner(name)
	return ok && h.Name == s.self
}

// gainOwnership starts a group, or resumes one whose ownership was lost. The
// caller must hold s.mu.
func (s *Service) gainOwnership(name string) *group {
	g := s.groups[name]
	if g == nil {
		s.log.WithField("database", name).Info("ownership gained")
		g = newGroup(s, name)
		s.groups[name] = g
		return g
	}
	g.regainOwnership()
	g.update()
	return g
}

// Execute runs the request if this host owns its group, or holds its
// transaction. See [gypsumyard.Executor].
func (s *Service) Execute(ctx context.Context, r *gypsumyard.Request, sink gypsumyard.ResponseSink) (gypsumyard.Result, error) {
	g, err := s.groupForRequest(r)
	if err != nil {
		return gypsumyard.Result{}, err
	}
	defer g.endRequest()
	return g.execute(ctx, r, sink)
}

func (s *Service) groupForRequest(r *gypsumyard.Request) (*group, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.started {
		return nil, errNotOwner
	}
	g := s.groups[r.Database]
	if r.Transaction != "" {
		if g == nil || r.Owner != s.self || !g.beginRequest(false) {
			return nil, errNoTransaction
		}
		return g, nil
	}
	if s.stopping {
		return nil, errNotOwner
	}
	if (g == nil || g.ownedCtx.Err() != nil) && s.owns(r.Database) {
		// The membership has changed since the last reconcile.
		g = s.gainOwnership(r.Database)
	}
	if g == nil || !g.beginRequest(true) {
		return nil, errNotOwner
	}
	return g, nil
}

// Abandon rolls back the open transaction of a session.
func (s *Service) Abandon(_ context.Context, r *gypsumyard.Request) error {
	s.mu.Lock()
	g := s.groups[r.Database]
	s.mu.Unlock()
	if g != nil && r.Transaction != "" {
		g.abandonTransaction(r)
	}
	return nil
}

// CancelStatement does nothing: the line protocol cannot cancel a statement.
func (s *Service) CancelStatement(context.Context, *gypsumyard.Request) error { return nil }

// ProbeInstance reads the status of an instance over a fresh connection.
func (s *Service) ProbeInstance(ctx context.Context, database, instance string) (st gypsumyard.InstanceStatus, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("owner: probe %s of %s: %w", instance, database, err)
		}
	}()
	s.mu.Lock()
	started := s.started
	s.mu.Unlock()
	if !started {
		return st, gypsumyard.ErrUnavailable
	}
	for _, l := range s.lists.Instances(database) {
		if l.ID != instance {
			continue
		}
		c := &controlConn{instance: l, user: s.self}
		defer c.close()
		reported, _, err := c.exec(ctx, statusCommand, probeTimeout)
		return gypsumyard.InstanceStatus{Role: reported.role, Applied: reported.applied, Fence: reported.fencedTerm}, err
	}
	return st, gypsumyard.ErrNotFound
}

// AcceptRelease does nothing: a group needs no handover from its previous owner.
func (s *Service) AcceptRelease(string, string) {}
