package linecaller

import (
	"context"
	"errors"
	"io"
	"net"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/line"
	"github.com/sirupsen/logrus"
)

const (
	// readBuffer is the size of the input buffer of a session in bytes.
	readBuffer = 1 << 10
	// maxSettings and maxPrepared limit the number of settings and of prepared
	// statements of a session.
	maxSettings = 1024
	maxPrepared = 4096
)

// The states of a session, as encoded in READY messages.
const (
	stateIdle        = 'I'
	stateTransaction = 'T'
	stateFailed      = 'E'
)

// A session is one connection of a caller. All fields except those below mu are
// accessed only by the goroutine that serves the session.
type session struct {
	server   *Server
	conn     net.Conn
	in       *line.Reader
	out      []byte
	log      logrus.FieldLogger
	id       gypsumyard.SessionID
	database string
	// key is the hash of the key that the caller sent, or zero. The key itself is not
	// kept.
	key gypsumyard.KeyHash
	// desired and customer are the desired state when the message that is being handled
	// was read, and the customer that holds the key by it, or empty. Between messages
	// desired is nil: idle sessions would keep old states with many customers in memory.
	desired  *gypsumyard.DesiredState
	customer string

	settings []gypsumyard.Setting
	prepared map[string]line.Prepared
	// position is the highest position that the session has reached.
	position gypsumyard.Position
	state    byte
	tx       transaction

	mu sync.Mutex
	// waiting indicates that the session is waiting for a message.
	waiting bool
	// interrupted indicates that the server has interrupted the wait.
	interrupted bool
	// inTransaction indicates that a transaction is open or has failed.
	inTransaction bool
	// startedDuringDrain indicates that the session began after CloseIdle. It
	// is set before the session is served.
	startedDuringDrain bool
}

// A transaction is the transaction of a session in stateTransaction or
// stateFailed.
type transaction struct {
	route gypsumyard.Route
	// desiredNumber is the number of the desired state that has the route.
	desiredNumber int64
	readOnly      bool
	// customer is the one for which the transaction was opened, or empty.
	customer string
	// handle and owner are empty until the first statement has opened the
	// transaction on an instance.
	handle string
	owner  string
}

func newSession(s *Server, n net.Conn) *session {
	id := s.sessionID()
	return &session{
		server:   s,
		conn:     n,
		in:       line.NewReader(n, readBuffer),
		log:      s.log.WithField("session", id),
		id:       id,
		prepared: map[string]line.Prepared{},
		state:    stateIdle,
	}
}

// serve runs the session until it ends.
func (ss *session) serve() {
	defer ss.conn.Close()
	defer ss.recoverPanic()
	ss.server.metrics.sessions.Inc(1)
	if !ss.start() {
		return
	}
	defer ss.abandon()
	for {
		m, err := ss.readMessage()
		if err == nil {
			err = ss.handle(m)
		}
		if err != nil {
			ss.reportEnd(err)
			return
		}
	}
}

// recoverPanic ends the session only, instead of the process, after a panic. The
// caller sees a connection that ends without an answer, which promises nothing.
func (ss *session) recoverPanic() {
	r := recover()
	if r == nil {
		return
	}
	ss.server.metrics.panics.Inc(1)
	ss.server.log.WithFields(logrus.Fields{"session": ss.id, "panic": r, "stack": string(debug.Stack())}).Error("session failed")
}

// reportEnd logs why a session ended, unless the caller or a drain ended it. A
// caller that broke the protocol gets an error message.
func (ss *session) reportEnd(err error) {
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, errTerminated), errors.Is(err, errDraining), errors.Is(err, errDenied):
		return
	case errors.Is(err, line.ErrMalformed):
		ss.out = line.Append(ss.out[:0], line.WordError, string(line.CodeMalformed), err.Error())
		_ = ss.flush() // The session ends anyway.
	}
	ss.log.WithField("database", ss.database).WithError(err).Info("session ended")
}

// errTerminated indicates that the caller has sent TERMINATE.
var errTerminated = errors.New("session terminated by the caller")

