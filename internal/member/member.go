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
	// heartbeatInterval is the time between heartbeats to one target, before a
	// random jitter of up to a tenth.
	heartbeatInterval = 200 * time.Millisecond
	// suspectAfter is the silence after which a target is suspected: two and a
	// half heartbeat intervals.
	suspectAfter = 500 * time.Millisecond
	// confirmTimeout is how long a host that suspects a target waits for another
	// host to reach it before it declares the target dead.
	confirmTimeout = 300 * time.Millisecond
	// suspicionTimeout is how long a host that learned of a suspicion by gossip
	// waits for its outcome before it declares the suspect dead itself: the host
	// that raised the suspicion may have died.
	suspicionTimeout = 3 * time.Second
	// heartbeatTargets is the number of hosts to which one host sends heartbeats.
	heartbeatTargets = 8
	// updatesPerMessage bounds the gossiped updates in one message. An update
	// takes about 60 bytes, so a full message still fits in one packet.
	updatesPerMessage = 20
	// seedTimeout is how long a host that knows only the addresses of its seeds
	// waits for an answer before it assumes that it is the first host.
	seedTimeout = 2 * time.Second
)

// A Transport carries membership messages between hosts. The service "peer"
// implements it.
type Transport interface {
	// SendMembers sends m without waiting for delivery; m may be lost. The name
	// of the receiver is empty if only its address is known.
	SendMembers(to gypsumyard.Host, m *peerpb.Members)
	// HandleMembers sets the function that handles received messages. Its result,
	// if not nil, is sent back to the sender.
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

	// current caches the view. It is nil after a change until a reader rebuilds it.
	current atomic.Pointer[view]
	lists   atomic.Pointer[gypsumyard.Lists]
	// leavingUpstreams names the instances that the platform's list shows as
	// leaving.
	leavingUpstreams atomic.Pointer[map[string]bool]

	mu      sync.Mutex
	self    *record
	records map[string]*record
	queue   updateQueue
	changes chan struct{}

	suspects map[string]*record
	// probing holds the hosts that this one probes indirectly, through other
	// hosts. A probe times out even if its host is no longer a heartbeat target.
	probing map[string]*record
	// digest is a hash of the table: equal tables have equal digests.
	digest uint64
	// dirty indicates that ring and targets are out of date.
	dirty   bool
	ring    []*record
	targets []*record

	sequence uint64
	lastTick time.Time
	started  time.Time
	// joined indicates that a host or the platform's list has answered.
	joined bool
	// complete indicates that the table was synchronized with that of another host:
	// their digests were equal, or the other table was fetched.
	complete bool
	// freshSince is the time since which the view is up to date, zero while it is
	// not.
	freshSince time.Time
	// minFreshSequence is the lowest sequence number whose acknowledgement makes
	// the view fresh. Heartbeats from before a pause have lower ones.
	minFreshSequence uint64

	probeRequests   map[string][]probeRequest
	assignments     map[string]assignment
	mismatchSince   time.Time
	lastSeedRequest time.Time
	lastSync        time.Time
	lastReconnect   time.Time
	lastCleanup     time.Time
}

// An Option configures a Service.
type Option func(*Service)

// WithClock sets the clock. The default is the system clock.
func WithClock(c gypsumyard.Clock) Option { return func(s *Service) { s.clock = c } }

// WithLogger sets the logger.
func WithLogger(l logrus.FieldLogger) Option { return func(s *Service) { s.log = l } }

// WithMetrics sets the scope of the metrics.
func WithMetrics(m tally.Scope) Option { return func(s *Service) { s.metrics = m } }

// WithSeeds sets the addresses of seed hosts, from which the host fetches the
// membership table while it has not joined, such as when the platform's list
// cannot be read at the start.
func WithSeeds(addrs ...netip.AddrPort) Option { return func(s *Service) { s.seeds = addrs } }

// New returns the membership service of the host self.
func New(self gypsumyard.Host, options ...Option) *Service {
	s := &Service{
		clock:         clock.System(),
		log:           logrus.StandardLogger(),
		metrics:       tally.NoopScope,
		done:          make(chan struct{}),
		records:       map[string]*record{},
		queue:         updateQueue{sent: map[string]int{}},
		changes:       make(chan struct{}),
		probeRequests: map[string][]probeRequest{},
		assignments:   map[string]assignment{},
		suspects:      map[string]*record{},
		probing:       map[string]*record{},
	}
	for _, o := range options {
		o(s)
	}
	s.stopping, s.stop = context.WithCancel(context.Background())
	now := s.clock.Now()
	s.started, s.lastTick = now, now
	// An incarnation taken from the start time is higher than those of earlier
	// processes with this host name.
	s.self = &record{host: self, incarnation: uint64(now.UnixMilli()), hash: rendezvous.HashName(self.Name), stateSince: now}
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

// Start reads the platform's list once and starts the loops that send heartbeats
// and poll the list.
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
	s.pollList(ctx, initialPollTimeout)
	s.mu.Lock()
	s.lastTick = s.clock.Now() // Reading the list may have been slow; that must not count as a pause.
	s.mu.Unlock()
	s.transport.HandleMembers(s.receive)
	s.wait.Go(s.heartbeatLoop)
	s.wait.Go(s.pollLoop)
	return nil
}

// Stop ends the heartbeats and the polling of the platform's list.
func (s *Service) Stop(context.Context) error {
	s.stop()
	s.wait.Wait()
	close(s.done)
	return nil
}

func (s *Service) heartbeatLoop() {
	for {
		if s.clock.Sleep(s.stopping, jittered(heartbeatInterval)) != nil {
			return
		}
		s.tick()
	}
}

// jittered returns d plus or minus a random amount of up to a tenth of it.
func jittered(d time.Duration) time.Duration { return d - d/10 + rand.N(d/5) }

// Self returns this host.
func (s *Service) Self() gypsumyard.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.self.host
	h.State = s.self.hostState()
	return h
}

// Hosts returns a copy of the hosts of this region that are not dead, ordered by
// name.
func (s *Service) Hosts() []gypsumyard.Host {
	return append([]gypsumyard.Host(nil), s.view().hosts...)
}

// Owner returns the host that owns the database: the one to which the database is
// assigned, or else the host that ranks highest in rendezvous order. Either must
// be in the database's region, live and not leaving; a host stays eligible while
// a suspicion about it is unconfirmed.
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

// Changes returns a channel that is closed when the view next changes.
func (s *Service) Changes() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changes
}

// FreshSince returns the time since which the view has been up to date without
// interruption, as far as this host can know. After a pause of the process it
// returns false until a peer has answered.
func (s *Service) FreshSince() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.freshSince.IsZero() || s.clock.Since(s.lastTick) > suspectAfter {
		return time.Time{}, false
	}
	return s.freshSince, true
}

// Announce sets the state of this host and sends it to the heartbeat targets:
// HostLive, HostLeaving, or HostDead when the host has left.
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
