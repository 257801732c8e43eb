package member

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/gypsumyard/gypsumyard/internal/peer/peerpb"
	"github.com/gypsumyard/gypsumyard/internal/rendezvous"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

const (
	// heartbeatInterval is the time between heartbeats to one target, with a
	// jitter of a tenth.
	heartbeatInterval = 200 * time.Millisecond
	// suspectAfter is two heartbeats and a half.
	suspectAfter = 500 * time.Millisecond
	// confirmAfter is how long a suspicion waits for another host that reaches
	// the suspect.
	confirmAfter = 300 * time.Millisecond
	// giveUpAfter is when a host that only heard of a suspicion takes the
	// suspect for dead: the host that suspected it may have died.
	giveUpAfter = 3 * time.Second
	// successors is how many hosts get heartbeats.
	successors = 8
	// updatesPerMessage bounds the updates on one heartbeat. An update has
	// about 60 bytes, so that a full message still fits in one packet.
	updatesPerMessage = 20
	// seedPatience is how long a host that knows only addresses waits for an
	// answer before it takes itself for the first one.
	seedPatience = 2 * time.Second
)

// A Transport carries messages between membership tables. The service "peer"
// implements it.
type Transport interface {
	// SendMembers sends m without waiting. It may be lost. A host without a
	// name is known only by its address.
	SendMembers(to gypsumyard.Host, m *peerpb.Members)
	// HandleMembers sets the function that takes messages. Its result, if not
	// nil, goes back to the sender.
	HandleMembers(handle func(m *peerpb.Members) *peerpb.Members)
}

// A Service is the kernel service "members". It implements
// [gypsumyard.Membership].
type Service struct {
	clock     gypsumyard.Clock
	log       logrus.FieldLogger
	metrics   tally.Scope
	transport Transport
	lister    gypsumyard.HostLister
	kernel    *kernel.Kernel
	seeds     []netip.AddrPort

	stopping context.Context
	stop     context.CancelFunc
	wait     sync.WaitGroup
	done     chan struct{}

	// current is the view, or nil after a change.
	current atomic.Pointer[view]
	lists   atomic.Pointer[gypsumyard.Lists]
	// leavingUpstreams names the instances that the platform's list shows as
	// leaving.
	leavingUpstreams atomic.Pointer[map[string]bool]

	mu      sync.Mutex
	self    *record
	records map[string]*record
	queue   queue
	changes chan struct{}

	suspects map[string]*record
	// probing holds the hosts that this one probes through others. A probe
	// ends in time even if the host is no longer a target.
	probing map[string]*record
	// digest is the same in equal tables.
	digest uint64
	// dirty indicates that ring and targets do not reflect the table.
	dirty   bool
	ring    []*record
	targets []*record

	sequence uint64
	ticked   time.Time
	began    time.Time
	// joined indicates that a host or the platform's list has answered.
	joined bool
	// complete indicates that the table of another host was equal or was fetched.
	complete bool
	// fresh is since when the view is up to date, zero while it is not.
	fresh time.Time
	// freshFrom is the first sequence number whose answer proves contact.
	freshFrom uint64

	helping  map[string][]helped
	assigned map[string]assigned
	differs  time.Time
	// askedSeeds is when seeds were last asked.
	askedSeeds time.Time
	synced     time.Time
	retried    time.Time
	forgotten  time.Time
}

// An Option changes a Service.
type Option func(*Service)

// WithClock sets the clock. The default is the system's.
func WithClock(c gypsumyard.Clock) Option { return func(s *Service) { s.clock = c } }

// WithLogger sets the logger.
func WithLogger(l logrus.FieldLogger) Option { return func(s *Service) { s.log = l } }

// WithMetrics sets the scope of the metrics.
func WithMetrics(m tally.Scope) Option { return func(s *Service) { s.metrics = m } }

// WithSeeds sets the addresses of hosts to ask when the platform's list cannot
// be read at the start.
func WithSeeds(addrs ...netip.AddrPort) Option { return func(s *Service) { s.seeds = addrs } }