// readMessage waits for the next message. It fails with errDraining if the host
// is draining and the session should be closed.
func (ss *session) readMessage() (line.Message, error) {
	if !ss.beginWait() {
		return line.Message{}, errDraining
	}
	m, err := ss.in.Read()
	if ss.endWait() && err != nil {
		return m, errDraining
	}
	return m, err
}

// beginWait marks the session as waiting. It returns false if the session
// should be closed instead because the host is draining; input that has been
// received is still processed. The look at the state of the drain and the mark are
// one step, so that no interrupt of a new state falls between them.
func (ss *session) beginWait() bool {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.waiting = ss.mayWait()
	return ss.waiting
}

func (ss *session) mayWait() bool {
	s := ss.server
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.closingIdle || !s.closingTransactions && (ss.startedDuringDrain || ss.state != stateIdle) || ss.in.Buffered() > 0
}

// endWait ends the wait that beginWait began. It reports whether the wait was
// interrupted.
func (ss *session) endWait() bool {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.waiting = false
	if !ss.interrupted {
		return false
	}
	ss.interrupted = false
	_ = ss.conn.SetReadDeadline(time.Time{})
	return true
}

// interrupt makes a pending read fail if the session should be closed because
// the host is draining. It is called by the server.
func (ss *session) interrupt() {
	s := ss.server
	s.mu.Lock()
	closingTransactions := s.closingTransactions
	s.mu.Unlock()
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.interruptLocked(closingTransactions)
}

// interruptLocked is interrupt for a caller that holds ss.mu.
func (ss *session) interruptLocked(closingTransactions bool) {
	if !ss.waiting || (ss.inTransaction || ss.startedDuringDrain) && !closingTransactions {
		return
	}
	ss.interrupted = true
	_ = ss.conn.SetReadDeadline(time.Unix(1, 0))
}

// handle processes one message and sends the response.
func (ss *session) handle(m line.Message) error {
	switch m.Word {
	case line.WordTerminate:
		return errTerminated
	case line.WordQuery:
	default:
		return line.ErrMalformed
	}
	f := m.Fields(2)
	if len(f) != 2 || f[0] == "" || f[0] == "-" {
		return line.ErrMalformed
	}
	began := ss.server.clock.Now()
	defer func() { ss.desired = nil }()
	ss.out = ss.out[:0]
	ok, err := ss.admitKey(f[0], f[1], began)
	if ok {
		err = ss.statement(f[0], f[1])
	}
	ss.out = line.Append(ss.out, line.WordReady, string(ss.state), line.FormatPosition(ss.position))
	err = errors.Join(err, ss.flush())
	ss.server.metrics.latency.Record(ss.server.clock.Since(began))
	return err
}

// statement executes one statement and buffers its response without the final
// READY message. It fails with errDenied if the session must end.
func (ss *session) statement(id, text string) error {
	st, err := line.Parse(text)
	if err != nil {
		ss.fail(id, line.CodeMalformed, err.Error())
		return nil
	}
	if ss.state == stateFailed && st.Verb != line.Rollback && st.Verb != line.Commit {
		ss.fail(id, line.CodeMalformed, "the transaction has failed")
		return nil
	}
	switch st.Verb {
	case line.Begin:
		ss.begin(id, st)
	case line.Rollback:
		ss.rollback(id)
	case line.Commit:
		return ss.commit(id, text)
	case line.Set:
		ss.set(id, st)
	case line.Prepare:
		ss.prepare(id, st)
	case line.Deallocate:
		ss.deallocate(id, st)
	default:
		return ss.execute(id, text, st)
	}
	return nil
}

// completeLocally answers a statement that succeeded without being sent to an
// instance.
func (ss *session) completeLocally() {
	ss.out = line.Append(ss.out, line.WordComplete, "-")
	ss.server.metrics.answered.Inc(1)
}

// fail answers a statement with an error. An open transaction is rolled back
// and becomes a failed one, in which only COMMIT and ROLLBACK are accepted.
func (ss *session) fail(id string, code line.Code, text string) {
	fields := logrus.Fields{"request": id, "route": ss.database, "code": code, "reason": text}
	if d := ss.desired; d != nil {
		fields["desired"], fields["database"] = d.Number, d.Routes[ss.database].Group
	}
	if ss.customer != "" {
		fields["customer"] = ss.customer
	}
	ss.log.WithFields(fields).Info("statement refused")
	ss.failQuietly(code, text)
}

