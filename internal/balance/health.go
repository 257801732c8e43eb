package balance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// sampleWeight is the weight of one outcome in the moving averages, probeWeight that
	// of an outcome at an instance that gets little work. It is higher because an avoided
	// instance yields few outcomes: with sampleWeight, it would be judged after many
	// seconds.
	sampleWeight = 0.05
	probeWeight  = 0.3
	// minSamples is how many outcomes a judgement needs.
	minSamples = 10
	// maxRatio bounds the effect of a single run time. timeNoise is added to run times and
	// estimates before they are compared, since a busy host measures short ones badly.
	maxRatio  = 20
	timeNoise = 2 * time.Millisecond
	// An instance is slow from slowFrom times the run times of the fastest instance on,
	// until slowUntil. Below ignoredSlowness the difference is taken for chance.
	slowFrom, slowUntil = 2.0, 1.4
	ignoredSlowness     = 1.4
	// An instance fails if the share of its failures exceeds that of the best one by
	// failingFrom, until failingUntil.
	failingFrom, failingUntil = 0.2, 0.02
	ignoredFailures           = 0.05
	// failureCost is the expected loss of time by a failure besides the run time: the
	// pause before the retry, and the wait for a connection or a time-out.
	failureCost = 200 * time.Millisecond
	// What was learned holds for keepFor after the last outcome, and is then forgotten
	// with the time constant forgetIn.
	keepFor, forgetIn = 2 * time.Second, 2 * time.Second
	// An instance that is slow, failing or avoided is tried by one read at a time, at most
	// once in probeInterval. All probes together are at most one of probeShare parts of an
	// equal share of the reads, so that few reads are slow if several instances are. The
	// limits are per host, and the probes of all hosts together must not load the instance.
	probeInterval = 100 * time.Millisecond
	probeShare    = 4
)

// An Outcome tells how a statement ended.
type Outcome struct {
	// Used is its run time, Expected the estimate for statements of its kind. Zero means
	// that either is unknown.
	Used, Expected time.Duration
	// Answered indicates an answer, Failed that the instance failed to give one, or gave
	// an error that is not the statement's own. With neither, nothing is learned.
	Answered, Failed bool
}

// A Fault is what is wrong with an instance.
type Fault string

// Faults of instances.
const (
	Slow    Fault = "slow"
	Failing Fault = "failing"
)

// A Change tells that an instance was found to have a fault or to have recovered.
type Change struct {
	Instance string
	Fault    Fault
	Found    bool
	// Value is the run time relative to the fastest instance, or the share of failures.
	Value float64
}

// A health is what is learned from the outcomes of statements.
type health struct {
	// ratio is the moving average of run times relative to their estimates, failures that
	// of the share of failures.
	ratio, failures float64
	// ratios and outcomes count the samples of the two.
	ratios, outcomes int
	learnedAt        time.Time
	slow, failing    bool
	// avoided indicates that the instance gets hardly any reads because of its penalty,
	// though it may not count as slow or failing yet.
	avoided bool
	// offered is when the last probe was offered.
	offered time.Time
	// probeOffered indicates that the next statement that begins there is the probe.
	probeOffered bool
}

func (h *health) suspect() bool { return h.slow || h.failing }

// learn updates the moving averages.
func (h *health) learn(now time.Time, o Outcome) {
	if !o.Answered && !o.Failed {
		return
	}
	h.forget(now)
	h.learnedAt = now
	weight := sampleWeight
	if h.suspect() || h.avoided {
		weight = probeWeight
	}
	failed := 0.0
	if o.Failed {
		failed = 1
	}
	// The averages start from normal values, so that the first failure weighs little.
	h.outcomes++
	h.failures += weight * (failed - h.failures)
	if o.Failed || o.Used <= 0 || o.Expected <= 0 {
		return
	}
	h.ratios++
	ratio := min((o.Used+timeNoise).Seconds()/(o.Expected+timeNoise).Seconds(), maxRatio)
	h.ratio = h.currentRatio() + max(1/float64(h.ratios), weight)*(ratio-h.currentRatio())
}

func (h *health) currentRatio() float64 {
	if h.ratios == 0 {
		return 1
	}
	return h.ratio
}

// weight returns how much of what was learned still holds.
func (h *health) weight(now time.Time) float64 {
	if h.learnedAt.IsZero() {
		return 0
	}
	return math.Exp(-max(now.Sub(h.learnedAt)-keepFor, 0).Seconds() / forgetIn.Seconds())
}

