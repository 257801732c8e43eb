package upstream

import (
	"context"
	"errors"
	"fmt"

	"github.com/gypsumyard/gypsumyard"
)

// A Control is the control side of one instance over a connection of its own,
// which is opened at the first call and again after a failure. Calls run one
// after the other.
type Control struct {
	clock    gypsumyard.Clock
	upstream gypsumyard.Upstream
	address  Address
	turn     chan struct{}
	conn     *Conn
	closed   bool
}

var _ gypsumyard.Instance = (*Control)(nil)

// NewControl returns the control side of an instance of the database.
func NewControl(clock gypsumyard.Clock, d gypsumyard.Database, u gypsumyard.Upstream) *Control {
	return &Control{clock: clock, upstream: u, address: AddressOf(d, u), turn: make(chan struct{}, 1)}
}

// Upstream returns the name and address of the instance.
func (c *Control) Upstream() gypsumyard.Upstream { return c.upstream }

// Status reads the instance's state.
func (c *Control) Status(ctx context.Context) (gypsumyard.InstanceStatus, error) {
	return c.call(ctx, "status", statusSQL)
}

// Fence makes the instance refuse lower terms.
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
	c.turn <- struct{}{}
	defer func() { <-c.turn }()
	c.closed = true
	c.drop()
	return nil
}

// call runs one statement that answers with a status row.
func (c *Control) call(ctx context.Context, what, sql string) (s gypsumyard.InstanceStatus, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("%s of %s: %w", what, c.upstream.Name, err)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	select {
	case c.turn <- struct{}{}:
	case <-ctx.Done():
		return s, context.Cause(ctx)
	}
	defer func() { <-c.turn }()
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

// run sends one statement. After a refusal of the prepared statement the
// connection is closed: the next call prepares it anew.
func (c *Control) run(ctx context.Context, sql string, r *statusReader) error {
	if sql != statusSQL {
		return c.conn.query(ctx, sql, r.take)
	}
	if err := c.conn.preparedStatus(ctx, r); err != nil {
		return err
	}
	if r.err != nil {
		c.drop()
	}
	return nil
}

// result maps refusals of the instance to the errors of the root package.
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
	if c.conn != nil && c.conn.quiet() {
		return nil
	}
	c.drop()
	c.conn, err = Dial(ctx, c.clock, c.address)
	return err
}

func (c *Control) drop() {
	if c.conn == nil {
		return
	}
	c.conn.Close()
	c.conn = nil
}
