package catalog

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/gypsumyard/gypsumyard/internal/era"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/sirupsen/logrus"
)

const (
	// retryMin and retryMax bound the pause after a failed call to the store.
	retryMin = 50 * time.Millisecond
	retryMax = 400 * time.Millisecond
	// watcherCount is the number of hosts that watch the store. It is fixed so that
	// the number of calls to the store does not grow with the fleet; the other hosts
	// pull from the watchers. Watchers renew their watches often enough that a
	// change that a watch has missed is in force in time.
	watcherCount = 3
	// watcherKey is the rendezvous key that selects the watchers.
	watcherKey = "desired-state"
	// desiredWatchTimeout bounds one watch call for the desired state, and
	// instancesWatchTimeout one for the instances, whose changes may take longer to
	// be in force.
	desiredWatchTimeout   = 1200 * time.Millisecond
	instancesWatchTimeout = 2400 * time.Millisecond
	// watcherAnswerValidity is how long a host relies on the last answer of a
	// watcher. After that it watches the store itself.
	watcherAnswerValidity = 1500 * time.Millisecond
	// delegationCheckInterval is how often a host that leaves the watch to others
	// checks whether it must watch the store itself.
	delegationCheckInterval = 200 * time.Millisecond
	// listRetryInterval is the time without an answer after which a list call is
	// repeated, since a store that recovers does not answer calls from before. Up
	// to maxConcurrentLists calls are in flight.
	listRetryInterval  = 400 * time.Millisecond
	maxConcurrentLists = 5
	// pullInterval is the mean time between two pulls from a watcher while the store
	// answers and the lists are known, and pullIntervalStoreUnreachable otherwise.
	pullInterval                 = 600 * time.Millisecond
	pullIntervalStoreUnreachable = 250 * time.Millisecond
	// pullTimeout bounds one pull from another host.
	pullTimeout = 500 * time.Millisecond
	// expireInterval is the time between two checks for removed entries whose grace
	// period has ended.
	expireInterval = 250 * time.Millisecond
	// maxContactAge is the age of the last answer from the store or a peer up to
	// which the copies count as current.
	maxContactAge = 8 * time.Second
)

// ObjectNames are the names and prefixes of the objects in the platform's store.
type ObjectNames struct {
	// Desired is the name of the object that holds the desired state.
	Desired string
	// Instances is the name prefix of the instances' entries.
	Instances string
	// Hosts is the name prefix of the entries that hosts write about themselves.
	Hosts string
}

// desiredPrefix returns the name prefix to watch for the desired state.
func (n ObjectNames) desiredPrefix() string {
	kind, _, _ := strings.Cut(n.Desired, "/")
	return kind + "/"
}

// A Service is the kernel service "lists". It implements [gypsumyard.Lists],
// [gypsumyard.DesiredStateSource] and [gypsumyard.ObjectReplica].
type Service struct {
	*objectCache
	store  gypsumyard.Store
	eras   gypsumyard.Eras
	kernel *kernel.Kernel

	stopping context.Context
	stop     context.CancelFunc
	work     sync.WaitGroup
	done     chan struct{}

	contactMu sync.Mutex
	// unreachable indicates, by watched prefix, that the last call to the store
	// failed.
	unreachable map[string]bool
	// lastAnswer is when the store or a peer last answered.
	lastAnswer time.Time
	// lastWatcherAnswer is when a watcher that the store serves last answered.
	lastWatcherAnswer time.Time
}

var (
	_ gypsumyard.Lists              = (*Service)(nil)
	_ gypsumyard.DesiredStateSource = (*Service)(nil)
	_ gypsumyard.ObjectReplica      = (*Service)(nil)
)

// An Option configures a Service.
type Option func(*Service)

// WithClock sets the clock. The default is the system clock.
func WithClock(c gypsumyard.Clock) Option { return func(s *Service) { s.clock = c } }

// WithLogger sets the logger.
func WithLogger(l logrus.FieldLogger) Option { return func(s *Service) { s.log = l } }

