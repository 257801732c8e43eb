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
	// bufferLimit is how much of a response is buffered before it is written to
	// the sink. Until then a read can still be retried.
	bufferLimit = 32 << 10
	// asyncWriteSize is the size from which a batch is written by a separate
	// goroutine. A smaller one fits into the socket buffers, so its write cannot
	// block while the instance waits for its responses to be read.
	asyncWriteSize = 32 << 10
	// livenessCheckInterval is the time between two checks of whether the
	// instance responds on other connections. It is longer than the
	// retransmission of one lost segment, so that packet loss is not taken for a
	// dead connection.
	livenessCheckInterval = 500 * time.Millisecond
	// pausedReadTimeout limits the second read after a read timeout.
	pausedReadTimeout = 20 * time.Millisecond
)

// errCopyIn ends an exchange whose request makes the instance ask the client
// for COPY data.
var errCopyIn = gypsumyard.Errorf(gypsumyard.ClassNotSupported, "COPY FROM STDIN")

// The phases of an exchange, each ended by a ReadyForQuery.
const (
	phaseSetup = iota
	phaseStatusBefore
	phaseRequest
	phaseStatusAfter
)

// exchangeRun is the state of an exchange in progress.
type exchangeRun struct {
	conn   *Conn
	ex     *Exchange
	out    *Outcome
	sink   io.Writer
	phases []int
	status statusReader
	// setupErr is the error of a setting that was sent in the same write as the
	// batch.
	setupErr    error
	holdingBack bool
	// sinkErr is the error of the sink. Once it is set, the rest of the response
	// is read and discarded, so that the connection stays usable.
	sinkErr error
	// readDeadline is the read deadline that was last set, zero if the next one
	// must be set in any case.
	readDeadline time.Time
}

// Run runs an exchange. After an error the connection is not usable, and the
// outcome describes what happened up to the error. The sink is called only when
// the response outgrows the buffer.
func (c *Conn) Run(ctx context.Context, ex *Exchange, sink io.Writer) (out Outcome, err error) {
	stop := c.abortOnDone(ctx)
	defer stop()
	r := &exchangeRun{conn: c, ex: ex, out: &out, sink: sink}
	if err := r.applyNewSettings(ctx); err != nil || out.SettingError != nil {
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
		c.lastResponse = c.clock.Now()
	}
	return out, err
}

