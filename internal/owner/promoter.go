package owner

import (
	"context"
	"slices"

	"github.com/gypsumyard/gypsumyard"
)

// A PromotionState is the input of a promotion decision.
type PromotionState struct {
	Database gypsumyard.Database
	// Lists are the lists of instances that count, the one in force first. A
	// promotion needs a majority of each.
	Lists []gypsumyard.InstanceList
	// ListReplicated indicates that the primary has a term of a former version of
	// the list and that the listed instances are ready for one of this version.
	ListReplicated bool
	// Instances are control connections that only promotions and follow orders
	// use.
	Instances []gypsumyard.Instance
	// Views are those of the instances, in the same order.
	Views []gypsumyard.InstanceView
	// Primary is the name of the last known primary, empty if none is known.
	Primary string
	// Failures is how many polls of the primary have failed since the last
	// answer: the first on the open connection, the others on fresh ones.
	Failures int
	// Refused indicates that the last poll failed because nothing listens at
	// the primary's address.
	Refused bool
	// Probe asks up to two hosts in other failure domains to read the status
	// of an instance. It returns an entry for each host that was asked.
	Probe func(ctx context.Context, instance string) []Probe
}

// A Probe is the result of another host's attempt to read the status of an
// instance.
type Probe struct {
	Host   gypsumyard.Host
	Status gypsumyard.InstanceStatus
	// Err is set if the host could not read the status.
	Err error
}

// isMajority reports whether the condition holds for a majority of each list that
// counts.
func (s *PromotionState) isMajority(condition func(gypsumyard.InstanceView) bool) bool {
	return !slices.ContainsFunc(s.Lists, func(l gypsumyard.InstanceList) bool { return !l.IsMajority(s.count(l, condition)) })
}

// isAnyMajority reports whether the condition holds for a majority of some list
// that counts.
func (s *PromotionState) isAnyMajority(condition func(gypsumyard.InstanceView) bool) bool {
	return slices.ContainsFunc(s.Lists, func(l gypsumyard.InstanceList) bool { return l.IsMajority(s.count(l, condition)) })
}

func (s *PromotionState) count(l gypsumyard.InstanceList, condition func(gypsumyard.InstanceView) bool) (n int) {
	for _, v := range s.Views {
		if slices.ContainsFunc(l.Instances, v.Upstream.Same) && condition(v) {
			n++
		}
	}
	return n
}

// A PromotionDecision indicates whether the primary must be replaced.
type PromotionDecision struct {
	Promote bool
	// Planned indicates that the primary works but is leaving.
	Planned bool
	Reason  string
}

// A Promoter decides when the primary of one database has failed or is
// leaving, and replaces it. Its methods are called by one goroutine.
type Promoter interface {
	// Evaluate is called every 50 ms while this host may promote. It may wait
	// for probes.
	Evaluate(ctx context.Context, s PromotionState) PromotionDecision
	// Promote fences a majority and makes another instance the primary. It
	// returns the new primary and its term.
	Promote(ctx context.Context, s PromotionState, d PromotionDecision) (primary string, term gypsumyard.Term, err error)
}
