package caller

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sirupsen/logrus"
)

const (
	sessionIDLen = 12
	// flushThreshold is the number of response bytes that are buffered before
	// they are sent.
	flushThreshold = 32 * kib

	statusIdle   = byte('I')
	statusOpen   = byte('T')
	statusFailed = byte('E')
)

// A session is the state of one client connection. Its fields are used by the
// connection's goroutine only, except for currentRequest, which mu protects.
type session struct {
	server *Server
	conn   *conn
	frames frameReader
	out    []byte
	// ctx is canceled when the connection ends.
	ctx context.Context

	id        gypsumyard.SessionID
	key       cancelKey
	customer  string
	login     gypsumyard.Login
	database  string
	startedAt time.Time
	requests  int

	settings settings
	prepared preparedStore
	tx       transaction
	batch    []message
	// skipToSync is set after an error in a batch: messages are skipped until
	// the Sync.
	skipToSync bool

	position      gypsumyard.Position
	positionKnown bool
	// reportedPosition is the position token that the client was last sent.
	reportedPosition string

	maxStaleness time.Duration
	repeatable   bool
	priority     bool

	mu             sync.Mutex
	currentRequest *gypsumyard.Request
}

// A transaction is the state of a session's transaction.
type transaction struct {
	status byte
	handle string
	owner  string
	// readOnly indicates that the transaction was begun as read-only.
	readOnly bool
	// lost indicates that the transaction no longer exists at an upstream, but
	// the client still has to end it.
	lost bool
	// changes are the settings and savepoints made within the transaction.
	changes []change
}

func (t *transaction) open() bool { return t.status != statusIdle }

// serve runs the session of a connection until the connection ends.
func (s *Server) serve(c *conn) {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	x := newSession(s, c, ctx)
	c.setOnClose(cancel)
	defer func() {
		if r := recover(); r != nil {
			s.log.WithField("session", x.id).Errorf("session failed: %v\n%s", r, debug.Stack())
		}
	}()
	defer x.frames.release()
	defer x.prepared.clear()
	if err := x.startSession(); err != nil {
		return
	}
	defer s.closeSession(x.customer)
	defer x.abandon()
	x.key = s.keys.add(x)
	defer s.keys.remove(x.key)
	x.sendGreeting()
	log := x.logger()
	log.WithField("remote", c.socket.RemoteAddr().String()).Info("session started")
	err := x.run()
	x.abandon()
	x.sendFatal(err)
	log.WithFields(logrus.Fields{
		"reason":   err,
		"requests": x.requests,
		"duration": s.clock.Since(x.startedAt),
	}).Info("session ended")
}

func newSession(s *Server, c *conn, ctx context.Context) *session {
	id := make([]byte, sessionIDLen)
	rand.Read(id)
	return &session{
		server:     s,
		conn:       c,
		frames:     frameReader{in: c, budget: &s.budget},
		ctx:        ctx,
		id:         gypsumyard.SessionID(s.membership.Self().Name + "-" + hex.EncodeToString(id)),
		startedAt:  s.clock.Now(),
		settings:   settings{},
		prepared:   preparedStore{limits: &s.limits, budget: &s.budget},
		tx:         transaction{status: statusIdle},
		repeatable: true,
	}
}

func (x *session) logger() logrus.FieldLogger {
	return x.server.log.WithFields(logrus.Fields{
		"session":  x.id,
		"customer": x.customer,
		"login":    x.login.Name,
		"database": x.database,
	})
}

// startSession runs the startup of the connection within the startup timeout
// and opens the session. Errors are reported to the client before it returns.
func (x *session) startSession() error {
	timer := x.server.clock.NewTimer(x.server.limits.StartupTimeout)
	defer timer.Stop()
	x.conn.deadline = timer.C()
	x.conn.onDeadline = errStartupTimeout
	x.conn.interrupt = x.server.draining
	x.conn.onInterrupt = func() error { return shutdownError() }
	err := x.handshake()
	if err == nil {
		err = x.useCustomerBudget()
	}
	x.conn.deadline = nil
	if err != nil {
		x.sendFatal(err)
		log := x.server.log.WithError(err).WithField("remote", x.conn.socket.RemoteAddr().String())
		if isDisconnect(err) {
			log.Debug("session startup failed")
		} else {
			log.Info("session startup failed")
		}
	}
	return err
}

