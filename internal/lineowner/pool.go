package lineowner

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/connshare"
	"github.com/gypsumyard/gypsumyard/internal/line"
	"github.com/sirupsen/logrus"
)

const (
	// idleCheckAfter is how long a connection may have been idle before it is
	// checked before use.
	idleCheckAfter = 100 * time.Millisecond
	// freeCheckInterval is how often a caller that waits for a connection checks
	// whether one may be opened, such as some time after a refusal.
	freeCheckInterval = 100 * time.Millisecond
)

var (
	errPoolClosed  = errors.New("instance is no longer listed")
	errNoMoreConns = errors.New("no connection to the instance is free")
)

// A pool holds the connections to one instance. Each belongs to a customer, or to
// none for anonymous sessions and in deployments without customers.
type pool struct {
	instance gypsumyard.ListedInstance
	// user is the user name of connections that belong to no customer.
	user    string
	clock   gypsumyard.Clock
	log     logrus.FieldLogger
	metrics *metrics

	mu sync.Mutex
	// idle holds the idle connections by customer, the last used at the end.
	idle map[string][]*conn
	// share decides which customers get how many connections.
	share *connshare.Allocator
	// keyed indicates that the deployment has customers, which are in customers.
	keyed     bool
	customers map[string]gypsumyard.CallerCustomer
	// closing holds connections that unlockAndClose closes.
	closing []*conn
	// epoch is incremented when the open connections may be dead.
	epoch  int
	closed bool
	// freed is closed and replaced when a connection may have become free.
	freed chan struct{}
}

func newPool(i gypsumyard.ListedInstance, user string, clock gypsumyard.Clock, log logrus.FieldLogger, m *metrics) *pool {
	return &pool{
		instance: i, user: user, clock: clock, log: log.WithField("instance", i.ID), metrics: m,
		idle: map[string][]*conn{}, share: connshare.New(clock), freed: make(chan struct{}),
	}
}

// openConnections returns how many connections are open or being opened.
func (p *pool) openConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.share.OpenConnections()
}

// get returns an idle connection of the customer, or opens one if the limit allows
// it. If it cannot, it fails at once with errNoMoreConns and returns the channel that
// is closed when that may have changed.
func (p *pool) get(ctx context.Context, customer string, settings []gypsumyard.Setting) (c *conn, freed <-chan struct{}, err error) {
	for {
		c, mayDial, freed, err := p.take(customer, settings)
		switch {
		case err != nil:
			return nil, nil, err
		case c != nil && p.isUsable(c):
			return c, nil, nil
		case c != nil:
			p.discard(c)
		case mayDial:
			c, err = p.dial(ctx, customer)
			return c, nil, err
		default:
			return nil, freed, errNoMoreConns
		}
	}
}

// isUsable reports whether a connection that was idle can be used.
func (p *pool) isUsable(c *conn) bool {
	return p.clock.Since(c.lastUsed) < idleCheckAfter || c.alive()
}

// take returns an idle connection of the customer, preferably one that need not be
// reset. If there is none, it reserves a new connection within the limit, or returns
// the channel to wait on.
func (p *pool) take(customer string, settings []gypsumyard.Setting) (c *conn, mayDial bool, freed <-chan struct{}, err error) {
	p.mu.Lock()
	defer p.unlockAndClose()
	if p.closed {
		return nil, false, nil, errPoolClosed
	}
	d := p.share.Take(customer)
	if d.Action == connshare.Wait {
		p.metrics.connectionWaits.Inc(1)
		return nil, false, p.freed, nil
	}
	c = p.carryOut(d, customer, settings)
	return c, c == nil, nil, nil
}

// carryOut returns the idle connection that the request uses, or nil if it opens one.
// The caller must hold p.mu.
func (p *pool) carryOut(d connshare.Decision, customer string, settings []gypsumyard.Setting) *conn {
	switch d.Action {
	case connshare.Replace:
		p.evict(d.Victim)
		return nil
	case connshare.Open:
		return nil
	}
	idle := p.idle[customer]
	best := len(idle) - 1
	for i := best; i >= 0; i-- {
		if !idle[i].needsReset(settings) {
			best = i
			break
		}
	}
	return p.removeIdle(customer, best)
}

// evict closes the connection of the customer that has been idle for longest. The
// caller must hold p.mu.
func (p *pool) evict(customer string) {
	p.metrics.connectionsEvicted.Inc(1)
	p.closing = append(p.closing, p.removeIdle(customer, 0))
}

func (p *pool) removeIdle(customer string, n int) *conn {
	idle := p.idle[customer]
	c := idle[n]
	if len(idle) == 1 {
		delete(p.idle, customer)
		return c
	}
	p.idle[customer] = append(idle[:n], idle[n+1:]...)
	return c
}

