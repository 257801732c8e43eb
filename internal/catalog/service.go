package catalog

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/gypsumyard/gypsumyard/internal/era"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// expireInterval is the time between two checks for removed entries whose grace
// period has ended.
const expireInterval = 250 * time.Millisecond

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

// A StoreFor returns the platform's store to make calls for the reason.
type StoreFor func(gypsumyard.CallReason) gypsumyard.Store

// A Service is the kernel service "lists". It implements [gypsumyard.Lists],
// [gypsumyard.DesiredStateSource] and [gypsumyard.ObjectReplica].
type Service struct {
	*objectCache
	store  StoreFor
	eras   gypsumyard.Eras
	kernel *kernel.Kernel
	scope  tally.Scope
	// cadence is how often the desired state is asked for.
	cadence cadence
	// applyTimeout is how soon a new desired state must be in force.
	applyTimeout time.Duration

	stopping context.Context
	stop     context.CancelFunc
	work     sync.WaitGroup
	done     chan struct{}

	contact *contact
	// peerTransfer and storeTransfer follow what arrives from a peer, and of the desired
	// state from the store.
	peerTransfer, storeTransfer *transfer

	answers   *answerLog
	proof     proof
	peerCheck peerCheck
	// revokeTimeout is how soon a withdrawn key must not be accepted, or zero if that
	// is not strict.
	revokeTimeout time.Duration
	// unproven indicates that the loss of the proof was logged. Only expireLoop uses it.
	unproven bool
}

var (
	_ gypsumyard.Lists              = (*Service)(nil)
	_ gypsumyard.DesiredStateSource = (*Service)(nil)
	_ gypsumyard.DesiredStateProver = (*Service)(nil)
	_ gypsumyard.ObjectReplica      = (*Service)(nil)
)

// An Option configures a Service.
type Option func(*Service)

// WithClock sets the clock. The default is the system clock.
func WithClock(c gypsumyard.Clock) Option { return func(s *Service) { s.clock = c } }

// WithLogger sets the logger.
func WithLogger(l logrus.FieldLogger) Option { return func(s *Service) { s.log = l } }

// WithMetrics sets the scope in which metrics are reported.
func WithMetrics(m tally.Scope) Option { return func(s *Service) { s.scope = m } }

// WithEras sets the tracker of the store's era, which the store's client updates.
func WithEras(e gypsumyard.Eras) Option { return func(s *Service) { s.eras = e } }

// WithApplyTimeout sets how soon a new desired state must be in force.
func WithApplyTimeout(d time.Duration) Option {
	return func(s *Service) { s.applyTimeout = d }
}

// WithRevokeTimeout sets how soon after its withdrawal a key must not be accepted on any
// host. Zero, the default, lets hosts that have lost the store accept it for longer.
func WithRevokeTimeout(d time.Duration) Option { return func(s *Service) { s.revokeTimeout = d } }

// New returns the catalog of a host in the region.
func New(store StoreFor, decoder gypsumyard.Decoder, names ObjectNames, region string, options ...Option) *Service {
	s := &Service{
		objectCache: &objectCache{
			names:            names,
			decoder:          decoder,
			clock:            clock.System(),
			log:              logrus.StandardLogger(),
			region:           region,
			objects:          map[string]*cachedObject{},
			completeVersions: map[string]gypsumyard.Version{},
			changes:          make(chan struct{}),
			ready:            make(chan struct{}),
		},
		store:        store,
		eras:         era.NewTracker(),
		scope:        tally.NoopScope,
		applyTimeout: defaultApplyTimeout,
		done:         make(chan struct{}),
	}
	s.current.Store(&snapshot{})
	for _, o := range options {
		o(s)
	}
	s.cadence = newCadence(s.applyTimeout)
	s.answers = newAnswerLog(s.clock, s.log, s.scope, s.applyTimeout)
	s.contact = newContact(s.clock, s.log, names, s.cadence)
	s.peerTransfer = &transfer{clock: s.clock, limit: s.cadence.validity}
	s.storeTransfer = &transfer{clock: s.clock, limit: s.cadence.validity}
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

func (s *Service) expireLoop() {
	for s.clock.Sleep(s.stopping, expireInterval) == nil {
		s.expireRemoved()
		s.logProof()
		s.answers.report(s.Desired())
	}
}

// Current reports whether the store or another host has answered recently, so that
// the copies can be relied on.
func (s *Service) Current() bool { return s.contact.current() }

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
