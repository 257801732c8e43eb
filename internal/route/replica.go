package route

import (
	"time"

	"github.com/gypsumyard/gypsumyard"
)

const (
	// excludeLag is the lag, or the time without progress, above which a replica
	// is excluded from the read set.
	excludeLag = 2 * time.Second
	// Hysteresis keeps a replica with a lag near the limit from being excluded and
	// readmitted repeatedly: it is readmitted when its lag has been below
	// readmitLag for readmitAfter.
	readmitLag   = 500 * time.Millisecond
	readmitAfter = 2 * time.Second
)

// A replica is the Router's state of one instance that is not the primary.
type replica struct {
	sampledAt time.Time
	estimator delayEstimator
	applied   gypsumyard.Position
	// progressAt is when the replica last advanced or had nothing to apply.
	progressAt time.Time
	excluded   bool
	// lowLagSince is since when an excluded replica has had a lag below
	// readmitLag. Zero means that its lag is higher or that it makes no
	// progress.
	lowLagSince time.Time
}

// observe updates the state with the sample v, unless it has been seen before. p
// is the sample of the primary, nil if none is known. It reports whether the
// replica was excluded or readmitted.
func (rp *replica) observe(v *gypsumyard.InstanceView, p *gypsumyard.InstanceView) (changed bool) {
	if !v.SampledAt.After(rp.sampledAt) {
		return false
	}
	first := rp.sampledAt.IsZero()
	rp.sampledAt = v.SampledAt
	rp.estimator.observe(v.Lag)
	behind := p != nil && v.Status.Applied.Compare(p.Status.Applied) < 0
	if first || !behind || v.Status.Applied != rp.applied {
		rp.progressAt = v.SampledAt
	}
	rp.applied = v.Status.Applied
	stuck := v.SampledAt.Sub(rp.progressAt) > excludeLag
	before := rp.excluded
	if rp.excluded {
		rp.tryReadmit(v, stuck)
	} else {
		rp.excluded = stuck || v.Lag > excludeLag
		rp.lowLagSince = time.Time{}
	}
	return rp.excluded != before
}

// tryReadmit readmits an excluded replica if its lag has been low long enough.
func (rp *replica) tryReadmit(v *gypsumyard.InstanceView, stuck bool) {
	switch {
	case stuck || v.Lag >= readmitLag:
		rp.lowLagSince = time.Time{}
	case rp.lowLagSince.IsZero():
		rp.lowLagSince = v.SampledAt
	case v.SampledAt.Sub(rp.lowLagSince) >= readmitAfter:
		rp.excluded = false
	}
}

// expectedWait returns how long the replica probably needs to apply the position.
func (rp *replica) expectedWait(v, p *gypsumyard.InstanceView, needed gypsumyard.Position, now time.Time) time.Duration {
	if v.Status.Contains(needed) {
		return 0
	}
	wait := rp.estimator.estimate()
	if p != nil && p.Status.Contains(needed) {
		// The record is at least as old as the sample of the primary, so that
		// part of the delay has already passed.
		wait -= now.Sub(p.SampledAt)
	}
	return max(wait, minWait)
}

// minWait is the shortest expected wait at a replica whose last sample did not
// include the position.
const minWait = time.Millisecond
