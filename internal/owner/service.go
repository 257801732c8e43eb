package owner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/gypsumyard/gypsumyard/internal/upstream"
)

// Name is the name of the service in the kernel.
const Name = "owner"

// A Service runs the databases that this host owns.
type Service struct {
	settings
	kernel  *kernel.Kernel
	lists   gypsumyard.Lists
	members gypsumyard.Membership
	self    string
	ctx     context.Context
	cancel  context.CancelCauseFunc
	work    sync.WaitGroup
	done    chan struct{}

	mu     sync.Mutex
	groups map[string]*group
	// released holds the time at which a previous owner reported that it has
	// finished with a database that this host does not own yet.
	released map[string]time.Time
	// stale indicates that this host was paused and that the membership has
	// not been refreshed since.
	stale    bool
	stopping bool
	// started is set once the fields that Start sets can be used: peers send
	// calls as soon as the host listens, which is before Start.
	started bool
}

var (
	_ gypsumyard.Owner = (*Service)(nil)
	_ kernel.Service   = (*Service)(nil)
)

// New returns a Service with the options.
func New(options ...Option) *Service {
	s := &Service{
		settings: defaults(),
		done:     make(chan struct{}),
		groups:   map[string]*group{},
		released: map[string]time.Time{},
	}
	for _, o := range options {
		o(&s.settings)
	}
	s.ctx, s.cancel = context.WithCancelCause(context.Background())
	return s
}

func (s *Service) Name() string { return Name }

// Needs lists the services that this one uses from the start. The service
// "peer" depends on this one, so it is looked up when it is used.
func (s *Service) Needs() []string { return []string{"lists", "members"} }

// Done returns a channel that is closed when the service has ended.
func (s *Service) Done() <-chan struct{} { return s.done }

// Start begins to run the databases that this host owns.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) (err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kernel = k
	s.lists, err = kernel.Lookup[gypsumyard.Lists](k, "lists")
	if err != nil {
		return fmt.Errorf("owner: %w", err)
	}
	s.members, err = kernel.Lookup[gypsumyard.Membership](k, "members")
	if err != nil {
		return fmt.Errorf("owner: %w", err)
	}
	s.self = s.members.Self().Name
	s.started = true
	s.work.Add(2)
	go s.reconcileLoop()
	go s.watchPauses()
	return nil
}

// Drain refuses new requests and waits until the requests in flight and the
// open transactions have ended. The databases are handed over to the hosts
// that own them by then. Drain is optional. It is called before the services
// through which requests arrive are stopped.
func (s *Service) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	groups := s.allGroups()
	s.mu.Unlock()
	for _, g := range groups {
		g.loseOwnership()
	}
	return s.awaitDrained(ctx, groups)
}

// Stop drains and ends the service. Work that remains when ctx is done is
// aborted.
func (s *Service) Stop(ctx context.Context) error {
	err := s.Drain(ctx)
	s.cancel(errStopped)
	s.mu.Lock()
	groups := s.allGroups()
	s.mu.Unlock()
	for _, g := range groups {
		g.close()
	}
	s.work.Wait()
	close(s.done)
	return err
}

// drainCheckInterval is the pause between two checks whether the groups are
// drained.
const drainCheckInterval = 20 * time.Millisecond

func (s *Service) awaitDrained(ctx context.Context, groups []*group) error {
	for _, g := range groups {
		for !g.drained() {
			if err := s.clock.Sleep(ctx, drainCheckInterval); err != nil {
				return fmt.Errorf("owner: database %s still has work: %w", g.name, err)
			}
		}
	}
	return nil
}

// allGroups returns the groups. The caller must hold s.mu.
func (s *Service) allGroups() []*group {
	var out []*group
	for _, g := range s.groups {
		out = append(out, g)
	}
	return out
}

// Execute runs the request if this host owns its database or holds its
// transaction. See gypsumyard.Executor.
func (s *Service) Execute(ctx context.Context, r *gypsumyard.Request, sink gypsumyard.ResponseSink) (gypsumyard.Result, error) {
	g, err := s.groupForRequest(r)
	if err != nil {
		return gypsumyard.Result{}, err
	}
	defer g.endRequest()
	return g.execute(ctx, r, sink)
}

