package platform

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// The waits of a Backoff.
const (
	MinBackoff = 100 * time.Millisecond
	MaxBackoff = 10 * time.Second
)

// A Backoff spaces out the repetitions of a call that fails. The waits double
// from MinBackoff to MaxBackoff, with jitter, so that hosts that failed
// together do not return together. It is used by one goroutine.
type Backoff struct {
	clock gypsumyard.Clock
	limit time.Duration
}

// NewBackoff returns a Backoff that has seen no failure.
func NewBackoff(clock gypsumyard.Clock) *Backoff { return &Backoff{clock: clock} }

// Next returns how long to wait after one more failure: at random between half
// of the present limit and the limit, which starts at twice MinBackoff.
func (b *Backoff) Next() time.Duration {
	b.limit = min(max(2*b.limit, 2*MinBackoff), MaxBackoff)
	return b.limit/2 + rand.N(b.limit/2)
}

// Wait sleeps for Next or until ctx is done, in which case it returns the
// cause of ctx.
func (b *Backoff) Wait(ctx context.Context) error { return b.clock.Sleep(ctx, b.Next()) }

// Reset tells of a success: the next wait is short again.
func (b *Backoff) Reset() { b.limit = 0 }
