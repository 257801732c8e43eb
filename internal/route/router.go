package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// A Router implements [gypsumyard.Router] for one database.
type Router struct{}

// An Option changes how a Router is built.
type Option func(*Router)

// New returns a Router.
func New(options ...Option) *Router { return &Router{} }

// Targets returns the primary and the replicas that cover the needed position.
func (r *Router) Targets(read gypsumyard.ReadRequest, views []gypsumyard.InstanceView, now time.Time) []gypsumyard.Target {
	var targets []gypsumyard.Target
	for i := range views {
		v := &views[i]
		switch {
		case !v.Reachable || v.Leaving:
		case v.Status.Writable():
			targets = append(targets, gypsumyard.Target{Instance: v.Upstream.Name, Cost: v.Distance + 2*time.Millisecond, Reason: "primary"})
		case !read.PrimaryOnly && v.Status.Contains(read.Needed):
			targets = append(targets, gypsumyard.Target{Instance: v.Upstream.Name, Cost: v.Distance, Reason: "replica covers the position"})
		}
	}
	slices.SortStableFunc(targets, func(a, b gypsumyard.Target) int { return cmp.Compare(a.Cost, b.Cost) })
	return targets
}
