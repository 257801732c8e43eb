package owner

import (
	"context"

	"github.com/gypsumyard/gypsumyard"
)

// A PromotionState is what a Promoter decides on.
type PromotionState struct {
	Database gypsumyard.Database
	// Instances are control connections that only promotions use.
	Instances []gypsumyard.Instance
	// Views are those of the instances, in the same order.
	Views []gypsumyard.InstanceView
	// Primary is the name of the last known primary, empty if none is known.
	Primary string
	// Failures is how many polls of the primary have failed since the last
	// answer: the first on the open connection, the others on fresh ones.
	Failures int
	// Refused indicates that the last poll failed because nothing listens at the
	// primary's address.
	Refused bool
	// Probe asks up to two hosts in other failure domains to read the status
	// of an instance. It returns an entry for each host that was asked.
	Probe func(ctx context.Context, instance string) []Probe
}

// A Probe is what another host saw of an instance.
type Probe struct {
	Host   gypsumyard.Host
	Status gypsumyard.InstanceStatus
	// Err indicates that the host could not read the status.
	Err error
}

// A PromotionDecision indicates whether the primary must be replaced.
type PromotionDecision struct {
	Promote bool
	// Planned indicates that the primary works and is only about to leave.
	Planned bool
	Reason  string
}

// A Promoter decides when the primary of one database is dead or leaving, and
// replaces it. Its methods are called by one goroutine.
type Promoter interface {
	// Evaluate is called every 50 ms. It may wait for probes.
	Evaluate(ctx context.Context, s PromotionState) PromotionDecision
	// Promote fences a majority and makes another instance the primary. It
	// returns the new primary and its term.
	Promote(ctx context.Context, s PromotionState, v PromotionDecision) (primary string, term gypsumyard.Term, err error)
}
