package catalog

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/sirupsen/logrus"
)

const (
	// proofWatchDivisor, proofLateDivisor and proofPullFraction divide the time within
	// which a withdrawn key must not be accepted. Watchers renew their watch after a
	// fifth of it. A host pulls once its proof is older than three tenths, and reads
	// the store itself after a half. A host that is cut off then has a proof that is
	// good for another six tenths.
	proofWatchDivisor = 5
	proofLateDivisor  = 2
	proofPullFraction = 0.3
	// answerMargin is how long before its deadline the platform's client ends a watch,
	// and proofWatchMinDivisor gives the shortest wait of one: without it a watch of a
	// short timeout would be answered at once and made again without pause.
	answerMargin         = 300 * time.Millisecond
	proofWatchMinDivisor = 10
)

// A proof records since when the copy of the desired state is proven, which is when the
// read of the store that confirmed the copy was sent. It never goes back, as the copy
// does not. A proof from before a restore of the store stays good until it is too old:
// its read was answered before the restore, so it was sent before each write of the new
// era. Only reads of the desired state renew it, after a peerCheck in each era.
type proof struct{ at atomic.Pointer[time.Time] }

// A peerCheck tells whether a peer has answered since this host first read the desired
// state in an era. A restored store may show an older state than peers have, which a host
// that has just started, or was cut off, does not know.
type peerCheck struct {
	mu    sync.Mutex
	known bool
	era   gypsumyard.Era
	since time.Time
	heard bool
}

// begin notes a read of the desired state in the era. The caller must hold p.mu.
func (p *peerCheck) begin(e gypsumyard.Era, now time.Time) {
	if !p.known || e > p.era {
		p.known, p.era, p.since, p.heard = true, e, now, false
	}
}

// noteAnswer notes that a peer which has read the desired state in the era has answered.
func (p *peerCheck) noteAnswer(e gypsumyard.Era, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.begin(e, now)
	p.heard = p.heard || e == p.era
}

// passed reports whether reads in the era prove the copy: a peer has answered, or there
// was time enough for an answer.
func (p *peerCheck) passed(e gypsumyard.Era, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.begin(e, now)
	return p.heard || now.Sub(p.since) >= firstPullTimeout
}

// record records that the copy is proven since the given time.
func (p *proof) record(at time.Time) {
	for {
		old := p.at.Load()
		if old != nil && !at.After(*old) {
			return
		}
		if p.at.CompareAndSwap(old, &at) {
			return
		}
	}
}

// get returns since when the copy is proven, or zero.
func (p *proof) get() (at time.Time) {
	if t := p.at.Load(); t != nil {
		at = *t
	}
	return at
}

// ProvenAt returns since when the copy of the desired state is proven, or zero.
func (s *Service) ProvenAt() time.Time { return s.proof.get() }

// KeysProven reports whether the keys of the desired state may be relied on: either
// the proof of the desired state is young enough, or it does not matter.
func (s *Service) KeysProven() bool {
	age, ok := s.proofAge()
	return !s.isStrict() || ok && age <= s.revokeTimeout
}

// logProof logs when the keys can no longer be relied on, or can be again.
func (s *Service) logProof() {
	unproven := !s.KeysProven()
	if unproven == s.unproven {
		return
	}
	s.unproven = unproven
	if !unproven {
		s.log.Info("keys are proven again")
		return
	}
	age, known := s.proofAge()
	s.log.WithFields(logrus.Fields{"proof-age": age.String(), "known": known, "limit": s.revokeTimeout.String()}).
		Warn("keys are not proven, sessions with keys are refused")
}

// withdrawnKeys returns how many keys of the old desired state, which may be nil, the new
// one does not have, or has for another customer.
func withdrawnKeys(old, d *gypsumyard.DesiredState) (n int) {
	if old == nil {
		return 0
	}
	for key, customer := range old.Keys {
		if d.Keys[key] != customer {
			n++
		}
	}
	return n
}

// isStrict reports whether the age of the proof matters: withdrawn keys must not be
// accepted after a time, and there are keys.
func (s *Service) isStrict() bool {
	if s.revokeTimeout <= 0 {
		return false
	}
	d := s.Desired()
	return d != nil && d.Keyed
}

// noteConfirmed records that a read of the store that was sent at the given time has
// confirmed the copies of a prefix. It is called when the objects of its answer are
// applied.
func (s *Service) noteConfirmed(prefix string, sent time.Time) {
	if s.revokeTimeout <= 0 || prefix != s.names.desiredPrefix() {
		return
	}
	if s.peerCheck.passed(s.completeVersion(prefix).Era(), s.clock.Now()) {
		s.proof.record(sent)
	}
}

// notePeerProof records the proof that a peer has stated in answer to a question that
// was sent at the given time. It is called when the peer's objects are applied. A peer
// that lacks the store or its latest restore may not have sent all that it knows.
func (s *Service) notePeerProof(sent time.Time, u gypsumyard.ObjectUpdate) {
	if s.revokeTimeout <= 0 || s.peerValidity(u) == 0 {
		return
	}
	s.peerCheck.noteAnswer(u.Complete.Era(), s.clock.Now())
	if u.Proven {
		s.proof.record(sent.Add(-u.ProofAge))
	}
}

// proofAge returns the age of the proof. It returns false if there is none.
func (s *Service) proofAge() (age time.Duration, ok bool) {
	at := s.proof.get()
	if at.IsZero() {
		return 0, false
	}
	return s.clock.Since(at), true
}

// statedProofAge returns the age of the proof to state to a peer. Hosts that have no use
// for it state none.
func (s *Service) statedProofAge() (age time.Duration, ok bool) {
	if !s.isStrict() {
		return 0, false
	}
	return s.proofAge()
}

// proofIsLate reports whether this host must read the store itself to renew its proof.
func (s *Service) proofIsLate() bool {
	if !s.isStrict() {
		return false
	}
	age, ok := s.proofAge()
	return !ok || age > s.revokeTimeout/proofLateDivisor
}

// untilProofPull returns how long the proof is young enough to need no pull. It returns
// false if the age of the proof does not matter.
func (s *Service) untilProofPull() (left time.Duration, ok bool) {
	if !s.isStrict() {
		return 0, false
	}
	age, ok := s.proofAge()
	if !ok {
		return 0, true
	}
	return time.Duration(proofPullFraction*float64(s.revokeTimeout)) - age, true
}

// strictWatchTimeout returns the bound on a watch of the desired state, which is
// shorter if the age of the proof matters.
func (s *Service) strictWatchTimeout() time.Duration {
	if !s.isStrict() {
		return s.cadence.watchTimeout
	}
	shortest := s.revokeTimeout/proofWatchMinDivisor + answerMargin
	return min(s.cadence.watchTimeout, max(s.revokeTimeout/proofWatchDivisor, shortest))
}
