package slopes

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/gypsumyard/gypsumyard/internal/upstream"
	"github.com/matryer/is"
)

// Guards against a fit that confuses sizes and repetitions, and against curves
// that are reported as linear.
func TestFit(t *testing.T) {
	is := is.New(t)
	sizes := []int{10, 20, 40}
	l := fit(sizes, [][]float64{{25, 45, 85}, {15, 25, 45}})
	is.True(math.Abs(l.Slope-1.5) < 1e-9)
	is.True(math.Abs(l.Intercept-5) < 1e-9)
	is.True(math.Abs(l.Low-1) < 1e-9 && math.Abs(l.High-2) < 1e-9)
	is.True(l.Linear())
	is.True(!fit(sizes, [][]float64{{100, 400, 1600}}).Linear())
}

// Guards against a fake instance whose status a host rejects, so that an
// experiment would measure failed polls.
func TestStandInStatus(t *testing.T) {
	is := is.New(t)
	c, err := startFakeCluster(1)
	is.NoErr(err)
	defer c.close()
	d := c.databases[0]
	control := upstream.NewControl(clock.System(), d, d.Instances[0])
	defer control.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	s, err := control.Status(ctx)
	is.NoErr(err)
	is.True(s.Writable() && s.Applied == gypsumyard.Position{Term: 1, Offset: 4711})
	again, err := control.Status(ctx)
	is.NoErr(err)
	is.Equal(again, s)
}

// Guards against an owner that cannot serve reads from the fake instances.
func TestOwnedStandIn(t *testing.T) {
	is := is.New(t)
	c, err := startFakeCluster(1)
	is.NoErr(err)
	defer c.close()
	scope, closer := hostMetrics()
	defer closer.Close()
	s, stop, err := startOwner(t.Context(), scope, c.databases)
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	is.NoErr(readAll(ctx, s, c.databases))
	is.NoErr(stop())
}