// WithEras sets the tracker of the store's era, which the store's client updates.
func WithEras(e gypsumyard.Eras) Option { return func(s *Service) { s.eras = e } }

// New returns the catalog of a host in the region.
func New(store gypsumyard.Store, decoder gypsumyard.Decoder, names ObjectNames, region string, options ...Option) *Service {
	s := &Service{
		objectCache: &objectCache{
			names:            names,
			decoder:          decoder,
			clock:            clock.System(),
			log:              logrus.StandardLogger(),
			region:           region,
			objects:          map[string]*cachedObject{},
			completeVersions: map[string]gypsumyard.Version{},
			current:          &snapshot{},
			changes:          make(chan struct{}),
			ready:            make(chan struct{}),
		},
		store:       store,
		eras:        era.NewTracker(),
		done:        make(chan struct{}),
		unreachable: map[string]bool{},
	}
	for _, o := range options {
		o(s)
	}
	s.stopping, s.stop = context.WithCancel(context.Background())
	return s
}

// Name returns "lists".
func (s *Service) Name() string { return "lists" }

// Needs returns nothing. The services "members" and "peer" depend on this one, so
// they are looked up when they are first needed.
func (s *Service) Needs() []string { return nil }

// Done returns a channel that is closed after Stop.
func (s *Service) Done() <-chan struct{} { return s.done }

// Start starts to watch the store and to pull from other hosts. It does not wait
// for the first answer.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	s.kernel = k
	s.work.Go(func() { s.watchLoop(s.names.desiredPrefix()) })
	s.work.Go(func() { s.watchLoop(s.names.Instances) })
	s.work.Go(s.pullLoop)
	s.work.Go(s.expireLoop)
	return nil
}

// Stop ends the watches and the pulls.
func (s *Service) Stop(context.Context) error {
	s.stop()
	s.work.Wait()
	close(s.done)
	return nil
}

// watchLoop keeps the copies of a prefix up to date with the store until the
// service stops, except while this host leaves the watch to others.
func (s *Service) watchLoop(prefix string) {
	pause := retryMin
	for s.stopping.Err() == nil {
		if s.delegatesWatch(prefix) {
			if s.clock.Sleep(s.stopping, delegationCheckInterval) != nil {
				return
			}
			continue
		}
		err := s.watchOnce(prefix)
		if err == nil {
			pause = retryMin
			continue
		}
		if s.stopping.Err() != nil {
			return
		}
		s.noteUnreachable(prefix, err)
		if s.clock.Sleep(s.stopping, pause/2+rand.N(pause)) != nil {
			return
		}
		pause = min(2*pause, retryMax)
	}
}

// watchOnce makes the next call to the store: a watch from the version up to which
// the copies are complete, or a list if there is no such version or the store has
// dropped its history since.
func (s *Service) watchOnce(prefix string) error {
	after := s.completeVersion(prefix)
	if after == 0 || after.Era() < s.latestEra() {
		return s.list(prefix)
	}
	wait := desiredWatchTimeout
	if prefix == s.names.Instances {
		wait = instancesWatchTimeout
	}
	ctx, cancel := context.WithTimeout(s.stopping, wait)
	defer cancel()
	events, v, err := s.store.Watch(ctx, prefix, after)
	if errors.Is(err, gypsumyard.ErrHistoryGone) {
		s.log.WithFields(logrus.Fields{"prefix": prefix, "after": after}).Info("history of the store is gone, listing again")
		return s.list(prefix)
	}
	if err != nil {
		return err
	}
	s.noteAnswer(prefix)
	s.Apply(events)
	s.setCompleteVersion(prefix, v)
	return nil
}

// A ranker returns the hosts that rank highest for a key.
type ranker interface {
	TopRanked(key string, n int) []gypsumyard.Host
}

