package admit

import (
	"math"
	"time"
)

// A bucket holds slot seconds. It refills at a rate and may run into debt.
type bucket struct {
	tokens float64
	// rate is in slot seconds per second.
	rate  float64
	depth float64
	at    time.Time
}

// burst is how much time's worth of its rate a bucket holds.
const burst = time.Second

// setRate changes the rate. A bucket that was full stays full.
func (b *bucket) setRate(now time.Time, rate float64) {
	b.refill(now)
	full := b.tokens >= b.depth
	b.rate = rate
	b.depth = rate * burst.Seconds()
	b.at = now
	if full || b.tokens > b.depth {
		b.tokens = b.depth
	}
}

func (b *bucket) refill(now time.Time) {
	if d := now.Sub(b.at); d > 0 {
		b.tokens = min(b.tokens+b.rate*d.Seconds(), b.depth)
		b.at = now
	}
}

// until returns how long it takes until the bucket holds the tokens. It is
// forever if the bucket does not refill.
func (b *bucket) until(tokens float64) time.Duration {
	missing := tokens - b.tokens
	if missing <= 0 {
		return 0
	}
	if missing >= b.rate*forever.Seconds() {
		return forever
	}
	return seconds(missing / b.rate)
}

// forever stands for a wait that has no end. It can be added to a time.
const forever = 1000 * time.Hour

func seconds(s float64) time.Duration {
	return time.Duration(math.Ceil(s * float64(time.Second)))
}
