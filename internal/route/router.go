package route

import (
	"cmp"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/sirupsen/logrus"
)

const (
	// primaryPenalty is the cost added at the primary, so that a replica that can
	// serve a read in about the same time is preferred even to an idle primary.
	primaryPenalty = 2 * time.Millisecond
	// primaryLoadCost is the cost added at a primary that uses all its slots,
	// because reads that a replica can serve must not delay writes. It is scaled
	// by the utilization.
	primaryLoadCost = 8 * time.Millisecond
	// replicaLoadCost is the cost added at a replica that uses all its slots, so
	// that reads are spread over the replicas. It is scaled by the utilization.
	replicaLoadCost = 2 * time.Millisecond
)

// A Router implements [gypsumyard.Router] for one database. It estimates
// replication delays from the samples in the views that are passed to it. It is
// safe for concurrent use.
type Router struct {
	newEstimator func() delayEstimator
	log          logrus.FieldLogger
	mu           sync.Mutex
	replicas     map[string]*replica
}

var _ gypsumyard.Router = (*Router)(nil)

// WithLogger sets the logger for changes of the read set: the replicas that are
// not excluded for their lag. The default discards all log lines.
func WithLogger(l logrus.FieldLogger) Option { return func(r *Router) { r.log = l } }

// New returns a Router.
func New(options ...Option) *Router {
	discard := logrus.New()
	discard.SetOutput(io.Discard)
	r := &Router{log: discard, replicas: map[string]*replica{}}
	WithQuantile(0.9)(r)
	for _, o := range options {
		o(r)
	}
	return r
}

// Observe updates the delay estimates with new samples. [Router.Targets] does so,
// too; an owner that polls its instances more often than it serves reads calls
// Observe after each poll.
func (r *Router) Observe(views []gypsumyard.InstanceView) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observe(views, primaryOf(views))
}

func (r *Router) observe(views []gypsumyard.InstanceView, p *gypsumyard.InstanceView) {
	for i := range views {
		v := &views[i]
		if !v.Reachable || v == p {
			continue
		}
		rp := r.replica(v.Upstream.Name)
		if rp.observe(v, p) {
			r.log.WithFields(logrus.Fields{"instance": v.Upstream.Name, "out": rp.excluded, "lag": v.Lag, "position": v.Status.Applied.String()}).
				Info("read set changed")
		}
	}
}

func (r *Router) replica(name string) *replica {
	rp := r.replicas[name]
	if rp == nil {
		rp = &replica{estimator: r.newEstimator()}
		r.replicas[name] = rp
	}
	return rp
}

// Targets returns the instances that may serve the read, lowest cost first. See
// [gypsumyard.Router].
func (r *Router) Targets(read gypsumyard.ReadRequest, views []gypsumyard.InstanceView, now time.Time) []gypsumyard.Target {
	p := primaryOf(views)
	targets := make([]gypsumyard.Target, 0, len(views))
	if p != nil && !p.Leaving && !p.Status.Leaving {
		targets = append(targets, primaryTarget(p))
	}
	if !read.PrimaryOnly {
		targets = r.appendReplicas(targets, read, views, p, now)
	}
	slices.SortStableFunc(targets, func(a, b gypsumyard.Target) int { return cmp.Compare(a.Cost, b.Cost) })
	return targets
}

// primaryOf returns the reachable, writable primary with the highest term, or nil.
func primaryOf(views []gypsumyard.InstanceView) (p *gypsumyard.InstanceView) {
	for i := range views {
		v := &views[i]
		if v.Reachable && v.Status.Writable() && (p == nil || v.Status.Term() > p.Status.Term()) {
			p = v
		}
	}
	return p
}

func primaryTarget(p *gypsumyard.InstanceView) gypsumyard.Target {
	cost := p.Distance + primaryPenalty + time.Duration(p.Utilization*float64(primaryLoadCost))
	return gypsumyard.Target{Instance: p.Upstream.Name, Cost: cost, Reason: "primary"}
}

func (r *Router) appendReplicas(targets []gypsumyard.Target, read gypsumyard.ReadRequest, views []gypsumyard.InstanceView, p *gypsumyard.InstanceView, now time.Time) []gypsumyard.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observe(views, p)
	for i := range views {
		v := &views[i]
		if v == p || !usable(v, p, read.MinPosition) || r.replica(v.Upstream.Name).excluded {
			continue
		}
		wait := r.replica(v.Upstream.Name).expectedWait(v, p, read.MinPosition, now)
		t := gypsumyard.Target{
			Instance: v.Upstream.Name,
			Cost:     wait + v.Distance + time.Duration(v.Utilization*float64(replicaLoadCost)),
			Reason:   "replica covers the position",
		}
		if wait > 0 {
			t.Reason = "replica expected to cover the position"
		}
		targets = append(targets, t)
	}
	return targets
}

// usable reports whether the instance is a replica that has applied the position
// or can still apply it. p is the primary, nil if none is known.
func usable(v, p *gypsumyard.InstanceView, needed gypsumyard.Position) bool {
	s := &v.Status
	switch {
	case !v.Reachable || v.Leaving || s.Leaving:
		return false
	case s.Role != gypsumyard.RoleReplica:
		return false // a former primary, fenced for a later term
	case p == nil:
		// The replica receives no updates: it can only serve what it has applied.
		return s.Contains(needed)
	case s.Fence > p.Status.Term():
		return false // rejects replication from this primary
	case !p.Status.Contains(s.Applied) && s.Applied.Compare(p.Status.Applied) <= 0:
		return false // its log is on a fork that the primary has truncated
	case s.Term() > p.Status.Term():
		return false // replicates from a primary that is not known here
	}
	return s.Contains(needed) || !onAbandonedFork(s, needed)
}

// onAbandonedFork reports whether a position that the instance's log does not
// contain is on a fork that the log has left: the log has already passed it, in a
// later term or at the same or a higher offset, and so will never contain it.
func onAbandonedFork(s *gypsumyard.InstanceStatus, needed gypsumyard.Position) bool {
	return s.Term() > needed.Term || (s.Term() == needed.Term && s.Applied.Offset >= needed.Offset)
}
