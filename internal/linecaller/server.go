package linecaller

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"
)

const (
	// Name is the name of the service.
	Name = "caller"
	// acceptRetryDelay is the pause after a failed accept, for example because
	// the process is out of file descriptors.
	acceptRetryDelay = 50 * time.Millisecond
	// startTimeout bounds the wait for the START message of a session.
	startTimeout = 10 * time.Second
	// desiredStateTimeout is how long a new session waits for the desired
	// state. It is below the 2 s after which a caller gives up.
	desiredStateTimeout = 1500 * time.Millisecond
	// writeTimeout bounds the write of one response to a caller.
	writeTimeout = 10 * time.Second
	// answerTimeout bounds how long Stop waits until the statements that it has
	// canceled are answered.
	answerTimeout = 250 * time.Millisecond
)

var (
	// errDraining indicates that a session ended because the host is draining.
	errDraining = errors.New("host is draining")
	// errStopped is the cause with which Stop cancels the statements in flight.
	errStopped = errors.New("host stops")
)

// A Server is the kernel service that accepts connections of callers.
type Server struct {
	addr        netip.AddrPort
	clock       gypsumyard.Clock
	log         logrus.FieldLogger
	metrics     *metrics
	maxSessions int
	keys        keyChecker
	denialLog   *rate.Limiter

	executor gypsumyard.Executor
	lists    gypsumyard.Lists
	self     string

	listener net.Listener
	// ctx ends the statements in flight, rollbackCtx the rollbacks of abandoned
	// transactions.
	ctx             context.Context
	cancel          context.CancelCauseFunc
	rollbackCtx     context.Context
	cancelRollbacks context.CancelFunc
	work            sync.WaitGroup
	done            chan struct{}
	started         time.Time
	// sessionCount numbers the sessions since the start.
	sessionCount atomic.Uint64

	mu       sync.Mutex
	sessions map[*session]bool
	// closingIdle indicates that idle sessions are being closed,
	// closingTransactions that sessions with an open transaction are as well.
	closingIdle         bool
	closingTransactions bool
}

// An Option configures a Server.
type Option func(*Server)

// WithClock sets the clock, which must advance while the machine is suspended.
func WithClock(c gypsumyard.Clock) Option { return func(s *Server) { s.clock = c } }

// WithLogger sets the logger.
func WithLogger(l logrus.FieldLogger) Option { return func(s *Server) { s.log = l } }

// WithMetrics sets the scope in which metrics are reported.
func WithMetrics(m tally.Scope) Option { return func(s *Server) { s.metrics = newMetrics(m) } }

// WithMaxSessions limits the number of open sessions. The default is 2048.
func WithMaxSessions(n int) Option { return func(s *Server) { s.maxSessions = n } }

// WithRevokeTimeout sets how old the proof of the desired state may be by which a key is
// accepted. Zero, the default, accepts keys whatever the age of the desired state.
func WithRevokeTimeout(d time.Duration) Option { return func(s *Server) { s.keys.timeout = d } }

// New returns a service that listens on addr when started.
func New(addr netip.AddrPort, options ...Option) *Server {
	s := &Server{
		addr:        addr,
		clock:       clock.Boot(),
		log:         logrus.StandardLogger(),
		metrics:     newMetrics(tally.NoopScope),
		maxSessions: 2048,
		denialLog:   newDenialLog(),
		done:        make(chan struct{}),
		sessions:    map[*session]bool{},
	}
	for _, o := range options {
		o(s)
	}
	s.ctx, s.cancel = context.WithCancelCause(context.Background())
	s.rollbackCtx, s.cancelRollbacks = context.WithCancel(context.Background())
	return s
}

// Name returns "caller".
func (s *Server) Name() string { return Name }

// Needs returns the names of the services that the server depends on.
func (s *Server) Needs() []string { return []string{"dispatch", "lists", "members"} }

// Done returns a channel that is closed after Stop.
func (s *Server) Done() <-chan struct{} { return s.done }

// Addr returns the address on which the server listens, or shall listen if it has not
// been started.
func (s *Server) Addr() netip.AddrPort {
	if s.listener == nil {
		return s.addr
	}
	a, ok := s.listener.Addr().(*net.TCPAddr)
	if !ok {
		return s.addr
	}
	return a.AddrPort()
}

// Start listens and begins to accept connections.
func (s *Server) Start(_ context.Context, k *kernel.Kernel) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("caller: %w", err)
		}
	}()
	if s.executor, err = kernel.Lookup[gypsumyard.Executor](k, "dispatch"); err != nil {
		return err
	}
	if s.lists, err = kernel.Lookup[gypsumyard.Lists](k, "lists"); err != nil {
		return err
	}
	if s.keys.desired, err = kernel.Lookup[gypsumyard.DesiredStateSource](k, "lists"); err != nil {
		return err
	}
	if s.keys.timeout > 0 {
		if s.keys.prover, err = kernel.Lookup[gypsumyard.DesiredStateProver](k, "lists"); err != nil {
			return err
		}
	}
	members, err := kernel.Lookup[gypsumyard.Membership](k, "members")
	if err != nil {
		return err
	}
	s.self = members.Self().Name
	s.started = s.clock.Now()
	s.listener, err = net.Listen("tcp", s.addr.String())
	if err != nil {
		return err
	}
	s.work.Go(s.accept)
	return nil
}

