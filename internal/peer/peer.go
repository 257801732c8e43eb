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
	// pingInterval is the interval at which streams are checked and, if
	// nothing was received since, pinged.
	pingInterval = 250 * time.Millisecond
	// keepaliveTimeout is how long a stream that is being checked may receive
	// nothing before it is declared dead. It spans four pings.
	keepaliveTimeout = time.Second
	// gossipKeepaliveTimeout is the keepalive timeout of a Gossip stream. It is
	// short enough for a new connection to carry a heartbeat before the peer
	// is declared dead.
	gossipKeepaliveTimeout = 500 * time.Millisecond
	// minQuietChecks is the number of checks that must find nothing received
	// on a stream before it is declared dead, so that a pause of this process
	// does not end streams.
	minQuietChecks = 2
	// keepaliveAfterUse is how long a link or Gossip stream is still checked
	// after its last use. A later request checks its link before it is sent.
	keepaliveAfterUse = 10 * time.Second
	// idleTimeout is how long an unused link or Gossip stream stays open.
	idleTimeout = time.Minute
	// maxMessageBytes bounds the size of a drpc message. The largest message
	// is a list object of up to 1 MB.
	maxMessageBytes = 2 << 20
	// maxConnections bounds the number of connections from other hosts.
	maxConnections = 16384
	// maxUnauthenticated bounds the number of connections that are not
	// authenticated yet, each of which may buffer a message of maxMessageBytes.
	maxUnauthenticated = 128
)

// A Service is the kernel service "peer".
type Service struct {
	self    gypsumyard.Host
	secret  []byte
	clock   gypsumyard.Clock
	log     logrus.FieldLogger
	metrics tally.Scope
	kernel  *kernel.Kernel

	sent, executed, panics tally.Counter

	// held are the values that other hosts may fetch in parts, partial those that this
	// host has not fetched to their end.
	held    *heldValues
	partial *partialValues

	listener             net.Listener
	dialer               func(ctx context.Context, to netip.AddrPort) (net.Conn, error)
	connectionSlots      chan struct{}
	unauthenticatedSlots chan struct{}
	stopping             context.Context
	stop                 context.CancelFunc
	wait                 sync.WaitGroup
	done                 chan struct{}

	mu             sync.Mutex
	closed         bool
	remotes        map[netip.AddrPort]*remote
	links          map[*link]bool
	gossipClients  map[*gossipClient]bool
	inboundLinks   map[string]*inboundLink
	gossipServers  map[*gossipServer]bool
	membersHandler func(m *peerpb.Members) *peerpb.Members
}

// An Option configures a Service.
type Option func(*Service)

// WithClock sets the clock. The default is the system's.
func WithClock(c gypsumyard.Clock) Option { return func(s *Service) { s.clock = c } }

// WithLogger sets the logger.
func WithLogger(l logrus.FieldLogger) Option { return func(s *Service) { s.log = l } }

// WithMetrics sets the scope that metrics are reported to.
func WithMetrics(m tally.Scope) Option { return func(s *Service) { s.metrics = m } }

// WithListener makes the service accept connections from l instead of listening
// on the host's address.
func WithListener(l net.Listener) Option { return func(s *Service) { s.listener = l } }

// WithDialer sets the function that opens connections to other hosts. It is meant
// for tests that simulate network partitions.
func WithDialer(dial func(ctx context.Context, to netip.AddrPort) (net.Conn, error)) Option {
	return func(s *Service) { s.dialer = dial }
}

// New returns the service of the host self, which listens on self.Addr. All hosts
// must use the same secret.
func New(self gypsumyard.Host, secret []byte, options ...Option) *Service {
	s := &Service{
		self:                 self,
		secret:               secret,
		clock:                clock.System(),
		log:                  logrus.StandardLogger(),
		metrics:              tally.NoopScope,
		dialer:               dialTCP,
		connectionSlots:      make(chan struct{}, maxConnections),
		unauthenticatedSlots: make(chan struct{}, maxUnauthenticated),
		done:                 make(chan struct{}),
		remotes:              map[netip.AddrPort]*remote{},
		links:                map[*link]bool{},
		gossipClients:        map[*gossipClient]bool{},
		inboundLinks:         map[string]*inboundLink{},
		gossipServers:        map[*gossipServer]bool{},
	}
	for _, o := range options {
		o(s)
	}
	s.held, s.partial = newHeldValues(s.clock), newPartialValues()
	s.sent = s.metrics.Counter("peer_requests_sent")
	s.executed = s.metrics.Counter("peer_requests_executed")
	s.panics = s.metrics.Counter("peer_panics")
	s.stopping, s.stop = context.WithCancel(context.Background())
	return s
}

func dialTCP(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	return tcp.Dial(ctx, to, handshakeTimeout)
}

// Name returns "peer".
func (s *Service) Name() string { return "peer" }

