package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// bufferLimit is how much of an answer is kept before it goes to the
	// sink. Until then a read can still be sent again.
	bufferLimit = 32 << 10
	// ownWriter is the size from which a batch is written by a goroutine of
	// its own. A smaller one fits into the socket buffers, so that it cannot
	// block while the instance waits for its answers to be read.
	ownWriter = 32 << 10
	// suspectAfter is longer than the retransmission of one lost segment, so
	// that a loss is not taken for a silent connection.
	suspectAfter = 500 * time.Millisecond
	// grace is the time for one more look after a bound has passed.
	grace = 20 * time.Millisecond
)

// errCopyIn ends an exchange whose request asks the caller for data.
var errCopyIn = gypsumyard.Errorf(gypsumyard.ClassNotSupported, "COPY FROM STDIN")

// The phases of an exchange, each ended by a ReadyForQuery.
const (
	phaseSetup = iota
	phasePre
	phaseRequest
	phasePost
)

// run is the state of an exchange that is going on.
type run struct {
	conn   *Conn
	ex     *Exchange
	out    *Outcome
	sink   io.Writer
	phases []int
	status statusReader
	// setup is the error of a setting that was sent with the batch.
	setup   error
	holding bool
	// sinkErr is set when the sink has failed. The rest of the answer is read
	// and dropped, so that the connection stays usable.
	sinkErr error
	// bounded is the read deadline, zero for none.
	bounded time.Time
}

// Run runs an exchange. After an error the connection is not usable; the
// outcome tells what happened up to then. The sink is called only when the
// answer outgrows the buffer.
func (c *Conn) Run(ctx context.Context, ex *Exchange, sink io.Writer) (out Outcome, err error) {
	stop := c.abortWith(ctx)
	defer stop()
	r := &run{conn: c, ex: ex, out: &out, sink: sink}
	if err := r.prove(ctx); err != nil || out.SettingError != nil {
		return out, err
	}
	key := c.settings
	if ex.Reset {
		key = SettingsKey(ex.Settings)
	}
	start := r.encode(key)
	c.settings = key
	c.dirty = ex.Batch.leavesState || (c.dirty && !ex.Reset)
	err = r.transfer(ctx, start)
	if err == nil {
		c.lastUsed = c.clock.Now()
	}
	return out, err
}

// prove applies settings that the instance has never accepted in a round trip
// of their own.
func (r *run) prove(ctx context.Context) error {
	c := r.conn
	key := SettingsKey(r.ex.Settings)
	if !r.ex.Reset || key == "" || c.proven.has(key) {
		return nil
	}
	c.settings, c.dirty = "", true
	for _, sql := range append([]string{discardSQL}, setStatements(r.ex.Settings)...) {
		if err := r.applySetting(ctx, sql); err != nil {
			return fmt.Errorf("apply settings: %w", err)
		}
		if r.out.SettingError != nil {
			return nil
		}
	}
	c.settings, c.dirty = key, false
	c.proven.add(key)
	return nil
}

// applySetting runs one statement of prove within FirstResponseTimeout, since
// an instance answers it at once.
func (r *run) applySetting(ctx context.Context, sql string) error {
	if r.ex.FirstResponseTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeoutCause(ctx, r.ex.FirstResponseTimeout, ErrResponseTimeout)
		defer cancel()
	}
	return r.conn.query(ctx, sql, func(msg pgproto3.BackendMessage) {
		if m, ok := msg.(*pgproto3.ErrorResponse); ok && r.out.SettingError == nil {
			r.out.SettingError = serverError(m)
		}
	})
}

// encode fills the connection's buffer with the batch and returns where the
// request begins in it.
func (r *run) encode(key string) (start int) {
	c := r.conn
	c.buf = c.buf[:0]
	if r.ex.Reset && (c.dirty || c.settings != key) {
		r.addQuery(discardSQL, phaseSetup)
		for _, sql := range setStatements(r.ex.Settings) {
			r.addQuery(sql, phaseSetup)
		}
	}
	if r.ex.Probe {
		r.addQuery("", phaseSetup)
	}
	if r.ex.StatusBefore {
		r.addQuery(statusSQL, phasePre)
	}
	start = len(c.buf)
	c.buf = append(c.buf, r.ex.Batch.messages...)
	r.phases = append(r.phases, phaseRequest)
	if r.ex.StatusAfter {
		r.addQuery(statusSQL, phasePost)
	}
	return start
}

func (r *run) addQuery(sql string, phase int) {
	// A Query can always be encoded unless it is larger than a message may be.
	r.conn.buf, _ = (&pgproto3.Query{String: sql}).Encode(r.conn.buf)
	r.phases = append(r.phases, phase)
}

// transfer writes the batch and reads the answers.
func (r *run) transfer(ctx context.Context, start int) error {
	if len(r.conn.buf) < ownWriter {
		if err := r.write(start); err != nil {
			return abortCause(ctx, err)
		}
		return r.read(ctx)
	}
	r.out.Sent = true
	written := make(chan error, 1)
	go func() {
		_, err := r.conn.net.Write(r.conn.buf)
		written <- err
	}()
	err := r.read(ctx)
	if err != nil {
		r.conn.Close()
	}
	return errors.Join(err, <-written)
}

// write sends the batch. If not one byte of the request itself was taken, the
// request cannot have run.
func (r *run) write(start int) error {
	n, err := r.conn.net.Write(r.conn.buf)
	r.out.Sent = n > start
	return err
}

