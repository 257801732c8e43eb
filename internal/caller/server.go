package caller

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

const (
	// Name is the name of the service.
	Name = "caller"

	// serverVersion is the version of PostgreSQL that callers are told.
	serverVersion = "15.0"
	// mockSecretLen is the length of the generated mock secret in bytes.
	mockSecretLen = 32

	// acceptPause follows a failure to accept, such as a lack of descriptors.
	acceptPause = 50 * time.Millisecond
	// attachPause is longer than the poller takes for one round of events.
	attachPause = 2 * time.Millisecond
)

// customerUse is what the sessions of one customer hold on this host.
type customerUse struct {
	sessions int
	budget   budget
}

// systemClock times what depends on the operating system, whatever clock the
// server is given.
var systemClock = clock.System()

// A Server is the service that accepts callers.
type Server struct {
	addr       netip.AddrPort
	clock      gypsumyard.Clock
	log        logrus.FieldLogger
	scope      tally.Scope
	limits     Limits
	mockSecret []byte
	forwarder  CancelForwarder

	executor   gypsumyard.Executor
	lists      gypsumyard.Lists
	membership gypsumyard.Membership
	metrics    *metrics
	keys       *keyRegistry
	budget     budget

	engine   *nbio.Engine
	listener net.Listener
	// ctx ends with Stop.
	ctx      context.Context
	cancel   context.CancelFunc
	sessions sync.WaitGroup
	accepts  sync.WaitGroup

	// published orders the construction of a conn before the callbacks on it:
	// the way through the kernel's poller is no synchronization in Go.
	published atomic.Uint64

	draining  chan struct{}
	drainOnce sync.Once
	stopping  chan struct{}
	stopOnce  sync.Once
	done      chan struct{}

	mu sync.Mutex
	// connections counts those open, sessionCount the authenticated ones.
	connections  int
	sessionCount int
	customers    map[string]*customerUse
}

// New returns a service that listens on addr when started.
func New(addr netip.AddrPort, options ...Option) *Server {
	s := &Server{
		addr:      addr,
		clock:     clock.System(),
		log:       logrus.StandardLogger(),
		scope:     tally.NoopScope,
		limits:    defaultLimits(),
		draining:  make(chan struct{}),
		stopping:  make(chan struct{}),
		done:      make(chan struct{}),
		customers: map[string]*customerUse{},
	}
	for _, o := range options {
		o(s)
	}
	s.budget.limit = int64(s.limits.TotalBuffer)
	s.metrics = newMetrics(s.scope)
	return s
}

// Name returns "caller".
func (s *Server) Name() string { return Name }

// Needs lists the services that the server uses.
func (s *Server) Needs() []string { return []string{"dispatch", "lists", "members"} }

// Done returns a channel that is closed when all connections have ended after
// Stop.
func (s *Server) Done() <-chan struct{} { return s.done }

// Addr returns the address on which the server listens, once started.
func (s *Server) Addr() netip.AddrPort {
	a, err := netip.ParseAddrPort(s.listener.Addr().String())
	if err != nil {
		return s.addr
	}
	return a
}

// Start begins to accept callers.
func (s *Server) Start(ctx context.Context, k *kernel.Kernel) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("caller: %w", err)
		}
	}()
	if err := s.lookUp(k); err != nil {
		return err
	}
	if s.mockSecret == nil {
		s.mockSecret = make([]byte, mockSecretLen)
		rand.Read(s.mockSecret)
	}
	s.keys = newKeyRegistry(s.membership.Self().Name)
	s.listener, err = net.Listen("tcp", s.addr.String())
	if err != nil {
		return err
	}
	if err := s.startEngine(); err != nil {
		return errors.Join(err, s.listener.Close())
	}
	s.ctx, s.cancel = context.WithCancel(context.WithoutCancel(ctx))
	s.accepts.Go(s.accept)
	return nil
}

