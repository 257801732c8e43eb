package upstream

import "math"

// maintain keeps connections open ahead of demand until the pool is closed.
func (p *Pool) maintain() {
	defer p.work.Done()
	for p.clock.Sleep(p.ctx, tickInterval) == nil {
		p.tick()
		if c := p.takeStale(); c != nil {
			p.recheck(c)
		}
	}
}

// tick decays the peak, opens connections up to it and closes one that has
// not been needed.
func (p *Pool) tick() {
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
		p.openFor(max(want-p.open+p.opening, len(p.waiters)))
	case p.open > want+1 && len(p.idle) > 0:
		c := p.idle[0]
		p.idle = p.idle[1:]
		p.drop(c)
	}
}

// takeStale takes the connection that has been idle for longest, if it is due
// for a ping.
func (p *Pool) takeStale() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[0]
	if p.clock.Since(c.lastUsed) < idlePing && c.lastUsed.After(p.suspect) {
		return nil
	}
	p.idle = p.idle[1:]
	p.used++
	return c
}

// recheck pings a connection and gives it back.
func (p *Pool) recheck(c *Conn) {
	if c.quiet() && p.ping(p.ctx, c) {
		p.Put(c)
		return
	}
	p.Discard(c)
}
