package group

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/emulate/engine"
	"github.com/gypsumyard/gypsumyard/internal/emulate/sqlparse"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
)

// A session serves one client connection. Its methods run on the connection's
// goroutine, except cancelStatement.
type session struct {
	instance    *Instance
	conn        *faultConn
	backend     *pgproto3.Backend
	types       *pgtype.Map
	pid         uint32
	secret      uint32
	truncations uint64
	user        string
	settings    settings

	// tx is the open transaction, nil if there is none. explicit indicates a
	// transaction block that BEGIN opened. failed indicates that an error has
	// aborted the block before its COMMIT or ROLLBACK.
	tx       *engine.Tx
	explicit bool
	failed   bool
	entries  []*Entry

	statements map[string]*preparedStatement
	portals    map[string]*portal
	hasSlot    bool
	slotSince  time.Time
	// slotTime is how long the current statement has held a slot, not counting
	// the current hold.
	slotTime time.Duration

	mu     sync.Mutex
	cancel context.CancelCauseFunc
}

// A fatalError is sent to the client and ends the session.
type fatalError struct{ err *sqlparse.Error }

func (e fatalError) Error() string { return e.err.Error() }
func (e fatalError) Unwrap() error { return e.err }

var errCanceled = sqlparse.Errorf("57014", "canceling statement due to user request")

func newSession(in *Instance, k *faultConn) *session {
	return &session{
		instance:   in,
		conn:       k,
		backend:    pgproto3.NewBackend(k, k),
		types:      pgtype.NewMap(),
		settings:   newSettings(),
		statements: map[string]*preparedStatement{},
		portals:    map[string]*portal{},
	}
}

func (s *session) secretKey() []byte { return binary.BigEndian.AppendUint32(nil, s.secret) }

// startup performs the startup phase of the protocol and reports whether the
// session was opened.
func (s *session) startup() bool {
	m, err := s.startupMessage()
	if err != nil || m == nil {
		return false
	}
	s.user = m.Parameters["user"]
	if err := s.open(m); err != nil {
		s.sendError(err, "FATAL")
		_ = s.backend.Flush()
		return false
	}
	return true
}

// startupMessage returns the client's startup message. It declines requests for
// encryption. It carries out a cancel request and then returns nil.
func (s *session) startupMessage() (*pgproto3.StartupMessage, error) {
	for {
		m, err := s.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, err
		}
		switch m := m.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := s.conn.Write([]byte("N")); err != nil {
				return nil, err
			}
		case *pgproto3.CancelRequest:
			s.instance.cancelStatement(m.ProcessID, m.SecretKey)
			return nil, nil
		case *pgproto3.StartupMessage:
			return m, nil
		}
	}
}

func (s *session) open(m *pgproto3.StartupMessage) error {
	if !s.instance.register(s) {
		return sqlparse.Errorf("53300", "sorry, too many clients already: too many connections")
	}
	if err := s.instance.clock.Sleep(s.conn.ctx, s.instance.group.config.openDelay); err != nil {
		return err
	}
	if err := s.authenticate(); err != nil {
		return err
	}
	if name := m.Parameters["database"]; name != "" && name != s.instance.group.name {
		return sqlparse.Errorf("3D000", "database %q does not exist", name)
	}
	for name, v := range m.Parameters {
		if name != "user" && name != "database" && name != "options" && name != "replication" {
			s.settings.setDefault(name, v)
		}
	}
	s.instance.count("open")
	s.backend.Send(&pgproto3.AuthenticationOk{})
	for _, name := range reportedParameters {
		v, _ := s.Setting(name)
		s.backend.Send(&pgproto3.ParameterStatus{Name: name, Value: v})
	}
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: s.secretKey()})
	return s.ready()
}

func (s *session) authenticate() error {
	user, password := s.instance.group.credentials()
	if password == "" {
		return nil
	}
	s.backend.Send(&pgproto3.AuthenticationCleartextPassword{})
	if err := s.backend.Flush(); err != nil {
		return err
	}
	if err := s.backend.SetAuthType(pgproto3.AuthTypeCleartextPassword); err != nil {
		return err
	}
	m, err := s.backend.Receive()
	if err != nil {
		return err
	}
	p, ok := m.(*pgproto3.PasswordMessage)
	if !ok || s.user != user || p.Password != password {
		return sqlparse.Errorf("28P01", "password authentication failed for user %q", s.user)
	}
	return nil
}

// loop handles messages until the connection ends.
func (s *session) loop() {
	for {
		m, err := s.backend.Receive()
		if err == nil {
			err = s.handle(m)
		}
		if err != nil {
			s.sendFinalError(err)
			return
		}
	}
}

// sendFinalError sends the client the reason for the end of the session, if the
// session ends by a fatal error or was terminated.
func (s *session) sendFinalError(err error) {
	var fatal fatalError
	switch {
	case errors.Is(context.Cause(s.conn.ctx), errTerminated):
		fatal = fatalError{sqlparse.Errorf("57P01", "%s", errTerminated)}
	case !errors.As(err, &fatal):
		return
	}
	m := &pgproto3.ErrorResponse{Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: fatal.err.Code, Message: fatal.err.Message}
	if b, err := m.Encode(nil); err == nil {
		s.conn.writeFinal(b)
	}
}

// end rolls back the transaction and releases the session's resources.
func (s *session) end() {
	s.rollback()
	s.releaseSlot()
	if s.pid != 0 {
		s.instance.unregister(s)
	}
}

