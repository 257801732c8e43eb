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
)

const (
	// Name is the name of the service.
	Name = "caller"
	// acceptPause follows a failure to accept, such as a lack of descriptors.
	acceptPause = 50 * time.Millisecond
	// startTimeout bounds the wait for the first message of a session.
	startTimeout = 10 * time.Second
	// listsPatience is how long a new session waits for the desired state. A
	// caller gives up after 2 s.
	listsPatience = 1500 * time.Millisecond
	// writeTimeout bounds the write of one answer to a caller.
	writeTimeout = 10 * time.Second
)

// errDraining is the cause with which sessions end when the host leaves.
var errDraining = errors.New("host is leaving")

// A Server is the kernel service that accepts callers.
type Server struct {
	addr        netip.AddrPort
	clock       gypsumyard.Clock
	log         logrus.FieldLogger
	metrics     *metrics
	maxSessions int

	executor gypsumyard.Executor
	desired  gypsumyard.DesiredStateSource
	lists    gypsumyard.Lists
	self     string

	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	work     sync.WaitGroup
	done     chan struct{}
	started  time.Time
	next     atomic.Uint64

	mu       sync.Mutex
	sessions map[*session]bool
	// closing ends idle sessions, ending ends open transactions as well.
	closing bool
	ending  bool
}

// An Option changes a Server.
type Option func(*Server)

// WithClock sets the clock, which must count the time of suspensions.
func WithClock(c gypsumyard.Clock) Option { return func(s *Server) { s.clock = c } }

// WithLogger sets the logger.
func WithLogger(l logrus.FieldLogger) Option { return func(s *Server) { s.log = l } }

// WithMetrics sets the scope of the metrics.
func WithMetrics(m tally.Scope) Option { return func(s *Server) { s.metrics = newMetrics(m) } }

// WithMaxSessions bounds the sessions. The default is 2048.
func WithMaxSessions(n int) Option { return func(s *Server) { s.maxSessions = n } }

// New returns a service that listens on addr when started.
func New(addr netip.AddrPort, options ...Option) *Server {
	s := &Server{
		addr:        addr,
		clock:       clock.Boot(),
		log:         logrus.StandardLogger(),
		metrics:     newMetrics(tally.NoopScope),
		maxSessions: 2048,
		done:        make(chan struct{}),
		sessions:    map[*session]bool{},
	}
	for _, o := range options {
		o(s)
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Name returns "caller".
func (s *Server) Name() string { return Name }

// Needs lists the services that the server uses.
func (s *Server) Needs() []string { return []string{"dispatch", "lists", "members"} }

// Done returns a channel that is closed after Stop.
func (s *Server) Done() <-chan struct{} { return s.done }

// Addr returns the address on which the server listens, once started.
func (s *Server) Addr() netip.AddrPort {
	a, ok := s.listener.Addr().(*net.TCPAddr)
	if !ok {
		return s.addr
	}
	return a.AddrPort()
}

// Start begins to accept callers.
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
	if s.desired, err = kernel.Lookup[gypsumyard.DesiredStateSource](k, "lists"); err != nil {
		return err
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

// accept owns the listener's loop. It ends when the listener is closed.
func (s *Server) accept() {
	for {
		n, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.WithError(err).Warn("cannot accept a connection")
			if s.clock.Sleep(s.ctx, acceptPause) != nil {
				return
			}
			continue
		}
		s.admit(n)
	}
}

func (s *Server) admit(n net.Conn) {
	ss := newSession(s, n)
	s.mu.Lock()
	full := len(s.sessions) >= s.maxSessions
	if !full {
		s.sessions[ss] = true
		ss.late = s.closing
	}
	s.mu.Unlock()
	if full {
		s.metrics.refusedSessions.Inc(1)
		s.log.WithField("sessions", s.maxSessions).Warn("session refused: too many are open")
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

// sessionID returns the ID of the next session.
func (s *Server) sessionID() gypsumyard.SessionID {
	id := s.self + "-" + strconv.FormatInt(s.started.UnixMilli(), 36) + "-" + strconv.FormatUint(s.next.Add(1), 36)
	return gypsumyard.SessionID(id)
}

// CloseIdle ends the sessions that have nothing outstanding, and the others
// once that is the case. Open transactions go on, and so do sessions that begin
// later: the platform may have no other host for them.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	s.closing = true
	list := s.list()
	s.mu.Unlock()
	for _, ss := range list {
		ss.interrupt()
	}
}

// EndTransactions also ends the sessions that are in a transaction and have no
// statement outstanding.
func (s *Server) EndTransactions() {
	s.mu.Lock()
	s.ending = true
	list := s.list()
	s.mu.Unlock()
	for _, ss := range list {
		ss.interrupt()
	}
}

func (s *Server) list() (list []*session) {
	for ss := range s.sessions {
		list = append(list, ss)
	}
	return list
}

// Sessions returns how many sessions are open.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// Drain stops accepting callers and returns when all sessions have ended or
// ctx is done.
func (s *Server) Drain(ctx context.Context) error {
	_ = s.listener.Close()
	s.CloseIdle()
	ended := make(chan struct{})
	go func() {
		s.work.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("caller: drain: %w", context.Cause(ctx))
	}
}

// Stop ends all sessions. Statements in flight are given up.
func (s *Server) Stop(context.Context) error {
	_ = s.listener.Close()
	s.cancel()
	s.mu.Lock()
	list := s.list()
	s.mu.Unlock()
	for _, ss := range list {
		_ = ss.net.Close()
	}
	s.work.Wait()
	close(s.done)
	return nil
}
