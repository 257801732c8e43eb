package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/peer/peerpb"
)

const (
	// indirectProbers is the number of hosts that are asked to probe a suspect.
	indirectProbers = 2
	// indirectProbeTimeout is how long a host that was asked to probe a target
	// waits for the target's answer.
	indirectProbeTimeout = 250 * time.Millisecond
	// maxProbeRequests bounds the pending probe requests for one target.
	maxProbeRequests = 16
	// indirectGrace is the time after a host was reached indirectly during which
	// further missed heartbeats lead to probes only, without gossiping a
	// suspicion. Otherwise a broken path between two hosts would spread a
	// suspicion and a refutation each second.
	indirectGrace = 30 * time.Second
)

// A probeRequest is a pending request of another host to probe a target.
type probeRequest struct {
	requester string
	until     time.Time
}

// detectFailures suspects the targets that have been silent for too long and
// declares the suspects dead whose suspicion was not refuted in time. It also
// invalidates the view when the passage of time alone changes who is eligible.
func (s *Service) detectFailures(now time.Time) (out []outgoing) {
	for _, r := range s.targets {
		if !r.gone() && r.probeStarted.IsZero() && now.Sub(r.lastHeard) > suspectAfter {
			out = append(out, s.suspect(r, now)...)
		}
	}
	for name, r := range s.probing {
		switch {
		case r.gone() || r.probeStarted.IsZero():
			delete(s.probing, name)
		case now.Sub(r.probeStarted) > confirmTimeout:
			delete(s.probing, name)
			s.declare(r, peerpb.MemberState_DEAD)
		}
	}
	for _, r := range s.records {
		if age := now.Sub(r.rejoinedAt); age > rejoinDelay && age <= rejoinDelay+2*heartbeatInterval {
			s.invalidate() // The rejoined host is eligible again.
			break
		}
	}
	for _, r := range s.suspects {
		switch age := now.Sub(r.stateSince); {
		case age > suspicionTimeout:
			s.declare(r, peerpb.MemberState_DEAD)
		case age > confirmTimeout && age <= confirmTimeout+2*heartbeatInterval:
			s.invalidate() // The suspect is no longer eligible.
		}
	}
	return out
}

// suspect starts an indirect probe: it asks other hosts to reach the target. It
// gossips a suspicion unless the target was reached indirectly a short while ago.
func (s *Service) suspect(r *record, now time.Time) (out []outgoing) {
	r.probeStarted = now
	s.probing[r.host.Name] = r
	if now.Sub(r.lastIndirect) > indirectGrace {
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
		if asked++; asked == indirectProbers {
			break
		}
	}
	return out
}

// declare merges a state that overrides the host's current one within its
// incarnation.
func (s *Service) declare(r *record, state peerpb.MemberState) {
	u := r.update()
	u.State = state
	s.metrics.Tagged(map[string]string{"state": state.String()}).Counter("member_declared").Inc(1)
	s.merge(u)
}

// handleProbe sends a heartbeat to the target of a probe on behalf of the sender.
func (s *Service) handleProbe(m *peerpb.Members, now time.Time) []outgoing {
	r, ok := s.records[m.Target]
	if !ok || r == s.self {
		return nil
	}
	waiting := slices.DeleteFunc(s.probeRequests[m.Target], func(w probeRequest) bool { return now.After(w.until) })
	s.probeRequests[m.Target] = waiting
	if len(waiting) >= maxProbeRequests {
		return nil
	}
	s.probeRequests[m.Target] = append(waiting, probeRequest{m.From, now.Add(indirectProbeTimeout)})
	return []outgoing{s.heartbeat(r.host)}
}

// acknowledgeProbes tells the hosts that requested a probe of the target that it
// has answered.
func (s *Service) acknowledgeProbes(target string, now time.Time) (out []outgoing) {
	waiting := s.probeRequests[target]
	delete(s.probeRequests, target)
	for _, w := range waiting {
		r, ok := s.records[w.requester]
		if !ok || now.After(w.until) {
			continue
		}
		m := s.message(peerpb.MemberKind_PROBE_ACK, w.requester)
		m.Target = target
		if t, ok := s.records[target]; ok {
			m.Updates = append(m.Updates, t.update())
		}
		out = append(out, outgoing{r.host, m})
	}
	return out
}

// noteIndirectContact records that another host reached the target.
func (s *Service) noteIndirectContact(target string, now time.Time) {
	r, ok := s.records[target]
	if !ok || r.gone() {
		return
	}
	r.lastHeard = now
	r.lastIndirect = now
	r.probeStarted = time.Time{}
}
