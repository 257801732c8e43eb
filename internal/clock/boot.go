package clock

import (
	"context"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"golang.org/x/sys/unix"
)

// Boot returns a clock based on CLOCK_BOOTTIME: it advances while the machine is
// suspended and ignores changes of the time of day. Its readings agree with the
// time of day at the call of Boot. Its timers do not fire any earlier because of
// a suspension: code that waits must read the clock again.
func Boot() gypsumyard.Clock {
	c := boot{}
	if up, ok := timeSinceBoot(); ok {
		c.bootTime = time.Now().Round(0).Add(-up)
	}
	return c
}

type boot struct {
	// bootTime is the time at which the machine was started. Zero means that
	// the system has no such clock.
	bootTime time.Time
}

// timeSinceBoot returns the time since the start of the machine, including
// suspensions. It returns false if the system has no such clock.
func timeSinceBoot() (time.Duration, bool) {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0, false
	}
	return time.Duration(t.Nano()), true
}

// Now returns the current time. It has no monotonic clock reading, since that
// does not advance during a suspension.
func (b boot) Now() time.Time {
	if up, ok := timeSinceBoot(); ok && !b.bootTime.IsZero() {
		return b.bootTime.Add(up)
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