// read reads the answers up to the last ReadyForQuery.
func (r *run) read(ctx context.Context) error {
	if err := r.awaitFirst(ctx); err != nil {
		return abortCause(ctx, err)
	}
	for len(r.phases) > 0 {
		msg, err := r.receive(ctx, r.ex.ReadTimeout)
		if err != nil {
			return abortCause(ctx, err)
		}
		if err := r.take(msg); err != nil {
			return err
		}
	}
	return r.setup
}

// awaitFirst reads the first message, which a working connection sends at
// once.
func (r *run) awaitFirst(ctx context.Context) error {
	step := r.ex.FirstResponseTimeout
	if r.ex.InstanceResponsive != nil {
		step = min(step, suspectAfter)
	}
	begin := time.Now()
	for {
		msg, err := r.receive(ctx, step)
		if err == nil {
			return r.take(msg)
		}
		if !isTimeout(err) || ctx.Err() != nil {
			return err
		}
		if time.Since(begin) >= r.ex.FirstResponseTimeout || r.ex.InstanceResponsive != nil && r.ex.InstanceResponsive() {
			return ErrResponseTimeout
		}
	}
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// receive reads one message within the bound.
func (r *run) receive(ctx context.Context, bound time.Duration) (pgproto3.BackendMessage, error) {
	if r.conn.front.ReadBufferLen() == 0 {
		if err := r.setBound(bound); err != nil {
			return nil, err
		}
		if err := context.Cause(ctx); err != nil {
			return nil, err
		}
	}
	msg, err := r.conn.front.Receive()
	if err == nil || !isTimeout(err) || ctx.Err() != nil {
		return msg, err
	}
	// If this process was paused, the deadline has passed although the answer
	// may lie in the socket's buffer.
	r.bounded = time.Time{}
	if err := r.setBound(grace); err != nil {
		return nil, err
	}
	if err := context.Cause(ctx); err != nil {
		return nil, err
	}
	return r.conn.front.Receive()
}

// setBound moves the read deadline. Deadlines that would hardly differ are not
// set again, which saves a timer update for each message.
func (r *run) setBound(bound time.Duration) error {
	if bound <= 0 {
		return r.conn.net.SetReadDeadline(time.Time{})
	}
	until := time.Now().Add(bound)
	if d := until.Sub(r.bounded); d >= 0 && d < bound/16 {
		return nil
	}
	r.bounded = until
	return r.conn.net.SetReadDeadline(until)
}

// take handles one message according to the phase.
func (r *run) take(msg pgproto3.BackendMessage) error {
	if m, ok := msg.(*pgproto3.ReadyForQuery); ok {
		r.endPhase(m.TxStatus)
		return nil
	}
	if m, ok := msg.(*pgproto3.ErrorResponse); ok {
		if e := serverError(m); e.fatal() && r.phases[0] != phaseRequest {
			// The instance answers in order, so it ended the connection
			// before it came to the request.
			r.out.NotRun = r.phases[0] != phasePost
			return e
		}
	}
	switch r.phases[0] {
	case phaseSetup:
		if m, ok := msg.(*pgproto3.ErrorResponse); ok {
			r.setup = fmt.Errorf("apply settings: %w", serverError(m))
		}
	case phasePre, phasePost:
		r.status.take(msg)
	case phaseRequest:
		return r.takeAnswer(msg)
	}
	return nil
}

// endPhase concludes the current phase.
func (r *run) endPhase(txStatus byte) {
	phase := r.phases[0]
	r.phases = r.phases[1:]
	switch phase {
	case phasePre:
		r.out.StatusBefore = r.takeStatus()
		r.check()
	case phaseRequest:
		r.out.TxStatus = txStatus
	case phasePost:
		r.out.StatusAfter = r.takeStatus()
	}
}

func (r *run) takeStatus() *gypsumyard.InstanceStatus {
	s, err := r.status.result()
	r.status = statusReader{}
	if err != nil {
		return nil
	}
	return &s
}

func (r *run) check() {
	if r.ex.Check != nil && (r.out.StatusBefore == nil || !r.ex.Check(*r.out.StatusBefore)) {
		r.out.Rejected = true
	}
}

// takeAnswer keeps or passes on one message of the request's answer.
func (r *run) takeAnswer(msg pgproto3.BackendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.CommandComplete:
		r.out.Completed = true
		r.out.Tag = string(m.CommandTag)
		r.holding = r.ex.HoldCompletion
		if !keepsState(r.out.Tag) {
			r.conn.dirty = true
		}
	case *pgproto3.ErrorResponse:
		e := serverError(m)
		if r.out.Failure == nil {
			r.out.Failure = e
		}
		if e.fatal() {
			return e
		}
	case *pgproto3.CopyInResponse, *pgproto3.CopyBothResponse:
		return errCopyIn
	case *pgproto3.NotificationResponse:
		return nil
	}
	return r.keep(msg)
}

type encoder interface {
	Encode(dst []byte) ([]byte, error)
}

func (r *run) keep(msg pgproto3.BackendMessage) (err error) {
	if r.out.Rejected || r.sinkErr != nil {
		return nil
	}
	r.out.Answer, err = msg.(encoder).Encode(r.out.Answer)
	if err != nil {
		return err
	}
	if r.holding || len(r.out.Answer) < bufferLimit {
		return nil
	}
	r.out.Delivered = true
	_, r.sinkErr = r.sink.Write(r.out.Answer)
	r.out.Answer = r.out.Answer[:0]
	// The sink may have blocked for longer than the bound.
	r.bounded = time.Time{}
	return r.setBound(r.ex.ReadTimeout)
}
