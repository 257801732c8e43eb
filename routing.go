package gypsumyard

import "time"

// An InstanceView is what an owner knows of an instance at one moment.
type InstanceView struct {
	Upstream Upstream
	Status   InstanceStatus
	// SampledAt is when the status request was sent. The status is at least
	// that fresh.
	SampledAt time.Time
	// Reachable is false while the instance does not answer.
	Reachable bool
	// Leaving indicates that the instance or the platform's list says so.
	Leaving bool
	// Lag is the smoothed time by which the instance trails the primary.
	Lag time.Duration
	// Distance is the expected one-way network delay to the instance.
	Distance time.Duration
	// Utilization is the fraction of the instance's slots in use.
	Utilization float64
}

// A ReadRequest is what a router needs to know of a read.
type ReadRequest struct {
	// MinPosition is the position that the read must see.
	MinPosition Position
	// PrimaryOnly indicates that no replica may serve the read.
	PrimaryOnly bool
}

// A Router chooses the instances that may serve a read.
type Router interface {
	// Targets returns the instances that may serve the read with their costs,
	// cheapest first. It returns none if no instance can.
	Targets(r ReadRequest, views []InstanceView, now time.Time) []Target
}
