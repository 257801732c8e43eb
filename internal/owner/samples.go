package owner

import (
	"slices"
	"sort"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

const (
	// minSampleInterval limits the number of kept samples while the instances
	// are polled often.
	minSampleInterval = 20 * time.Millisecond
	// maxSamples bounds the kept samples. They cover at least 80 s just before
	// the oldest quarter is dropped.
	maxSamples = 4096
)

// A sample indicates that position covers everything that was acknowledged
// before the time at.
type sample struct {
	at       time.Time
	position gypsumyard.Position
}

// samples holds samples in ascending order of their times.
type samples struct {
	kept   []sample
	latest sample
}

func (s *samples) add(x sample) {
	if !x.at.After(s.latest.at) {
		return
	}
	s.latest = x
	if n := len(s.kept); n > 0 && x.at.Sub(s.kept[n-1].at) < minSampleInterval {
		return
	}
	if len(s.kept) >= maxSamples {
		s.kept = slices.Delete(s.kept, 0, maxSamples/4)
	}
	s.kept = append(s.kept, x)
}

// first returns the first sample at or after t.
func (s *samples) first(t time.Time) (sample, bool) {
	i := sort.Search(len(s.kept), func(i int) bool { return !s.kept[i].at.Before(t) })
	if i < len(s.kept) {
		return s.kept[i], true
	}
	return s.latest, !s.latest.at.IsZero() && !s.latest.at.Before(t)
}

// lag returns by how much a replica trails the primary, given its status at
// the given time.
func (s *samples) lag(status gypsumyard.InstanceStatus, at time.Time) time.Duration {
	if s.latest.at.IsZero() || status.Contains(s.latest.position) {
		return 0
	}
	i := sort.Search(len(s.kept), func(i int) bool { return !status.Contains(s.kept[i].position) })
	missing := s.latest
	if i < len(s.kept) {
		missing = s.kept[i]
	}
	return max(0, at.Sub(missing.at))
}

// discardLost removes samples that the log of a new primary does not contain:
// they belong to a fork that was truncated.
func (s *samples) discardLost(primary *gypsumyard.InstanceStatus) {
	lost := func(x sample) bool { return !primary.Contains(x.position) }
	s.kept = slices.DeleteFunc(s.kept, lost)
	if lost(s.latest) {
		s.latest = sample{}
	}
}
