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

	// serverVersion is the PostgreSQL version that is reported to clients.
	serverVersion = "15.0"
	// mockSecretLen is the length in bytes of a generated mock secret.
	mockSecretLen = 32

	// acceptRetryDelay is the pause after a failed accept, for example when the
	// process is out of file descriptors.
	acceptRetryDelay = 50 * time.Millisecond
	// attachDelay is longer than the poller takes to handle one batch of events.
	attachDelay = 2 * time.Millisecond
)

// customerUsage counts the sessions of one customer on this host and the memory
// that they hold.
type customerUsage struct {
	sessions int
	budget   budget
}

// systemClock is used for delays that depend on the operating system, even if
// the server is given another clock.
var systemClock = clock.System()

// A Server is the service that accepts client connections.
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
	// ctx is canceled by Stop.
	ctx      context.Context
	cancel   context.CancelFunc
	sessions sync.WaitGroup
	accepts  sync.WaitGroup

	// published makes the construction of a conn happen before the callbacks on
	// it: passing the socket through the kernel's poller is not a
	// synchronization in the Go memory model.
	published atomic.Uint64

	draining  chan struct{}
	drainOnce sync.Once
	stopping  chan struct{}
	stopOnce  sync.Once
	done      chan struct{}

	mu sync.Mutex
	// connections counts the open connections, sessionCount those that are
	// authenticated.
	connections  int
	sessionCount int
	customers    map[string]*customerUsage
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
		customers: map[string]*customerUsage{},
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

// Done returns a channel that is closed once all connections have ended after
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

// Start starts accepting client connections.
func (s *Server) Start(ctx context.Context, k *kernel.Kernel) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("caller: %w", err)
		}
	}()
	if err := s.lookUpServices(k); err != nil {
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

func (s *Server) lookUpServices(k *kernel.Kernel) (err error) {
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
	s.engine.OnData(func(n *nbio.Conn, data []byte) { s.connOf(n).handleData(data) })
	s.engine.OnWrittenSize(func(n *nbio.Conn, _ []byte, size int) { s.connOf(n).handleWritten(size) })
	s.engine.OnClose(func(n *nbio.Conn, _ error) { s.connOf(n).handleClosed() })
	return s.engine.Start()
}

// connOf returns the conn of a socket. It is called by nbio's callbacks.
func (s *Server) connOf(n *nbio.Conn) *conn {
	s.published.Load()
	return n.Session().(*conn)
}

// accept accepts connections until the listener is closed.
func (s *Server) accept() {
	for {
		raw, err := s.listener.Accept()
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
		if err := s.startConn(raw); err != nil {
			s.log.WithError(err).Warn("cannot serve a connection")
		}
	}
}

func (s *Server) startConn(raw net.Conn) error {
	if !s.acquireConnection() {
		s.metrics.refused.Inc(1)
		return errors.Join(fmt.Errorf("limit of %d connections reached", s.limits.Connections), raw.Close())
	}
	socket, err := nbio.NBConn(raw)
	if err != nil {
		s.releaseConnection()
		return errors.Join(err, raw.Close())
	}
	c := newConn(socket, s)
	socket.SetSession(c)
	s.published.Add(1)
	s.sessions.Go(func() {
		defer s.releaseConnection()
		defer c.close()
		if err := s.attach(socket); err != nil {
			s.log.WithError(err).Warn("cannot serve a connection")
			return
		}
		s.serve(c)
	})
	return nil
}

// attach registers the socket with nbio's poller after a delay. nbio closes
// file descriptors outside the poller after a failed write, so the socket may
// have the descriptor of a connection whose events the poller has not handled
// yet. Those events would close the new connection: without the delay, 11 of
// 17900 connections were closed while others were reset in the middle of a
// response.
func (s *Server) attach(socket *nbio.Conn) error {
	if err := systemClock.Sleep(s.ctx, attachDelay); err != nil {
		return err
	}
	_, err := s.engine.AddConn(socket)
	return err
}

func (s *Server) acquireConnection() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.connections >= s.limits.Connections {
		return false
	}
	s.connections++
	return true
}

func (s *Server) releaseConnection() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections--
}

// Drain stops accepting connections and returns when all sessions have ended or
// ctx is done. Requests in flight finish. Sessions outside a transaction end
// after their current request; sessions with an open transaction continue until
// it ends or has been idle for DrainIdleTimeout.
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
		s.log.Info("draining client sessions")
	})
}

// Stop ends all sessions and cancels the requests in flight.
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
