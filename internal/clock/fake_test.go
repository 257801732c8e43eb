package clock_test

import (
	"context"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/matryer/is"
)

// Guards against timers that fire late, out of order or after Stop.
func TestFakeFiresInOrder(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	f := clock.NewFake(start)
	late, early, stopped := f.NewTimer(2*time.Second), f.NewTimer(time.Second), f.NewTimer(time.Second)
	is.True(stopped.Stop())
	f.Advance(3 * time.Second)
	is.Equal(<-early.C(), start.Add(time.Second))
	is.Equal(<-late.C(), start.Add(2*time.Second))
	is.Equal(len(stopped.C()), 0)
	is.Equal(f.Since(start), 3*time.Second)
}

// Guards against a sleep that does not end with its context.
func TestSleepEndsWithContext(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.Equal(clock.NewFake(time.Unix(0, 0)).Sleep(ctx, time.Hour), context.Canceled)
}
