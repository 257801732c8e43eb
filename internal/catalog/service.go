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
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/sirupsen/logrus"
)

const (
	// retryMin and retryMax bound the pause after a failed call to the store.
	retryMin = 50 * time.Millisecond
	retryMax = 400 * time.Millisecond
	// verifiers is how many hosts watch the store, so that its calls do not grow
	// with the fleet. Others ask them. They renew their watches so often that a
	// change which a watch has missed is in force in time.
	verifiers = 3
	// verifierKey places the verifiers.
	verifierKey = "desired-state"
	// desiredWait bounds a watch of the desired state, instancesWait one of the
	// instances, for which there is more time.
	desiredWait   = 1200 * time.Millisecond
	instancesWait = 2400 * time.Millisecond
	// verifiedFor is how long the answer of a verifier is relied on. A host that
	// has had none for so long watches the store itself.
	verifiedFor = 1500 * time.Millisecond
	// restPause is the pause between two looks whether to watch.
	restPause = 200 * time.Millisecond
	// listAgainAfter is the time without an answer after which a list is asked
	// for again, since a store that comes back does not answer what was asked
	// before. Up to maxLists calls are under way.
	listAgainAfter = 400 * time.Millisecond
	maxLists       = 5
	// peerInterval is the time between two questions to a verifier while the
	// store answers, and peerIntervalLost while it does not.
	peerInterval     = 600 * time.Millisecond
	peerIntervalLost = 250 * time.Millisecond
	// peerTimeout bounds one question to another host.
	peerTimeout = 500 * time.Millisecond
	// expireInterval is the time between two looks for ended grace periods.
	expireInterval = 250 * time.Millisecond
	// freshWithin is the age of the last answer of a store or peer up to which
	// the copies count as current.
	freshWithin = 8 * time.Second
)

// Names are those of the objects in the platform's store.
type Names struct {
	// Desired is the object that holds the desired state.
	Desired string
	// Instances is the prefix of the instances' entries.
	Instances string
	// Hosts is the prefix of the hosts' own entries.
	Hosts string
}

// desiredPrefix returns the prefix that is watched for the desired state.
func (n Names) desiredPrefix() string {
	kind, _, _ := strings.Cut(n.Desired, "/")
	return kind + "/"
}

// A Service is the kernel service "lists". It implements [gypsumyard.Lists],
// [gypsumyard.DesiredStateSource] and [gypsumyard.ObjectReplica].
type Service struct {
	*copies
	store  gypsumyard.Store
	kernel *kernel.Kernel

	stopping context.Context
	stop     context.CancelFunc
	work     sync.WaitGroup
	done     chan struct{}

	linkMu sync.Mutex
	// lost holds the watches that have no contact with the store.
	lost map[string]bool
	// heard is when the store or a peer last answered.
	heard time.Time
	// verified is when a verifier last answered.
	verified time.Time
}

var (
	_ gypsumyard.Lists              = (*Service)(nil)
	_ gypsumyard.DesiredStateSource = (*Service)(nil)
	_ gypsumyard.ObjectReplica      = (*Service)(nil)
)

// An Option changes a Service.
type Option func(*Service)

// WithClock sets the clock. The default is the system's.
func WithClock(c gypsumyard.Clock) Option { return func(s *Service) { s.clock = c } }

// WithLogger sets the logger.
func WithLogger(l logrus.FieldLogger) Option { return func(s *Service) { s.log = l } }

// New returns the service of a host in the region.
func New(store gypsumyard.Store, decoder gypsumyard.Decoder, names Names, region string, options ...Option) *Service {
	s := &Service{
		copies: &copies{
			names:    names,
			decoder:  decoder,
			clock:    clock.System(),
			log:      logrus.StandardLogger(),
			region:   region,
			objects:  map[string]*copied{},
			complete: map[string]gypsumyard.Version{},
			current:  &snapshot{},
			changes:  make(chan struct{}),
			ready:    make(chan struct{}),
		},
		store: store,
		done:  make(chan struct{}),
		lost:  map[string]bool{},
	}
	for _, o := range options {
		o(s)
	}
	s.stopping, s.stop = context.WithCancel(context.Background())
	return s
}

