package clock

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// A Fake is a clock that advances only when Advance is called.
type Fake struct {
	mu     sync.Mutex
	now    time.Time
	timers []*fakeTimer
}

// NewFake returns a fake clock that is set to the given time.
func NewFake(now time.Time) *Fake { return &Fake{now: now} }

// Now returns the current time of the clock.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Since returns the time elapsed since t.
func (f *Fake) Since(t time.Time) time.Duration { return f.Now().Sub(t) }

// NewTimer returns a timer that fires when the clock has advanced by d.
func (f *Fake) NewTimer(d time.Duration) gypsumyard.Timer {
	t := &fakeTimer{clock: f, fire: make(chan time.Time, 1)}
	t.Reset(d)
	return t
}

// Sleep waits until the clock has advanced by d or ctx is done.
func (f *Fake) Sleep(ctx context.Context, d time.Duration) error {
	return sleep(ctx, f.NewTimer(d))
}

// Advance advances the clock by d and fires the timers that become due, in the
// order of their times.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	end := f.now.Add(d)
	for {
		t := f.nextDue(end)
		if t == nil {
			break
		}
		f.now = t.at
		f.remove(t)
		t.fire <- t.at
	}
	f.now = end
}

// Timers returns the number of pending timers. Tests use it to wait until the
// code under test sleeps.
func (f *Fake) Timers() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.timers)
}

// nextDue returns the earliest pending timer that is due by end, or nil.
func (f *Fake) nextDue(end time.Time) *fakeTimer {
	var first *fakeTimer
	for _, t := range f.timers {
		if t.at.After(end) {
			continue
		}
		if first == nil || t.at.Before(first.at) {
			first = t
		}
	}
	return first
}

// remove removes a pending timer and reports whether it was pending.
func (f *Fake) remove(t *fakeTimer) bool {
	i := slices.Index(f.timers, t)
	if i < 0 {
		return false
	}
	f.timers = slices.Delete(f.timers, i, i+1)
	return true
}

type fakeTimer struct {
	clock *Fake
	fire  chan time.Time
	at    time.Time
}

func (t *fakeTimer) C() <-chan time.Time { return t.fire }

func (t *fakeTimer) Stop() bool {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	return t.clock.remove(t)
}

func (t *fakeTimer) Reset(d time.Duration) bool {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	active := t.clock.remove(t)
	select {
	case <-t.fire:
	default:
	}
	t.at = t.clock.now.Add(d)
	if d <= 0 {
		t.fire <- t.at
		return active
	}
	t.clock.timers = append(t.clock.timers, t)
	return active
}
