package route

import (
	"math"
	"slices"
	"time"
)

// An estimator derives the hold time of one replica from its recent delays: the
// time after which the replica has most probably applied a record that the
// primary has just written.
type estimator interface {
	observe(delay time.Duration)
	hold() time.Duration
}

// fixed is a hold time that does not depend on the delays.
type fixed time.Duration

func (f fixed) observe(time.Duration) {}

func (f fixed) hold() time.Duration { return time.Duration(f) }

// window is how many delays an estimator looks back. At 20 polls a second it
// spans about 3 s, so that a change of a replica's speed shows in time.
const window = 64

// unknownHold is the hold time before the first delay is known: longer than a
// detour to the primary.
const unknownHold = 50 * time.Millisecond

// chebyshev bounds the delay by its mean and variance, smoothed over about the
// window.
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
	const weight = 2.0 / (window + 1)
	d := x - c.mean
	c.mean += weight * d
	c.variance = (1 - weight) * (c.variance + weight*d*d)
}

func (c *chebyshev) hold() time.Duration {
	if !c.known {
		return unknownHold
	}
	return time.Duration((c.mean + c.k*math.Sqrt(c.variance)) * float64(time.Second))
}

// quantile is the empirical quantile of the last delays.
type quantile struct {
	q      float64
	recent [window]time.Duration
	count  int
	// value is computed once for each observation, which is rarer than reads.
	value time.Duration
}

func (e *quantile) observe(delay time.Duration) {
	e.recent[e.count%window] = delay
	e.count++
	n := min(e.count, window)
	sorted := e.recent
	slices.Sort(sorted[:n])
	e.value = sorted[min(int(math.Ceil(e.q*float64(n))), n)-1]
}

func (e *quantile) hold() time.Duration {
	if e.count == 0 {
		return unknownHold
	}
	return e.value
}