// failQuietly is fail without a log line.
func (ss *session) failQuietly(code line.Code, text string) {
	if ss.state == stateTransaction {
		ss.abandon()
		ss.setState(stateFailed)
	}
	ss.server.metrics.countFailure(code)
	ss.out = line.Append(ss.out, line.WordError, string(code), text)
}

func (ss *session) begin(id string, st line.Statement) {
	if ss.state != stateIdle {
		ss.fail(id, line.CodeMalformed, "a transaction is open")
		return
	}
	r, ok := ss.route()
	if !ok {
		ss.fail(id, line.CodeNoDatabase, ss.database)
		return
	}
	ss.tx = transaction{route: r, desiredNumber: ss.desired.Number, readOnly: st.ReadOnly, customer: ss.customer}
	ss.setState(stateTransaction)
	ss.completeLocally()
}

func (ss *session) rollback(id string) {
	if ss.state == stateIdle {
		ss.fail(id, line.CodeMalformed, "no transaction is open")
		return
	}
	ss.abandon()
	ss.setState(stateIdle)
	ss.completeLocally()
}

func (ss *session) commit(id, text string) error {
	switch ss.state {
	case stateIdle:
		ss.fail(id, line.CodeMalformed, "no transaction is open")
	case stateFailed:
		ss.abandon()
		ss.setState(stateIdle)
		ss.fail(id, line.CodeAborted, "the transaction has failed and is rolled back")
	default:
		return ss.execute(id, text, line.Statement{Verb: line.Commit})
	}
	return nil
}

// setState changes the state of the session. It also updates inTransaction,
// from which the server decides whether the session may be closed during a
// drain.
func (ss *session) setState(state byte) {
	ss.state = state
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.inTransaction = state != stateIdle
}

func (ss *session) set(id string, st line.Statement) {
	for i := range ss.settings {
		if ss.settings[i].Name == st.Name {
			// A canceled statement may still be using the slice.
			ss.settings = slices.Clone(ss.settings)
			ss.settings[i].Value = st.Value
			ss.completeLocally()
			return
		}
	}
	if len(ss.settings) >= maxSettings {
		ss.fail(id, line.CodeFailed, "too many session values")
		return
	}
	ss.settings = append(slices.Clone(ss.settings), gypsumyard.Setting{Name: st.Name, Value: st.Value})
	ss.completeLocally()
}

func (ss *session) prepare(id string, st line.Statement) {
	if len(ss.prepared) >= maxPrepared {
		ss.fail(id, line.CodeFailed, "too many prepared statements")
		return
	}
	ss.prepared[st.Name] = st.Prepared
	ss.completeLocally()
}

func (ss *session) deallocate(id string, st line.Statement) {
	if _, ok := ss.prepared[st.Name]; !ok {
		ss.fail(id, line.CodeUnknown, st.Name)
		return
	}
	delete(ss.prepared, st.Name)
	ss.completeLocally()
}

// abandon rolls back the open transaction on its instance, in the background.
func (ss *session) abandon() {
	if ss.tx.handle == "" {
		return
	}
	r := &gypsumyard.Request{Session: ss.id, Database: ss.tx.route.Group, Transaction: ss.tx.handle, Owner: ss.tx.owner}
	ss.tx.handle, ss.tx.owner = "", ""
	s := ss.server
	s.work.Go(func() {
		ctx, cancel := context.WithTimeout(s.rollbackCtx, abandonTimeout)
		defer cancel()
		if err := s.executor.Abandon(ctx, r); err != nil {
			ss.log.WithField("transaction", r.Transaction).WithError(err).Info("cannot roll back the abandoned transaction, its owner ends it")
		}
	})
}

// abandonTimeout bounds the request that rolls back an abandoned transaction.
const abandonTimeout = time.Second

func (ss *session) flush() error {
	_ = ss.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := ss.conn.Write(ss.out)
	if cap(ss.out) > maxRetainedOutput {
		ss.out = nil
	}
	return err
}

// maxRetainedOutput is the size in bytes of the largest output buffer that a
// session keeps for its next response.
const maxRetainedOutput = 8 << 10
