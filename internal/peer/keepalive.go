package peer

import (
	"maps"
	"slices"
	"time"
)

// checkConnections checks all streams every pingInterval until the service stops.
// One goroutine serves all peers, so that idle streams need no timers.
func (s *Service) checkConnections() {
	for s.clock.Sleep(s.stopping, pingInterval) == nil {
		now := s.clock.Now()
		links, gossips, in, served := s.snapshot()
		for _, l := range links {
			checkLink(l, now)
		}
		for _, g := range gossips {
			checkGossip(g, now)
		}
		for _, i := range in {
			if i.needsKeepalive() {
				checkInbound(i)
			}
		}
		for _, g := range served {
			if g.stream.sinceReceived() > 2*idleTimeout {
				g.stream.fail(errKeepaliveTimeout)
			}
		}
		s.evictRemotes(now)
		s.held.expire()
	}
}

// checkInbound ends a link whose entry host has sent nothing for longer than
// keepaliveTimeout.
func checkInbound(in *inboundLink) {
	quiet := in.short.sinceReceived()
	if quiet < pingInterval {
		return
	}
	if in.short.quietChecks.Add(1) > minQuietChecks && quiet > keepaliveTimeout {
		in.short.fail(errKeepaliveTimeout)
	}
}

func checkLink(l *link, now time.Time) {
	if l.idleTime(now) > idleTimeout {
		l.fail(errClosed)
		return
	}
	if !l.needsKeepalive(now) {
		return
	}
	for _, s := range []*stream{l.short, l.bulk} {
		checkStream(s, keepaliveTimeout, l.fail)
	}
}

func checkGossip(g *gossipClient, now time.Time) {
	if g.idleTime(now) > idleTimeout {
		g.fail(errClosed)
		return
	}
	if g.idleTime(now) < keepaliveAfterUse {
		checkStream(g.stream, gossipKeepaliveTimeout, g.fail)
	}
}

// checkStream pings a stream that has received nothing for pingInterval. It calls
// fail if nothing has been received for longer than limit despite the pings.
func checkStream(s *stream, limit time.Duration, fail func(error)) {
	quiet := s.sinceReceived()
	if quiet < pingInterval {
		return
	}
	if quiet > limit && s.quietChecks.Load() >= minQuietChecks {
		fail(errKeepaliveTimeout)
		return
	}
	s.quietChecks.Add(1)
	s.ping()
}

// snapshot returns the open connections.
func (s *Service) snapshot() (links []*link, gossips []*gossipClient, in []*inboundLink, served []*gossipServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	links = slices.Collect(maps.Keys(s.links))
	gossips = slices.Collect(maps.Keys(s.gossipClients))
	in = slices.Collect(maps.Values(s.inboundLinks))
	served = slices.Collect(maps.Keys(s.gossipServers))
	return links, gossips, in, served
}

// evictRemotes removes remotes that have not been used for remoteIdleTimeout.
func (s *Service) evictRemotes(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for addr, r := range s.remotes {
		if now.Sub(r.lastUsed) > remoteIdleTimeout {
			delete(s.remotes, addr)
		}
	}
}