// applyNewSettings applies settings that the instance has not accepted before,
// in round trips ahead of the request.
func (r *exchangeRun) applyNewSettings(ctx context.Context) error {
	c := r.conn
	key := SettingsKey(r.ex.Settings)
	if !r.ex.Reset || key == "" || c.accepted.has(key) {
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
	c.accepted.add(key)
	return nil
}

// applySetting runs one statement of applyNewSettings. Its timeout is
// FirstResponseTimeout, since an instance responds to it at once.
func (r *exchangeRun) applySetting(ctx context.Context, sql string) error {
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

// encode fills the connection's buffer with everything to send and returns the
// offset of the request in it.
func (r *exchangeRun) encode(key string) (start int) {
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
		r.addQuery(statusSQL, phaseStatusBefore)
	}
	start = len(c.buf)
	c.buf = append(c.buf, r.ex.Batch.messages...)
	r.phases = append(r.phases, phaseRequest)
	if r.ex.StatusAfter {
		r.addQuery(statusSQL, phaseStatusAfter)
	}
	return start
}

func (r *exchangeRun) addQuery(sql string, phase int) {
	// Encoding a Query fails only if it exceeds the maximum message size.
	r.conn.buf, _ = (&pgproto3.Query{String: sql}).Encode(r.conn.buf)
	r.phases = append(r.phases, phase)
}

// transfer writes the connection's buffer and reads the responses.
func (r *exchangeRun) transfer(ctx context.Context, start int) error {
	if len(r.conn.buf) < asyncWriteSize {
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

// write sends the connection's buffer. If no byte of the request itself was
// written, the request cannot have run.
func (r *exchangeRun) write(start int) error {
	n, err := r.conn.net.Write(r.conn.buf)
	r.out.Sent = n > start
	return err
}

// read reads the responses up to the last ReadyForQuery.
func (r *exchangeRun) read(ctx context.Context) error {
	if err := r.awaitFirst(ctx); err != nil {
		return abortCause(ctx, err)
	}
	for len(r.phases) > 0 {
		msg, err := r.receive(ctx, r.ex.ReadTimeout)
		if err != nil {
			return abortCause(ctx, err)
		}
		if err := r.handle(msg); err != nil {
			return err
		}
	}
	return r.setupErr
}

// awaitFirst reads the first message, which an instance sends at once on a
// working connection.
func (r *exchangeRun) awaitFirst(ctx context.Context) error {
	step := r.ex.FirstResponseTimeout
	if r.ex.InstanceResponsive != nil {
		step = min(step, livenessCheckInterval)
	}
	begin := time.Now()
	for {
		msg, err := r.receive(ctx, step)
		if err == nil {
			return r.handle(msg)
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

// receive reads one message within the timeout.
func (r *exchangeRun) receive(ctx context.Context, timeout time.Duration) (pgproto3.BackendMessage, error) {
	if r.conn.front.ReadBufferLen() == 0 {
		if err := r.setReadDeadline(timeout); err != nil {
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
	// If this process was paused, the deadline may have passed although the
	// response is in the socket's receive buffer.
	r.readDeadline = time.Time{}
	if err := r.setReadDeadline(pausedReadTimeout); err != nil {
		return nil, err
	}
	if err := context.Cause(ctx); err != nil {
		return nil, err
	}
	return r.conn.front.Receive()
}

// setReadDeadline moves the read deadline. It is left as it is if it would move
// by less than 1/16 of the timeout, which saves a timer update for each message.
func (r *exchangeRun) setReadDeadline(timeout time.Duration) error {
	if timeout <= 0 {
		r.readDeadline = time.Time{}
		return r.conn.net.SetReadDeadline(time.Time{})
	}
	until := time.Now().Add(timeout)
	if d := until.Sub(r.readDeadline); d >= 0 && d < timeout/16 {
		return nil
	}
	r.readDeadline = until
	return r.conn.net.SetReadDeadline(until)
}

// handle processes one message according to the phase.
func (r *exchangeRun) handle(msg pgproto3.BackendMessage) error {
	if m, ok := msg.(*pgproto3.ReadyForQuery); ok {
		r.endPhase(m.TxStatus)
		return nil
	}
	if m, ok := msg.(*pgproto3.ErrorResponse); ok {
		if e := serverError(m); e.fatal() && r.phases[0] != phaseRequest {
			// The instance responds in order, so an error before the response to
			// the request proves that it ended the connection before it ran
			// the request.
			r.out.NotRun = r.phases[0] != phaseStatusAfter
			return e
		}
	}
	switch r.phases[0] {
	case phaseSetup:
		if m, ok := msg.(*pgproto3.ErrorResponse); ok {
			r.setupErr = fmt.Errorf("apply settings: %w", serverError(m))
		}
	case phaseStatusBefore, phaseStatusAfter:
		r.status.handle(msg)
	case phaseRequest:
		return r.handleResponse(msg)
	}
	return nil
}

// endPhase ends the current phase and records its result.
func (r *exchangeRun) endPhase(txStatus byte) {
	phase := r.phases[0]
	r.phases = r.phases[1:]
	switch phase {
	case phaseStatusBefore:
		r.out.StatusBefore = r.takeStatus()
		r.check()
	case phaseRequest:
		r.out.TxStatus = txStatus
	case phaseStatusAfter:
		r.out.StatusAfter = r.takeStatus()
	}
}

func (r *exchangeRun) takeStatus() *gypsumyard.InstanceStatus {
	s, err := r.status.result()
	r.status = statusReader{}
	if err != nil {
		return nil
	}
	return &s
}

func (r *exchangeRun) check() {
	if r.ex.Check != nil && (r.out.StatusBefore == nil || !r.ex.Check(*r.out.StatusBefore)) {
		r.out.Rejected = true
	}
}

// handleResponse processes one message of the response to the request.
func (r *exchangeRun) handleResponse(msg pgproto3.BackendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.CommandComplete:
		r.out.Completed = true
		r.out.Tag = string(m.CommandTag)
		r.holdingBack = r.ex.HoldCompletion
		if !preservesSessionState(r.out.Tag) {
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
	return r.bufferMessage(msg)
}

type encoder interface {
	Encode(dst []byte) ([]byte, error)
}

func (r *exchangeRun) bufferMessage(msg pgproto3.BackendMessage) (err error) {
	if r.out.Rejected || r.sinkErr != nil {
		return nil
	}
	r.out.Response, err = msg.(encoder).Encode(r.out.Response)
	if err != nil {
		return err
	}
	if r.holdingBack || len(r.out.Response) < bufferLimit {
		return nil
	}
	r.out.Delivered = true
	_, r.sinkErr = r.sink.Write(r.out.Response)
	r.out.Response = r.out.Response[:0]
	// The sink may have blocked for longer than the read timeout.
	r.readDeadline = time.Time{}
	return r.setReadDeadline(r.ex.ReadTimeout)
}