// delegatesWatch reports whether this host leaves the watch of the store to the
// watchers. After a restore of the store it first lists the store itself. A watch can miss changes and the loss of its history without an error,
// so if all hosts watched, all would have to renew their watches often.
func (s *Service) delegatesWatch(prefix string) bool {
	s.contactMu.Lock()
	recent := !s.lastWatcherAnswer.IsZero() && s.clock.Since(s.lastWatcherAnswer) < watcherAnswerValidity
	s.contactMu.Unlock()
	complete := s.completeVersion(prefix)
	return recent && complete > 0 && complete.Era() >= s.latestEra() && !s.isWatcher()
}

func (s *Service) latestEra() gypsumyard.Era {
	e, _ := s.eras.Era()
	return e
}

// isWatcher reports whether this host is one of the watchers.
func (s *Service) isWatcher() bool {
	members, err := kernel.Lookup[gypsumyard.Membership](s.kernel, "members")
	if err != nil {
		return true
	}
	self := members.Self().Name
	return slices.ContainsFunc(s.watchers(members), func(h gypsumyard.Host) bool { return h.Name == self })
}

func (s *Service) watchers(members gypsumyard.Membership) []gypsumyard.Host {
	if l, ok := members.(ranker); ok {
		return l.TopRanked(watcherKey, watcherCount)
	}
	return members.Hosts()
}

// list replaces the copies with the objects that the store lists. It uses the
// first answer if several calls are in flight.
func (s *Service) list(prefix string) error {
	ctx, cancel := context.WithCancel(s.stopping)
	defer cancel()
	answers := make(chan listResult, maxConcurrentLists)
	call := func() {
		objects, v, err := s.store.List(ctx, prefix)
		answers <- listResult{objects, v, err}
	}
	t := s.clock.NewTimer(listRetryInterval)
	defer t.Stop()
	go call()
	for calls := 1; ; {
		select {
		case l := <-answers:
			if l.err != nil {
				return l.err
			}
			s.eras.Observe(l.version.Era())
			if l.version.Era() < s.latestEra() {
				return fmt.Errorf("list %s: %w: version %v is of an earlier era", prefix, gypsumyard.ErrUnavailable, l.version)
			}
			s.noteAnswer(prefix)
			s.applyList(prefix, l.objects, l.version)
			return nil
		case <-t.C():
			if calls < maxConcurrentLists {
				calls++
				go call()
				t.Reset(listRetryInterval)
			}
		}
	}
}

// A listResult is the answer to one list call.
type listResult struct {
	objects []gypsumyard.Object
	version gypsumyard.Version
	err     error
}

func (s *Service) noteUnreachable(prefix string, err error) {
	s.contactMu.Lock()
	before := s.unreachable[prefix]
	s.unreachable[prefix] = true
	s.contactMu.Unlock()
	if !before {
		s.log.WithField("prefix", prefix).WithError(err).Warn("store lost")
	}
}

func (s *Service) noteAnswer(prefix string) {
	s.contactMu.Lock()
	before := s.unreachable[prefix]
	s.unreachable[prefix] = false
	s.lastAnswer = s.clock.Now()
	s.contactMu.Unlock()
	if before {
		s.log.WithField("prefix", prefix).Info("store regained")
	}
}

// StoreUnreachable reports whether the last call to the store failed for any of the
// prefixes.
func (s *Service) StoreUnreachable() bool {
	s.contactMu.Lock()
	defer s.contactMu.Unlock()
	for _, l := range s.unreachable {
		if l {
			return true
		}
	}
	return false
}

// Current reports whether the store or another host has answered recently, so that
// the copies can be relied on.
func (s *Service) Current() bool {
	s.contactMu.Lock()
	defer s.contactMu.Unlock()
	return !s.lastAnswer.IsZero() && s.clock.Since(s.lastAnswer) < maxContactAge
}

// pullLoop pulls newer objects from other hosts periodically until the service
// stops.
func (s *Service) pullLoop() {
	for {
		pause := pullInterval
		if s.StoreUnreachable() || !s.isReady() {
			pause = pullIntervalStoreUnreachable
		}
		if s.clock.Sleep(s.stopping, pause/2+rand.N(pause)) != nil {
			return
		}
		if err := s.pullFromPeer(); err != nil {
			s.log.WithError(err).Debug("pull of newer objects from a peer failed")
		}
	}
}

