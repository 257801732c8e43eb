package member

import (
	"slices"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/peer/peerpb"
)

const (
	// differsAfter is how long digests may differ before a table is fetched.
	// It is longer than an update takes to spread.
	differsAfter = 3 * time.Second
	// syncPage is how many records one sync message holds.
	syncPage = 64
)

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
