package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/peer/peerpb"
)

const (
	// helpers is how many hosts are asked to reach a suspect.
	helpers = 2
	// helpTimeout is how long a helper waits for the suspect's answer.
	helpTimeout = 250 * time.Millisecond
	// maxHelped bounds the hosts that wait for one probe of this host.
	maxHelped = 16
	// indirectFor is how long a host that was reached only through others is
	// probed again before it is suspected openly. Otherwise a broken path
	// between two hosts would spread a suspicion and a refutation each second.
	indirectFor = 30 * time.Second
)

// A helped host waits for this one to reach a suspect.
type helped struct {
	name  string
	until time.Time
}

// judge suspects the targets that have been silent for too long and ends the
// suspicions that nobody refuted.
func (s *Service) judge(now time.Time) (out []outgoing) {
	for _, r := range s.targets {
		if !r.gone() && r.probed.IsZero() && now.Sub(r.heard) > suspectAfter {
			out = append(out, s.suspect(r, now)...)
		}
	}
	for name, r := range s.probing {
		switch {
		case r.gone() || r.probed.IsZero():
			delete(s.probing, name)
		case now.Sub(r.probed) > confirmAfter:
			delete(s.probing, name)
			s.declare(r, peerpb.MemberState_DEAD)
		}
	}
	for _, r := range s.records {
		if age := now.Sub(r.returned); age > returnAfter && age <= returnAfter+2*heartbeatInterval {
			s.invalidate() // The host is eligible again.
			break
		}
	}
	for _, r := range s.suspects {
		switch age := now.Sub(r.changed); {
		case age > giveUpAfter:
			s.declare(r, peerpb.MemberState_DEAD)
		case age > confirmAfter && age <= confirmAfter+2*heartbeatInterval:
			s.invalidate() // The suspect is no longer eligible.
		}
	}
	return out
}

// suspect asks other hosts to reach the target.
func (s *Service) suspect(r *record, now time.Time) (out []outgoing) {
	r.probed = now
	s.probing[r.host.Name] = r
	if now.Sub(r.indirect) > indirectFor {
		s.declare(r, peerpb.MemberState_SUSPECT)
	}
	asked := 0
	for _, i := range rand.Perm(len(s.ring)) {
		h := s.ring[i]
		if h == r || h == s.self || h.gone() || h.state == peerpb.MemberState_SUSPECT {
			continue
		}
		m := s.message(peerpb.MemberKind_PROBE, h.host.Name)
		m.Target = r.host.Name
		if r.state != peerpb.MemberState_LIVE {
			m.Updates = append(m.Updates, r.update())
		}
		out = append(out, outgoing{h.host, m})
		if asked++; asked == helpers {
			break
		}
	}
	return out
}

// declare gives the host a worse state within its incarnation.
func (s *Service) declare(r *record, state peerpb.MemberState) {
	u := r.update()
	u.State = state
	s.metrics.Tagged(map[string]string{"state": state.String()}).Counter("member_declared").Inc(1)
	s.merge(u)
}

// help sends a heartbeat to the target of a probe.
func (s *Service) help(m *peerpb.Members, now time.Time) []outgoing {
	r, ok := s.records[m.Target]
	if !ok || r == s.self {
		return nil
	}
	waiting := slices.DeleteFunc(s.helping[m.Target], func(w helped) bool { return now.After(w.until) })
	s.helping[m.Target] = waiting
	if len(waiting) >= maxHelped {
		return nil
	}
	s.helping[m.Target] = append(waiting, helped{m.From, now.Add(helpTimeout)})
	return []outgoing{s.heartbeat(r.host)}
}

// answerHelped tells those who asked for a probe that the target answered.
func (s *Service) answerHelped(target string, now time.Time) (out []outgoing) {
	waiting := s.helping[target]
	delete(s.helping, target)
	for _, w := range waiting {
		r, ok := s.records[w.name]
		if !ok || now.After(w.until) {
			continue
		}
		m := s.message(peerpb.MemberKind_PROBE_ACK, w.name)
		m.Target = target
		if t, ok := s.records[target]; ok {
			m.Updates = append(m.Updates, t.update())
		}
		out = append(out, outgoing{r.host, m})
	}
	return out
}

// noteIndirect notes that another host reached the target.
func (s *Service) noteIndirect(target string, now time.Time) {
	r, ok := s.records[target]
	if !ok || r.gone() {
		return
	}
	r.heard = now
	r.indirect = now
	r.probed = time.Time{}
}
