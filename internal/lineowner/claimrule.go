package lineowner

import (
	"fmt"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// The rules of this file decide what a host may conclude from claims and do with
// them. They have no state and read no clock.

// An electionLimits holds the times that bound an election with a claim.
type electionLimits struct {
	// order is the greatest age of a claim at which its promotion order is sent.
	order time.Duration
	// foreign is how long a claim of another host is left alone. It exceeds order.
	foreign time.Duration
	// effect is the longest time from a claim until its order has taken effect.
	effect time.Duration
}

// defaultElectionLimits are the times that all hosts keep.
var defaultElectionLimits = electionLimits{order: maxClaimAge, foreign: foreignElectionTimeout, effect: maxElectionDuration}

// A storeEra is the latest era of the store, and since when this host knows of it.
// The store may have been restored long before.
type storeEra struct {
	era   gypsumyard.Era
	since time.Time
}

// lostClaimsEnd returns when an election is over whose claim was lost as the store
// entered the era, if an election takes at most the given time. In era zero the
// store loses no claims.
func (e storeEra) lostClaimsEnd(election time.Duration) (end time.Time) {
	if e.era == 0 {
		return end
	}
	return e.since.Add(election)
}

// A claimView is the latest claim for a group that a host has read.
type claimView struct {
	known bool
	// version is that of the claim. If there is none, it holds only the era. It was
	// first read at firstSeen and was still the latest in the read that was sent at
	// lastSeen.
	version   gypsumyard.Version
	firstSeen time.Time
	lastSeen  time.Time
	// done indicates that the election of the claim is over.
	done bool
}

// record records a claim that was read.
func (v *claimView) record(version gypsumyard.Version, done bool, now time.Time) {
	if !v.known || version != v.version {
		v.known, v.version, v.firstSeen = true, version, now
	}
	v.done = done
}

// exists reports whether there is a claim.
func (v *claimView) exists() bool { return v.version.Revision() != 0 }

// provesUntil returns the time up to which the store proves that no host has promoted
// since the instances proved who leads, or the zero time. Elections with the latest
// claim or an older one, or with one that a restore has lost, must have ended before
// that proof.
func (v *claimView) provesUntil(proof time.Time, e storeEra, l electionLimits) time.Time {
	if !v.known || v.version.Era() != e.era {
		return time.Time{}
	}
	end := v.firstSeen
	if v.exists() && !v.done {
		end = end.Add(l.effect)
	}
	end = later(end, e.lostClaimsEnd(l.effect))
	if proof.Before(end) {
		return time.Time{}
	}
	return v.lastSeen
}

// idleAt returns a time at which no election was in progress, or the zero time if none
// is known. Elections whose claims a restore may have lost count too.
func (v *claimView) idleAt(e storeEra, l electionLimits) (at time.Time) {
	if !v.known || v.version.Era() != e.era {
		return at
	}
	end := e.lostClaimsEnd(l.effect)
	if v.exists() && !v.done {
		end = later(end, v.firstSeen.Add(l.effect))
	}
	if v.lastSeen.Before(end) {
		return at
	}
	return v.lastSeen
}

// mayClaim returns nil if a host may claim the next promotion. It may not while the
// order of another host, whose claim may be lost, can be on its way. own indicates
// that the latest claim is the host's own.
func (v *claimView) mayClaim(own bool, e storeEra, l electionLimits, now time.Time) error {
	switch {
	case v.version.Era() != e.era:
		return fmt.Errorf("claim %v: %w", v.version, errStoreRestored)
	case now.Before(e.lostClaimsEnd(l.foreign)):
		return fmt.Errorf("%w: its claim may be lost", errForeignElection)
	case v.exists() && !v.done && !own && now.Before(v.firstSeen.Add(l.foreign)):
		return fmt.Errorf("%w: claim %v, seen for %v", errForeignElection, v.version, now.Sub(v.firstSeen))
	}
	return nil
}

// checkClaimed returns nil if the claim that replaced previous may be used. The store
// compares revisions only, so in another era it may have replaced a claim that this
// host has not read.
func checkClaimed(claimed, previous gypsumyard.Version) error {
	if claimed.Era() != previous.Era() {
		return errStoreRestored
	}
	return nil
}

// mayOrder returns nil if the order of a claim may be sent: latest, the version of the
// claim that was read last, must be the host's own.
func mayOrder(claimed, latest gypsumyard.Version, age time.Duration, l electionLimits) error {
	switch {
	case latest != claimed:
		return fmt.Errorf("%w: claim %v follows %v", errForeignElection, latest, claimed)
	case age > l.order:
		return errClaimTooOld
	}
	return nil
}
