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

// Guards against slopes that mix up sizes and repetitions, and against curves
// that are reported as lines.
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

// Guards against a stand-in whose status a host does not accept, so that an
// experiment would measure failed polls.
func TestStandInStatus(t *testing.T) {
	is := is.New(t)
	c, err := startCluster(1)
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

// Guards against owned databases of stand-ins that serve no reads.
func TestOwnedStandIn(t *testing.T) {
	is := is.New(t)
	c, err := startCluster(1)
	is.NoErr(err)
	defer c.close()
	scope, closer := hostMetrics()
	defer closer.Close()
	s, stop, err := startOwner(t.Context(), scope, c.databases)
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	is.NoErr(touchAll(ctx, s, c.databases))
	is.NoErr(stop())
}