// accept accepts connections until the listener is closed or the server stops.
func (s *Server) accept() {
	for {
		n, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.WithError(err).Warn("cannot accept a connection")
			if s.clock.Sleep(s.ctx, acceptRetryDelay) != nil {
				return
			}
			continue
		}
		s.serveConn(n)
	}
}

// serveConn serves a session on the connection, or closes the connection if too
// many sessions are open.
func (s *Server) serveConn(n net.Conn) {
	ss := newSession(s, n)
	s.mu.Lock()
	full := len(s.sessions) >= s.maxSessions
	if !full {
		s.sessions[ss] = true
		ss.startedDuringDrain = s.closingIdle
	}
	s.mu.Unlock()
	if full {
		s.metrics.refusedSessions.Inc(1)
		s.log.WithField("sessions", s.maxSessions).Warn("session refused: session limit reached")
		_ = n.Close()
		return
	}
	s.work.Go(func() {
		defer s.remove(ss)
		ss.serve()
	})
}

func (s *Server) remove(ss *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, ss)
}

// sessionID returns the ID of the next session. It is made of the name of the
// host, the start time of the server and a counter.
func (s *Server) sessionID() gypsumyard.SessionID {
	id := s.self + "-" + strconv.FormatInt(s.started.UnixMilli(), 36) + "-" + strconv.FormatUint(s.sessionCount.Add(1), 36)
	return gypsumyard.SessionID(id)
}

// CloseIdle closes the sessions that have no statement in flight and no open
// transaction, and the other sessions as soon as that applies to them. Sessions
// that begin later stay open: the platform may have no other host for them.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	s.closingIdle = true
	list := s.openSessions()
	s.mu.Unlock()
	for _, ss := range list {
		ss.interrupt()
	}
}

// EndTransactions also closes the sessions that CloseIdle has left open, once
// they have no statement in flight: those in a transaction and those that began
// after CloseIdle. Their transactions are rolled back.
func (s *Server) EndTransactions() {
	s.mu.Lock()
	s.closingTransactions = true
	list := s.openSessions()
	s.mu.Unlock()
	for _, ss := range list {
		ss.interrupt()
	}
}

// closesStarted reports whether a session would be closed as soon as it has started.
func (s *Server) closesStarted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closingTransactions
}

// openSessions returns the open sessions. The caller must hold s.mu.
func (s *Server) openSessions() (all []*session) {
	for ss := range s.sessions {
		all = append(all, ss)
	}
	return all
}

// Sessions returns the number of open sessions.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// Drain stops accepting connections, closes idle sessions and returns when all
// sessions have ended or ctx is done.
func (s *Server) Drain(ctx context.Context) error {
	s.closeListener()
	s.CloseIdle()
	if err := s.awaitWork(ctx); err != nil {
		return fmt.Errorf("caller: drain: %w", err)
	}
	return nil
}

// awaitWork waits until all sessions and rollbacks have ended, or ctx is done.
func (s *Server) awaitWork(ctx context.Context) error {
	ended := make(chan struct{})
	go func() {
		s.work.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// closeListener closes the listener. There is none before and after a failed Start.
func (s *Server) closeListener() {
	if s.listener != nil {
		_ = s.listener.Close()
	}
}

// Stop cancels the statements in flight and closes each session once its statement is
// answered. What is left after answerTimeout, or half of the time that ctx leaves, is
// cut off.
func (s *Server) Stop(ctx context.Context) error {
	s.closeListener()
	s.cancel(errStopped)
	s.CloseIdle()
	s.EndTransactions()
	answers, cancel := context.WithTimeout(ctx, timeToAnswer(ctx))
	defer cancel()
	if s.awaitWork(answers) != nil {
		s.cutOff()
	}
	s.cancelRollbacks()
	s.work.Wait()
	close(s.done)
	return nil
}

// timeToAnswer returns how long Stop waits for answers: the rest of the host needs the
// other half of the time.
func timeToAnswer(ctx context.Context) time.Duration {
	if end, ok := ctx.Deadline(); ok {
		return min(answerTimeout, time.Until(end)/2)
	}
	return answerTimeout
}

// cutOff closes the connections of the sessions that are still open.
func (s *Server) cutOff() {
	s.mu.Lock()
	list := s.openSessions()
	s.mu.Unlock()
	if len(list) > 0 {
		s.log.WithField("sessions", len(list)).Warn("sessions are cut off")
	}
	for _, ss := range list {
		_ = ss.conn.Close()
	}
}
