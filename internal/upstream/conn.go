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
	// dirty indicates that a request may have changed the connection's state in a
	// way that settings does not record.
	dirty bool
	// lastUsed is when the instance last answered.
	lastUsed time.Time
	// proven is shared by the connections of a pool.
	proven *provenSettings
	// cancelled indicates that a CancelRequest was sent. It may take effect late,
	// so the connection must not run another session's statements.
	cancelled atomic.Bool
	// aborted indicates that a deadline was set from outside.
	aborted   bool
	closeOnce sync.Once
	buf       []byte
	// statusColumns are those of the prepared status statement, nil until it
	// is prepared.
	statusColumns []string
}

// past is a deadline that ends all reads and writes at once.
var past = time.Unix(1, 0)

// abortWith ends reads and writes when ctx is done. The returned function
// ends the link. A connection on which ctx has ended is not used again, since
// the deadline may be set at any later moment.
func (c *Conn) abortWith(ctx context.Context) (stop func()) {
	_ = c.net.SetDeadline(time.Time{})
	unlink := context.AfterFunc(ctx, func() { _ = c.net.SetDeadline(past) })
	return func() {
		if !unlink() {
			c.aborted = true
		}
	}
}

// Close closes the connection. The instance rolls back what is open.
func (c *Conn) Close() {
	c.closeOnce.Do(func() { _ = c.net.Close() })
}

// cancelBound is how long an instance may take to answer a cancelled statement.
const cancelBound = 2 * time.Second

// SetReadTimeout makes an exchange that receives nothing within d fail with
// ErrResponseTimeout.
func (c *Conn) SetReadTimeout(d time.Duration) {
	// The connection may be closed already.
	_ = c.net.SetReadDeadline(time.Now().Add(d))
}

// Cancel asks the instance to cancel the statement that the connection runs. A
// connection that has gone silent does not answer that either.
func (c *Conn) Cancel(ctx context.Context) error {
	c.MarkCancelled()
	c.SetReadTimeout(cancelBound)
	return cancelStatement(ctx, c.address, c.processID, c.secretKey)
}

// MarkCancelled keeps the connection from being used again, since a request to
// cancel is about to be sent.
func (c *Conn) MarkCancelled() { c.cancelled.Store(true) }

// Cancelled reports whether Cancel or MarkCancelled was called.
func (c *Conn) Cancelled() bool { return c.cancelled.Load() }

// quiet reports whether the peer has neither closed the connection nor sent
// anything since the last answer. A connection that is not quiet cannot be
// used again.
func (c *Conn) quiet() bool {
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// query runs one of this package's own statements and passes each message of
// the answer to take. The time to the end of the answer is bounded by ctx.
func (c *Conn) query(ctx context.Context, sql string, take func(pgproto3.BackendMessage)) (err error) {
	c.buf, err = (&pgproto3.Query{String: sql}).Encode(c.buf[:0])
	if err != nil {
		return err
	}
	return c.converse(ctx, take)
}

// converse sends the connection's buffer and passes each message of the answer
// to take, up to ReadyForQuery.
func (c *Conn) converse(ctx context.Context, take func(pgproto3.BackendMessage)) (err error) {
	stop := c.abortWith(ctx)
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
			c.lastUsed = c.clock.Now()
			return nil
		}
		take(msg)
	}
}

// abortCause returns the cause of ctx if it ended the connection's wait.
func abortCause(ctx context.Context, err error) error {
	if isTimeout(err) {
		if cause := context.Cause(ctx); cause != nil {
			return cause
		}
		return ErrResponseTimeout
	}
	return err
}

// Ping checks that the instance answers on the connection.
func (c *Conn) Ping(ctx context.Context) error {
	var r statusReader
	return c.query(ctx, statusSQL, r.take)
}

// Status reads the instance's status over the connection. The connection is
// not usable after an error other than a *ServerError.
func (c *Conn) Status(ctx context.Context) (gypsumyard.InstanceStatus, error) {
	var r statusReader
	if err := c.query(ctx, statusSQL, r.take); err != nil {
		return gypsumyard.InstanceStatus{}, err
	}
	return r.result()
}

// Rollback ends the open transaction.
func (c *Conn) Rollback(ctx context.Context) error {
	var failure error
	err := c.query(ctx, "ROLLBACK", func(msg pgproto3.BackendMessage) {
		if m, ok := msg.(*pgproto3.ErrorResponse); ok {
			failure = serverError(m)
		}
	})
	return errors.Join(err, failure)
}
