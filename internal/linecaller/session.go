package linecaller

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/line"
	"github.com/sirupsen/logrus"
)

const (
	// readBuffer is the size of a session's input buffer in bytes.
	readBuffer = 1 << 10
	// maxSettings and maxPrepared bound what a session keeps.
	maxSettings = 1024
	maxPrepared = 4096
)

// The states of a session, as its ready messages carry them.
const (
	stateIdle        = 'I'
	stateTransaction = 'T'
	stateFailed      = 'E'
)

// A session is one connection of a caller. Its goroutine owns all fields but
// those below mu.
type session struct {
	server   *Server
	net      net.Conn
	in       *line.Reader
	out      []byte
	log      logrus.FieldLogger
	id       gypsumyard.SessionID
	database string

	settings []gypsumyard.Setting
	prepared map[string]line.Prepared
	// position is the highest one that the session has reached.
	position gypsumyard.Position
	state    byte
	tx       transaction

	mu sync.Mutex
	// waiting indicates that the session waits for a message.
	waiting bool
	// interrupted indicates that the wait was ended by the server.
	interrupted bool
	// open indicates that a transaction is open.
	open bool
	// late indicates that the session began when idle ones were ended already.
	// It is set before the session is served.
	late bool
}

// A transaction is that of a session in stateTransaction or stateFailed.
type transaction struct {
	route    gypsumyard.Route
	readOnly bool
	// handle and owner are empty until the first statement has opened the
	// transaction at an instance.
	handle string
	owner  string
}

func newSession(s *Server, n net.Conn) *session {
	id := s.sessionID()
	return &session{
		server:   s,
		net:      n,
		in:       line.NewReader(n, readBuffer),
		log:      s.log.WithField("session", id),
		id:       id,
		prepared: map[string]line.Prepared{},
		state:    stateIdle,
	}
}

// serve runs the session until it ends.
func (ss *session) serve() {
	defer ss.net.Close()
	ss.server.metrics.sessions.Inc(1)
	if !ss.start() {
		return
	}
	defer ss.abandon()
	for {
		m, err := ss.next()
		if err == nil {
			err = ss.handle(m)
		}
		if err != nil {
			ss.ended(err)
			return
		}
	}
}

// ended logs the end of a session that the caller has not asked for.
func (ss *session) ended(err error) {
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, errTerminated), errors.Is(err, errDraining):
		return
	case errors.Is(err, line.ErrMalformed):
		ss.out = line.Append(ss.out[:0], line.WordError, string(line.CodeMalformed), err.Error())
		_ = ss.flush() // The session ends anyway.
	}
	ss.log.WithField("database", ss.database).WithError(err).Info("session ended")
}

var errTerminated = errors.New("caller has ended the session")

// start answers the first message. It reports whether the session goes on.
func (ss *session) start() bool {
	_ = ss.net.SetReadDeadline(time.Now().Add(startTimeout))
	m, err := ss.in.Read()
	if err != nil {
		if errors.Is(err, line.ErrMalformed) {
			ss.refuse(line.CodeMalformed, err.Error())
		}
		return false
	}
	_ = ss.net.SetReadDeadline(time.Time{})
	f := m.Fields(3)
	if m.Word != line.WordStart || len(f) < 1 || f[0] == "" {
		ss.refuse(line.CodeMalformed, "want START database")
		return false
	}
	ss.database = f[0]
	if !ss.awaitLists() {
		ss.refuse(line.CodeBusy, "desired state is not known yet")
		return false
	}
	if _, ok := ss.route(); !ok {
		ss.refuse(line.CodeNoDatabase, ss.database)
		return false
	}
	ss.out = line.Append(ss.out[:0], line.WordReady, "I", "-")
	return ss.flush() == nil
}

// awaitLists waits a moment for the desired state.
func (ss *session) awaitLists() bool {
	ready := ss.server.lists.Ready()
	select {
	case <-ready:
		return true
	default:
	}
	t := ss.server.clock.NewTimer(listsPatience)
	defer t.Stop()
	select {
	case <-ready:
		return true
	case <-t.C():
	case <-ss.server.ctx.Done():
	}
	return false
}

// route returns the session's route in the desired state in force.
func (ss *session) route() (gypsumyard.Route, bool) {
	d := ss.server.desired.Desired()
	if d == nil {
		return gypsumyard.Route{}, false
	}
	r, ok := d.Routes[ss.database]
	return r, ok
}

// refuse ends a session that was not started.
func (ss *session) refuse(code line.Code, text string) {
	ss.server.metrics.fail(code)
	ss.log.WithFields(logrus.Fields{"database": ss.database, "code": code, "reason": text}).Info("session refused")
	ss.out = line.Append(ss.out[:0], line.WordError, string(code), text)
	_ = ss.flush() // The session ends anyway.
}

// next waits for a message. It fails with errDraining if the host leaves and
// nothing is outstanding.
func (ss *session) next() (line.Message, error) {
	if !ss.beginWait() {
		return line.Message{}, errDraining
	}
	m, err := ss.in.Read()
	if ss.endWait() && err != nil {
		return m, errDraining
	}
	return m, err
}

// beginWait reports whether the session may wait for another message.
func (ss *session) beginWait() bool {
	s := ss.server
	s.mu.Lock()
	mayWait := !s.closing || !s.ending && (ss.late || ss.state != stateIdle) || ss.in.Buffered() > 0
	s.mu.Unlock()
	if !mayWait {
		return false
	}
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.waiting = true
	return true
}

// endWait reports whether the wait was interrupted.
func (ss *session) endWait() bool {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.waiting = false
	if !ss.interrupted {
		return false
	}
	ss.interrupted = false
	_ = ss.net.SetReadDeadline(time.Time{})
	return true
}

