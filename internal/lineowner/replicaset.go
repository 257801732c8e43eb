package lineowner

import (
	"slices"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// The rules of this file decide which instances of a group an election must count.
// They read no clock and know no store.

// fencesNeeded returns how many of n instances must be fenced before a
// promotion, so that every acknowledged commit is on a fenced instance and the
// unfenced instances cannot acknowledge another. A commit is on the primary and on
// one replica. Groups that require more replicas are treated the same: an instance
// may acknowledge with fewer while some do not answer.
func fencesNeeded(n int) int { return max(n-1, 1) }

// fencesNeededWithout is fencesNeeded if an operator has accepted the loss of some of the n
// instances. A commit may have been on a lost and a remaining instance, so all that remain
// must be fenced.
func fencesNeededWithout(n, lost int) int {
	if lost == 0 {
		return fencesNeeded(n)
	}
	return max(n-lost, 1)
}

// evidenceNeeded returns how many of n instances, the primary among them, must
// be unfenced to prove that it is the primary. Each such set intersects each set
// of fencesNeeded instances.
func evidenceNeeded(n int) int { return n - fencesNeeded(n) + 1 }

// hasSettled reports whether the status of an instance that started by the time known
// may prove who leads. An election that was in progress then may count on a fence that
// ended with the start, or may not count the instance at all. It is over after the
// longest time that an election takes, or once the store, which has shown the instance
// in the replica set at stored, has shown no election in progress.
func hasSettled(known, stored, idle, now time.Time, l electionLimits) bool {
	if now.Sub(known) > l.effect {
		return true
	}
	return !stored.IsZero() && idle.After(known) && idle.After(stored)
}

// A replicaState is what is known of the log of an instance.
type replicaState struct {
	// term is the term of the primary that the instance is or follows.
	term     gypsumyard.Term
	received gypsumyard.Position
	// sampledAt is when the request that returned the state was sent.
	sampledAt time.Time
}

// A departure follows an instance whose list entry is gone. The number of fences that
// an election needs assumes that two of the instances that count hold each
// acknowledged commit. The instance may be one of the two, so it counts until that
// holds without it, however long it is absent.
type departure struct {
	// since is when the entry was first missing.
	since time.Time
}

// isCovered reports whether the primary and another instance hold all commits that an
// instance has helped to acknowledge: the primary's log as it was after the process of
// the instance had ended. stopped is when that was, or zero if it may still acknowledge
// commits. The result stays true: a process that has ended acknowledges nothing more, and
// the process that follows it is another instance.
func isCovered(stopped time.Time, primary replicaState, others []replicaState) bool {
	if stopped.IsZero() || !primary.sampledAt.After(stopped) {
		return false
	}
	return slices.ContainsFunc(others, func(o replicaState) bool {
		return o.term == primary.term && o.received.Compare(primary.received) >= 0
	})
}

// wasRemoved reports whether a host has removed an instance from the stored set: held is
// the version of a set with it, or zero, and latest that of a set without it. A host
// removes only instances that need not count any more. A set of another era may be from
// before the instance was added.
func wasRemoved(held, latest gypsumyard.Version) bool {
	return held.Revision() != 0 && held.Era() == latest.Era() && latest > held
}

// hasLogOf reports whether the instance that has taken the address of a departed one
// has its log: an instance that returns after a crash does, with a new ID. A promotion
// since then may have truncated it.
func (s replicaState) hasLogOf(departed replicaState) bool {
	return s.term > departed.term || s.received.Compare(departed.received) >= 0
}