// Name returns "lists".
func (s *Service) Name() string { return "lists" }

// Needs returns nothing: "members" and "peer" are looked up when they are
// first needed, because they need this service.
func (s *Service) Needs() []string { return nil }

// Done returns a channel that is closed after Stop.
func (s *Service) Done() <-chan struct{} { return s.done }

// Start begins to watch the store. It does not wait for the first answer.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	s.kernel = k
	s.work.Go(func() { s.follow(s.names.desiredPrefix()) })
	s.work.Go(func() { s.follow(s.names.Instances) })
	s.work.Go(s.askPeers)
	s.work.Go(s.expireLoop)
	return nil
}

// Stop ends the watches.
func (s *Service) Stop(context.Context) error {
	s.stop()
	s.work.Wait()
	close(s.done)
	return nil
}

// follow lists the objects of a prefix and watches their changes for as long
// as the service runs.
func (s *Service) follow(prefix string) {
	pause := retryMin
	for s.stopping.Err() == nil {
		if s.rests(prefix) {
			if s.clock.Sleep(s.stopping, restPause) != nil {
				return
			}
			continue
		}
		err := s.followOnce(prefix)
		if err == nil {
			pause = retryMin
			continue
		}
		if s.stopping.Err() != nil {
			return
		}
		s.noteLost(prefix, err)
		if s.clock.Sleep(s.stopping, pause/2+rand.N(pause)) != nil {
			return
		}
		pause = min(2*pause, retryMax)
	}
}