// interrupt ends the wait of a session that should end. It is called by the
// server.
func (ss *session) interrupt() {
	s := ss.server
	s.mu.Lock()
	ending := s.ending
	s.mu.Unlock()
	ss.mu.Lock()
	defer ss.mu.Unlock()
	if !ss.waiting || (ss.open || ss.late) && !ending {
		return
	}
	ss.interrupted = true
	_ = ss.net.SetReadDeadline(time.Unix(1, 0))
}

// handle answers one message.
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
	ss.out = ss.out[:0]
	ss.statement(f[0], f[1])
	ss.out = line.Append(ss.out, line.WordReady, string(ss.state), line.FormatPosition(ss.position))
	err := ss.flush()
	ss.server.metrics.latency.Record(ss.server.clock.Since(began))
	return err
}

// statement answers one statement, up to the ready message.
func (ss *session) statement(id, text string) {
	st, err := line.Parse(text)
	if err != nil {
		ss.fail(id, line.CodeMalformed, err.Error())
		return
	}
	if ss.state == stateFailed && st.Verb != line.Rollback && st.Verb != line.Commit {
		ss.fail(id, line.CodeMalformed, "the transaction has failed")
		return
	}
	switch st.Verb {
	case line.Begin:
		ss.begin(id, st)
	case line.Rollback:
		ss.rollback(id)
	case line.Commit:
		ss.commit(id, text)
	case line.Set:
		ss.set(id, st)
	case line.Prepare:
		ss.prepare(id, st)
	case line.Deallocate:
		ss.deallocate(id, st)
	default:
		ss.run(id, text, st)
	}
}

// complete answers a statement that the proxy carries out itself.
func (ss *session) complete() {
	ss.out = line.Append(ss.out, line.WordComplete, "-")
	ss.server.metrics.answered.Inc(1)
}

// fail answers a statement with an error. In a transaction it ends all but the
// end of the transaction.
func (ss *session) fail(id string, code line.Code, text string) {
	if ss.state == stateTransaction {
		ss.abandon()
		ss.setState(stateFailed)
	}
	ss.server.metrics.fail(code)
	fields := logrus.Fields{"request": id, "route": ss.database, "code": code, "reason": text}
	if d := ss.server.desired.Desired(); d != nil {
		fields["desired"], fields["database"] = d.Number, d.Routes[ss.database].Group
	}
	ss.log.WithFields(fields).Info("statement refused")
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
	ss.tx = transaction{route: r, readOnly: st.ReadOnly}
	ss.setState(stateTransaction)
	ss.complete()
}

func (ss *session) rollback(id string) {
	if ss.state == stateIdle {
		ss.fail(id, line.CodeMalformed, "no transaction is open")
		return
	}
	ss.abandon()
	ss.setState(stateIdle)
	ss.complete()
}

func (ss *session) commit(id, text string) {
	switch ss.state {
	case stateIdle:
		ss.fail(id, line.CodeMalformed, "no transaction is open")
	case stateFailed:
		ss.abandon()
		ss.setState(stateIdle)
		ss.fail(id, line.CodeAborted, "the transaction has failed and is rolled back")
	default:
		ss.run(id, text, line.Statement{Verb: line.Commit})
	}
}

// setState changes the state. The server looks at it to end idle sessions.
func (ss *session) setState(state byte) {
	ss.state = state
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.open = state != stateIdle
}

func (ss *session) set(id string, st line.Statement) {
	for i := range ss.settings {
		if ss.settings[i].Name == st.Name {
			// The slice may be in use by a statement that was given up.
			ss.settings = slices.Clone(ss.settings)
			ss.settings[i].Value = st.Value
			ss.complete()
			return
		}
	}
	if len(ss.settings) >= maxSettings {
		ss.fail(id, line.CodeFailed, "too many session values")
		return
	}
	ss.settings = append(slices.Clone(ss.settings), gypsumyard.Setting{Name: st.Name, Value: st.Value})
	ss.complete()
}

func (ss *session) prepare(id string, st line.Statement) {
	if len(ss.prepared) >= maxPrepared {
		ss.fail(id, line.CodeFailed, "too many prepared statements")
		return
	}
	ss.prepared[st.Name] = st.Prepared
	ss.complete()
}

func (ss *session) deallocate(id string, st line.Statement) {
	if _, ok := ss.prepared[st.Name]; !ok {
		ss.fail(id, line.CodeUnknown, st.Name)
		return
	}
	delete(ss.prepared, st.Name)
	ss.complete()
}

// abandon gives up the open transaction at its instance, in the background.
func (ss *session) abandon() {
	if ss.tx.handle == "" {
		return
	}
	r := &gypsumyard.Request{Session: ss.id, Database: ss.tx.route.Group, Transaction: ss.tx.handle, Owner: ss.tx.owner}
	ss.tx.handle, ss.tx.owner = "", ""
	s := ss.server
	s.work.Go(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(s.ctx), abandonTimeout)
		defer cancel()
		if err := s.executor.Abandon(ctx, r); err != nil {
			ss.log.WithField("transaction", r.Transaction).WithError(err).Info("transaction was not abandoned, its owner ends it")
		}
	})
}

// abandonTimeout bounds the message that gives up a transaction.
const abandonTimeout = time.Second

func (ss *session) flush() error {
	_ = ss.net.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := ss.net.Write(ss.out)
	if cap(ss.out) > keepOutput {
		ss.out = nil
	}
	return err
}

// keepOutput is the largest output buffer in bytes that a session keeps.
const keepOutput = 8 << 10
