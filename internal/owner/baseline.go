package owner

import (
	"context"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// A fifoAdmitter admits requests in the order of their arrival. A request at
// the head of the queue whose instances are all busy does not block requests
// that another instance can serve.
type fifoAdmitter struct {
	mu      sync.Mutex
	free    map[string]int
	slots   map[string]int
	queue   []*queued
	grantID uint64
}

type queued struct {
	request gypsumyard.SlotRequest
	grant   chan gypsumyard.Grant
}

// NewFIFOAdmitter returns an admitter that ignores plans and serves requests
// in the order of their arrival. It is the baseline for measurements.
func NewFIFOAdmitter() gypsumyard.Admitter {
	return &fifoAdmitter{free: map[string]int{}, slots: map[string]int{}}
}

func (a *fifoAdmitter) Acquire(ctx context.Context, r gypsumyard.SlotRequest) (gypsumyard.Grant, error) {
	start := time.Now()
	a.mu.Lock()
	q := &queued{request: r, grant: make(chan gypsumyard.Grant, 1)}
	a.queue = append(a.queue, q)
	a.grantWaiting()
	a.mu.Unlock()
	select {
	case g := <-q.grant:
		g.Waited = time.Since(start)
		return g, nil
	case <-ctx.Done():
	}
	a.remove(q)
	select {
	case g := <-q.grant:
		a.Release(g, 0)
	default:
	}
	return gypsumyard.Grant{}, context.Cause(ctx)
}

func (a *fifoAdmitter) remove(q *queued) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, o := range a.queue {
		if o == q {
			a.queue = append(a.queue[:i], a.queue[i+1:]...)
			return
		}
	}
}

// grantWaiting grants free slots to queued requests. The caller must hold
// a.mu.
func (a *fifoAdmitter) grantWaiting() {
	rest := a.queue[:0]
	for _, q := range a.queue {
		if !a.tryGrant(q) {
			rest = append(rest, q)
		}
	}
	a.queue = rest
}

func (a *fifoAdmitter) tryGrant(q *queued) bool {
	for _, t := range q.request.Targets {
		if a.free[t.Instance] <= 0 {
			continue
		}
		a.free[t.Instance]--
		a.grantID++
		q.grant <- gypsumyard.Grant{ID: a.grantID, Customer: q.request.Customer, Target: t}
		return true
	}
	return false
}

func (a *fifoAdmitter) Release(g gypsumyard.Grant, _ time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.free[g.Target.Instance]++
	a.grantWaiting()
}

// SetInstances ignores availability: the owner does not name an instance as a
// target for new work while it is not available, and open transactions must
// continue.
func (a *fifoAdmitter) SetInstances(instances []gypsumyard.InstanceCapacity) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, i := range instances {
		a.free[i.Name] += i.Slots - a.slots[i.Name]
		a.slots[i.Name] = i.Slots
	}
	a.grantWaiting()
}

type primaryRouter struct{}

// NewPrimaryRouter returns a router that sends every read to the primary. It
// is the baseline for measurements.
func NewPrimaryRouter() gypsumyard.Router { return primaryRouter{} }

func (primaryRouter) Targets(r gypsumyard.ReadRequest, views []gypsumyard.InstanceView, _ time.Time) []gypsumyard.Target {
	var out []gypsumyard.Target
	for _, v := range views {
		if v.Reachable && !v.Leaving && v.Status.Writable() && v.Status.Contains(r.MinPosition) {
			out = append(out, gypsumyard.Target{Instance: v.Upstream.Name, Reason: "primary"})
		}
	}
	return out
}

type replicaRouter struct{}

// NewReplicaRouter returns a router that sends a read to any replica that
// covers the needed position, and to the primary if there is none.
func NewReplicaRouter() gypsumyard.Router { return replicaRouter{} }

func (replicaRouter) Targets(r gypsumyard.ReadRequest, views []gypsumyard.InstanceView, now time.Time) []gypsumyard.Target {
	var out []gypsumyard.Target
	for _, v := range views {
		if r.PrimaryOnly || !v.Reachable || v.Leaving || v.Status.Role != gypsumyard.RoleReplica {
			continue
		}
		if v.Status.Contains(r.MinPosition) {
			out = append(out, gypsumyard.Target{Instance: v.Upstream.Name, Cost: v.Distance, Reason: "replica covers the position"})
		}
	}
	if len(out) > 0 {
		return out
	}
	return primaryRouter{}.Targets(r, views, now)
}