// followOnce makes the next call: a watch from where the copies are complete,
// or a list if they are not complete or the store has dropped its history.
func (s *Service) followOnce(prefix string) error {
	after := s.completeOf(prefix)
	if after == 0 {
		return s.list(prefix)
	}
	wait := desiredWait
	if prefix == s.names.Instances {
		wait = instancesWait
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
	s.noteHeard(prefix)
	s.Apply(events)
	s.setComplete(prefix, v)
	return nil
}

// A leader tells which hosts are first for a key.
type leader interface {
	Leading(key string, n int) []gypsumyard.Host
}

// rests reports whether this host leaves the watch of the store to others. A
// watch can miss changes and the loss of its history without an error, so that
// all hosts would have to renew theirs often.
func (s *Service) rests(prefix string) bool {
	s.linkMu.Lock()
	recent := !s.verified.IsZero() && s.clock.Since(s.verified) < verifiedFor
	s.linkMu.Unlock()
	return recent && s.completeOf(prefix) > 0 && !s.verifies()
}

// verifies reports whether this host is one of the verifiers.
func (s *Service) verifies() bool {
	members, err := kernel.Lookup[gypsumyard.Membership](s.kernel, "members")
	if err != nil {
		return true
	}
	self := members.Self().Name
	return slices.ContainsFunc(s.verifiers(members), func(h gypsumyard.Host) bool { return h.Name == self })
}

func (s *Service) verifiers(members gypsumyard.Membership) []gypsumyard.Host {
	if l, ok := members.(leader); ok {
		return l.Leading(verifierKey, verifiers)
	}
	return members.Hosts()
}

// list replaces the copies by what the store lists. The first answer counts.
func (s *Service) list(prefix string) error {
	ctx, cancel := context.WithCancel(s.stopping)
	defer cancel()
	answers := make(chan listed, maxLists)
	ask := func() {
		objects, v, err := s.store.List(ctx, prefix)
		answers <- listed{objects, v, err}
	}
	t := s.clock.NewTimer(listAgainAfter)
	defer t.Stop()
	go ask()
	for calls := 1; ; {
		select {
		case l := <-answers:
			if l.err != nil {
				return l.err
			}
			s.noteHeard(prefix)
			s.replaceAll(prefix, l.objects, l.version)
			return nil
		case <-t.C():
			if calls < maxLists {
				calls++
				go ask()
				t.Reset(listAgainAfter)
			}
		}
	}
}

// listed is the answer to one call.
type listed struct {
	objects []gypsumyard.Object
	version gypsumyard.Version
	err     error
}

func (s *Service) noteLost(prefix string, err error) {
	s.linkMu.Lock()
	before := s.lost[prefix]
	s.lost[prefix] = true
	s.linkMu.Unlock()
	if !before {
		s.log.WithField("prefix", prefix).WithError(err).Warn("store lost")
	}
}

func (s *Service) noteHeard(prefix string) {
	s.linkMu.Lock()
	before := s.lost[prefix]
	s.lost[prefix] = false
	s.heard = s.clock.Now()
	s.linkMu.Unlock()
	if before {
		s.log.WithField("prefix", prefix).Info("store regained")
	}
}

// StoreLost reports whether the store does not answer this host.
func (s *Service) StoreLost() bool {
	s.linkMu.Lock()
	defer s.linkMu.Unlock()
	for _, l := range s.lost {
		if l {
			return true
		}
	}
	return false
}

// Current reports whether the store or another host has answered lately, so
// that the copies can be relied on.
func (s *Service) Current() bool {
	s.linkMu.Lock()
	defer s.linkMu.Unlock()
	return !s.heard.IsZero() && s.clock.Since(s.heard) < freshWithin
}

// askPeers asks other hosts for objects that are newer than the copies.
func (s *Service) askPeers() {
	for {
		pause := peerInterval
		if s.StoreLost() || !s.isReady() {
			pause = peerIntervalLost
		}
		if s.clock.Sleep(s.stopping, pause/2+rand.N(pause)) != nil {
			return
		}
		if err := s.askPeer(); err != nil {
			s.log.WithError(err).Debug("ask a peer for newer objects")
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

func (s *Service) askPeer() error {
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
	for _, h := range s.verifiers(members) {
		if h.Name != self && h.State == gypsumyard.HostLive {
			others = append(others, h)
		}
	}
	if len(others) == 0 {
		return nil
	}
	to := others[rand.IntN(len(others))]
	ctx, cancel := context.WithTimeout(s.stopping, peerTimeout)
	defer cancel()
	s.mu.Lock()
	after := s.completeLocked()
	s.mu.Unlock()
	objects, complete, err := peers.FetchObjects(ctx, to, after)
	if err != nil {
		return fmt.Errorf("from %s: %w", to.Name, err)
	}
	if n := s.Apply(objects); n > 0 {
		s.log.WithFields(logrus.Fields{"member": to.Name, "objects": n, "complete": complete}).Info("newer objects from a peer")
	}
	if complete > after {
		s.adoptComplete(complete)
	}
	now := s.clock.Now()
	s.linkMu.Lock()
	defer s.linkMu.Unlock()
	s.heard = now
	if complete > 0 {
		s.verified = now
	}
	return nil
}

// Newer returns the copies that are newer than after. A host that the store
// does not serve says that it is complete up to nothing: it verifies nothing.
func (s *Service) Newer(after gypsumyard.Version) (list []gypsumyard.Object, complete gypsumyard.Version) {
	list, complete = s.copies.Newer(after)
	if s.StoreLost() {
		complete = 0
	}
	return list, complete
}

func (s *Service) expireLoop() {
	for s.clock.Sleep(s.stopping, expireInterval) == nil {
		s.expire()
	}
}

// Ready returns a channel that is closed when the desired state and the list
// of instances are known.
func (s *Service) Ready() <-chan struct{} { return s.ready }

// Desired returns the desired state in force, or nil.
func (s *Service) Desired() *gypsumyard.DesiredState { return s.snapshot().desired }

// Instances returns the listed instances of a group, ordered by ID. The slice
// is shared and may not be changed.
func (s *Service) Instances(group string) []gypsumyard.ListedInstance {
	return s.snapshot().instances[group]
}

// Changes returns a channel that is closed at the next change.
func (s *Service) Changes() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changes
}

// Database returns the group of the given name.
func (s *Service) Database(name string) (gypsumyard.Database, bool) {
	d, ok := s.snapshot().byName[name]
	return d, ok
}

// Databases returns all groups, ordered by name.
func (s *Service) Databases() []gypsumyard.Database { return s.snapshot().databases }

// Customer returns nothing: the platform has no list of customers.
func (s *Service) Customer(string) (gypsumyard.Customer, bool) { return gypsumyard.Customer{}, false }

// Plan returns nothing: the platform has no list of plans.
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
