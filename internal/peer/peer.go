package peer

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/gypsumyard/gypsumyard/internal/peer/peerpb"
	"github.com/gypsumyard/gypsumyard/internal/tcp"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"
)

const (
	// pingInterval is how often streams under watch are checked.
	pingInterval = 250 * time.Millisecond
	// silentAfter is how long a stream under watch may carry nothing before
	// it is taken for dead. It spans four pings.
	silentAfter = time.Second
	// gossipSilentAfter is the same for a Gossip stream. It is short enough for
	// a new connection to carry a heartbeat before the peer is declared dead.
	gossipSilentAfter = 500 * time.Millisecond
	// checksBeforeSilent is how many checks must find a stream quiet before it
	// is taken for dead, so that a pause of this process ends no stream.
	checksBeforeSilent = 2
	// watchAfterUse is how long a link stays under watch after its last
	// request. Later requests check the link first.
	watchAfterUse = 10 * time.Second
	// closeAfterIdle is how long an unused link or gossip stream stays open.
	closeAfterIdle = time.Minute
	// maxMessageBytes bounds a drpc message. The largest is a list object of
	// up to 1 MB.
	maxMessageBytes = 2 << 20
	// maxConnections bounds the connections from other hosts.
	maxConnections = 16384
	// maxUnknown bounds the connections that are not authenticated yet, each
	// of which may hold a message of maxMessageBytes.
	maxUnknown = 128
)

// A Service is the kernel service "peer".
type Service struct {
	self    gypsumyard.Host
	secret  []byte
	clock   gypsumyard.Clock
	log     logrus.FieldLogger
	metrics tally.Scope
	kernel  *kernel.Kernel

	sent, executed tally.Counter

	listener net.Listener
	dialer   func(ctx context.Context, to netip.AddrPort) (net.Conn, error)
	slots    chan struct{}
	unknown  chan struct{}
	stopping context.Context
	stop     context.CancelFunc
	wait     sync.WaitGroup
	done     chan struct{}

	mu      sync.Mutex
	closed  bool
	remotes map[netip.AddrPort]*remote
	links   map[*link]bool
	gossips map[*gossip]bool
	inbound map[string]*inbound
	served  map[*gossipServer]bool
	members func(m *peerpb.Members) *peerpb.Members
}

// An Option changes a Service.
type Option func(*Service)

// WithClock sets the clock. The default is the system's.
func WithClock(c gypsumyard.Clock) Option { return func(s *Service) { s.clock = c } }

// WithLogger sets the logger.
func WithLogger(l logrus.FieldLogger) Option { return func(s *Service) { s.log = l } }

// WithMetrics sets the scope of the metrics.
func WithMetrics(m tally.Scope) Option { return func(s *Service) { s.metrics = m } }

// WithListener makes the service accept on l instead of listening on the
// host's address.
func WithListener(l net.Listener) Option { return func(s *Service) { s.listener = l } }

// WithDialer replaces the way to open connections to other hosts, for tests
// that cut hosts from each other.
func WithDialer(dial func(ctx context.Context, to netip.AddrPort) (net.Conn, error)) Option {
	return func(s *Service) { s.dialer = dial }
}

// New returns the service of the host self, which listens on self.Addr. Hosts
// must share the secret.
func New(self gypsumyard.Host, secret []byte, options ...Option) *Service {
	s := &Service{
		self:    self,
		secret:  secret,
		clock:   clock.System(),
		log:     logrus.StandardLogger(),
		metrics: tally.NoopScope,
		dialer:  dialTCP,
		slots:   make(chan struct{}, maxConnections),
		unknown: make(chan struct{}, maxUnknown),
		done:    make(chan struct{}),
		remotes: map[netip.AddrPort]*remote{},
		links:   map[*link]bool{},
		gossips: map[*gossip]bool{},
		inbound: map[string]*inbound{},
		served:  map[*gossipServer]bool{},
	}
	for _, o := range options {
		o(s)
	}
	s.sent = s.metrics.Counter("peer_requests_sent")
	s.executed = s.metrics.Counter("peer_requests_executed")
	s.stopping, s.stop = context.WithCancel(context.Background())
	return s
}

func dialTCP(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	return tcp.Dial(ctx, to, handshakeTimeout)
}

// Name returns "peer".
func (s *Service) Name() string { return "peer" }

// Needs returns nothing: "owner" and "lists" are looked up when a peer needs
// them, because they need this service.
func (s *Service) Needs() []string { return nil }

// Done returns a channel that is closed after Stop.
func (s *Service) Done() <-chan struct{} { return s.done }

// Start listens on the host's address.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) (err error) {
	s.kernel = k
	if len(s.secret) == 0 {
		return fmt.Errorf("peer: the shared secret is empty")
	}
	if s.listener == nil {
		s.listener, err = net.Listen("tcp", s.self.Addr.String())
		if err != nil {
			return fmt.Errorf("peer: %w", err)
		}
	}
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, server{s}); err != nil {
		return fmt.Errorf("peer: %w", err)
	}
	srv := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()})
	s.spawn(func() { s.accept(srv) })
	s.spawn(s.watch)
	return nil
}