// groupForRequest returns the group that runs the request and counts the
// request as in flight.
func (s *Service) groupForRequest(r *gypsumyard.Request) (*group, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.started {
		return nil, errNotOwner
	}
	g := s.groups[r.Database]
	if r.Transaction != "" {
		return s.groupForTransaction(g, r)
	}
	switch {
	case s.stopping || s.stale:
		return nil, errNotOwner
	case g == nil && s.owns(r.Database):
		// The membership has changed and reconcile has not run yet.
		g = s.gainOwnership(r.Database)
	}
	if g == nil || !g.beginRequest(true) {
		return nil, errNotOwner
	}
	return g, nil
}

func (s *Service) groupForTransaction(g *group, r *gypsumyard.Request) (*group, error) {
	if r.Owner != "" && r.Owner != s.self {
		return nil, errNotOwner
	}
	if g == nil || !g.beginRequest(false) {
		return nil, errNoTransaction
	}
	return g, nil
}

// Abandon rolls back the open transaction of a session that has ended.
func (s *Service) Abandon(ctx context.Context, r *gypsumyard.Request) error {
	g := s.group(r.Database)
	if g == nil || r.Transaction == "" {
		return nil
	}
	return g.abandonTransaction(ctx, r)
}

// CancelStatement asks the instance to cancel the statement that the session
// runs.
func (s *Service) CancelStatement(ctx context.Context, r *gypsumyard.Request) error {
	g := s.group(r.Database)
	if g == nil {
		return nil
	}
	c := g.toCancel(r.Session)
	if c == nil {
		return nil
	}
	return c.Cancel(ctx)
}

// toCancel returns the connection that runs the session's statement, or nil.
// The connection is marked under the lock, while it certainly does so: the
// statement may end before the cancellation reaches the instance, and no other
// statement may run on the connection then.
func (g *group) toCancel(session gypsumyard.SessionID) *upstream.Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	if j := g.jobs[session]; j != nil {
		j.canceled = true
	}
	c := g.running[session].conn
	if c != nil {
		c.MarkCanceled()
	}
	return c
}

func (s *Service) isStarted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started
}

// ProbeInstance reads the status of an instance over a fresh connection.
func (s *Service) ProbeInstance(ctx context.Context, database, instance string) (st gypsumyard.InstanceStatus, err error) {
	if !s.isStarted() {
		return st, fmt.Errorf("owner: probe %s of %s: not started", instance, database)
	}
	d, ok := s.lists.Database(database)
	if !ok {
		return st, fmt.Errorf("owner: probe %s of %s: %w", instance, database, gypsumyard.ErrNotFound)
	}
	for _, l := range d.Lists() {
		for _, u := range l.Instances {
			if u.Name != instance {
				continue
			}
			i := s.newControl(d, u)
			st, err = i.Status(ctx)
			return st, errors.Join(err, i.Close())
		}
	}
	return st, fmt.Errorf("owner: probe %s of %s: %w", instance, database, gypsumyard.ErrNotFound)
}

// AcceptRelease records that the previous owner has finished its work, so that
// customers get their full rate.
func (s *Service) AcceptRelease(database, from string) {
	s.log.WithField("database", database).WithField("from", from).Info("previous owner has released the database")
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[database]; g != nil {
		g.restoreFullRate()
		return
	}
	s.dropOldReleases()
	s.released[database] = s.clock.Now()
}

// dropOldReleases drops the releases that no takeover can use any more, which are
// those of databases that this host did not come to own. The caller must hold s.mu.
func (s *Service) dropOldReleases() {
	for name, at := range s.released {
		if s.clock.Since(at) >= s.takeoverPeriod {
			delete(s.released, name)
		}
	}
}

func (s *Service) group(database string) *group {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.groups[database]
}

func (s *Service) plan(customer string) (gypsumyard.Plan, error) {
	c, ok := s.lists.Customer(customer)
	if !ok {
		return gypsumyard.Plan{}, gypsumyard.Errorf(gypsumyard.ClassAuth, "unknown customer %q", customer)
	}
	p, ok := s.lists.Plan(c.Plan)
	if !ok {
		return p, gypsumyard.Errorf(gypsumyard.ClassPlan, "customer %q holds no known plan", customer)
	}
	return p, nil
}
