package upstream

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/jackc/pgx/v5/pgproto3"
)

// A Conn is one connection to an instance. It is used by one goroutine at a
// time, apart from Cancel and Close.
type Conn struct {
	clock     gypsumyard.Clock
	address   Address
	net       net.Conn
	front     *pgproto3.Frontend
	processID uint32
	secretKey []byte

	// settings is the encoded form of the settings in force.
	settings string
	// dirty indicates that a request may have changed the connection's session
	// state in a way that settings does not record.
	dirty bool
	// lastResponse is when the instance last responded.
	lastResponse time.Time
	// accepted is shared by the connections of a pool.
	accepted *acceptedSettings
	// canceled indicates that a CancelRequest was sent. It may take effect late,
	// so the connection must not run another session's statements.
	canceled atomic.Bool
	// aborted indicates that a context ended and set the deadline of the
	// connection.
	aborted   bool
	closeOnce sync.Once
	buf       []byte
	// statusColumns are the columns of the prepared status statement, nil until
	// it is prepared.
	statusColumns []string
}

// expiredDeadline is a deadline in the past. It ends all reads and writes at
// once.
var expiredDeadline = time.Unix(1, 0)

// abortOnDone makes reads and writes fail once ctx is done, until the returned
// function is called. A connection whose ctx ended before that is not reused,
// since the expired deadline may be set at any later moment.
func (c *Conn) abortOnDone(ctx context.Context) (stop func()) {
	_ = c.net.SetDeadline(time.Time{})
	detach := context.AfterFunc(ctx, func() { _ = c.net.SetDeadline(expiredDeadline) })
	return func() {
		if !detach() {
			c.aborted = true
		}
	}
}

// Close closes the connection. The instance rolls back an open transaction.
func (c *Conn) Close() {
	c.closeOnce.Do(func() { _ = c.net.Close() })
}

// cancelTimeout is how long an instance may take to respond to a canceled
// statement.
const cancelTimeout = 2 * time.Second

// SetReadTimeout makes an exchange that receives nothing within d fail with
// ErrResponseTimeout.
func (c *Conn) SetReadTimeout(d time.Duration) {
	// The connection may be closed already.
	_ = c.net.SetReadDeadline(time.Now().Add(d))
}

// Cancel asks the instance to cancel the statement that the connection runs.
// It also sets a read timeout, since a connection that has stopped responding
// does not respond to the cancellation either.
func (c *Conn) Cancel(ctx context.Context) error {
	c.MarkCanceled()
	c.SetReadTimeout(cancelTimeout)
	return cancelStatement(ctx, c.address, c.processID, c.secretKey)
}

// MarkCanceled excludes the connection from reuse because a CancelRequest is
// about to be sent.
func (c *Conn) MarkCanceled() { c.canceled.Store(true) }

// Canceled reports whether Cancel or MarkCanceled was called.
func (c *Conn) Canceled() bool { return c.canceled.Load() }

// socketIdle reports whether the peer has neither closed the connection nor
// sent anything since the last response. Otherwise the connection cannot be
// reused.
func (c *Conn) socketIdle() bool {
	if c.aborted || c.front.ReadBufferLen() > 0 {
		return false
	}
	s, ok := c.net.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && idle
}

// query runs one of this package's own statements and passes each message of
// the response to handle. ctx limits the time to the end of the response.
func (c *Conn) query(ctx context.Context, sql string, handle func(pgproto3.BackendMessage)) (err error) {
	c.buf, err = (&pgproto3.Query{String: sql}).Encode(c.buf[:0])
	if err != nil {
		return err
	}
	return c.roundTrip(ctx, handle)
}

// roundTrip sends the connection's buffer and passes each message of the response
// up to ReadyForQuery to handle.
func (c *Conn) roundTrip(ctx context.Context, handle func(pgproto3.BackendMessage)) (err error) {
	stop := c.abortOnDone(ctx)
	defer stop()
	if _, err := c.net.Write(c.buf); err != nil {
		return abortCause(ctx, err)
	}
	for {
		msg, err := c.front.Receive()
		if err != nil {
			return abortCause(ctx, err)
		}
		if _, ok := msg.(*pgproto3.ReadyForQuery); ok {
			c.lastResponse = c.clock.Now()
			return nil
		}
		handle(msg)
	}
}

// abortCause replaces a network timeout by the cause of ctx if ctx is done, and
// by ErrResponseTimeout otherwise.
func abortCause(ctx context.Context, err error) error {
	if isTimeout(err) {
		if cause := context.Cause(ctx); cause != nil {
			return cause
		}
		return ErrResponseTimeout
	}
	return err
}

// Ping checks that the instance responds on the connection.
func (c *Conn) Ping(ctx context.Context) error {
	var r statusReader
	return c.query(ctx, statusSQL, r.handle)
}

// Status reads the instance's status over the connection. The connection is
// not usable after an error other than a *ServerError.
func (c *Conn) Status(ctx context.Context) (gypsumyard.InstanceStatus, error) {
	var r statusReader
	if err := c.query(ctx, statusSQL, r.handle); err != nil {
		return gypsumyard.InstanceStatus{}, err
	}
	return r.result()
}

// Rollback rolls back the open transaction.
func (c *Conn) Rollback(ctx context.Context) error {
	var failure error
	err := c.query(ctx, "ROLLBACK", func(msg pgproto3.BackendMessage) {
		if m, ok := msg.(*pgproto3.ErrorResponse); ok {
			failure = serverError(m)
		}
	})
	return errors.Join(err, failure)
}
