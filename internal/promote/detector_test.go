package promote

import (
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/matryer/is"
)

const poll = 50 * time.Millisecond

// deadAfter calls feed every 50 ms and returns the time at which the detector
// reports StateDead, or zero if it does not within 10 s.
func deadAfter(feed func(d *Detector, now time.Duration)) time.Duration {
	c := clock.NewFake(time.Unix(1000, 0))
	d := NewDetector(WithClock(c))
	for now := poll; now < 10*time.Second; now += poll {
		c.Advance(poll)
		feed(d, now)
		if s, _ := d.State(); s == StateDead {
			return now
		}
	}
	return 0
}

// Guards against needless replacement of a primary that is slow or reachable from
// some hosts only, and against one that is dead and is replaced too late.
func TestDetector(t *testing.T) {
	is := is.New(t)
	failed := func(d *Detector) { d.OpenConnPollFailed(); d.FreshConnPollFailed() }
	is.Equal(deadAfter(func(d *Detector, now time.Duration) { // dead; its replicas have lost it too
		failed(d)
		d.Witness("replica", now-20*time.Millisecond)
	}), 600*time.Millisecond)
	is.Equal(deadAfter(func(d *Detector, now time.Duration) { // its process has ended
		failed(d)
		d.SetConnectionRefused(true)
		d.Witness("replica", now-20*time.Millisecond)
	}), 250*time.Millisecond)
	is.Equal(deadAfter(func(d *Detector, now time.Duration) { // refuses connections from this host only
		failed(d)
		d.SetConnectionRefused(true)
		d.Witness("replica", poll)
	}), 3*time.Second)
	is.Equal(deadAfter(func(d *Detector, now time.Duration) { // unreachable from this host only
		failed(d)
		d.Witness("replica", poll)
	}), 3*time.Second)
	is.Equal(deadAfter(func(d *Detector, now time.Duration) { // heard for another second, then dead
		failed(d)
		d.Witness("peer", max(now-time.Second, 0))
	}), 1600*time.Millisecond)
	is.Equal(deadAfter(func(d *Detector, now time.Duration) { // answers, but a second late
		failed(d)
		d.Witness("replica", poll)
		if now >= time.Second {
			d.Answered()
		}
	}), time.Duration(0))
	is.Equal(deadAfter(func(d *Detector, now time.Duration) { // only the open connection fails
		d.OpenConnPollFailed()
	}), time.Duration(0))
	c := clock.NewFake(time.Unix(1000, 0))
	idle := NewDetector(WithClock(c))
	for range 20 { // polled every 200 ms, always answers
		c.Advance(190 * time.Millisecond)
		s, _ := idle.State()
		is.Equal(s, StateHealthy)
		c.Advance(10 * time.Millisecond)
		idle.Answered()
	}
	is.Equal(deadAfter(func(d *Detector, now time.Duration) { // this host was paused for 2 s
		if now < 2*time.Second {
			return
		}
		failed(d)
		if now > 2200*time.Millisecond {
			d.Answered()
		}
	}), time.Duration(0))
}
