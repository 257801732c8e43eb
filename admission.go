package gypsumyard

import (
	"context"
	"time"
)

// A SlotRequest asks an Admitter for one execution slot.
type SlotRequest struct {
	Customer string
	// Plan is the plan in force when the request arrived.
	Plan Plan
	// Priority asks for service before all other traffic. It is ignored unless
	// the plan allows it.
	Priority bool
	// Long indicates that the request is expected to run long, because the caller
	// marked it or because earlier runs of the statement were long. A long
	// request never takes the last free slot of an instance.
	Long bool
	// InTransaction indicates that the request continues an open transaction. It
	// is served before the customer's other requests, so that locks are released
	// early.
	InTransaction bool
	// Expected is the expected run time, zero if unknown.
	Expected time.Duration
	// LatestStart is the time after which the request is unlikely to meet its
	// latency objective if it has not started. From then on, later requests of
	// its customer are served first. Zero means that the objective is unknown.
	LatestStart time.Time
	// Deadline is when the caller gives up. Zero means that only the plan's
	// max-wait applies.
	Deadline time.Time
	// Targets are the instances that may serve the request, in any order.
	Targets []Target
}

// A Target is one instance that may serve a request.
type Target struct {
	Instance string
	// Cost is the expected wait at the instance besides the wait for a slot:
	// the time until the needed position is applied, and the distance.
	Cost time.Duration
	// Reason is a short text for logs: why the instance is a candidate.
	Reason string
}

// A Grant is the right to run one request on an instance. The holder must pass
// it to [Admitter.Release].
type Grant struct {
	ID       uint64
	Customer string
	Target   Target
	// Waited is how long the request was queued.
	Waited time.Duration
}

// An InstanceCapacity is the number of statements that an instance may run.
type InstanceCapacity struct {
	Name  string
	Slots int
	// Overcommit is how many short statements beyond Slots may be in flight, so
	// that a slot does not stay idle for a network round trip.
	Overcommit int `json:"Ahead"` // debug logs write the field under this name
	// Available is false while the instance must not be given new work.
	Available bool
}

// An Admitter controls admission to one database: it decides when and on which
// instance a request may run.
type Admitter interface {
	// Acquire waits for a slot. It fails with an *Error of ClassLoad or
	// ClassPlan, or with the cause of ctx. If the expected wait is too long, it
	// fails at once.
	Acquire(ctx context.Context, r SlotRequest) (Grant, error)
	// Release returns the slot and charges the customer for the time that the
	// request ran.
	Release(g Grant, used time.Duration)
	// SetInstances replaces the instances and their capacities.
	SetInstances(instances []InstanceCapacity)
}