func (s *Service) isReady() bool {
	select {
	case <-s.ready:
		return true
	default:
		return false
	}
}

func (s *Service) pullFromPeer() error {
	members, err := kernel.Lookup[gypsumyard.Membership](s.kernel, "members")
	if err != nil {
		return err
	}
	peers, err := kernel.Lookup[gypsumyard.PeerClient](s.kernel, "peer")
	if err != nil {
		return err
	}
	self := members.Self().Name
	var others []gypsumyard.Host
	for _, h := range s.watchers(members) {
		if h.Name != self && h.State == gypsumyard.HostLive {
			others = append(others, h)
		}
	}
	if len(others) == 0 {
		return nil
	}
	to := others[rand.IntN(len(others))]
	ctx, cancel := context.WithTimeout(s.stopping, pullTimeout)
	defer cancel()
	s.mu.Lock()
	after := s.minCompleteVersionLocked()
	s.mu.Unlock()
	objects, complete, err := peers.FetchObjects(ctx, to, after)
	if err != nil {
		return fmt.Errorf("from %s: %w", to.Name, err)
	}
	if n := s.Apply(objects); n > 0 {
		s.log.WithFields(logrus.Fields{"member": to.Name, "objects": n, "complete": complete}).Info("newer objects from a peer")
	}
	if complete.Era() > s.latestEra() {
		s.eras.Observe(complete.Era())
	}
	if complete > after {
		s.adoptCompleteVersion(complete)
	}
	now := s.clock.Now()
	s.contactMu.Lock()
	defer s.contactMu.Unlock()
	s.lastAnswer = now
	if complete > 0 && complete.Era() >= s.latestEra() {
		s.lastWatcherAnswer = now
	}
	return nil
}

// Newer returns the copies that are newer than after, and the version up to which
// they are complete. While the store is unreachable that version is zero, so that
// the answer does not count as one of a watcher.
func (s *Service) Newer(after gypsumyard.Version) (list []gypsumyard.Object, complete gypsumyard.Version) {
	list, complete = s.objectCache.Newer(after)
	if s.StoreUnreachable() {
		complete = 0
	}
	return list, complete
}

func (s *Service) expireLoop() {
	for s.clock.Sleep(s.stopping, expireInterval) == nil {
		s.expireRemoved()
	}
}

// Ready returns a channel that is closed once the desired state and the list of
// instances are known.
func (s *Service) Ready() <-chan struct{} { return s.ready }

// Desired returns the desired state in force, or nil.
func (s *Service) Desired() *gypsumyard.DesiredState { return s.snapshot().desired }

// Instances returns the listed instances of a group, ordered by ID. The slice is
// shared and must not be modified.
func (s *Service) Instances(group string) []gypsumyard.ListedInstance {
	return s.snapshot().instances[group]
}

// Changes returns a channel that is closed when the desired state or the instances
// next change.
func (s *Service) Changes() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changes
}

// Database returns the database group with the given name.
func (s *Service) Database(name string) (gypsumyard.Database, bool) {
	d, ok := s.snapshot().byName[name]
	return d, ok
}

// Databases returns all database groups, ordered by name.
func (s *Service) Databases() []gypsumyard.Database { return s.snapshot().databases }

// Customer always returns false: the platform has no list of customers.
func (s *Service) Customer(string) (gypsumyard.Customer, bool) { return gypsumyard.Customer{}, false }

// Plan always returns false: the platform has no list of plans.
func (s *Service) Plan(string) (gypsumyard.Plan, bool) { return gypsumyard.Plan{}, false }

// Versions returns the version in force of each object.
func (s *Service) Versions() map[string]gypsumyard.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]gypsumyard.Version{}
	for name, o := range s.objects {
		out[name] = o.Version
	}
	return out
}
