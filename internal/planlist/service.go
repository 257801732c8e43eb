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
	// antiEntropyInterval is the time between two fetches from a random peer.
	// If pushes are lost, a change still reaches a host within a few
	// intervals, inside the 4 s in which it must be in force.
	antiEntropyInterval = time.Second
	// pushTimeout bounds a push to or a query of one host. A fetch has no bound here: the
	// peers' client ends it when nothing arrives.
	pushTimeout = time.Second
	// loadRetryDelay is the delay between two attempts to load the lists, and
	// the first delay of the watch after a failure.
	loadRetryDelay = 200 * time.Millisecond
	// maxWatchRetryDelay bounds the backoff of the watch after failures.
	maxWatchRetryDelay = 5 * time.Second
)

// A Service maintains a host's copy of the lists. It implements gypsumyard.Lists
// and gypsumyard.ObjectReplica.
type Service struct {
	clock   gypsumyard.Clock
	log     *logrus.Entry
	metrics tally.Scope

	copy    *localCopy
	ready   chan struct{}
	store   gypsumyard.Store
	members gypsumyard.Membership
	// peers returns nil while the service "peer" is not available.
	peers     func() gypsumyard.PeerClient
	pushQueue chan []gypsumyard.Object
	cancel    context.CancelFunc
	tasks     sync.WaitGroup
	done      chan struct{}
}

// An Option configures a Service.
type Option func(*Service)

// WithClock sets the clock.
func WithClock(c gypsumyard.Clock) Option { return func(s *Service) { s.clock = c } }

// WithLogger sets the logger.
func WithLogger(l *logrus.Entry) Option { return func(s *Service) { s.log = l } }

// WithMetrics sets the scope that metrics are reported to.
func WithMetrics(m tally.Scope) Option { return func(s *Service) { s.metrics = m } }

// pushQueueLength is the number of batches of changes that may wait to be
// pushed. Batches beyond that are dropped and reach the peers through
// anti-entropy.
const pushQueueLength = 64

// New returns a service with an empty copy of the lists.
func New(options ...Option) *Service {
	s := &Service{
		clock:     clock.System(),
		log:       logrus.NewEntry(logrus.StandardLogger()),
		metrics:   tally.NoopScope,
		copy:      newLocalCopy(),
		ready:     make(chan struct{}),
		pushQueue: make(chan []gypsumyard.Object, pushQueueLength),
		done:      make(chan struct{}),
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// Name returns "lists".
func (s *Service) Name() string { return "lists" }

// Needs returns the services that must be started before this one.
func (s *Service) Needs() []string { return []string{"platform", "members"} }

// Start starts loading the lists in the background. Ready signals when they are
// loaded.
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
	for _, task := range []func(context.Context){s.loadLists, s.watch, s.pushChanges, s.runAntiEntropy} {
		s.tasks.Go(func() { task(ctx) })
	}
	go func() {
		s.tasks.Wait()
		close(s.done)
	}()
	return nil
}

// Stop cancels the background tasks. Done signals when they have ended.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	return nil
}

// Done returns a channel that is closed when all background tasks have ended.
func (s *Service) Done() <-chan struct{} { return s.done }

// Ready returns a channel that is closed when the lists are loaded.
func (s *Service) Ready() <-chan struct{} { return s.ready }

// Customer returns a customer.
func (s *Service) Customer(name string) (gypsumyard.Customer, bool) { return s.copy.customer(name) }

// Plan returns a plan.
func (s *Service) Plan(name string) (gypsumyard.Plan, bool) { return s.copy.plan(name) }

// Database returns a database.
func (s *Service) Database(name string) (gypsumyard.Database, bool) { return s.copy.database(name) }

// Databases returns all databases, ordered by name. Callers must not modify the
// slice.
func (s *Service) Databases() []gypsumyard.Database { return s.copy.allDatabases() }

// Versions returns the version in force of each object.
func (s *Service) Versions() map[string]gypsumyard.Version { return s.copy.versions() }

// Changes returns a channel that is closed at the next change.
func (s *Service) Changes() <-chan struct{} { return s.copy.changes() }

// Newer returns the objects with a version above after, and the version up to
// which the copy is complete.
func (s *Service) Newer(after gypsumyard.Version) gypsumyard.ObjectUpdate {
	objects, complete := s.copy.newer(after)
	return gypsumyard.ObjectUpdate{Objects: objects, Complete: complete}
}

// Holds reports whether the copy of the object is of the version, or of a later one of
// the same era.
func (s *Service) Holds(name string, v gypsumyard.Version) bool { return s.copy.inForce(name, v) }