// Stop closes all connections. Requests that peers run here are cancelled and
// their transactions abandoned.
func (s *Service) Stop(ctx context.Context) error {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.stop()
	if s.listener != nil {
		_ = s.listener.Close()
	}
	s.closeAll()
	ended := make(chan struct{})
	go func() {
		s.wait.Wait()
		close(ended)
		close(s.done)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("peer: stop: %w", context.Cause(ctx))
	}
}

// closeAll ends all streams.
func (s *Service) closeAll() {
	links, gossips, in, served := s.snapshot()
	for _, l := range links {
		l.fail(errClosed)
	}
	for _, g := range gossips {
		g.fail(errClosed)
	}
	for _, i := range in {
		i.short.fail(errClosed)
	}
	for _, g := range served {
		g.stream.fail(errClosed)
	}
}

// owner returns the service that runs this host's databases, if it is there.
func (s *Service) owner() (gypsumyard.Owner, error) {
	return kernel.Lookup[gypsumyard.Owner](s.kernel, "owner")
}

// spawn runs f in a goroutine that Stop waits for. It returns false after Stop.
func (s *Service) spawn(f func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.wait.Go(f)
	return true
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:            drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		Stream:            drpcstream.Options{ManualFlush: true, MaximumBufferSize: 2 * partBytes},
		InactivityTimeout: handshakeTimeout,
	}
}

// accept serves each connection in a goroutine of its own.
func (s *Service) accept(srv *drpcserver.Server) {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if s.stopping.Err() != nil {
				return
			}
			s.log.WithError(err).Warn("accept peer connection")
			if s.clock.Sleep(s.stopping, pingInterval) != nil {
				return
			}
			continue
		}
		if c, ok := s.take(conn); !ok || !s.spawn(func() { s.serveConn(srv, c) }) {
			_ = conn.Close()
		}
	}
}

// An accepted connection holds a place among the unauthenticated ones until
// known is called.
type accepted struct {
	net.Conn
	known func()
}

// take finds a place for a new connection.
func (s *Service) take(conn net.Conn) (*accepted, bool) {
	select {
	case s.slots <- struct{}{}:
	default:
		return nil, false
	}
	select {
	case s.unknown <- struct{}{}:
	default:
		<-s.slots
		return nil, false
	}
	return &accepted{conn, sync.OnceFunc(func() { <-s.unknown })}, true
}

func (s *Service) serveConn(srv *drpcserver.Server, c *accepted) {
	_ = srv.ServeOne(s.stopping, c) // The stream's handler reports errors.
	_ = c.Close()
	c.known()
	<-s.slots
}

// dial opens a stream to a host. The returned function frees its resources and
// must be called once the stream has ended.
func (s *Service) dial(ctx context.Context, to gypsumyard.Host, k kind, link string) (st *stream, closeStream func(), err error) {
	conn, err := s.dialer(ctx, to.Addr)
	if err != nil {
		return nil, nil, err
	}
	dc := drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()})
	sctx, cancel := context.WithCancel(s.stopping)
	release := func() {
		cancel()
		_ = dc.Close()
	}
	defer func() {
		if err != nil {
			release()
		}
	}()
	stopWatching := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stopWatching()
	w, err := openStream(sctx, peerpb.NewDRPCPeerClient(dc), k)
	if err != nil {
		return nil, nil, err
	}
	if _, err := s.greet(w, conn, k, link, to.Name); err != nil {
		return nil, nil, err
	}
	s.metrics.Tagged(map[string]string{"stream": string(k)}).Counter("peer_dials").Inc(1)
	return newStream(w, conn, s.clock), release, nil
}

func openStream(ctx context.Context, c peerpb.DRPCPeerClient, k kind) (wire, error) {
	switch k {
	case kindShort:
		return c.Short(ctx)
	case kindBulk:
		return c.Bulk(ctx)
	}
	return c.Gossip(ctx)
}

// Executor returns the way to the databases that the host owns. Its errors are
// of ClassNotRun if the request was not handed to the connection, and of
// ClassUnknown if the connection broke afterwards.
func (s *Service) Executor(host gypsumyard.Host) gypsumyard.Executor {
	return executor{s.remote(host)}
}

// Connected reports whether there is a link to the host that has carried
// something lately.
func (s *Service) Connected(host gypsumyard.Host) bool {
	l := s.remote(host).current()
	return l != nil && l.short.silence() <= silentAfter && l.bulk.silence() <= silentAfter
}

// Connect returns once that is so. Its errors are of ClassNotRun.
func (s *Service) Connect(ctx context.Context, host gypsumyard.Host) error {
	_, err := s.remote(host).checkedLink(ctx)
	return notConnected(host, err)
}

func notConnected(host gypsumyard.Host, err error) error {
	if err == nil {
		return nil
	}
	return gypsumyard.Errorf(gypsumyard.ClassNotRun, "no connection to host %s: %w", host.Name, err)
}
