package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/peer/peerpb"
)

const (
	// retryInterval is how often a host that is taken for dead gets a
	// heartbeat, so that both sides of a partition find each other again.
	retryInterval = time.Second
	// differsAfter is how long digests may differ before a table is fetched.
	// It is longer than an update takes to spread.
	differsAfter = 3 * time.Second
	// syncPage is how many records one sync message holds.
	syncPage = 64
)

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

// askSeeds fetches the table of a seed until some host has answered.
func (s *Service) askSeeds(now time.Time) (out []outgoing) {
	if s.joined {
		return nil
	}
	for _, addr := range s.seeds {
		if addr != s.self.host.Addr {
			out = append(out, outgoing{gypsumyard.Host{Addr: addr}, s.message(peerpb.MemberKind_SYNC, "")})
		}
	}
	s.synced = now
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

// receive takes a message and returns the reply, if there is one.
func (s *Service) receive(m *peerpb.Members) *peerpb.Members {
	if m.From == "" || m.From == s.self.host.Name || len(m.Updates) > 2*syncPage {
		return nil
	}
	s.mu.Lock()
	reply, out := s.receiveLocked(m, s.clock.Now())
	s.mu.Unlock()
	s.sendAll(out)
	return reply
}

func (s *Service) receiveLocked(m *peerpb.Members, now time.Time) (reply *peerpb.Members, out []outgoing) {
	for _, u := range m.Updates {
		s.merge(u)
	}
	s.noteSender(m, now)
	if m.Introduce {
		s.queue.add(s.self.host.Name)
	}
	switch m.Kind {
	case peerpb.MemberKind_HEARTBEAT:
		reply = s.message(peerpb.MemberKind_HEARTBEAT_ACK, m.From)
		reply.Sequence = m.Sequence
	case peerpb.MemberKind_HEARTBEAT_ACK:
		s.noteContact(m, now)
		out = append(s.answerHelped(m.From, now), s.compareDigest(m, now)...)
	case peerpb.MemberKind_PROBE:
		out = s.help(m, now)
	case peerpb.MemberKind_PROBE_ACK:
		s.noteIndirect(m.Target, now)
	case peerpb.MemberKind_SYNC:
		reply = s.page(m.From, m.Target)
	case peerpb.MemberKind_SYNC_REPLY:
		s.noteSynced(m)
		if r, ok := s.records[m.From]; ok && m.More {
			next := s.message(peerpb.MemberKind_SYNC, m.From)
			next.Target = m.Target
			out = append(out, outgoing{r.host, next})
		}
	}
	return reply, out
}

// noteSender takes over what the message says of its sender.
func (s *Service) noteSender(m *peerpb.Members, now time.Time) {
	r, ok := s.records[m.From]
	if !ok {
		return // Its address comes with its answer to an introduction.
	}
	r.heard = now
	r.probed = time.Time{}
	if m.Incarnation == r.incarnation && m.State <= r.state {
		return
	}
	u := r.update()
	u.Incarnation = m.Incarnation
	u.State = m.State
	u.Leaving = m.State == peerpb.MemberState_LEAVING
	s.merge(u)
}

// noteSynced notes that a page of another host's table has come.
func (s *Service) noteSynced(m *peerpb.Members) {
	s.joined = true
	if !m.More {
		s.noteComplete()
	}
}

// noteComplete notes that this host knows what another one knows. Hosts that
// only the list knows are not eligible from then on.
func (s *Service) noteComplete() {
	if !s.complete {
		s.complete = true
		s.invalidate()
	}
}

// noteContact notes that a peer answered a heartbeat of this host.
func (s *Service) noteContact(m *peerpb.Members, now time.Time) {
	s.joined = true
	if s.fresh.IsZero() && m.Sequence >= s.freshFrom && m.Sequence <= s.sequence {
		s.fresh = now
	}
}

// compareDigest fetches the sender's table if the tables differ for long, which
// means that an update was lost, and once after the start.
func (s *Service) compareDigest(m *peerpb.Members, now time.Time) []outgoing {
	if m.Digest == s.digest {
		s.differs = time.Time{}
		s.noteComplete()
		return nil
	}
	if s.differs.IsZero() {
		s.differs = now
	}
	r, ok := s.records[m.From]
	if !ok || now.Sub(s.synced) < differsAfter {
		return nil
	}
	if s.complete && now.Sub(s.differs) < differsAfter {
		return nil
	}
	s.synced = now
	s.metrics.Counter("member_syncs").Inc(1)
	return []outgoing{{r.host, s.message(peerpb.MemberKind_SYNC, m.From)}}
}

// page returns the records that follow a name, in the order of names.
func (s *Service) page(to, after string) *peerpb.Members {
	var names []string
	for name := range s.records {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	m := s.message(peerpb.MemberKind_SYNC_REPLY, to)
	m.More = len(names) > syncPage
	for _, name := range names[:min(syncPage, len(names))] {
		m.Updates = append(m.Updates, s.records[name].update())
		m.Target = name
	}
	return m
}
