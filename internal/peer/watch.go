package peer

import (
	"maps"
	"slices"
	"time"
)

// watch checks the streams every pingInterval until the service stops. One
// goroutine does so for all peers, which keeps idle streams free of timers.
func (s *Service) watch() {
	for s.clock.Sleep(s.stopping, pingInterval) == nil {
		now := s.clock.Now()
		links, gossips, in, served := s.snapshot()
		for _, l := range links {
			watchLink(l, now)
		}
		for _, g := range gossips {
			watchGossip(g, now)
		}
		for _, i := range in {
			if i.watched() {
				watchInbound(i)
			}
		}
		for _, g := range served {
			if g.stream.silence() > 2*closeAfterIdle {
				g.stream.fail(errSilent)
			}
		}
		s.forgetRemotes(now)
	}
}

// watchInbound ends a link whose entry host has not pinged for too long.
func watchInbound(in *inbound) {
	quiet := in.short.silence()
	if quiet < pingInterval {
		return
	}
	if in.short.quietChecks.Add(1) > checksBeforeSilent && quiet > silentAfter {
		in.short.fail(errSilent)
	}
}

func watchLink(l *link, now time.Time) {
	if l.idle(now) > closeAfterIdle {
		l.fail(errClosed)
		return
	}
	if !l.active(now) {
		return
	}
	for _, s := range []*stream{l.short, l.bulk} {
		watchStream(s, silentAfter, l.fail)
	}
}

func watchGossip(g *gossip, now time.Time) {
	if g.idle(now) > closeAfterIdle {
		g.fail(errClosed)
		return
	}
	if g.idle(now) < watchAfterUse {
		watchStream(g.stream, gossipSilentAfter, g.fail)
	}
}

// watchStream pings a stream that was quiet since the last check, and ends it
// when pings have gone unanswered for the given time.
func watchStream(s *stream, limit time.Duration, fail func(error)) {
	quiet := s.silence()
	if quiet < pingInterval {
		return
	}
	if quiet > limit && s.quietChecks.Load() >= checksBeforeSilent {
		fail(errSilent)
		return
	}
	s.quietChecks.Add(1)
	s.ping()
}

// snapshot returns the open connections.
func (s *Service) snapshot() (links []*link, gossips []*gossip, in []*inbound, served []*gossipServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	links = slices.Collect(maps.Keys(s.links))
	gossips = slices.Collect(maps.Keys(s.gossips))
	in = slices.Collect(maps.Values(s.inbound))
	served = slices.Collect(maps.Keys(s.served))
	return links, gossips, in, served
}

// forgetRemotes drops the ways to hosts that were not used for long.
func (s *Service) forgetRemotes(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for addr, r := range s.remotes {
		if now.Sub(r.used) > forgetAfter {
			delete(s.remotes, addr)
		}
	}
}
