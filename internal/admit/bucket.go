package admit

import (
	"math"
	"time"
)

// A bucket is a token bucket whose tokens are slot seconds. The number of tokens
// may become negative, which is called debt.
type bucket struct {
	tokens float64
	// rate is in slot seconds per second.
	rate       float64
	depth      float64
	refilledAt time.Time
}

// burstPeriod is the time in which an empty bucket refills: the depth of a bucket
// is its rate over this time.
const burstPeriod = time.Second

// setRate changes the rate and the depth. A bucket that was full stays full.
func (b *bucket) setRate(now time.Time, rate float64) {
	b.refill(now)
	full := b.tokens >= b.depth
	b.rate = rate
	b.depth = rate * burstPeriod.Seconds()
	b.refilledAt = now
	if full || b.tokens > b.depth {
		b.tokens = b.depth
	}
}

func (b *bucket) refill(now time.Time) {
	if d := now.Sub(b.refilledAt); d > 0 {
		b.tokens = min(b.tokens+b.rate*d.Seconds(), b.depth)
		b.refilledAt = now
	}
}

// timeUntil returns the time until the bucket holds the given number of tokens,
// or forever if the bucket does not refill.
func (b *bucket) timeUntil(tokens float64) time.Duration {
	missing := tokens - b.tokens
	if missing <= 0 {
		return 0
	}
	if missing >= b.rate*forever.Seconds() {
		return forever
	}
	return seconds(missing / b.rate)
}

// forever represents an unlimited wait. It is small enough to be added to a time
// without overflow.
const forever = 1000 * time.Hour

func seconds(s float64) time.Duration {
	return time.Duration(math.Ceil(s * float64(time.Second)))
}
