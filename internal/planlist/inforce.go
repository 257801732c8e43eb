package planlist

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/gypsumyard/gypsumyard"
)

// A HostApplyStatus reports whether a change is in force on one host.
type HostApplyStatus struct {
	Host    string `json:"host"`
	InForce bool   `json:"in-force"`
	// Error is why the host could not be queried.
	Error string `json:"error,omitempty"`
}

// InForce queries all other live hosts of the region. It reports for each of
// them and for this host whether the given version of the object, or a later one,
// is in force there.
func (s *Service) InForce(ctx context.Context, object string, version gypsumyard.Version) []HostApplyStatus {
	answers := []HostApplyStatus{{Host: s.members.Self().Name, InForce: s.copy.inForce(object, version)}}
	peers := s.peers()
	if peers == nil {
		return answers
	}
	var mu sync.Mutex
	var tasks sync.WaitGroup
	for _, h := range s.otherHosts() {
		tasks.Go(func() {
			a := queryInForce(ctx, peers, h, object, version)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
	}
	tasks.Wait()
	slices.SortFunc(answers, func(a, b HostApplyStatus) int { return cmp.Compare(a.Host, b.Host) })
	return answers
}

func queryInForce(ctx context.Context, peers gypsumyard.PeerClient, h gypsumyard.Host, object string, version gypsumyard.Version) HostApplyStatus {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	u, err := peers.FetchObjects(ctx, h, version-1)
	if err != nil {
		return HostApplyStatus{Host: h.Name, Error: err.Error()}
	}
	held := slices.ContainsFunc(u.Objects, func(o gypsumyard.Object) bool { return o.Name == object })
	return HostApplyStatus{Host: h.Name, InForce: held}
}

func (c *localCopy) inForce(object string, version gypsumyard.Version) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	d, ok := c.objects[object]
	return ok && d.Version.Era() == version.Era() && d.Version >= version
}
