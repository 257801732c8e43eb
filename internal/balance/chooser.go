package balance

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/clock"
)

const (
	// contention is the additional time of a statement on an instance whose slots are
	// all in use, compared with an idle one.
	contention = 8 * time.Millisecond
	// defaultRun is the assumed run time of a statement before any has ended.
	defaultRun = 20 * time.Millisecond
	// runWeight is the weight of a run time in the moving average.
	runWeight = 0.05
	// candidates is how many instances are drawn where knowledge is old. With two, the
	// better one gets most of the work and none gets all of it.
	candidates = 2
	// exactBelow is the number of statements sent by others since the last sample up to
	// which an instance is chosen by its expected time alone.
	exactBelow = 0.5
)

// A Chooser holds what one host knows of the instances of a group. It must not be used
// concurrently.
type Chooser struct {
	clock     gypsumyard.Clock
	random    func() float64
	instances map[string]*instance
	// sampleAge is the age up to which samples are used. Zero means that there are none.
	sampleAge time.Duration
	// run is the moving average of the run times in seconds.
	run float64
	// began counts the statements, sinceProbe the reads estimated since the last probe.
	began      uint64
	sinceProbe int
}

// An instance is what is known of one instance.
type instance struct {
	slots int
	// running counts the statements of this host on the instance.
	running int
	// lastBegan is the number of the last statement that began there, other than a probe.
	lastBegan uint64
	// others and ownThen are how many statements of others and of this host ran there at
	// sampledAt.
	others    float64
	ownThen   float64
	sampledAt time.Time
	history   history
	health
}

// An Option configures a Chooser.
type Option func(*Chooser)

// WithClock sets the clock.
func WithClock(c gypsumyard.Clock) Option { return func(h *Chooser) { h.clock = c } }

// WithSamples makes the Chooser use samples of up to the given age. Without it, all load
// counts as its own.
func WithSamples(age time.Duration) Option { return func(h *Chooser) { h.sampleAge = age } }

// New returns a Chooser without instances.
func New(options ...Option) *Chooser {
	c := &Chooser{clock: clock.Boot(), random: rand.Float64, instances: map[string]*instance{}, run: defaultRun.Seconds()}
	for _, o := range options {
		o(c)
	}
	return c
}

// SetInstances replaces the instances, given with their slots. What is known of those
// that remain is kept.
func (c *Chooser) SetInstances(slots map[string]int) {
	for name := range c.instances {
		if _, ok := slots[name]; !ok {
			delete(c.instances, name)
		}
	}
	for name, n := range slots {
		i := c.instances[name]
		if i == nil {
			i = &instance{}
			c.instances[name] = i
		}
		i.slots = max(n, 1)
	}
}

// Suspects returns how many instances are slow, and how many fail.
func (c *Chooser) Suspects() (slow, failing int) {
	for _, i := range c.instances {
		if i.slow {
			slow++
		}
		if i.failing {
			failing++
		}
	}
	return slow, failing
}

// Begin counts a statement that is sent to the instance.
func (c *Chooser) Begin(name string) {
	i := c.instances[name]
	if i == nil {
		return
	}
	c.began++
	if !i.probeOffered {
		i.lastBegan = c.began
	}
	i.probeOffered = false
	i.running++
	c.recordHistory(i)
}

// End counts a statement that has ended there, and learns from its outcome. It returns
// what has changed in the judgement of the instances.
func (c *Chooser) End(name string, o Outcome) []Change {
	i := c.instances[name]
	if i == nil {
		return nil
	}
	i.running = max(i.running-1, 0) // The instance may have been added again meanwhile.
	c.recordHistory(i)
	if o.Used > 0 {
		c.run += runWeight * (o.Used.Seconds() - c.run)
	}
	i.learn(c.clock.Now(), o)
	return c.judge()
}

// Sample records how many statements of everyone ran on the instance at a time. What
// others ran is that less the own statements of that time.
func (c *Chooser) Sample(name string, busy int, at time.Time) {
	i := c.instances[name]
	if i == nil || c.sampleAge == 0 || !at.After(i.sampledAt) {
		return
	}
	i.ownThen = float64(min(i.history.at(at), busy))
	i.others, i.sampledAt = float64(busy)-i.ownThen, at
}

func (c *Chooser) recordHistory(i *instance) {
	if c.sampleAge > 0 {
		i.history.add(c.clock.Now(), i.running, c.sampleAge)
	}
}

// An Estimate is what a read that is sent to an instance has to expect.
type Estimate struct {
	// Delay is the time until it is served, beyond its run time on an idle instance in
	// good order. It does not contain the wait for a slot that own statements hold.
	Delay time.Duration
	// Probe indicates that this read is to try an instance that was slow or failing.
	Probe bool
}

