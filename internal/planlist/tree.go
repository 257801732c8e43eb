package planlist

import (
	"math"
	"slices"
	"strings"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/rendezvous"
)

const (
	// maxWatchers is the number of hosts of a region that watch the store.
	// Three survive the loss of a failure domain.
	maxWatchers = 3
	// maxDirectPushHosts is the number of hosts up to which a watcher pushes
	// to all others itself. In larger regions, watchers push to relays, each
	// of which pushes to a group of hosts.
	maxDirectPushHosts = 32
)

// A pushTree assigns the hosts of a region their roles in the distribution of
// changes. Every host derives the same tree from the same set of hosts.
type pushTree struct {
	// ranked holds the hosts in descending rendezvous weight for treeKey.
	ranked []gypsumyard.Host
	self   int
}

func newPushTree(self string, hosts []gypsumyard.Host) pushTree {
	var ranked []gypsumyard.Host
	for _, h := range hosts {
		if h.State == gypsumyard.HostLive || h.State == gypsumyard.HostLeaving || h.Name == self {
			ranked = append(ranked, h)
		}
	}
	slices.SortFunc(ranked, func(a, b gypsumyard.Host) int {
		if x, y := rank(a.Name), rank(b.Name); x != y {
			if x > y {
				return -1
			}
			return 1
		}
		return strings.Compare(a.Name, b.Name)
	})
	i := slices.IndexFunc(ranked, func(h gypsumyard.Host) bool { return h.Name == self })
	return pushTree{ranked: ranked, self: i}
}

// treeKey is the rendezvous key that ranks the hosts in the tree. The same key
// selects the hosts that poll the platform's list of hosts.
const treeKey = "plan-lists"

func rank(host string) uint64 {
	return rendezvous.Weight(rendezvous.HashName(host), rendezvous.HashKey(treeKey))
}

// isWatcher reports whether this host watches the store.
func (t pushTree) isWatcher() bool { return t.self >= 0 && t.self < maxWatchers }

// relayCount returns the number of hosts that relay changes, zero if watchers
// push to all hosts.
func (t pushTree) relayCount() int {
	if len(t.ranked) <= maxDirectPushHosts {
		return 0
	}
	return int(math.Ceil(math.Sqrt(float64(len(t.ranked)))))
}

// targets returns the hosts that this host pushes newly applied objects to.
func (t pushTree) targets() []gypsumyard.Host {
	relays := t.relayCount()
	var targets []gypsumyard.Host
	for i, h := range t.ranked {
		if i == t.self {
			continue
		}
		direct := t.isWatcher() && (relays == 0 || i < relays)
		group := relays > 0 && t.self < relays && i >= relays && i%relays == t.self
		if direct || group {
			targets = append(targets, h)
		}
	}
	return targets
}
