package lineowner

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/line"
)

// A status is what an instance reports about itself.
type status struct {
	role gypsumyard.Role
	// term is the term of the primary that the instance is or follows.
	term gypsumyard.Term
	// received is the last position in the log, applied the last one visible to
	// reads.
	received gypsumyard.Position
	applied  gypsumyard.Position
	// fencedTerm is the term for which the instance was told to stop receiving
	// the log, or zero.
	fencedTerm gypsumyard.Term
	lag        time.Duration
	// busy is how many slots of the instance are in use, by all clients. The status
	// request holds one of them.
	busy int
	// connections counts the connections of all clients of the instance.
	connections int
}

// statusCommand requests the status of an instance.
const statusCommand = "STATUS"

// statusFieldCount is the number of fields in a status row.
const statusFieldCount = 7

func parseStatus(a answer) (s status, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("parse status: %w", err)
		}
	}()
	if a.failure != nil {
		return s, a.failure
	}
	if len(a.rows) != 1 {
		return s, fmt.Errorf("%w: %d rows", line.ErrMalformed, len(a.rows))
	}
	f := strings.Fields(a.rows[0])
	if len(f) < statusFieldCount {
		return s, fmt.Errorf("%w: %q", line.ErrMalformed, a.rows[0])
	}
	s.role = gypsumyard.Role(f[0])
	if s.role != gypsumyard.RolePrimary && s.role != gypsumyard.RoleReplica {
		return s, fmt.Errorf("%w: role %q", line.ErrMalformed, f[0])
	}
	var numbers [statusFieldCount]uint64
	for _, n := range []int{1, 3, 6} {
		if numbers[n], err = strconv.ParseUint(f[n], 10, 64); err != nil {
			return s, err
		}
	}
	lag, err := strconv.ParseFloat(f[4], 64)
	if err != nil {
		return s, err
	}
	s.term, s.fencedTerm = gypsumyard.Term(numbers[1]), gypsumyard.Term(numbers[3])
	s.lag = time.Duration(lag * float64(time.Millisecond))
	s.connections = int(numbers[6])
	// The load only serves to balance reads, so one that cannot be read is no reason to
	// lose the status.
	s.busy, _ = strconv.Atoi(f[5])
	s.applied = a.position
	s.received, err = line.ParsePosition(f[2])
	return s, err
}

// A controlConn sends the proxy's own commands to an instance over a connection
// that carries nothing else.
type controlConn struct {
	instance gypsumyard.ListedInstance
	user     string

	mu   sync.Mutex
	conn *conn
}

// exec runs one command within the timeout. After a failure the next call opens a
// new connection. fresh reports whether this call opened a connection.
func (c *controlConn) exec(ctx context.Context, text string, timeout time.Duration) (s status, fresh bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if c.conn != nil && !c.conn.alive() {
		c.drop()
	}
	if c.conn == nil {
		fresh = true
		c.conn, err = dial(ctx, c.instance, c.user)
		if err != nil {
			return s, fresh, err
		}
	}
	a, _, err := c.conn.run(ctx, exchange{id: proxyStatementID, text: text, keepRows: true})
	if err != nil {
		c.drop()
		return s, fresh, err
	}
	s, err = parseStatus(a)
	return s, fresh, err
}

func (c *controlConn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drop()
}

// connected reports whether a connection is open.
func (c *controlConn) connected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn != nil
}

// drop closes the connection. The caller must hold c.mu.
func (c *controlConn) drop() {
	if c.conn != nil {
		c.conn.close()
		c.conn = nil
	}
}