// Estimate returns one estimate for each name, for a read with the expected run time. With
// mayProbe, one may be marked as a probe. If others have sent many statements since the
// last samples, all but a few randomly drawn instances get a higher delay.
func (c *Chooser) Estimate(names []string, run time.Duration, mayProbe bool) []Estimate {
	now := c.clock.Now()
	if run <= 0 {
		run = time.Duration(c.run * float64(time.Second))
	}
	known := make([]*instance, len(names))
	for n, name := range names {
		if known[n] = c.instances[name]; known[n] == nil {
			known[n] = &instance{slots: 1}
		}
	}
	best := c.best(now)
	all := c.allSuspect()
	busy, gaps, unseen := c.loads(now, known, best)
	out := make([]Estimate, len(names))
	for n, i := range known {
		own := float64(i.running)
		out[n].Delay = time.Duration(float64(contention) * busy[n] / float64(i.slots))
		if excess := busy[n] + 1 - float64(i.slots); busy[n] > own && excess > 0 {
			// Slots that others hold. The wait for own statements is not counted.
			out[n].Delay += time.Duration(float64(run) * min(excess, busy[n]-own) / float64(i.slots))
		}
		penalty := i.penalty(now, best, run)
		if all {
			penalty = 0
		}
		// A small penalty is enough to keep all reads away while the others are idle.
		i.avoided = penalty > contention || penalty > 0 && c.began-i.lastBegan >= probeShare*uint64(len(known))
		out[n].Delay += penalty
	}
	if unseen > exactBelow {
		c.narrow(gaps, out, run)
	}
	if mayProbe && !all {
		c.offerProbe(now, known, out)
	}
	return out
}

// loads returns how many statements are expected to run on each instance, how many of
// them others have sent since the samples, and the sum of the latter.
//
// The statements in a sample decay with its age, and as many are assumed to have arrived
// since, distributed so that all instances are equally busy by the same sample. What the
// own statements have changed since then is unknown to other hosts.
func (c *Chooser) loads(now time.Time, known []*instance, best reference) (busy, gaps []float64, unseen float64) {
	busy, gaps = make([]float64, len(known)), make([]float64, len(known))
	left, capacity := make([]float64, len(known)), make([]float64, len(known))
	arrived := 0.0
	for n, i := range known {
		busy[n] = float64(i.running)
		ratio, failures := i.effective(now, best)
		capacity[n] = float64(i.slots) / ratio * max(1-failures, 0.01)
		age := now.Sub(i.sampledAt)
		if i.sampledAt.IsZero() || age > c.sampleAge {
			continue
		}
		part := remaining(i.others+i.ownThen, capacity[n], max(age.Seconds(), 0)/c.run)
		busy[n] += i.others * part
		left[n] = (i.others + i.ownThen) * part
		arrived += (i.others + i.ownThen) * (1 - part)
		unseen += i.others * (1 - part)
	}
	if unseen <= exactBelow {
		return busy, gaps, unseen
	}
	fill(gaps, capacity, left, arrived)
	for n := range gaps {
		busy[n] += gaps[n] * unseen / arrived
	}
	return busy, gaps, unseen
}

// remaining returns the part of the statements in a sample that are left at an instance
// after a number of run times. While more are there than slots, they leave one after the
// other, afterwards exponentially.
func remaining(sampled, slots, runs float64) float64 {
	if sampled <= slots {
		return math.Exp(-runs)
	}
	queued := sampled - slots
	if runs*slots < queued {
		return 1 - runs*slots/sampled
	}
	return slots / sampled * math.Exp(queued/slots-runs)
}

// narrow draws candidates and raises the delays of the other instances above theirs. An
// instance is drawn in proportion to its gap. Hosts that know the same then send together
// what makes the instances equally busy, however many they are.
func (c *Chooser) narrow(gaps []float64, out []Estimate, run time.Duration) {
	total := 0.0
	for _, g := range gaps {
		total += g
	}
	drawn := make([]bool, len(gaps))
	limit := time.Duration(0)
	for range candidates {
		at, n := c.random()*total, 0
		for ; n < len(gaps)-1 && at >= gaps[n]; n++ {
			at -= gaps[n]
		}
		drawn[n] = true
		limit = max(limit, out[n].Delay)
	}
	for n := range out {
		if !drawn[n] {
			out[n].Delay = max(out[n].Delay, limit) + run
		}
	}
}

// fill sets the gaps to what each instance is given if the amount is divided such that
// the instances become equally busy by capacity.
func fill(gaps, capacity, busy []float64, amount float64) {
	low, high := 0.0, 0.0
	for n := range gaps {
		high = max(high, (busy[n]+amount)/capacity[n])
	}
	for range 30 { // A precision of 2^-30 of the highest level is ample.
		level, total := (low+high)/2, 0.0
		for n := range gaps {
			gaps[n] = max(level*capacity[n]-busy[n], 0)
			total += gaps[n]
		}
		if total < amount {
			low = level
		} else {
			high = level
		}
	}
}
