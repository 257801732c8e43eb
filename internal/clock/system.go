package clock

import (
	"context"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// System returns the clock of the operating system.
func System() gypsumyard.Clock { return system{} }

type system struct{}

func (system) Now() time.Time                  { return time.Now() }
func (system) Since(t time.Time) time.Duration { return time.Since(t) }

func (system) NewTimer(d time.Duration) gypsumyard.Timer {
	return systemTimer{time.NewTimer(d)}
}

func (s system) Sleep(ctx context.Context, d time.Duration) error {
	return sleep(ctx, s.NewTimer(d))
}

type systemTimer struct{ *time.Timer }

func (t systemTimer) C() <-chan time.Time { return t.Timer.C }

// sleep waits until the timer fires or ctx is done.
func sleep(ctx context.Context, t gypsumyard.Timer) error {
	defer t.Stop()
	select {
	case <-t.C():
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