// Needs returns nil. The services "owner" and "lists" use this one, so they are
// looked up only when a peer calls them.
func (s *Service) Needs() []string { return nil }

// Done returns a channel that is closed after Stop, when all goroutines of the
// service have ended.
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
	s.spawn(s.checkConnections)
	return nil
}

// Stop closes all connections. It first sends the answers to the requests that peers
// run here, which have ended with the services that ran them. What runs longer is
// canceled and its transactions are abandoned.
func (s *Service) Stop(ctx context.Context) error {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.sendAnswers(ctx)
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

// sendAnswers waits for the answers of the inbound links for up to answerTimeout, or half
// of the time that ctx leaves.
func (s *Service) sendAnswers(ctx context.Context) {
	limit := answerTimeout
	if end, ok := ctx.Deadline(); ok {
		limit = min(limit, time.Until(end)/2)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	_, _, in, _ := s.snapshot()
	var wg sync.WaitGroup
	for _, i := range in {
		wg.Go(func() { i.awaitAnswers(ctx) })
	}
	wg.Wait()
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

// owner returns the service "owner", which runs this host's databases, or an error
// if it is not available.
func (s *Service) owner() (gypsumyard.Owner, error) {
	return kernel.Lookup[gypsumyard.Owner](s.kernel, "owner")
}

// spawn runs f in a goroutine that Stop waits for. After Stop it returns false and
// does not run f.
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

// accept accepts connections and serves each in its own goroutine.
func (s *Service) accept(srv *drpcserver.Server) {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if s.stopping.Err() != nil {
				return
			}
			s.log.WithError(err).Warn("accepting a peer connection failed")
			if s.clock.Sleep(s.stopping, pingInterval) != nil {
				return
			}
			continue
		}
		if c, ok := s.admitConn(conn); !ok || !s.spawn(func() { s.serveConn(srv, c) }) {
			_ = conn.Close()
		}
	}
}

// An acceptedConn is a connection from another host. It occupies an
// unauthenticated slot until markAuthenticated is called.
type acceptedConn struct {
	net.Conn
	markAuthenticated func()
}

// admitConn reserves the slots of a new connection. It returns false if there are
// too many connections.
func (s *Service) admitConn(conn net.Conn) (*acceptedConn, bool) {
	select {
	case s.connectionSlots <- struct{}{}:
	default:
		return nil, false
	}
	select {
	case s.unauthenticatedSlots <- struct{}{}:
	default:
		<-s.connectionSlots
		return nil, false
	}
	return &acceptedConn{conn, sync.OnceFunc(func() { <-s.unauthenticatedSlots })}, true
}

func (s *Service) serveConn(srv *drpcserver.Server, c *acceptedConn) {
	_ = srv.ServeOne(s.stopping, c) // The stream's handler reports errors.
	_ = c.Close()
	c.markAuthenticated()
	<-s.connectionSlots
}

// dial opens a stream to a host. The returned function releases the stream's
// resources and must be called once the stream has ended.
func (s *Service) dial(ctx context.Context, to gypsumyard.Host, k streamKind, link string) (st *stream, closeStream func(), err error) {
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
	if _, err := s.clientHandshake(w, conn, k, link, to.Name); err != nil {
		return nil, nil, err
	}
	s.metrics.Tagged(map[string]string{"stream": string(k)}).Counter("peer_dials").Inc(1)
	return newStream(w, conn, s.clock), release, nil
}

func openStream(ctx context.Context, c peerpb.DRPCPeerClient, k streamKind) (frameStream, error) {
	switch k {
	case kindShort:
		return c.Short(ctx)
	case kindBulk:
		return c.Bulk(ctx)
	}
	return c.Gossip(ctx)
}

// Executor returns an executor that runs requests on the databases that the host
// owns. Its errors are of ClassNotRun if the request was not completely handed to
// the connection, and of ClassUnknown if the connection broke afterwards.
func (s *Service) Executor(host gypsumyard.Host) gypsumyard.Executor {
	return executor{s.remote(host)}
}

// Connected reports whether there is a link to the host both of whose streams have
// received something within keepaliveTimeout.
func (s *Service) Connected(host gypsumyard.Host) bool {
	l := s.remote(host).currentLink()
	return l != nil && l.short.sinceReceived() <= keepaliveTimeout && l.bulk.sinceReceived() <= keepaliveTimeout
}

// Connect dials the host if necessary and returns once Connected holds. Its errors
// are of ClassNotRun.
func (s *Service) Connect(ctx context.Context, host gypsumyard.Host) error {
	_, err := s.remote(host).liveLink(ctx)
	return notConnected(host, err)
}

func notConnected(host gypsumyard.Host, err error) error {
	if err == nil {
		return nil
	}
	return gypsumyard.Errorf(gypsumyard.ClassNotRun, "no connection to host %s: %w", host.Name, err)
}
