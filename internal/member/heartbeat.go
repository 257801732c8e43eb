package member

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/peer/peerpb"
)

// seedInterval is how often a host that knows only addresses asks one of them.
const seedInterval = 400 * time.Millisecond

// retryInterval is how often a host that is taken for dead gets a heartbeat, so
// that both sides of a partition find each other again.
const retryInterval = time.Second

// An outgoing message leaves after the table's lock is released.
type outgoing struct {
	to      gypsumyard.Host
	message *peerpb.Members
}

func (s *Service) sendAll(out []outgoing) {
	for _, o := range out {
		s.transport.SendMembers(o.to, o.message)
	}
}

// tick sends the heartbeats and judges the silence of the targets.
func (s *Service) tick() {
	s.mu.Lock()
	out := s.tickLocked(s.clock.Now())
	s.mu.Unlock()
	s.sendAll(out)
}

func (s *Service) tickLocked(now time.Time) (out []outgoing) {
	if now.Sub(s.ticked) > suspectAfter {
		s.resume(now)
	}
	s.ticked = now
	s.refresh()
	out = s.judge(now)
	s.refresh()
	out = append(out, s.heartbeats()...)
	out = append(out, s.retryDead(now)...)
	out = append(out, s.askSeeds(now)...)
	s.judgeFreshness(now)
	s.forget(now)
	s.expireAssigned(now)
	return out
}

// resume forgets what this host seemed to observe while it was paused.
func (s *Service) resume(now time.Time) {
	s.log.WithField("pause", now.Sub(s.ticked)).Warn("this host was paused: its view of the hosts is stale")
	s.metrics.Counter("member_pauses").Inc(1)
	s.fresh = time.Time{}
	s.freshFrom = s.sequence + 1
	for _, r := range s.records {
		r.heard = now
		r.probed = time.Time{}
		if r.state == peerpb.MemberState_SUSPECT {
			r.changed = now
		}
	}
	s.helping = map[string][]helped{}
	s.invalidate()
}

// judgeFreshness makes the view of a host fresh that has no others to ask.
func (s *Service) judgeFreshness(now time.Time) {
	if !s.fresh.IsZero() || len(s.ring) > 1 {
		return
	}
	if s.joined || len(s.seeds) == 0 || now.Sub(s.began) > seedPatience {
		s.fresh = now
	}
}

// message returns a message to the host with the given name, with updates. What
// this host believes of the receiver comes first unless it is live, so that
// the receiver can refute it.
func (s *Service) message(kind peerpb.MemberKind, to string) *peerpb.Members {
	s.refresh()
	m := &peerpb.Members{
		Kind:        kind,
		From:        s.self.host.Name,
		Incarnation: s.self.incarnation,
		State:       s.self.state,
		Digest:      s.digest,
	}
	r, ok := s.records[to]
	m.Introduce = !ok
	if ok && r.state != peerpb.MemberState_LIVE {
		m.Updates = append(m.Updates, r.update())
	}
	for _, name := range s.queue.take(updatesPerMessage-len(m.Updates), transmissions(len(s.ring))) {
		if r, ok := s.records[name]; ok {
			m.Updates = append(m.Updates, r.update())
		}
	}
	return m
}

func (s *Service) heartbeat(to gypsumyard.Host) outgoing {
	s.sequence++
	m := s.message(peerpb.MemberKind_HEARTBEAT, to.Name)
	m.Sequence = s.sequence
	return outgoing{to, m}
}

func (s *Service) heartbeats() (out []outgoing) {
	s.refresh()
	for _, r := range s.targets {
		out = append(out, s.heartbeat(r.host))
	}
	return out
}

// retryDead sends a heartbeat to one of the hosts that are taken for dead.
func (s *Service) retryDead(now time.Time) []outgoing {
	if now.Sub(s.retried) < retryInterval {
		return nil
	}
	s.retried = now
	var dead []*record
	for _, r := range s.records {
		if r.state == peerpb.MemberState_DEAD && r.host.Region == s.self.host.Region {
			dead = append(dead, r)
		}
	}
	if len(dead) == 0 {
		return nil
	}
	return []outgoing{s.heartbeat(dead[rand.IntN(len(dead))].host)}
}

// askSeeds fetches the table of a seed until some host has answered: of all
// seeds at first, then of one at a time. When a whole region starts, each seed
// answers all its hosts, and each answer is a whole table.
func (s *Service) askSeeds(now time.Time) (out []outgoing) {
	if s.joined || now.Sub(s.askedSeeds) < seedInterval {
		return nil
	}
	ask := s.seeds
	if !s.askedSeeds.IsZero() && len(ask) > 0 {
		ask = []netip.AddrPort{ask[rand.IntN(len(ask))]}
	}
	for _, addr := range ask {
		if addr != s.self.host.Addr {
			out = append(out, outgoing{gypsumyard.Host{Addr: addr}, s.message(peerpb.MemberKind_SYNC, "")})
		}
	}
	s.synced, s.askedSeeds = now, now
	return out
}

// forget drops hosts that have been dead for long.
func (s *Service) forget(now time.Time) {
	if now.Sub(s.forgotten) < forgetAfter/10 {
		return
	}
	s.forgotten = now
	for name, r := range s.records {
		if r.gone() && r != s.self && now.Sub(r.changed) > forgetAfter {
			delete(s.records, name)
			delete(s.helping, name)
		}
	}
}