// dial opens the connection for which take has reserved a place.
func (p *pool) dial(ctx context.Context, customer string) (*conn, error) {
	p.mu.Lock()
	epoch := p.epoch
	p.mu.Unlock()
	user := p.user
	if customer != "" {
		user = customer
	}
	p.metrics.connectionsOpened.Inc(1)
	c, err := dial(ctx, p.instance, user)
	if err != nil {
		p.mu.Lock()
		defer p.unlockAndClose()
		p.share.Close(customer, true)
		var refusal *line.Error
		if errors.As(err, &refusal) && refusal.Code == line.CodeTooMany {
			p.recordRefusal()
		}
		p.notifyWaiters()
		return nil, err
	}
	c.customer, c.epoch = customer, epoch
	return c, nil
}

// recordRefusal stops the opening of connections for a while. With customers the
// limit falls as well: their connections close and open all the time, so that two
// hosts would refuse each other's for as long as both use the instance. The caller
// must hold p.mu.
func (p *pool) recordRefusal() {
	if !p.keyed {
		p.share.Pause()
		return
	}
	before := p.share.Limit()
	p.share.Lower()
	p.evictSurplus()
	if limit := p.share.Limit(); limit < before {
		p.log.WithFields(logrus.Fields{"limit": limit, "before": before, "open": p.share.OpenConnections()}).
			Warn("instance refuses connections, this host uses fewer for a while")
	}
}

// put returns a connection that is outside a transaction.
func (p *pool) put(c *conn) {
	c.lastUsed = p.clock.Now()
	p.mu.Lock()
	if p.closed || c.epoch != p.epoch || !p.serves(c.customer) || !p.keyed && p.share.OpenConnections() > p.share.Limit() {
		p.mu.Unlock()
		p.discard(c)
		return
	}
	defer p.unlockAndClose()
	p.idle[c.customer] = append(p.idle[c.customer], c)
	p.share.Return(c.customer)
	p.evictSurplus()
	p.notifyWaiters()
}

// serves reports whether the customer is in the desired state. The caller must hold
// p.mu.
func (p *pool) serves(customer string) bool {
	_, ok := p.customers[customer]
	return ok || customer == ""
}

// evictSurplus closes idle connections beyond the limit. The caller must hold p.mu.
func (p *pool) evictSurplus() {
	for p.keyed {
		victim, ok := p.share.Surplus()
		if !ok {
			return
		}
		p.evict(victim)
	}
}

// discard closes a connection in use and frees its place in the pool.
func (p *pool) discard(c *conn) {
	c.close()
	p.mu.Lock()
	defer p.unlockAndClose()
	p.share.Close(c.customer, true)
	p.notifyWaiters()
}

// notifyWaiters hands free connections to the waiters of the customers, and wakes
// all other callers that wait. The caller must hold p.mu.
func (p *pool) notifyWaiters() {
	p.share.Dispatch()
	close(p.freed)
	p.freed = make(chan struct{})
}

// unlockAndClose unlocks p.mu and closes the connections that were evicted.
func (p *pool) unlockAndClose() {
	closing := p.closing
	p.closing = nil
	p.mu.Unlock()
	for _, c := range closing {
		c.close()
	}
}

// invalidate closes the idle connections after the path to the instance was
// broken, because they may never answer again. Connections in use are closed when
// they are returned.
func (p *pool) invalidate() {
	p.mu.Lock()
	defer p.unlockAndClose()
	p.epoch++
	p.closeIdle(func(string) bool { return true })
}

// closeIdle closes the idle connections of the customers that match. The caller must
// hold p.mu.
func (p *pool) closeIdle(matches func(customer string) bool) (closed int) {
	for customer, idle := range p.idle {
		if !matches(customer) {
			continue
		}
		for range idle {
			p.share.Close(customer, false)
		}
		p.closing = append(p.closing, idle...)
		closed += len(idle)
		delete(p.idle, customer)
	}
	if closed > 0 {
		p.notifyWaiters()
	}
	return closed
}

// setLimits sets how many connections may be open and how many transactions on them.
func (p *pool) setLimits(connections, transactions int) {
	p.mu.Lock()
	defer p.unlockAndClose()
	p.share.SetLimits(connections, transactions)
	p.evictSurplus()
	p.notifyWaiters()
}

// setCustomers takes over the customers of the desired state. Idle connections of
// others are closed.
func (p *pool) setCustomers(d *gypsumyard.DesiredState) {
	p.mu.Lock()
	defer p.unlockAndClose()
	p.keyed, p.customers = d.Keyed, d.Customers
	if n := p.closeIdle(func(customer string) bool { return !p.serves(customer) }); n > 0 {
		p.log.WithFields(logrus.Fields{"connections": n, "desired": d.Number}).Info("closing connections of removed customers")
	}
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.unlockAndClose()
	p.closed = true
	p.closeIdle(func(string) bool { return true })
	p.notifyWaiters()
}
