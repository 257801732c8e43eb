package gypsumyard

import "time"

// An InstanceView is a snapshot of what an owner knows about an instance.
type InstanceView struct {
	Upstream Upstream
	Status   InstanceStatus
	// SampledAt is when the status request was sent. The status is at least that
	// recent.
	SampledAt time.Time
	// Reachable is false while the instance does not respond.
	Reachable bool
	// Leaving indicates that the instance is about to be shut down, according to
	// itself or to the platform's list.
	Leaving bool
	// Lag is the smoothed replication lag behind the primary.
	Lag time.Duration
	// Distance is the expected one-way network delay to the instance.
	Distance time.Duration
	// Utilization is the fraction of the instance's slots that are in use.
	Utilization float64
}

// A ReadRequest holds the properties of a read by which it is routed.
type ReadRequest struct {
	// MinPosition is the lowest position that an instance must have applied to
	// serve the read.
	MinPosition Position
	// PrimaryOnly indicates that only the primary may serve the read.
	PrimaryOnly bool
}

// A Router selects the instances that may serve a read.
type Router interface {
	// Targets returns the instances that may serve the read, lowest cost first.
	// It returns none if no instance can serve it.
	Targets(r ReadRequest, views []InstanceView, now time.Time) []Target
}
