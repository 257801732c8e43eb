package member

import (
	"slices"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/peer/peerpb"
)

const (
	// mismatchTimeout is how long digests may differ before a table is fetched. It
	// is longer than an update takes to reach all hosts.
	mismatchTimeout = 3 * time.Second
	// syncPageSize is the maximum number of records in one sync message.
	syncPageSize = 64
)

// receive handles a message and returns the reply, or nil if there is none. It
// ignores messages without a sender, from this host itself, or with too many
// updates.
func (s *Service) receive(m *peerpb.Members) *peerpb.Members {
	if m.From == "" || m.From == s.self.host.Name || len(m.Updates) > 2*syncPageSize {
		return nil
	}
	s.mu.Lock()
	reply, out := s.receiveLocked(m, s.clock.Now())
	s.mu.Unlock()
	s.sendAll(out)
	return reply
}

// receiveLocked updates the table and returns the reply and further messages to
// be sent. The caller must hold s.mu.
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
		out = append(s.acknowledgeProbes(m.From, now), s.compareDigest(m, now)...)
	case peerpb.MemberKind_PROBE:
		out = s.handleProbe(m, now)
	case peerpb.MemberKind_PROBE_ACK:
		s.noteIndirectContact(m.Target, now)
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

// noteSender updates the sender's record from the header of its message.
func (s *Service) noteSender(m *peerpb.Members, now time.Time) {
	r, ok := s.records[m.From]
	if !ok {
		return // The sender gossips its record, with its address, once it has received a message with Introduce set.
	}
	r.lastHeard = now
	r.probeStarted = time.Time{}
	if m.Incarnation == r.incarnation && m.State <= r.state {
		return
	}
	u := r.update()
	u.Incarnation = m.Incarnation
	u.State = m.State
	u.Leaving = m.State == peerpb.MemberState_LEAVING
	s.merge(u)
}

// noteSynced records that a page of another host's table has arrived.
func (s *Service) noteSynced(m *peerpb.Members) {
	s.joined = true
	if !m.More {
		s.noteComplete()
	}
}

// noteComplete records that this table has been synchronized with another one.
// From then on hosts that are known from the platform's list only are not
// eligible to own databases.
func (s *Service) noteComplete() {
	if !s.complete {
		s.complete = true
		s.invalidate()
	}
}

// noteContact records that a peer acknowledged a heartbeat of this host.
func (s *Service) noteContact(m *peerpb.Members, now time.Time) {
	s.joined = true
	if s.freshSince.IsZero() && m.Sequence >= s.minFreshSequence && m.Sequence <= s.sequence {
		s.freshSince = now
	}
}

// compareDigest requests the sender's table if the tables have differed for
// longer than mismatchTimeout, which means that an update was lost. A host that
// has not synchronized yet requests it at the first difference. Requests are at
// least mismatchTimeout apart.
func (s *Service) compareDigest(m *peerpb.Members, now time.Time) []outgoing {
	if m.Digest == s.digest {
		s.mismatchSince = time.Time{}
		s.noteComplete()
		return nil
	}
	if s.mismatchSince.IsZero() {
		s.mismatchSince = now
	}
	r, ok := s.records[m.From]
	if !ok || now.Sub(s.lastSync) < mismatchTimeout {
		return nil
	}
	if s.complete && now.Sub(s.mismatchSince) < mismatchTimeout {
		return nil
	}
	s.lastSync = now
	s.metrics.Counter("member_syncs").Inc(1)
	return []outgoing{{r.host, s.message(peerpb.MemberKind_SYNC, m.From)}}
}

// page returns the sync reply with the records that follow a name, in order of
// names.
func (s *Service) page(to, after string) *peerpb.Members {
	var names []string
	for name := range s.records {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	m := s.message(peerpb.MemberKind_SYNC_REPLY, to)
	m.More = len(names) > syncPageSize
	for _, name := range names[:min(syncPageSize, len(names))] {
		m.Updates = append(m.Updates, s.records[name].update())
		m.Target = name
	}
	return m
}