// New returns the service of the host self.
func New(self gypsumyard.Host, options ...Option) *Service {
	s := &Service{
		clock:    clock.System(),
		log:      logrus.StandardLogger(),
		metrics:  tally.NoopScope,
		done:     make(chan struct{}),
		records:  map[string]*record{},
		queue:    queue{sent: map[string]int{}},
		changes:  make(chan struct{}),
		helping:  map[string][]helped{},
		assigned: map[string]assigned{},
		suspects: map[string]*record{},
		probing:  map[string]*record{},
	}
	for _, o := range options {
		o(s)
	}
	s.stopping, s.stop = context.WithCancel(context.Background())
	now := s.clock.Now()
	s.began, s.ticked = now, now
	// The start time makes the incarnation higher than those of earlier
	// processes of this name.
	s.self = &record{host: self, incarnation: uint64(now.UnixMilli()), hash: rendezvous.HashName(self.Name), changed: now}
	s.records[self.Name] = s.self
	s.noteChange(s.self)
	return s
}

// Name returns "members".
func (s *Service) Name() string { return "members" }

// Needs returns the services that Start looks up. The service "lists" is
// looked up when it is first needed.
func (s *Service) Needs() []string { return []string{"peer", "platform"} }

// Done returns a channel that is closed after Stop.
func (s *Service) Done() <-chan struct{} { return s.done }

// Start reads the platform's list, once, and begins to send heartbeats.
func (s *Service) Start(ctx context.Context, k *kernel.Kernel) (err error) {
	s.kernel = k
	s.transport, err = kernel.Lookup[Transport](k, "peer")
	if err != nil {
		return fmt.Errorf("members: %w", err)
	}
	s.lister, err = kernel.Lookup[gypsumyard.HostLister](k, "platform")
	if err != nil {
		return fmt.Errorf("members: %w", err)
	}
	s.pollList(ctx, firstPollTimeout)
	s.mu.Lock()
	s.ticked = s.clock.Now() // The list may have taken long; that was no pause.
	s.mu.Unlock()
	s.transport.HandleMembers(s.receive)
	s.wait.Go(s.beat)
	s.wait.Go(s.poll)
	return nil
}

// Stop ends the heartbeats.
func (s *Service) Stop(context.Context) error {
	s.stop()
	s.wait.Wait()
	close(s.done)
	return nil
}

func (s *Service) beat() {
	for {
		if s.clock.Sleep(s.stopping, jittered(heartbeatInterval)) != nil {
			return
		}
		s.tick()
	}
}

// jittered returns d changed at random by up to a tenth.
func jittered(d time.Duration) time.Duration { return d - d/10 + rand.N(d/5) }

// Self returns this host.
func (s *Service) Self() gypsumyard.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.self.host
	h.State = s.self.hostState()
	return h
}

// Hosts returns the hosts of this region that are not dead, ordered by name.
func (s *Service) Hosts() []gypsumyard.Host {
	return append([]gypsumyard.Host(nil), s.view().hosts...)
}

// Owner returns the host that owns the database: the first in rendezvous order
// among those of the database's region that are live and not leaving.
func (s *Service) Owner(database string) (gypsumyard.Host, bool) {
	lists := s.lookupLists()
	if lists == nil {
		return gypsumyard.Host{}, false
	}
	d, ok := lists.Database(database)
	if !ok {
		return gypsumyard.Host{}, false
	}
	return s.view().owner(d.Region, database)
}

// Changes returns a channel that is closed at the next change of the view.
func (s *Service) Changes() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changes
}

// FreshSince returns since when the view is up to date without a break, as far
// as this host can know. It returns false after a pause of the process until a
// peer has answered.
func (s *Service) FreshSince() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fresh.IsZero() || s.clock.Since(s.ticked) > suspectAfter {
		return time.Time{}, false
	}
	return s.fresh, true
}

// Announce tells the other hosts the state of this one: HostLive, HostLeaving,
// or HostDead when it has left.
func (s *Service) Announce(state gypsumyard.HostState) {
	to := peerpb.MemberState_LIVE
	switch state {
	case gypsumyard.HostLeaving:
		to = peerpb.MemberState_LEAVING
	case gypsumyard.HostDead:
		to = peerpb.MemberState_LEFT
	}
	s.mu.Lock()
	s.setSelf(to, s.self.incarnation+1)
	out := s.heartbeats()
	s.mu.Unlock()
	s.sendAll(out)
}

func (s *Service) view() *view {
	if v := s.current.Load(); v != nil {
		return v
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.buildView()
	s.current.Store(v)
	return v
}

func (s *Service) lookupLists() gypsumyard.Lists {
	if l := s.lists.Load(); l != nil {
		return *l
	}
	if s.kernel == nil {
		return nil
	}
	l, err := kernel.Lookup[gypsumyard.Lists](s.kernel, "lists")
	if err != nil {
		return nil
	}
	s.lists.Store(&l)
	return l
}
