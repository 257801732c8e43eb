package owner

import (
	"sync"
	"time"
)

const (
	// longFactor and longAtLeast tell a long statement from others.
	longFactor  = 10
	longAtLeast = 50 * time.Millisecond
	// maxShapes bounds the memory for statistics.
	maxShapes = 4096
	// shapeWeight is the weight of a new run in a shape's mean.
	shapeWeight = 0.1
	// medianStep moves the estimate of the median with each run.
	medianStep = 0.02
	// learnedAfter is how many runs make a mean meaningful.
	learnedAfter = 3
	// minSilence and maxSilence limit how long a running statement may send
	// nothing; silenceFactor relates it to the mean run time.
	minSilence    = 2 * time.Second
	maxSilence    = 60 * time.Second
	unknownSilent = 30 * time.Second
	silenceFactor = 20
)

// shapes learns the run times of statements.
type shapes struct {
	mu     sync.Mutex
	stats  map[uint64]*shapeStat
	median time.Duration
}

type shapeStat struct {
	runs int
	mean time.Duration
}

// learn takes over one run time.
func (s *shapes) learn(shape uint64, used time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.median == 0:
		s.median = used
	case used > s.median:
		s.median += time.Duration(medianStep * float64(s.median))
	default:
		s.median -= time.Duration(medianStep * float64(s.median))
	}
	if shape == 0 {
		return
	}
	if s.stats == nil || len(s.stats) >= maxShapes {
		s.stats = map[uint64]*shapeStat{}
	}
	t := s.stats[shape]
	if t == nil {
		t = &shapeStat{mean: used}
		s.stats[shape] = t
	}
	t.runs++
	t.mean += time.Duration(shapeWeight * float64(used-t.mean))
}

// expect returns the expected run time of a shape, whether it counts as long,
// and how long a running statement of it may be silent.
func (s *shapes) expect(shape uint64) (mean time.Duration, long bool, silence time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.stats[shape]
	if t == nil || t.runs < learnedAfter {
		return 0, false, unknownSilent
	}
	long = t.mean > longFactor*s.median && t.mean > longAtLeast
	return t.mean, long, min(max(silenceFactor*t.mean, minSilence), maxSilence)
}