// Apply stores the objects that are newer than the copies, queues them to be
// pushed to other hosts and returns their number.
func (s *Service) Apply(objects []gypsumyard.Object) int {
	applied, errs := s.copy.apply(objects)
	for _, err := range errs {
		s.metrics.Counter("list_objects_rejected").Inc(1)
		s.log.WithError(err).Error("list object rejected; keeping the copy in force")
	}
	if len(applied) == 0 {
		return 0
	}
	s.metrics.Counter("list_objects_applied").Inc(int64(len(applied)))
	for _, o := range applied {
		s.log.WithFields(logrus.Fields{"object": o.Name, "version": o.Version}).Info("list object applied")
	}
	select {
	case s.pushQueue <- applied:
	default:
		s.metrics.Counter("list_pushes_skipped").Inc(1)
	}
	return len(applied)
}

// loadLists loads the lists at startup: from the store, or, while the store does
// not answer, from a majority of the other known hosts of the region.
func (s *Service) loadLists(ctx context.Context) {
	for ctx.Err() == nil {
		source := "store"
		err := s.loadFromStore(ctx)
		if err != nil {
			s.log.WithError(err).Warn("loading the lists from the store failed; asking peers")
			source = "peers"
			err = s.loadFromPeers(ctx)
		}
		if err == nil {
			s.log.WithFields(logrus.Fields{"source": source, "complete-to": s.copy.completeVersion()}).Info("lists loaded")
			close(s.ready)
			return
		}
		s.log.WithError(err).Warn("loading the lists failed; retrying")
		if s.clock.Sleep(ctx, jitter(loadRetryDelay)) != nil {
			return
		}
	}
}

func (s *Service) loadFromStore(ctx context.Context) error {
	objects, version, err := s.store.List(ctx, Prefix)
	if err != nil {
		return fmt.Errorf("list objects: %w", err)
	}
	s.Apply(objects)
	s.copy.setCompleteVersion(version)
	return nil
}

// loadFromPeers applies the copies of all hosts that answer. It succeeds if more
// than half of the other hosts have answered and have loaded the lists
// themselves.
func (s *Service) loadFromPeers(ctx context.Context) error {
	peers := s.peers()
	others := s.otherHosts()
	if peers == nil || len(others) == 0 {
		return fmt.Errorf("no peers known")
	}
	answers := 0
	for _, h := range others {
		if complete, err := s.fetch(ctx, peers, h); err == nil && complete > 0 {
			answers++
		}
	}
	if 2*answers <= len(others) {
		return fmt.Errorf("%d of %d peers returned the lists; a majority is required", answers, len(others))
	}
	return nil
}

// fetch applies the objects that are newer at the peer. It returns the version up
// to which the peer's copy is complete, zero if the peer has not loaded the lists
// either.
func (s *Service) fetch(ctx context.Context, peers gypsumyard.PeerClient, h gypsumyard.Host) (gypsumyard.Version, error) {
	u, err := peers.FetchObjects(ctx, h, s.copy.completeVersion())
	if err != nil {
		return 0, fmt.Errorf("fetch list objects from %s: %w", h.Name, err)
	}
	s.Apply(u.Objects)
	s.copy.setCompleteVersion(u.Complete)
	return u.Complete, nil
}

func (s *Service) otherHosts() []gypsumyard.Host {
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

// watch applies changes from the store while this host is one of the region's
// watchers.
func (s *Service) watch(ctx context.Context) {
	select {
	case <-s.ready:
	case <-ctx.Done():
		return
	}
	delay := loadRetryDelay
	for ctx.Err() == nil {
		if !s.tree().isWatcher() {
			s.waitForMembership(ctx)
			continue
		}
		objects, version, err := s.store.Watch(ctx, Prefix, s.copy.completeVersion())
		if err != nil {
			s.log.WithError(err).Debug("watching the lists in the store failed")
			_ = s.clock.Sleep(ctx, jitter(delay))
			delay = min(2*delay, maxWatchRetryDelay)
			continue
		}
		delay = loadRetryDelay
		s.Apply(objects)
		s.copy.setCompleteVersion(version)
	}
}

func (s *Service) waitForMembership(ctx context.Context) {
	changes := s.members.Changes()
	if s.tree().isWatcher() {
		return
	}
	select {
	case <-changes:
	case <-ctx.Done():
	}
}

// pushChanges pushes applied objects to this host's children in the push tree.
func (s *Service) pushChanges(ctx context.Context) {
	for {
		select {
		case objects := <-s.pushQueue:
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
				s.log.WithError(err).WithField("host", h.Name).Debug("pushing list objects failed")
			}
		})
	}
	pushes.Wait()
}

// runAntiEntropy fetches newer objects from a random peer once per
// antiEntropyInterval.
func (s *Service) runAntiEntropy(ctx context.Context) {
	for s.clock.Sleep(ctx, jitter(antiEntropyInterval)) == nil {
		peers := s.peers()
		others := s.otherHosts()
		if peers == nil || len(others) == 0 {
			continue
		}
		h := others[rand.IntN(len(others))]
		if _, err := s.fetch(ctx, peers, h); err != nil {
			s.log.WithError(err).Debug("anti-entropy of the lists failed")
		}
	}
}

// jitter returns a random duration between three quarters and five quarters of
// d, so that hosts started at the same time do not act in lockstep.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2)
}
