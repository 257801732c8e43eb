package lineowner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/line"
)

const (
	// idleCheckAfter is how long a connection may have been idle before it is
	// checked before use.
	idleCheckAfter = 100 * time.Millisecond
	// tooManyBackoff is how long no connection is opened after the instance has
	// refused one because it has too many.
	tooManyBackoff = 100 * time.Millisecond
)

var (
	errPoolClosed  = errors.New("instance is no longer listed")
	errNoMoreConns = errors.New("no connection to the instance is free")
)

// A pool holds the connections to one instance.
type pool struct {
	instance gypsumyard.ListedInstance
	user     string
	clock    gypsumyard.Clock

	mu    sync.Mutex
	idle  []*conn
	open  int
	limit int
	// epoch is incremented when the open connections may be dead.
	epoch  int
	closed bool
	// refusedUntil is when connections may be opened again after a refusal.
	refusedUntil time.Time
	// freed is closed and replaced when a connection may have become free.
	freed chan struct{}
}

func newPool(i gypsumyard.ListedInstance, user string, clock gypsumyard.Clock) *pool {
	return &pool{instance: i, user: user, clock: clock, freed: make(chan struct{})}
}

// get returns an idle connection, or opens one if the limit allows it. If it cannot,
// it fails at once with errNoMoreConns and returns the channel that is closed when
// that may have changed.
func (p *pool) get(ctx context.Context, settings []gypsumyard.Setting) (c *conn, freed <-chan struct{}, err error) {
	for {
		c, mayDial, freed, err := p.take(settings)
		switch {
		case err != nil:
			return nil, nil, err
		case c != nil && (p.clock.Since(c.lastUsed) < idleCheckAfter || c.alive()):
			return c, nil, nil
		case c != nil:
			p.discard(c)
		case mayDial:
			c, err = p.dial(ctx)
			return c, nil, err
		default:
			return nil, freed, errNoMoreConns
		}
	}
}

// awaitFree waits until get may succeed: freed is closed, or connections may be
// opened again after a refusal.
func (p *pool) awaitFree(ctx context.Context, freed <-chan struct{}) error {
	t := p.clock.NewTimer(tooManyBackoff)
	defer t.Stop()
	select {
	case <-freed:
	case <-t.C():
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", errNoMoreConns, context.Cause(ctx))
	}
	return nil
}

// take returns an idle connection, preferably one that need not be reset. If
// there is none, it reserves a new connection within the limit, or returns the
// channel to wait on.
func (p *pool) take(settings []gypsumyard.Setting) (c *conn, mayDial bool, freed <-chan struct{}, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, false, nil, errPoolClosed
	}
	if n := len(p.idle); n > 0 {
		best := n - 1
		for i := n - 1; i >= 0; i-- {
			if !p.idle[i].needsReset(settings) {
				best = i
				break
			}
		}
		c = p.idle[best]
		p.idle = append(p.idle[:best], p.idle[best+1:]...)
		return c, false, nil, nil
	}
	if p.open < p.limit && p.clock.Now().After(p.refusedUntil) {
		p.open++
		return nil, true, nil, nil
	}
	return nil, false, p.freed, nil
}

func (p *pool) dial(ctx context.Context) (*conn, error) {
	p.mu.Lock()
	epoch := p.epoch
	p.mu.Unlock()
	c, err := dial(ctx, p.instance, p.user)
	if err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.open--
		var refusal *line.Error
		if errors.As(err, &refusal) && refusal.Code == line.CodeTooMany {
			p.refusedUntil = p.clock.Now().Add(tooManyBackoff)
		}
		p.notifyWaiters()
		return nil, err
	}
	c.epoch = epoch
	return c, nil
}

// put returns a connection that is outside a transaction.
func (p *pool) put(c *conn) {
	c.lastUsed = p.clock.Now()
	p.mu.Lock()
	if p.closed || c.epoch != p.epoch || p.open > p.limit {
		p.mu.Unlock()
		p.discard(c)
		return
	}
	p.idle = append(p.idle, c)
	p.notifyWaiters()
	p.mu.Unlock()
}

// discard closes a connection and frees its place in the pool.
func (p *pool) discard(c *conn) {
	c.close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.notifyWaiters()
}

// notifyWaiters wakes all callers waiting in get. The caller must hold p.mu.
func (p *pool) notifyWaiters() {
	close(p.freed)
	p.freed = make(chan struct{})
}

// invalidate closes the idle connections after the path to the instance was
// broken, because they may never answer again. Connections in use are closed when
// they are returned.
func (p *pool) invalidate() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.epoch++
	p.open -= len(idle)
	p.notifyWaiters()
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

func (p *pool) setLimit(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = n
	p.notifyWaiters()
}

func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.open -= len(idle)
	p.notifyWaiters()
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}