// forget moves the averages towards normal after a time without outcomes.
func (h *health) forget(now time.Time) {
	w := h.weight(now)
	if w == 1 {
		return
	}
	h.ratio, h.failures = 1+(h.currentRatio()-1)*w, h.failures*w
	h.ratios, h.outcomes = int(float64(h.ratios)*w), int(float64(h.outcomes)*w)
}

// current returns the averages as they hold now.
func (h *health) current(now time.Time) (ratio, failures float64) {
	w := h.weight(now)
	return 1 + (h.currentRatio()-1)*w, h.failures * w
}

// A reference holds the averages of the best instances, against which the others are
// judged. Where all are slow or fail alike, none is at fault: the load is, or the
// statements are.
type reference struct {
	known           bool
	ratio, failures float64
}

// best returns the reference among the instances with recent outcomes.
func (c *Chooser) best(now time.Time) (r reference) {
	r.ratio, r.failures = math.Inf(1), 1
	for _, i := range c.instances {
		if i.learnedAt.IsZero() || now.Sub(i.learnedAt) > keepFor+forgetIn {
			continue
		}
		ratio, failures := i.current(now)
		if i.ratios > 0 {
			r.ratio = min(r.ratio, ratio)
		}
		r.failures = min(r.failures, failures)
		r.known = true
	}
	if math.IsInf(r.ratio, 1) {
		r.ratio = 1
	}
	return r
}

// relative returns the run time relative to the best instance, and the share of failures
// above that of the best one.
func (h *health) relative(now time.Time, best reference) (ratio, failures float64) {
	if !best.known || h.learnedAt.IsZero() {
		return 1, 0
	}
	ratio, failures = h.current(now)
	return max(ratio/max(best.ratio, 1e-3), 1), max(failures-best.failures, 0)
}

// effective returns the relative run time and share of failures less what is taken for
// chance. Both change without a jump, since a jump makes many hosts react at once.
func (h *health) effective(now time.Time, best reference) (ratio, failures float64) {
	ratio, failures = h.relative(now, best)
	if h.ratios < minSamples {
		ratio = 1
	}
	if h.outcomes < minSamples {
		failures = 0
	}
	return 1 + max(ratio-ignoredSlowness, 0), max(failures-ignoredFailures, 0)
}

// penalty returns the additional time of a read that runs for the given time on an
// instance in good order.
func (h *health) penalty(now time.Time, best reference, run time.Duration) time.Duration {
	ratio, failures := h.effective(now, best)
	return time.Duration((ratio-1)*float64(run) + failures*float64(run+failureCost))
}

// judge updates which instances are slow or failing, and returns the changes.
func (c *Chooser) judge() (changes []Change) {
	now := c.clock.Now()
	best := c.best(now)
	note := func(name string, f Fault, state *bool, found bool, value float64) {
		if *state != found {
			*state = found
			changes = append(changes, Change{name, f, found, value})
		}
	}
	for name, i := range c.instances {
		ratio, failures := i.relative(now, best)
		note(name, Slow, &i.slow, exceeds(i.slow, ratio, slowFrom, slowUntil, i.ratios), ratio)
		note(name, Failing, &i.failing, exceeds(i.failing, failures, failingFrom, failingUntil, i.outcomes), failures)
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Instance, b.Instance) })
	return changes
}

// exceeds decides with hysteresis.
func exceeds(before bool, value, from, until float64, samples int) bool {
	if before {
		return value > until
	}
	return value >= from && samples >= minSamples
}

// allSuspect reports whether each instance is slow or failing, in which case all are used
// alike.
func (c *Chooser) allSuspect() bool {
	for _, i := range c.instances {
		if !i.suspect() {
			return false
		}
	}
	return true
}

// offerProbe marks a slow, failing or avoided instance as the one to try, if none was tried
// for a while and the read has another one that is in good order for a retry. Of several it
// takes the one whose last probe is the longest ago.
func (c *Chooser) offerProbe(now time.Time, known []*instance, out []Estimate) {
	c.sinceProbe++
	if c.sinceProbe < probeShare*len(known) {
		return
	}
	next, hasGood := -1, false
	for n, i := range known {
		switch {
		case !i.suspect() && !i.avoided:
			hasGood = true
		case i.running > 0 || now.Sub(i.offered) < probeInterval:
		case next < 0 || i.offered.Before(known[next].offered):
			next = n
		}
	}
	if next >= 0 && hasGood {
		known[next].offered, known[next].probeOffered, c.sinceProbe = now, true, 0
		out[next].Probe = true
	}
}
