package gypsumyard

import (
	"context"
	"time"
)

// A Clock provides the current time, timers and sleeps. All code that depends
// on time takes a Clock, so that tests can use a fake one.
type Clock interface {
	// Now returns the current time with a monotonic reading.
	Now() time.Time
	// Since returns the time elapsed since t.
	Since(t time.Time) time.Duration
	// NewTimer returns a timer that fires once after d.
	NewTimer(d time.Duration) Timer
	// Sleep waits for d or until ctx is done, in which case it returns the
	// cause of ctx.
	Sleep(ctx context.Context, d time.Duration) error
}

// A Timer fires once.
type Timer interface {
	// C returns the channel on which the time is sent when the timer fires.
	C() <-chan time.Time
	// Stop prevents the timer from firing. It reports whether the call stopped
	// the timer.
	Stop() bool
	// Reset changes the timer to fire after d.
	Reset(d time.Duration) bool
}
