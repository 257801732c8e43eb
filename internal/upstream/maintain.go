package upstream

import "math"

// maintain adjusts the number of open connections to the demand and pings idle
// ones until the pool is closed.
func (p *Pool) maintain() {
	defer p.work.Done()
	for p.clock.Sleep(p.ctx, maintenanceInterval) == nil {
		p.adjustSize()
		if c := p.takePingDue(); c != nil {
			p.validateIdle(c)
		}
	}
}

// adjustSize decays the peak, opens connections up to it, and closes at most one
// surplus idle connection.
func (p *Pool) adjustSize() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peak = max(p.peak*peakDecay, float64(p.used))
	if p.peak < 0.1 {
		p.peak = 0
	}
	want := int(math.Ceil(p.peak))
	if p.peak > 0 {
		// One more than the peak keeps the next request from waiting for a
		// connection to open.
		want++
	}
	want = min(want, p.limit)
	switch {
	case p.open < want || len(p.waiters) > 0:
		p.dialUpTo(max(want-p.open+p.opening, len(p.waiters)))
	case p.open > want+1 && len(p.idle) > 0:
		c := p.idle[0]
		p.idle = p.idle[1:]
		p.drop(c)
	}
}

// takePingDue removes the connection that has been idle for longest from the
// pool, if it is due for a ping.
func (p *Pool) takePingDue() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[0]
	if p.clock.Since(c.lastResponse) < keepaliveIdle && c.lastResponse.After(p.lastTimeout) {
		return nil
	}
	p.idle = p.idle[1:]
	p.used++
	return c
}

// validateIdle pings a connection and returns it to the pool, or discards it if
// the ping fails.
func (p *Pool) validateIdle(c *Conn) {
	if c.socketIdle() && p.ping(p.ctx, c) {
		p.Put(c)
		return
	}
	p.Discard(c)
}
