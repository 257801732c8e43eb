package route

import (
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// BenchmarkTargets measures the choice among a primary and two replicas, of
// which one covers the needed position.
func BenchmarkTargets(b *testing.B) {
	now := time.Now()
	history := gypsumyard.History{{Term: 1, Start: 1}, {Term: 3, Start: 400}}
	view := func(name string, role gypsumyard.Role, offset gypsumyard.Offset) gypsumyard.InstanceView {
		return gypsumyard.InstanceView{
			Upstream:  gypsumyard.Upstream{Name: name},
			Reachable: true,
			SampledAt: now,
			Distance:  time.Millisecond,
			Status: gypsumyard.InstanceStatus{
				Role: role, Fence: 3, History: history, Applied: gypsumyard.Position{Term: 3, Offset: offset},
			},
		}
	}
	views := []gypsumyard.InstanceView{
		view("a", gypsumyard.RolePrimary, 1000), view("b", gypsumyard.RoleReplica, 990), view("c", gypsumyard.RoleReplica, 900),
	}
	read := gypsumyard.ReadRequest{Needed: gypsumyard.Position{Term: 3, Offset: 950}}
	r := New()
	b.ReportAllocs()
	for b.Loop() {
		r.Targets(read, views, now)
	}
}
