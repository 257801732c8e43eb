package member

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/peer/peerpb"
)

// seedRetryInterval is how often a host that no other host has answered yet
// requests the table of a seed.
const seedRetryInterval = 400 * time.Millisecond

// reconnectInterval is the time between heartbeats to hosts that are considered
// dead. They let the two sides of a healed partition find each other again.
const reconnectInterval = time.Second

// An outgoing message is sent after the table's lock has been released.
type outgoing struct {
	to      gypsumyard.Host
	message *peerpb.Members
}

func (s *Service) sendAll(out []outgoing) {
	for _, o := range out {
		s.transport.SendMembers(o.to, o.message)
	}
}

// tick runs one round: it detects failed hosts, sends the heartbeats, and removes
// expired records and assignments.
func (s *Service) tick() {
	s.mu.Lock()
	out := s.tickLocked(s.clock.Now())
	s.mu.Unlock()
	s.sendAll(out)
}

// tickLocked updates the table and returns the messages to be sent. The caller
// must hold s.mu.
func (s *Service) tickLocked(now time.Time) (out []outgoing) {
	if now.Sub(s.lastTick) > suspectAfter {
		s.resetAfterPause(now)
	}
	s.lastTick = now
	s.rebuildRing()
	out = s.detectFailures(now)
	s.rebuildRing()
	out = append(out, s.heartbeats()...)
	out = append(out, s.reconnectDead(now)...)
	out = append(out, s.requestSeedTables(now)...)
	s.updateFreshness(now)
	s.removeExpiredRecords(now)
	s.removeExpiredAssignments(now)
	return out
}

// resetAfterPause discards observations from a pause of this process. During the
// pause this host could not hear the others, so their silence proves nothing.
func (s *Service) resetAfterPause(now time.Time) {
	s.log.WithField("pause", now.Sub(s.lastTick)).Warn("this host was paused: its view of the hosts is stale")
	s.metrics.Counter("member_pauses").Inc(1)
	s.freshSince = time.Time{}
	s.minFreshSequence = s.sequence + 1
	for _, r := range s.records {
		r.lastHeard = now
		r.probeStarted = time.Time{}
		if r.state == peerpb.MemberState_SUSPECT {
			r.stateSince = now
		}
	}
	s.probeRequests = map[string][]probeRequest{}
	s.invalidate()
}

// updateFreshness marks the view as fresh if there is no other host that could
// confirm it. Otherwise the answer to a heartbeat does so, see noteContact.
func (s *Service) updateFreshness(now time.Time) {
	if !s.freshSince.IsZero() || len(s.ring) > 1 {
		return
	}
	if s.joined || len(s.seeds) == 0 || now.Sub(s.started) > seedTimeout {
		s.freshSince = now
	}
}

// message returns a message to the named host with gossip updates attached. If
// the receiver is not considered live, its own record comes first, so that it
// can refute it.
func (s *Service) message(kind peerpb.MemberKind, to string) *peerpb.Members {
	s.rebuildRing()
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
	for _, name := range s.queue.take(updatesPerMessage-len(m.Updates), transmitLimit(len(s.ring))) {
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
	s.rebuildRing()
	for _, r := range s.targets {
		out = append(out, s.heartbeat(r.host))
	}
	return out
}

// reconnectDead returns a heartbeat to a random host of this region that is
// considered dead.
func (s *Service) reconnectDead(now time.Time) []outgoing {
	if now.Sub(s.lastReconnect) < reconnectInterval {
		return nil
	}
	s.lastReconnect = now
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

// requestSeedTables requests the tables of seeds until this host has joined: of
// all seeds at first, then of one random seed at a time. When a whole region
// starts, each seed answers all hosts of the region, and each answer is a whole
// table.
func (s *Service) requestSeedTables(now time.Time) (out []outgoing) {
	if s.joined || now.Sub(s.lastSeedRequest) < seedRetryInterval {
		return nil
	}
	addrs := s.seeds
	if !s.lastSeedRequest.IsZero() && len(addrs) > 0 {
		addrs = []netip.AddrPort{addrs[rand.IntN(len(addrs))]}
	}
	for _, addr := range addrs {
		if addr != s.self.host.Addr {
			out = append(out, outgoing{gypsumyard.Host{Addr: addr}, s.message(peerpb.MemberKind_SYNC, "")})
		}
	}
	s.lastSync, s.lastSeedRequest = now, now
	return out
}

// removeExpiredRecords drops hosts that have been dead for longer than
// deadRetention.
func (s *Service) removeExpiredRecords(now time.Time) {
	if now.Sub(s.lastCleanup) < deadRetention/10 {
		return
	}
	s.lastCleanup = now
	for name, r := range s.records {
		if r.gone() && r != s.self && now.Sub(r.stateSince) > deadRetention {
			delete(s.records, name)
			delete(s.probeRequests, name)
		}
	}
}
