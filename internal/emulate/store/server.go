package store

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"golang.org/x/time/rate"
)

// Limits of the platform's service.
const (
	// MaxValue is the maximum size of a value, in bytes.
	MaxValue = 1 << 20
	// The default rate limits.
	defaultWritesPerSecond = 300
	defaultReadsPerSecond  = 2000
	// defaultDelay is the default response delay.
	defaultDelay = 2 * time.Millisecond
	// maxWatch is the maximum duration of one watch.
	maxWatch = time.Minute
)

// An Option configures a server.
type Option func(*Server)

// WithRateLimits sets how many writes and reads are served per second. Calls above
// the limit are rejected with 429.
func WithRateLimits(writes, reads int) Option {
	return func(s *Server) {
		s.writes = rate.NewLimiter(rate.Limit(writes), writes)
		s.reads = rate.NewLimiter(rate.Limit(reads), reads)
	}
}

// WithDelay sets the delay before each response.
func WithDelay(d time.Duration) Option { return func(s *Server) { s.delay = d } }

// WithHostLag sets the lag of changes to the list of hosts.
func WithHostLag(d time.Duration) Option { return func(s *Server) { s.hosts.lag = d } }

// WithAddr sets the address to listen on. The default is a loopback port chosen
// by the system.
func WithAddr(a netip.AddrPort) Option { return func(s *Server) { s.addr = a } }

// WithClock sets the clock. The default is the system clock.
func WithClock(k gypsumyard.Clock) Option { return func(s *Server) { s.clock = k } }

// A Server is a running emulation of the platform's service.
type Server struct {
	addr     netip.AddrPort
	clock    gypsumyard.Clock
	objects  *objects
	hosts    hosts
	writes   *rate.Limiter
	reads    *rate.Limiter
	listener net.Listener
	http     *http.Server
	cancel   context.CancelFunc
	done     chan struct{}

	mu     sync.Mutex
	delay  time.Duration
	calls  map[string]int64
	outage bool
	// outageBegan is closed when an outage begins, and replaced when it ends.
	outageBegan   chan struct{}
	dropResponses int
}

// New starts the service.
func New(options ...Option) (s *Server, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	s = &Server{
		addr:        netip.MustParseAddrPort("127.0.0.1:0"),
		clock:       clock.System(),
		objects:     newObjects(),
		hosts:       hosts{shown: map[string]gypsumyard.Host{}},
		cancel:      cancel,
		done:        make(chan struct{}),
		delay:       defaultDelay,
		calls:       map[string]int64{},
		outageBegan: make(chan struct{}),
	}
	WithRateLimits(defaultWritesPerSecond, defaultReadsPerSecond)(s)
	for _, o := range options {
		o(s)
	}
	if s.listener, err = net.Listen("tcp", s.addr.String()); err != nil {
		cancel()
		return nil, fmt.Errorf("start object store: %w", err)
	}
	s.http = &http.Server{
		Handler:           s.handler(),
		ReadHeaderTimeout: 10 * time.Second,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	go s.serve()
	return s, nil
}

func (s *Server) serve() {
	defer close(s.done)
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		s.cancel()
	}
}

// Addr returns the address of the service.
func (s *Server) Addr() netip.AddrPort { return s.listener.Addr().(*net.TCPAddr).AddrPort() }

// Done returns a channel that is closed when the service has stopped.
func (s *Server) Done() <-chan struct{} { return s.done }

// Close stops the service and ends its open calls.
func (s *Server) Close() {
	s.cancel()
	_ = s.http.Close()
	<-s.done
}

// Get returns an object. It does not count as a call.
func (s *Server) Get(name string) (gypsumyard.Object, bool) { return s.objects.get(name) }

// Put sets an object whatever its version. It does not count as a call.
func (s *Server) Put(name string, value []byte) gypsumyard.Version {
	for {
		old, _ := s.objects.get(name)
		if v, err := s.objects.update(name, old.Version, value, false); err == nil {
			return v
		}
	}
}

// Calls returns the number of calls by kind: get, list, put, delete, watch and
// hosts. The keys "refused" and "unavailable" count those of them that the rate
// limit and an outage rejected.
func (s *Server) Calls() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// SetOutage starts or ends an outage, during which all calls fail with 503. The
// start of an outage ends the waiting watches.
func (s *Server) SetOutage(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case down && !s.outage:
		close(s.outageBegan)
	case !down && s.outage:
		s.outageBegan = make(chan struct{})
	}
	s.outage = down
}

// SetDelay sets the delay before each response.
func (s *Server) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// DropResponses makes the next n updates take effect without a response: the
// connection is closed instead. A negative n drops all until DropResponses(0).
func (s *Server) DropResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropResponses = n
}

// dropResponse reports whether the response to the current update is to be
// dropped.
func (s *Server) dropResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dropResponses > 0 {
		s.dropResponses--
		return true
	}
	return s.dropResponses < 0
}

func (s *Server) count(kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[kind]++
}

// state returns the response delay and a channel that is closed when an outage
// begins. During an outage the channel is already closed.
func (s *Server) state() (time.Duration, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.delay, s.outageBegan
}
