package route

import (
	"time"

	"github.com/gypsumyard/gypsumyard"
)

const (
	// leaveLag is the lag, or the time without progress, at which a replica
	// leaves the read set.
	leaveLag = 2 * time.Second
	// Hysteresis keeps a replica near the limit from leaving and returning all
	// the time: it returns once its lag was under returnLag for returnAfter.
	returnLag   = 500 * time.Millisecond
	returnAfter = 2 * time.Second
)

// A replica is what the Router remembers of an instance.
type replica struct {
	sampledAt time.Time
	estimate  estimator
	applied   gypsumyard.Position
	// movedAt is when the replica last advanced or had nothing to apply.
	movedAt time.Time
	out     bool
	// closeSince is since when a replica that is out has a small lag. Zero
	// means that it has not.
	closeSince time.Time
}

// observe takes over a sample that has not been seen before. It reports whether
// the replica left or returned.
func (s *replica) observe(v *gypsumyard.InstanceView, p *gypsumyard.InstanceView) (changed bool) {
	if !v.SampledAt.After(s.sampledAt) {
		return false
	}
	first := s.sampledAt.IsZero()
	s.sampledAt = v.SampledAt
	s.estimate.observe(v.Lag)
	behind := p != nil && v.Status.Applied.Compare(p.Status.Applied) < 0
	if first || !behind || v.Status.Applied != s.applied {
		s.movedAt = v.SampledAt
	}
	s.applied = v.Status.Applied
	stuck := v.SampledAt.Sub(s.movedAt) > leaveLag
	before := s.out
	if s.out {
		s.tryReturn(v, stuck)
	} else {
		s.out = stuck || v.Lag > leaveLag
		s.closeSince = time.Time{}
	}
	return s.out != before
}

func (s *replica) tryReturn(v *gypsumyard.InstanceView, stuck bool) {
	switch {
	case stuck || v.Lag >= returnLag:
		s.closeSince = time.Time{}
	case s.closeSince.IsZero():
		s.closeSince = v.SampledAt
	case v.SampledAt.Sub(s.closeSince) >= returnAfter:
		s.out = false
	}
}

// wait returns how long the replica probably needs until it holds the position.
func (s *replica) wait(v, p *gypsumyard.InstanceView, needed gypsumyard.Position, now time.Time) time.Duration {
	if v.Status.Contains(needed) {
		return 0
	}
	hold := s.estimate.hold()
	if p != nil && p.Status.Contains(needed) {
		// The record is at least as old as the sample of the primary.
		hold -= now.Sub(p.SampledAt)
	}
	return max(hold, minWait)
}

// minWait is the least expected wait at a replica that did not hold the
// position when it was sampled last.
const minWait = time.Millisecond
