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
	// flushAt is how much of an answer is collected before it is sent.
	flushAt = 32 * kib

	statusIdle   = byte('I')
	statusOpen   = byte('T')
	statusFailed = byte('E')
)

// A session is the state of one caller's connection. Its fields belong to the
// connection's goroutine, except for current.
type session struct {
	server *Server
	conn   *conn
	frames frameReader
	out    []byte
	// ctx ends with the connection.
	ctx context.Context

	id       gypsumyard.SessionID
	key      cancelKey
	customer string
	login    gypsumyard.Login
	database string
	began    time.Time
	requests int

	settings settings
	prepared preparedStore
	tx       transaction
	batch    []message
	// skipping is set after an error in a batch until its Sync.
	skipping bool

	position      gypsumyard.Position
	positionKnown bool
	// reported is the position token that the caller was told last.
	reported string

	maxStaleness time.Duration
	repeatable   bool
	priority     bool

	mu      sync.Mutex
	current *gypsumyard.Request
}

// A transaction is what a session keeps of its open transaction.
type transaction struct {
	status byte
	handle string
	owner  string
	// readOnly indicates that it was begun as a read-only transaction.
	readOnly bool
	// lost indicates that the transaction is gone while the caller still has to
	// end it.
	lost bool
	// changes are the settings made within the transaction.
	changes []change
}

func (t *transaction) open() bool { return t.status != statusIdle }

// serve runs a connection from its start to its end.
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
	if err := x.begin(); err != nil {
		return
	}
	defer s.closeSession(x.customer)
	defer x.abandon()
	x.key = s.keys.add(x)
	defer s.keys.remove(x.key)
	x.greet()
	log := x.logger()
	log.WithField("remote", c.socket.RemoteAddr().String()).Info("session started")
	err := x.loop()
	x.abandon()
	x.sendFatal(err)
	log.WithFields(logrus.Fields{
		"reason":   err,
		"requests": x.requests,
		"duration": s.clock.Since(x.began),
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
		began:      s.clock.Now(),
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

// begin authenticates the caller within the time limit and counts the session.
// An error has been told to the caller.
func (x *session) begin() error {
	timer := x.server.clock.NewTimer(x.server.limits.StartupTimeout)
	defer timer.Stop()
	x.conn.deadline = timer.C()
	x.conn.onDeadline = errStartup
	x.conn.interrupt = x.server.draining
	x.conn.onInterrupt = func() error { return shuttingDown() }
	err := x.start()
	if err == nil {
		err = x.takeBudget()
	}
	x.conn.deadline = nil
	if err != nil {
		x.sendFatal(err)
		log := x.server.log.WithError(err).WithField("remote", x.conn.socket.RemoteAddr().String())
		if hasLeft(err) {
			log.Debug("no session started")
		} else {
			log.Info("no session started")
		}
	}
	return err
}

// takeBudget opens the session and counts from now on what it holds against
// the customer's budget.
func (x *session) takeBudget() error {
	b, err := x.server.openSession(x.customer)
	if err != nil {
		return err
	}
	x.frames.budget = b
	x.prepared.budget = b
	x.conn.setLimits(x.server.limits.ConnectionBuffer, b)
	return nil
}

// loop handles messages until the session ends, and returns why it did.
func (x *session) loop() error {
	if err := x.ready(); err != nil {
		return err
	}
	for {
		f, err := x.nextFrame()
		if err != nil {
			return err
		}
		if err := x.handle(f); err != nil {
			return err
		}
		if len(x.batch) == 0 {
			x.frames.release()
		}
	}
}

// nextFrame waits for a message. While the host drains, it waits only for a
// session with an open transaction, and only for the idle limit.
func (x *session) nextFrame() (frame, error) {
	var timer gypsumyard.Timer
	idle := func() error {
		if !x.tx.open() {
			return shuttingDown()
		}
		timer = x.server.clock.NewTimer(x.server.limits.DrainIdleTimeout)
		x.conn.interrupt = nil
		x.conn.deadline = timer.C()
		x.conn.onDeadline = gypsumyard.Errorf(gypsumyard.ClassShutdown, "the host is shutting down and the transaction was idle for %v", x.server.limits.DrainIdleTimeout)
		return nil
	}
	x.conn.interrupt = x.server.draining
	x.conn.onInterrupt = idle
	select {
	case <-x.server.draining:
		if err := idle(); err != nil {
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

// handle runs one message of the caller.
func (x *session) handle(f frame) error {
	if x.skipping && f.kind != 'S' && f.kind != 'X' {
		return nil
	}
	if f.kind == 'Q' || f.kind == 'S' || f.kind == 'H' {
		x.conn.pauseReading()
	}
	switch f.kind {
	case 'Q':
		return x.simple(f)
	case 'P', 'B', 'D', 'E', 'C':
		return x.addToBatch(f)
	case 'H':
		return x.flushBatch()
	case 'S':
		return x.sync()
	case 'F':
		if err := x.refuse(gypsumyard.Errorf(gypsumyard.ClassNotSupported, "function call messages are not supported")); err != nil {
			return err
		}
		return x.ready()
	case 'd', 'c', 'f':
		// What remains of a COPY that was refused is skipped, as PostgreSQL
		// does.
		return nil
	case 'X':
		return errTerminate
	}
	return gypsumyard.Errorf(gypsumyard.ClassProtocol, "unknown message type %q", f.kind)
}

// ready tells the caller about an advanced position and that it may go on.
func (x *session) ready() error {
	if x.positionToken() != x.reported {
		x.reportPosition()
	}
	x.send(&pgproto3.ReadyForQuery{TxStatus: x.tx.status})
	return x.flush()
}

func (x *session) reportPosition() {
	x.reported = x.positionToken()
	x.send(&pgproto3.ParameterStatus{Name: paramPosition, Value: x.reported})
}

// positionToken is the position with the database that it belongs to. It is
// empty while the session's position is not known.
func (x *session) positionToken() string {
	if !x.positionKnown {
		return ""
	}
	return fmt.Sprintf("%s:%s", x.database, x.position)
}

// send appends a message to the answer.
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
	if cap(x.out) > 2*flushAt {
		x.out = nil
	}
	return err
}

// sendFatal tells the caller why the connection ends, if it is still there.
func (x *session) sendFatal(err error) {
	if hasLeft(err) {
		return
	}
	e := asError(err)
	x.server.metrics.failure(e.Class)
	x.send(errorResponse("FATAL", e))
	if err := x.flush(); err != nil {
		x.server.log.WithError(err).WithField("session", x.id).Debug("cannot tell the caller why its connection ends")
	}
}
