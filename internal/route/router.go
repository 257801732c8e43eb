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
	// primaryPenalty keeps reads away from an idle primary when a replica can
	// serve them within about the same time.
	primaryPenalty = 2 * time.Millisecond
	// primaryBusy is added at a primary that uses all its slots: reads that a
	// replica can serve must not delay writes.
	primaryBusy = 8 * time.Millisecond
	// replicaBusy is added at a replica that uses all its slots. It spreads
	// reads over the replicas.
	replicaBusy = 2 * time.Millisecond
)

// A Router implements [gypsumyard.Router] for one database. It learns from the
// samples in the views that it is given and may be used concurrently.
type Router struct {
	newEstimator func() estimator
	log          logrus.FieldLogger
	mu           sync.Mutex
	replicas     map[string]*replica
}

var _ gypsumyard.Router = (*Router)(nil)

// WithLogger sets the logger for replicas that leave the read set and return.
// The default discards all lines.
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

// Observe takes over new samples. [Router.Targets] does so as well; an owner
// that polls more often than it reads calls Observe after each poll.
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
		s := r.replica(v.Upstream.Name)
		if s.observe(v, p) {
			r.log.WithFields(logrus.Fields{"instance": v.Upstream.Name, "out": s.out, "lag": v.Lag, "position": v.Status.Applied.String()}).
				Info("read set changed")
		}
	}
}

func (r *Router) replica(name string) *replica {
	s := r.replicas[name]
	if s == nil {
		s = &replica{estimate: r.newEstimator()}
		r.replicas[name] = s
	}
	return s
}

// Targets returns the instances that may serve the read, cheapest first. See
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

// primaryOf returns the reachable primary of the highest term, or nil.
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
	cost := p.Distance + primaryPenalty + time.Duration(p.Utilization*float64(primaryBusy))
	return gypsumyard.Target{Instance: p.Upstream.Name, Cost: cost, Reason: "primary"}
}

func (r *Router) appendReplicas(targets []gypsumyard.Target, read gypsumyard.ReadRequest, views []gypsumyard.InstanceView, p *gypsumyard.InstanceView, now time.Time) []gypsumyard.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observe(views, p)
	for i := range views {
		v := &views[i]
		if v == p || !usable(v, p, read.MinPosition) || r.replica(v.Upstream.Name).out {
			continue
		}
		wait := r.replica(v.Upstream.Name).wait(v, p, read.MinPosition, now)
		t := gypsumyard.Target{
			Instance: v.Upstream.Name,
			Cost:     wait + v.Distance + time.Duration(v.Utilization*float64(replicaBusy)),
			Reason:   "replica covers the position",
		}
		if wait > 0 {
			t.Reason = "replica expected to cover the position"
		}
		targets = append(targets, t)
	}
	return targets
}

// usable reports whether the instance is a replica that can come to hold the
// position. p is the primary, nil if none is known.
func usable(v, p *gypsumyard.InstanceView, needed gypsumyard.Position) bool {
	s := &v.Status
	switch {
	case !v.Reachable || v.Leaving || s.Leaving:
		return false
	case s.Role != gypsumyard.RoleReplica:
		return false // a primary that a later term has fenced off
	case p == nil:
		// Nobody feeds the replica: it serves what it holds.
		return s.Contains(needed)
	case s.Fence > p.Status.Term():
		return false // takes no replication from this primary
	case !p.Status.Contains(s.Applied) && s.Applied.Compare(p.Status.Applied) <= 0:
		return false // its log is on a fork that the primary has cut off
	case s.Term() > p.Status.Term():
		return false // follows a primary that is not known here
	}
	return s.Contains(needed) || !lost(s, needed)
}

// lost reports whether the position is on a fork that the instance's log has
// left: it is not held although the log goes on in a later term.
func lost(s *gypsumyard.InstanceStatus, needed gypsumyard.Position) bool {
	return s.Term() > needed.Term || (s.Term() == needed.Term && s.Applied.Offset >= needed.Offset)
}