func (s *Server) lookUp(k *kernel.Kernel) (err error) {
	if s.executor, err = kernel.Lookup[gypsumyard.Executor](k, "dispatch"); err != nil {
		return err
	}
	if s.lists, err = kernel.Lookup[gypsumyard.Lists](k, "lists"); err != nil {
		return err
	}
	s.membership, err = kernel.Lookup[gypsumyard.Membership](k, "members")
	return err
}

func (s *Server) startEngine() error {
	logging.SetLevel(logging.LevelError)
	s.engine = nbio.NewEngine(nbio.Config{Name: Name})
	s.engine.OnData(func(n *nbio.Conn, data []byte) { s.connOf(n).append(data) })
	s.engine.OnWrittenSize(func(n *nbio.Conn, _ []byte, size int) { s.connOf(n).noteWritten(size) })
	s.engine.OnClose(func(n *nbio.Conn, _ error) { s.connOf(n).noteClosed() })
	return s.engine.Start()
}

// connOf returns the conn of a socket in nbio's callbacks.
func (s *Server) connOf(n *nbio.Conn) *conn {
	s.published.Load()
	return n.Session().(*conn)
}

// accept owns the listener's loop. It ends when the listener is closed.
func (s *Server) accept() {
	for {
		raw, err := s.listener.Accept()
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
		if err := s.admit(raw); err != nil {
			s.log.WithError(err).Warn("cannot serve a connection")
		}
	}
}

func (s *Server) admit(raw net.Conn) error {
	if !s.countConnection() {
		s.metrics.refused.Inc(1)
		return errors.Join(fmt.Errorf("%d connections are open", s.limits.Connections), raw.Close())
	}
	socket, err := nbio.NBConn(raw)
	if err != nil {
		s.uncountConnection()
		return errors.Join(err, raw.Close())
	}
	c := newConn(socket, s)
	socket.SetSession(c)
	s.published.Add(1)
	s.sessions.Go(func() {
		defer s.uncountConnection()
		defer c.close()
		if err := s.attach(socket); err != nil {
			s.log.WithError(err).Warn("cannot serve a connection")
			return
		}
		s.serve(c)
	})
	return nil
}

// attach hands the socket to nbio's poller, after the poller has handled the
// events of a closed connection whose descriptor the socket may have got: they
// would end the new connection. nbio closes descriptors outside the poller
// after a failed write. Without the pause 11 of 17900 connections ended so
// while others were reset in the middle of an answer.
func (s *Server) attach(socket *nbio.Conn) error {
	if err := systemClock.Sleep(s.ctx, attachPause); err != nil {
		return err
	}
	_, err := s.engine.AddConn(socket)
	return err
}

func (s *Server) countConnection() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.connections >= s.limits.Connections {
		return false
	}
	s.connections++
	return true
}

func (s *Server) uncountConnection() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections--
}

// Drain stops accepting callers and returns when all sessions have ended or
// ctx is done. Requests in flight finish. Sessions outside a transaction end
// after their current request; open transactions go on until they end or have
// been idle for the limit.
func (s *Server) Drain(ctx context.Context) error {
	s.beginDrain()
	ended := make(chan struct{})
	go func() {
		s.accepts.Wait()
		s.sessions.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("caller: drain: %w", context.Cause(ctx))
	}
}

func (s *Server) beginDrain() {
	s.drainOnce.Do(func() {
		s.listener.Close()
		close(s.draining)
		s.log.Info("draining callers")
	})
}

// Stop ends all sessions. Requests in flight are canceled.
func (s *Server) Stop(ctx context.Context) error {
	s.stopOnce.Do(func() {
		s.beginDrain()
		close(s.stopping)
		s.cancel()
		go func() {
			s.accepts.Wait()
			s.sessions.Wait()
			s.engine.Stop()
			close(s.done)
		}()
	})
	select {
	case <-s.done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("caller: stop: %w", context.Cause(ctx))
	}
}
