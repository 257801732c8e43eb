package clock

import (
	"context"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"golang.org/x/sys/unix"
)

// Boot returns a clock that counts the time during which the machine was
// suspended and ignores changes of the time of day. Its readings agree with
// the time of day at the call of Boot. Timers do not fire early after a
// suspension: whoever waits must read the clock again.
func Boot() gypsumyard.Clock {
	c := boot{}
	if up, ok := uptime(); ok {
		c.start = time.Now().Round(0).Add(-up)
	}
	return c
}

type boot struct {
	// start is when the machine was started. Zero means that the system has
	// no such clock.
	start time.Time
}

// uptime returns the time since the start of the machine, suspensions
// included.
func uptime() (time.Duration, bool) {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0, false
	}
	return time.Duration(t.Nano()), true
}

// Now returns the current time. It has no monotonic reading, which would stand
// still during a suspension.
func (b boot) Now() time.Time {
	if up, ok := uptime(); ok && !b.start.IsZero() {
		return b.start.Add(up)
	}
	return time.Now()
}

func (b boot) Since(t time.Time) time.Duration { return b.Now().Sub(t) }

func (b boot) NewTimer(d time.Duration) gypsumyard.Timer {
	return systemTimer{time.NewTimer(d)}
}

func (b boot) Sleep(ctx context.Context, d time.Duration) error {
	return sleep(ctx, b.NewTimer(d))
}