func (s *session) handle(m pgproto3.FrontendMessage) error {
	switch m := m.(type) {
	case *pgproto3.Query:
		return s.simpleQuery(m.String)
	case *pgproto3.Terminate:
		return io.EOF
	case *pgproto3.Flush:
		return s.backend.Flush()
	case *pgproto3.Sync:
		return s.sync(nil)
	case *pgproto3.Parse, *pgproto3.Bind, *pgproto3.Describe, *pgproto3.Execute, *pgproto3.Close:
		if err := s.extended(m); err != nil {
			return s.skipToSync(err)
		}
		return nil
	}
	return fatalError{sqlparse.Errorf("08P01", "unexpected message %T", m)}
}

// ready sends ReadyForQuery and flushes the output.
func (s *session) ready() error {
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.txStatus()})
	return s.backend.Flush()
}

func (s *session) txStatus() byte {
	switch {
	case s.failed:
		return 'E'
	case s.explicit:
		return 'T'
	}
	return 'I'
}

func (s *session) sendError(err error, severity string) {
	e := sqlError(err)
	s.backend.Send(&pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                e.Code,
		Message:             e.Message,
	})
}

func sqlError(err error) *sqlparse.Error {
	var e *sqlparse.Error
	if errors.As(err, &e) {
		return e
	}
	return sqlparse.Errorf("XX000", "%v", err)
}

// disconnected reports whether the connection was closed or terminated.
func (s *session) disconnected() bool { return s.conn.ctx.Err() != nil }

// fail rolls back the transaction after an error. An explicit transaction stays
// open in the aborted state.
func (s *session) fail() {
	s.rollbackWork()
	s.failed = s.explicit
}

// begin opens a transaction unless one is open.
func (s *session) begin() {
	if s.tx == nil {
		s.tx = s.instance.engine.Begin()
		s.settings.begin()
	}
}

// commit commits the open transaction, if any, and returns the position that
// [engine.Tx.Commit] returns.
func (s *session) commit() (p gypsumyard.Position, err error) {
	s.closePortals()
	tx := s.tx
	s.tx, s.explicit, s.failed = nil, false, false
	if tx == nil {
		return p, nil
	}
	p, err = tx.Commit(s.conn.ctx)
	s.settings.end(err == nil)
	if err == nil {
		record := p
		if !tx.Wrote() {
			record = gypsumyard.Position{}
		}
		s.instance.group.journal.commit(s.entries, record)
	}
	s.entries = nil
	return p, err
}

// rollback rolls back the open transaction and leaves a transaction block.
func (s *session) rollback() {
	s.rollbackWork()
	s.explicit, s.failed = false, false
}

func (s *session) rollbackWork() {
	s.closePortals()
	if s.tx == nil {
		return
	}
	s.tx.Rollback()
	s.tx, s.entries = nil, nil
	s.settings.end(false)
}

// statementContext returns the context of one statement, which a cancel request
// cancels.
func (s *session) statementContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(s.conn.ctx)
	s.mu.Lock()
	s.cancel = cancel
	s.mu.Unlock()
	return ctx, func() {
		s.mu.Lock()
		s.cancel = nil
		s.mu.Unlock()
		cancel(nil)
	}
}

func (s *session) cancelStatement() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		s.cancel(errCanceled)
	}
}

func (s *session) acquireSlot(ctx context.Context) error {
	if s.hasSlot {
		return nil
	}
	if err := s.instance.slots.Acquire(ctx, 1); err != nil {
		return context.Cause(ctx)
	}
	s.hasSlot, s.slotSince = true, s.instance.clock.Now()
	return nil
}

func (s *session) releaseSlot() {
	if s.hasSlot {
		s.instance.slots.Release(1)
		s.hasSlot = false
		s.slotTime += s.instance.clock.Since(s.slotSince)
	}
}

// checkTruncation returns a fatal error if the instance's log was truncated after
// the start of the session.
func (s *session) checkTruncation() error {
	if s.instance.engine.Truncations() == s.truncations {
		return nil
	}
	return fatalError{sqlparse.Errorf("57P01", "%s", errTerminated)}
}

// Setting returns the value of a session parameter.
func (s *session) Setting(name string) (string, bool) {
	if name == "transaction_read_only" {
		st := s.instance.engine.Status()
		if s.tx != nil && s.tx.ReadOnly || !st.Writable() {
			return "on", true
		}
		return "off", true
	}
	return s.settings.get(name)
}

// SetSetting changes a session parameter.
func (s *session) SetSetting(name, value string, local bool) { s.settings.set(name, value, local) }

// User returns the user name of the startup message.
func (s *session) User() string { return s.user }

// PID returns the process ID that identifies the session in cancel requests.
func (s *session) PID() uint32 { return s.pid }

// Now returns the current time of the instance's clock.
func (s *session) Now() time.Time { return s.instance.clock.Now() }

// Sleep implements pg_sleep.
func (s *session) Sleep(ctx context.Context, d time.Duration) error {
	return s.instance.clock.Sleep(ctx, d)
}

// FillStatus fills in the status fields that the engine does not know.
func (s *session) FillStatus(st *gypsumyard.InstanceStatus) { s.instance.fillStatus(st) }

// BeginLockWait releases the slot while the statement waits for a lock.
// Otherwise the waiters could occupy all slots, and the lock's holder would get
// none to continue.
func (s *session) BeginLockWait() func(context.Context) error {
	hadSlot := s.hasSlot
	s.releaseSlot()
	return func(ctx context.Context) error {
		if !hadSlot {
			return nil
		}
		return s.acquireSlot(ctx)
	}
}
