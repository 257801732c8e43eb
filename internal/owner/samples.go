package owner

import (
	"slices"
	"sort"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

const (
	// sampleSpacing thins out the samples that are kept while the instances
	// are polled often.
	sampleSpacing = 20 * time.Millisecond
	// maxSamples keeps at least 80 s.
	maxSamples = 4096
)

// A sample indicates that position covers everything that was acknowledged before
// the time at.
type sample struct {
	at       time.Time
	position gypsumyard.Position
}

// samples are kept in the order of their times.
type samples struct {
	kept   []sample
	latest sample
}

func (s *samples) add(x sample) {
	if !x.at.After(s.latest.at) {
		return
	}
	s.latest = x
	if n := len(s.kept); n > 0 && x.at.Sub(s.kept[n-1].at) < sampleSpacing {
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

// lag returns by how much a replica with the status, read at the given time,
// trails the primary.
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

// forget drops samples that the log of a new primary does not hold: they
// belong to a fork that was cut off.
func (s *samples) forget(primary *gypsumyard.InstanceStatus) {
	lost := func(x sample) bool { return !primary.Contains(x.position) }
	s.kept = slices.DeleteFunc(s.kept, lost)
	if lost(s.latest) {
		s.latest = sample{}
	}
}
