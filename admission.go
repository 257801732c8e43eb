package gypsumyard

import (
	"context"
	"time"
)

// A SlotRequest asks for one execution slot.
type SlotRequest struct {
	Customer string
	// Plan is the plan in force when the request arrived.
	Plan Plan
	// Priority asks to outrank all other traffic. It counts only if the plan
	// allows it.
	Priority bool
	// Long indicates that the request was marked or learned to run long. A long
	// request never takes the last free slot of an instance.
	Long bool
	// InTransaction indicates that the request continues an open transaction. It
	// goes before the customer's other requests, so that locks are released.
	InTransaction bool
	// Expected is the expected run time. Zero means unknown.
	Expected time.Duration
	// LatestStart is from when on the request will hardly meet its latency objective, so
	// that later requests of its customer go first. Zero means that the
	// objective is not known.
	LatestStart time.Time
	// Deadline is when the caller gives up. Zero means only the plan's
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
	// Reason says in a few words why the instance was considered.
	Reason string
}

// A Grant is the right to run one request on an instance. It must be released.
type Grant struct {
	ID       uint64
	Customer string
	Target   Target
	// Waited is how long the request was queued.
	Waited time.Duration
}

// An InstanceCapacity tells how many statements an instance may run.
type InstanceCapacity struct {
	Name  string
	Slots int
	// Overcommit is how many short statements more than Slots may be sent, so that
	// a slot does not stay idle for a network round trip.
	Overcommit int `json:"Ahead"` // debug logs write the field under this name
	// Available is false while the instance gets no new work.
	Available bool
}

// An Admitter decides when and where a request of one database may run.
type Admitter interface {
	// Acquire waits for a slot. It fails with an *Error of ClassLoad or
	// ClassPlan, at once where the wait would be too long, or with the cause
	// of ctx.
	Acquire(ctx context.Context, t SlotRequest) (Grant, error)
	// Release returns the slot and charges the time that the request ran.
	Release(g Grant, used time.Duration)
	// SetInstances replaces the instances and their capacities.
	SetInstances(instances []InstanceCapacity)
}
