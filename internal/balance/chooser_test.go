package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/matryer/is"
)

var names = []string{"a", "b", "c"}

func newChooser(options ...Option) (*Chooser, *clock.Fake) {
	f := clock.NewFake(time.Unix(1000, 0))
	r := rand.New(rand.NewPCG(1, 2))
	c := New(append([]Option{WithClock(f), WithRandom(r.Float64)}, options...)...)
	c.SetInstances(map[string]int{"a": slots, "b": slots, "c": slots})
	return c, f
}

// Guards against randomness, or wrong counts of others, where all load is the host's own.
func TestOwnLoadIsExact(t *testing.T) {
	is := is.New(t)
	c, f := newChooser(WithSamples(4 * time.Second))
	r := rand.New(rand.NewPCG(3, 4))
	running := map[string]int{}
	for n := range 5000 {
		f.Advance(time.Duration(r.IntN(5)) * ms)
		if n%100 == 0 {
			at := f.Now()
			for _, name := range names {
				c.Sample(name, running[name], at)
			}
		}
		if name := names[r.IntN(3)]; r.IntN(2) == 0 && running[name] > 0 {
			running[name]--
			c.End(name, Outcome{Used: run, Expected: run, Answered: true})
			continue
		}
		name := c.Choose(names, run)
		for _, other := range names {
			is.True(running[name] <= running[other])
		}
		running[name]++
		c.Begin(name)
	}
}

// sendReads sends reads for the given time, 200 a second, each ended before the next. It
// returns how many each instance got, how many failed, and the changes.
func sendReads(c *Chooser, f *clock.Fake, d time.Duration, outcome func(name string, n int) Outcome) (got map[string]int, failed int, changes []Change) {
	got = map[string]int{}
	for n := range int(d / (5 * ms)) {
		f.Advance(5 * ms)
		name := c.Choose(names, run)
		c.Begin(name)
		o := outcome(name, n)
		if o.Failed {
			failed++
		}
		got[name]++
		changes = append(changes, c.End(name, o)...)
	}
	return got, failed, changes
}

func good(string, int) Outcome { return Outcome{Used: run, Expected: run, Answered: true} }

// Guards against a slow or failing instance that keeps its share, is never tried again, or
// does not get its share back within 2 s of its recovery; also without any outcome from it.
func TestFaultsAreFoundAndRecoveryIsSeen(t *testing.T) {
	is := is.New(t)
	for fault, outcome := range map[Fault]Outcome{
		Slow:    {Used: 5 * run, Expected: run, Answered: true},
		Failing: {Failed: true},
	} {
		c, f := newChooser()
		bad := func(name string, n int) Outcome {
			if name == "b" && (fault == Slow || n%2 == 0) {
				return outcome
			}
			return good(name, n)
		}
		_, _, changes := sendReads(c, f, time.Second, bad)
		is.True(len(changes) == 1)
		is.Equal(changes[0].Instance+string(changes[0].Fault), "b"+string(fault))
		is.True(changes[0].Found)
		got, _, _ := sendReads(c, f, 4*time.Second, bad)
		is.True(got["b"] > 4 && got["b"] < 800/3/3)
		_, _, changes = sendReads(c, f, 2*time.Second, good)
		is.True(slices.ContainsFunc(changes, func(c Change) bool { return c.Fault == fault && !c.Found }))
		got, _, _ = sendReads(c, f, 600*ms, good)
		is.True(got["b"] >= 35)
	}
}

// Guards against a whole group that is taken for slow or failing, and against an instance
// that stays so without being tried.
func TestNotAllAreSuspect(t *testing.T) {
	is := is.New(t)
	c, f := newChooser()
	r := rand.New(rand.NewPCG(5, 6))
	got, _, _ := sendReads(c, f, 6*time.Second, func(string, int) Outcome {
		if r.IntN(2) == 0 {
			return Outcome{Failed: true}
		}
		return Outcome{Used: 4 * run, Expected: run, Answered: true}
	})
	for _, name := range names {
		is.True(got[name] > 1200/3/2)
	}
	// Each instance has a fault of its own.
	c, f = newChooser()
	c.instances["a"].slow, c.instances["b"].failing, c.instances["c"].slow = true, true, true
	for _, e := range c.Estimate(names, run, true) {
		is.Equal(e, Estimate{})
	}
	c.instances["a"].slow, c.instances["c"].slow = false, false
	f.Advance(20 * time.Second)
	c.Begin("a")
	changes := c.End("a", good("a", 0))
	is.True(len(changes) == 1 && !changes[0].Found)
}

// Guards against an instance that gets no reads because of a few failures, counts neither as
// failing nor as avoided, and so is not tried again.
func TestSmallPenaltyIsTriedAgain(t *testing.T) {
	is := is.New(t)
	c, f := newChooser()
	sendReads(c, f, time.Second, good)
	for n := range 30 {
		c.Begin("b")
		c.End("b", Outcome{Used: run, Expected: run, Answered: n%10 != 9, Failed: n%10 == 9})
	}
	is.True(!c.instances["b"].failing)
	is.True(c.instances["b"].penalty(f.Now(), c.best(f.Now()), run) > 0)
	got, _, _ := sendReads(c, f, time.Second, good)
	is.True(got["b"] >= 3)
}

// Guards against a tenth of the reads, or more, that are probes where two of three
// instances are slow or failing.
func TestProbesOfSeveralInstancesAreFew(t *testing.T) {
	is := is.New(t)
	c, f := newChooser()
	outcome := func(name string, n int) Outcome {
		switch {
		case name == "b":
			return Outcome{Used: 5 * run, Expected: run, Answered: true}
		case name == "c" && n%2 == 0:
			return Outcome{Failed: true}
		}
		return good(name, n)
	}
	sendReads(c, f, 2*time.Second, outcome)
	got, _, _ := sendReads(c, f, 4*time.Second, outcome)
	is.True(got["b"] > 8 && got["c"] > 8)
	is.True(got["b"]+got["c"] < 800/10)
}

// Guards against probes that run at the same time or too often, and a probe that has no
// instance in good order for its retry.
func TestProbesAreFew(t *testing.T) {
	is := is.New(t)
	c, f := newChooser()
	slow := Outcome{Used: 5 * run, Expected: run, Answered: true}
	sendReads(c, f, time.Second, func(name string, n int) Outcome {
		if name == "b" {
			return slow
		}
		return good(name, n)
	})
	probes := 0
	for range 1000 {
		f.Advance(ms)
		if c.Estimate(names, run, true)[1].Probe {
			probes++
			c.Begin("b")
			is.True(!c.Estimate(names, run, true)[1].Probe)
			c.End("b", slow)
		}
		is.True(!c.Estimate([]string{"b"}, run, true)[0].Probe)
	}
	is.True(probes >= 9 && probes <= 10)
}

// Guards against a cost that grows with the number of statements.
func BenchmarkEstimate(b *testing.B) {
	for _, age := range []time.Duration{0, 4 * time.Second} {
		b.Run(fmt.Sprint("samples=", age), func(b *testing.B) {
			c, f := newChooser(WithSamples(age))
			for _, n := range names {
				c.Sample(n, 4, f.Now())
			}
			f.Advance(100 * ms)
			b.ReportAllocs()
			for b.Loop() {
				c.Begin("a")
				c.Estimate(names, run, true)
				c.End("a", Outcome{Used: run, Expected: run, Answered: true})
			}
		})
	}
}
