package admit

import (
	"container/list"
	"math"
	"sync"
	"time"
)

// A statement shape is long if its smoothed run time exceeds both longFloor and
// longFactor times the median run time of its database.
const (
	longFactor = 10
	longFloor  = 50 * time.Millisecond
)

const (
	// maxShapes bounds the memory of a RunTimeEstimator to about 400 KB.
	maxShapes = 4096
	// decayRuns is the number of counted runs at which the counts of the median
	// are halved, so that the median follows the load.
	decayRuns = 10_000
	// bucketsPerOctave is the number of histogram buckets for run times in each
	// power of two.
	bucketsPerOctave = 4
)

// A RunTimeEstimator keeps the smoothed run time of each statement shape of one
// database, and the median of all run times. A shape is the fingerprint of a
// statement without its literals. Only the shapes seen most recently are kept.
type RunTimeEstimator struct {
	mu     sync.Mutex
	shapes map[uint64]*list.Element
	recent *list.List // of *shape, most recent first
	// counts is a histogram of run times with logarithmic buckets, total the sum
	// of the counts.
	counts [bucketsPerOctave * 48]uint32
	total  uint32
}

type shape struct {
	id   uint64
	mean float64
	runs int
}

// NewRunTimeEstimator returns an empty RunTimeEstimator.
func NewRunTimeEstimator() *RunTimeEstimator {
	return &RunTimeEstimator{shapes: map[uint64]*list.Element{}, recent: list.New()}
}

// Observe records the run time of a statement with the shape id. An id of zero
// means an unknown shape, which counts for the median only.
func (r *RunTimeEstimator) Observe(id uint64, used time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count(used)
	if id == 0 {
		return
	}
	e, ok := r.shapes[id]
	if !ok {
		r.evictOldest()
		r.shapes[id] = r.recent.PushFront(&shape{id: id, mean: used.Seconds(), runs: 1})
		return
	}
	r.recent.MoveToFront(e)
	s := e.Value.(*shape)
	s.runs++
	// The mean of the first 10 runs is exact; later runs have a fixed weight.
	s.mean += max(1/float64(s.runs), 0.1) * (used.Seconds() - s.mean)
}

func (r *RunTimeEstimator) evictOldest() {
	if len(r.shapes) < maxShapes {
		return
	}
	oldest := r.recent.Back()
	r.recent.Remove(oldest)
	delete(r.shapes, oldest.Value.(*shape).id)
}

func (r *RunTimeEstimator) count(used time.Duration) {
	b := 0
	if used > time.Microsecond {
		b = int(math.Log2(used.Seconds()*1e6) * bucketsPerOctave)
	}
	r.counts[min(b, len(r.counts)-1)]++
	if r.total++; r.total < decayRuns {
		return
	}
	r.total = 0
	for i := range r.counts {
		r.counts[i] /= 2
		r.total += r.counts[i]
	}
}

// Expected returns the expected run time of the shape and whether it is long.
// Both are zero for a shape that has not been seen.
func (r *RunTimeEstimator) Expected(id uint64) (run time.Duration, long bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.shapes[id]
	if !ok {
		return 0, false
	}
	run = seconds(e.Value.(*shape).mean)
	return run, run > longFloor && run > longFactor*r.median()
}

// Median returns the median run time, rounded down to the lower bound of its
// histogram bucket.
func (r *RunTimeEstimator) Median() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.median()
}

func (r *RunTimeEstimator) median() time.Duration {
	var sum uint32
	for b, n := range r.counts {
		sum += n
		if sum > r.total/2 {
			return time.Duration(math.Exp2(float64(b)/bucketsPerOctave) * float64(time.Microsecond))
		}
	}
	return 0
}
