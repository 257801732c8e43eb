package route

import (
	"math"
	"slices"
	"time"
)

// A delayEstimator estimates the replication delay of one replica from its recent
// delays: the time after which the replica has most probably applied a record
// that the primary has just written.
type delayEstimator interface {
	observe(delay time.Duration)
	estimate() time.Duration
}

// fixedDelay is an estimate that does not depend on the observed delays.
type fixedDelay time.Duration

func (f fixedDelay) observe(time.Duration) {}

func (f fixedDelay) estimate() time.Duration { return time.Duration(f) }

// windowSize is the number of recent delays that an estimator uses. At 20 polls
// per second they span about 3 s, so that the estimate soon follows a change of a
// replica's speed.
const windowSize = 64

// initialDelay is the estimate before the first delay is observed. It is longer
// than a detour to the primary.
const initialDelay = 50 * time.Millisecond

// chebyshev estimates a bound of the delay from the mean and the variance, which
// are exponentially smoothed over about windowSize delays.
type chebyshev struct {
	k        float64
	mean     float64
	variance float64
	known    bool
}

func (c *chebyshev) observe(delay time.Duration) {
	x := delay.Seconds()
	if !c.known {
		c.mean, c.known = x, true
		return
	}
	const weight = 2.0 / (windowSize + 1)
	d := x - c.mean
	c.mean += weight * d
	c.variance = (1 - weight) * (c.variance + weight*d*d)
}

func (c *chebyshev) estimate() time.Duration {
	if !c.known {
		return initialDelay
	}
	return time.Duration((c.mean + c.k*math.Sqrt(c.variance)) * float64(time.Second))
}

// quantile estimates the delay as the empirical quantile of the last windowSize
// delays.
type quantile struct {
	q      float64
	recent [windowSize]time.Duration
	count  int
	// value is the estimate. It is computed on each observation because
	// observations are rarer than reads.
	value time.Duration
}

func (e *quantile) observe(delay time.Duration) {
	e.recent[e.count%windowSize] = delay
	e.count++
	n := min(e.count, windowSize)
	sorted := e.recent
	slices.Sort(sorted[:n])
	e.value = sorted[min(int(math.Ceil(e.q*float64(n))), n)-1]
}

func (e *quantile) estimate() time.Duration {
	if e.count == 0 {
		return initialDelay
	}
	return e.value
}
