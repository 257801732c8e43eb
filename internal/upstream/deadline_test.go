package upstream

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A deadlineConn records its read deadline.
type deadlineConn struct {
	net.Conn
	deadline time.Time
}

func (c *deadlineConn) SetReadDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

// Guards against a read without a deadline because one that was set before a read
// without a timeout is taken to be still in place.
func TestReadDeadlineAfterNone(t *testing.T) {
	is := is.New(t)
	n := &deadlineConn{}
	r := &exchangeRun{conn: &Conn{net: n}}
	is.NoErr(r.setReadDeadline(time.Hour))
	is.True(!n.deadline.IsZero())
	is.NoErr(r.setReadDeadline(0))
	is.True(n.deadline.IsZero())
	is.NoErr(r.setReadDeadline(time.Hour))
	is.True(!n.deadline.IsZero())
}
