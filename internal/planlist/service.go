package planlist

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

const (
	// compareInterval is the time between two comparisons with a random peer.
	// With pushes lost, a change still reaches a host within a few intervals,
	// inside the 4 s in which it must be in force.
	compareInterval = time.Second
	// pushTimeout bounds a push to one host.
	pushTimeout = time.Second
	// startRetryDelay is the wait between two attempts to learn the lists.
	startRetryDelay = 200 * time.Millisecond
	// maxWatchDelay bounds the wait before a failed watch is begun again.
	maxWatchDelay = 5 * time.Second
)

// A Service is a host's copy of the lists. It implements gypsumyard.Lists and
// gypsumyard.ObjectReplica.
type Service struct {
	clock   gypsumyard.Clock
	log     *logrus.Entry
	metrics tally.Scope

	copy    *localCopy
	ready   chan struct{}
	store   gypsumyard.Store
	members gypsumyard.Membership
	// peers is nil until the service of that name has been found.
	peers  func() gypsumyard.PeerClient
	push   chan []gypsumyard.Object
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	done   chan struct{}
}

// An Option changes a service.
type Option func(*Service)

// WithClock sets the clock.
func WithClock(c gypsumyard.Clock) Option { return func(s *Service) { s.clock = c } }

// WithLogger sets the logger.
func WithLogger(l *logrus.Entry) Option { return func(s *Service) { s.log = l } }

// WithMetrics sets the scope of the metrics.
func WithMetrics(m tally.Scope) Option { return func(s *Service) { s.metrics = m } }

// pushQueue is how many sets of changes may wait to be pushed. What does not
// fit reaches the peers by comparison.
const pushQueue = 64