// useCustomerBudget opens the session and charges the memory that it holds from
// now on to the customer's budget.
func (x *session) useCustomerBudget() error {
	b, err := x.server.openSession(x.customer)
	if err != nil {
		return err
	}
	x.frames.budget = b
	x.prepared.budget = b
	x.conn.setInputLimit(x.server.limits.ConnectionBuffer, b)
	return nil
}

// run handles messages until the session ends, and returns the reason.
func (x *session) run() error {
	if err := x.sendReady(); err != nil {
		return err
	}
	for {
		f, err := x.nextFrame()
		if err != nil {
			return err
		}
		if err := x.handleMessage(f); err != nil {
			return err
		}
		if len(x.batch) == 0 {
			x.frames.release()
		}
	}
}

// nextFrame waits for the next message. While the host drains, it waits only if
// the session has an open transaction, and only up to DrainIdleTimeout.
func (x *session) nextFrame() (frame, error) {
	var timer gypsumyard.Timer
	onDrain := func() error {
		if !x.tx.open() {
			return shutdownError()
		}
		timer = x.server.clock.NewTimer(x.server.limits.DrainIdleTimeout)
		x.conn.interrupt = nil
		x.conn.deadline = timer.C()
		x.conn.onDeadline = gypsumyard.Errorf(gypsumyard.ClassShutdown, "the host is shutting down and the transaction was idle for %v", x.server.limits.DrainIdleTimeout)
		return nil
	}
	x.conn.interrupt = x.server.draining
	x.conn.onInterrupt = onDrain
	select {
	case <-x.server.draining:
		if err := onDrain(); err != nil {
			return frame{}, err
		}
	default:
	}
	f, err := x.frames.read(x.server.limits.MessageBytes)
	x.conn.interrupt = nil
	x.conn.deadline = nil
	if timer != nil {
		timer.Stop()
	}
	return f, err
}

// handleMessage handles one message of the client.
func (x *session) handleMessage(f frame) error {
	if x.skipToSync && f.kind != 'S' && f.kind != 'X' {
		return nil
	}
	if f.kind == 'Q' || f.kind == 'S' || f.kind == 'H' {
		x.conn.pauseReading()
	}
	switch f.kind {
	case 'Q':
		return x.handleQuery(f)
	case 'P', 'B', 'D', 'E', 'C':
		return x.addToBatch(f)
	case 'H':
		return x.handleFlush()
	case 'S':
		return x.handleSync()
	case 'F':
		if err := x.reject(gypsumyard.Errorf(gypsumyard.ClassNotSupported, "function call messages are not supported")); err != nil {
			return err
		}
		return x.sendReady()
	case 'd', 'c', 'f':
		// The remaining messages of a rejected COPY are skipped, as in
		// PostgreSQL.
		return nil
	case 'X':
		return errTerminate
	}
	return gypsumyard.Errorf(gypsumyard.ClassProtocol, "unknown message type %q", f.kind)
}

// sendReady reports the position if it has changed and sends ReadyForQuery.
func (x *session) sendReady() error {
	if x.positionToken() != x.reportedPosition {
		x.reportPosition()
	}
	x.send(&pgproto3.ReadyForQuery{TxStatus: x.tx.status})
	return x.flush()
}

func (x *session) reportPosition() {
	x.reportedPosition = x.positionToken()
	x.send(&pgproto3.ParameterStatus{Name: paramPosition, Value: x.reportedPosition})
}

// positionToken returns the session's position, prefixed with the database that
// it applies to, or "" while the position is not known.
func (x *session) positionToken() string {
	if !x.positionKnown {
		return ""
	}
	return fmt.Sprintf("%s:%s", x.database, x.position)
}

// send appends a message to the output buffer.
func (x *session) send(m pgproto3.BackendMessage) {
	out, err := m.Encode(x.out)
	if err != nil {
		x.server.log.WithError(err).WithField("session", x.id).Error("cannot encode a message")
		return
	}
	x.out = out
}

func (x *session) flush() error {
	if len(x.out) == 0 {
		return nil
	}
	_, err := x.conn.Write(x.out)
	x.out = x.out[:0]
	if cap(x.out) > 2*flushThreshold {
		x.out = nil
	}
	return err
}

// sendFatal reports to the client why the connection ends, unless the client
// has disconnected.
func (x *session) sendFatal(err error) {
	if isDisconnect(err) {
		return
	}
	e := clientError(err)
	x.server.metrics.countFailure(e.Class)
	x.send(errorResponse("FATAL", e))
	if err := x.flush(); err != nil {
		x.server.log.WithError(err).WithField("session", x.id).Debug("cannot report to the client why its connection ends")
	}
}
