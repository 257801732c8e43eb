package admit

import (
	"container/list"
	"math"
	"sync"
	"time"
)

// A request is long if its run time is over longFactor times the median of its
// database and over longFloor.
const (
	longFactor = 10
	longFloor  = 50 * time.Millisecond
)

const (
	// maxShapes bounds the memory of a RunTimeEstimator to about 400 KB.
	maxShapes = 4096
	// decayAfter is after how many runs the counts of the median are halved,
	// so that the median follows the load.
	decayAfter = 10_000
	// perOctave is how many classes of run times the median tells apart in
	// each power of two.
	perOctave = 4
)

// A RunTimeEstimator keeps the smoothed run time of each statement shape of one
// database, and the median of all run times. It remembers the shapes seen most
// recently.
type RunTimeEstimator struct {
	mu     sync.Mutex
	shapes map[uint64]*list.Element
	recent *list.List // of *shape, the latest first
	counts [perOctave * 48]uint32
	total  uint32
}

type shape struct {
	id   uint64
	mean float64
	runs int
}

// NewRunTimeEstimator returns a RunTimeEstimator that knows no shapes.
func NewRunTimeEstimator() *RunTimeEstimator {
	return &RunTimeEstimator{shapes: map[uint64]*list.Element{}, recent: list.New()}
}

// Observe records that a statement of the shape ran for the time. Shape zero
// is unknown and counts for the median only.
func (l *RunTimeEstimator) Observe(id uint64, used time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count(used)
	if id == 0 {
		return
	}
	e, ok := l.shapes[id]
	if !ok {
		l.forgetOldest()
		l.shapes[id] = l.recent.PushFront(&shape{id: id, mean: used.Seconds(), runs: 1})
		return
	}
	l.recent.MoveToFront(e)
	s := e.Value.(*shape)
	s.runs++
	// The first runs count fully, later ones with a fixed weight.
	s.mean += max(1/float64(s.runs), 0.1) * (used.Seconds() - s.mean)
}

func (l *RunTimeEstimator) forgetOldest() {
	if len(l.shapes) < maxShapes {
		return
	}
	oldest := l.recent.Back()
	l.recent.Remove(oldest)
	delete(l.shapes, oldest.Value.(*shape).id)
}

func (l *RunTimeEstimator) count(used time.Duration) {
	c := 0
	if used > time.Microsecond {
		c = int(math.Log2(used.Seconds()*1e6) * perOctave)
	}
	l.counts[min(c, len(l.counts)-1)]++
	if l.total++; l.total < decayAfter {
		return
	}
	l.total = 0
	for i := range l.counts {
		l.counts[i] /= 2
		l.total += l.counts[i]
	}
}

// Expected returns the expected run time of the shape and whether it is long.
// Both are zero for a shape that has not been seen.
func (l *RunTimeEstimator) Expected(id uint64) (run time.Duration, long bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.shapes[id]
	if !ok {
		return 0, false
	}
	run = seconds(e.Value.(*shape).mean)
	return run, run > longFloor && run > longFactor*l.median()
}

// Median returns the median run time, rounded down to its class.
func (l *RunTimeEstimator) Median() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.median()
}

func (l *RunTimeEstimator) median() time.Duration {
	var sum uint32
	for c, n := range l.counts {
		sum += n
		if sum > l.total/2 {
			return time.Duration(math.Exp2(float64(c)/perOctave) * float64(time.Microsecond))
		}
	}
	return 0
}