// New returns a service that has no copies yet.
func New(options ...Option) *Service {
	s := &Service{
		clock:   clock.System(),
		log:     logrus.NewEntry(logrus.StandardLogger()),
		metrics: tally.NoopScope,
		copy:    newLocalCopy(),
		ready:   make(chan struct{}),
		push:    make(chan []gypsumyard.Object, pushQueue),
		done:    make(chan struct{}),
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// Name returns "lists".
func (s *Service) Name() string { return "lists" }

// Needs returns the services that must run before.
func (s *Service) Needs() []string { return []string{"platform", "members"} }

// Start begins to learn the lists. It does not wait until they are known.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) (err error) {
	s.store, err = kernel.Lookup[gypsumyard.Store](k, "platform")
	if err != nil {
		return err
	}
	s.members, err = kernel.Lookup[gypsumyard.Membership](k, "members")
	if err != nil {
		return err
	}
	s.peers = func() gypsumyard.PeerClient {
		p, err := kernel.Lookup[gypsumyard.PeerClient](k, "peer")
		if err != nil {
			return nil
		}
		return p
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	for _, task := range []func(context.Context){s.learn, s.watch, s.pushChanges, s.compare} {
		s.tasks.Go(func() { task(ctx) })
	}
	go func() {
		s.tasks.Wait()
		close(s.done)
	}()
	return nil
}

// Stop ends the work.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	return nil
}

// Done returns a channel that is closed when the work has ended.
func (s *Service) Done() <-chan struct{} { return s.done }

// Ready returns a channel that is closed when the lists are known.
func (s *Service) Ready() <-chan struct{} { return s.ready }

// Customer returns a customer.
func (s *Service) Customer(name string) (gypsumyard.Customer, bool) { return s.copy.customer(name) }

// Plan returns a plan.
func (s *Service) Plan(name string) (gypsumyard.Plan, bool) { return s.copy.plan(name) }

// Database returns a database.
func (s *Service) Database(name string) (gypsumyard.Database, bool) { return s.copy.database(name) }

// Databases returns all databases, ordered by name.
func (s *Service) Databases() []gypsumyard.Database { return s.copy.allDatabases() }

// Versions returns the version in force of each object.
func (s *Service) Versions() map[string]gypsumyard.Version { return s.copy.versions() }

// Changes returns a channel that is closed at the next change.
func (s *Service) Changes() <-chan struct{} { return s.copy.changes() }

// Newer returns the copies that are newer than after, and the version up to
// which they are complete.
func (s *Service) Newer(after gypsumyard.Version) ([]gypsumyard.Object, gypsumyard.Version) {
	return s.copy.newer(after)
}

// Apply takes over the objects that are newer than the copies, passes them on
// and returns how many they were.
func (s *Service) Apply(objects []gypsumyard.Object) int {
	applied, errs := s.copy.apply(objects)
	for _, err := range errs {
		s.metrics.Counter("list_objects_rejected").Inc(1)
		s.log.WithError(err).Error("list object rejected, the copy in force stays")
	}
	if len(applied) == 0 {
		return 0
	}
	s.metrics.Counter("list_objects_applied").Inc(int64(len(applied)))
	for _, o := range applied {
		s.log.WithFields(logrus.Fields{"object": o.Name, "version": o.Version}).Info("list object in force")
	}
	select {
	case s.push <- applied:
	default:
		s.metrics.Counter("list_pushes_skipped").Inc(1)
	}
	return len(applied)
}

// learn makes the lists known at the start: from the store, or, while it does
// not answer, from a majority of the known hosts of the region.
func (s *Service) learn(ctx context.Context) {
	for ctx.Err() == nil {
		source := "store"
		err := s.learnFromStore(ctx)
		if err != nil {
			s.log.WithError(err).Warn("lists not read from the store, asking peers")
			source = "peers"
			err = s.learnFromPeers(ctx)
		}
		if err == nil {
			s.log.WithFields(logrus.Fields{"source": source, "complete-to": s.copy.completeVersion()}).Info("lists known")
			close(s.ready)
			return
		}
		s.log.WithError(err).Warn("lists not known yet")
		if s.clock.Sleep(ctx, jitter(startRetryDelay)) != nil {
			return
		}
	}
}

func (s *Service) learnFromStore(ctx context.Context) error {
	objects, version, err := s.store.List(ctx, Prefix)
	if err != nil {
		return fmt.Errorf("list objects: %w", err)
	}
	s.Apply(objects)
	s.copy.completeTo(version)
	return nil
}

// learnFromPeers applies the copies of all hosts that answer. It succeeds if
// more than half of the other hosts answered that know the lists themselves.
func (s *Service) learnFromPeers(ctx context.Context) error {
	peers := s.peers()
	others := s.others()
	if peers == nil || len(others) == 0 {
		return fmt.Errorf("no peers are known")
	}
	answers := 0
	for _, h := range others {
		if complete, err := s.fetch(ctx, peers, h); err == nil && complete > 0 {
			answers++
		}
	}
	if 2*answers <= len(others) {
		return fmt.Errorf("%d of %d peers told the lists", answers, len(others))
	}
	return nil
}

// fetch applies what is newer at the peer. It returns the version up to which
// the peer's copies are complete, zero if it does not know the lists either.
func (s *Service) fetch(ctx context.Context, peers gypsumyard.PeerClient, h gypsumyard.Host) (gypsumyard.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	objects, complete, err := peers.FetchObjects(ctx, h, s.copy.completeVersion())
	if err != nil {
		return 0, fmt.Errorf("fetch list objects from %s: %w", h.Name, err)
	}
	s.Apply(objects)
	s.copy.completeTo(complete)
	return complete, nil
}

func (s *Service) others() []gypsumyard.Host {
	self := s.members.Self().Name
	var others []gypsumyard.Host
	for _, h := range s.members.Hosts() {
		if h.Name != self {
			others = append(others, h)
		}
	}
	return others
}

func (s *Service) tree() pushTree {
	return newPushTree(s.members.Self().Name, s.members.Hosts())
}

// watch follows the store while this host is one of the region's watchers.
func (s *Service) watch(ctx context.Context) {
	select {
	case <-s.ready:
	case <-ctx.Done():
		return
	}
	delay := startRetryDelay
	for ctx.Err() == nil {
		if !s.tree().watches() {
			s.waitForMembership(ctx)
			continue
		}
		objects, version, err := s.store.Watch(ctx, Prefix, s.copy.completeVersion())
		if err != nil {
			s.log.WithError(err).Debug("watch of the lists failed")
			_ = s.clock.Sleep(ctx, jitter(delay))
			delay = min(2*delay, maxWatchDelay)
			continue
		}
		delay = startRetryDelay
		s.Apply(objects)
		s.copy.completeTo(version)
	}
}

func (s *Service) waitForMembership(ctx context.Context) {
	changes := s.members.Changes()
	if s.tree().watches() {
		return
	}
	select {
	case <-changes:
	case <-ctx.Done():
	}
}

// pushChanges hands applied objects to the hosts below this one in the tree.
func (s *Service) pushChanges(ctx context.Context) {
	for {
		select {
		case objects := <-s.push:
			s.pushTo(ctx, s.tree().targets(), objects)
		case <-ctx.Done():
			return
		}
	}
}

func (s *Service) pushTo(ctx context.Context, targets []gypsumyard.Host, objects []gypsumyard.Object) {
	peers := s.peers()
	if peers == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	var pushes sync.WaitGroup
	for _, h := range targets {
		pushes.Go(func() {
			if err := peers.PushObjects(ctx, h, objects); err != nil {
				s.metrics.Counter("list_pushes_failed").Inc(1)
				s.log.WithError(err).WithField("host", h.Name).Debug("push of list objects failed")
			}
		})
	}
	pushes.Wait()
}

// compare asks a random peer for what is newer there, once an interval.
func (s *Service) compare(ctx context.Context) {
	for s.clock.Sleep(ctx, jitter(compareInterval)) == nil {
		peers := s.peers()
		others := s.others()
		if peers == nil || len(others) == 0 {
			continue
		}
		h := others[rand.IntN(len(others))]
		if _, err := s.fetch(ctx, peers, h); err != nil {
			s.log.WithError(err).Debug("comparison of the lists failed")
		}
	}
}

// jitter returns a duration between three quarters and five quarters of d, so
// that hosts which started together do not act together.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2)
}
