package upstream

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/gypsumyard/gypsumyard"
)

// A Control sends control calls to one instance over a dedicated connection,
// which is opened at the first call and reopened after a failure. Calls are
// serialized.
type Control struct {
	clock    gypsumyard.Clock
	upstream gypsumyard.Upstream
	sem      chan struct{}
	conn     *Conn
	closed   bool

	mu      sync.Mutex
	address Address
}

var _ gypsumyard.Instance = (*Control)(nil)

// NewControl returns a Control for an instance of the database. It does not
// connect yet.
func NewControl(clock gypsumyard.Clock, d gypsumyard.Database, u gypsumyard.Upstream) *Control {
	return &Control{clock: clock, upstream: u, address: AddressOf(d, u), sem: make(chan struct{}, 1)}
}

// Upstream returns the name and address of the instance.
func (c *Control) Upstream() gypsumyard.Upstream { return c.upstream }

// SetAddress changes the address and the credentials. They apply from the next
// call on.
func (c *Control) SetAddress(a Address) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.address = a
}

func (c *Control) currentAddress() Address {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.address
}

// Status reads the instance's state.
func (c *Control) Status(ctx context.Context) (gypsumyard.InstanceStatus, error) {
	return c.call(ctx, "status", statusSQL)
}

// Fence makes the instance refuse writes and replication of lower terms.
func (c *Control) Fence(ctx context.Context, term gypsumyard.Term, token gypsumyard.Token) (gypsumyard.InstanceStatus, error) {
	return c.call(ctx, "fence", fenceSQL(term, token))
}

// Promote makes a fenced instance the primary.
func (c *Control) Promote(ctx context.Context, term gypsumyard.Term, token gypsumyard.Token) (gypsumyard.InstanceStatus, error) {
	return c.call(ctx, "promote", promoteSQL(term, token))
}

// Follow makes the instance replicate from the named primary.
func (c *Control) Follow(ctx context.Context, term gypsumyard.Term, primary string) error {
	_, err := c.call(ctx, "follow", followSQL(term, primary))
	return err
}

// Close releases the connection. Later calls fail.
func (c *Control) Close() error {
	c.sem <- struct{}{}
	defer func() { <-c.sem }()
	c.closed = true
	c.drop()
	return nil
}

// call runs one statement whose result is a status row.
func (c *Control) call(ctx context.Context, what, sql string) (s gypsumyard.InstanceStatus, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("%s of %s: %w", what, c.upstream.Name, err)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	select {
	case c.sem <- struct{}{}:
	case <-ctx.Done():
		return s, context.Cause(ctx)
	}
	defer func() { <-c.sem }()
	if err := c.connect(ctx); err != nil {
		return s, err
	}
	var r statusReader
	if err := c.run(ctx, sql, &r); err != nil {
		c.drop()
		return s, err
	}
	return c.result(&r)
}

// run sends one statement. If the instance rejects the prepared status
// statement, run closes the connection, so that the next call prepares the
// statement again.
func (c *Control) run(ctx context.Context, sql string, r *statusReader) error {
	if sql != statusSQL {
		return c.conn.query(ctx, sql, r.handle)
	}
	if err := c.conn.preparedStatus(ctx, r); err != nil {
		return err
	}
	if r.err != nil {
		c.drop()
	}
	return nil
}

// result returns the status row, and maps errors of the instance to those of
// the root package.
func (c *Control) result(r *statusReader) (gypsumyard.InstanceStatus, error) {
	s, err := r.result()
	var e *ServerError
	if !errors.As(err, &e) {
		return s, err
	}
	if e.fatal() {
		c.drop()
	}
	if e.State == stateFenced {
		return s, fmt.Errorf("%w: %s", gypsumyard.ErrFenced, e.Message)
	}
	return s, err
}

func (c *Control) connect(ctx context.Context) (err error) {
	if c.closed {
		return errors.New("control closed")
	}
	a := c.currentAddress()
	if c.conn != nil && c.conn.address == a && c.conn.socketIdle() {
		return nil
	}
	c.drop()
	c.conn, err = Dial(ctx, c.clock, a)
	return err
}

func (c *Control) drop() {
	if c.conn == nil {
		return
	}
	c.conn.Close()
	c.conn = nil
}
