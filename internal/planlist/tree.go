package planlist

import (
	"math"
	"slices"
	"strings"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/rendezvous"
)

const (
	// watchers is how many hosts of a region watch the store. Three outlive
	// the loss of a failure domain.
	watchers = 3
	// directPushes is up to how many hosts a watcher pushes to all others
	// itself. Beyond that, relays push to their groups.
	directPushes = 32
)

// A pushTree assigns the hosts of a region their parts in the distribution of
// changes. Every host derives the same tree from the same hosts.
type pushTree struct {
	// ranked are the hosts in rendezvous order for the lists.
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

// treeKey orders the hosts in the tree. The same hosts poll the platform's list
// of hosts.
const treeKey = "plan-lists"

func rank(host string) uint64 {
	return rendezvous.Weight(rendezvous.HashName(host), rendezvous.HashKey(treeKey))
}

// watches reports whether this host watches the store.
func (t pushTree) watches() bool { return t.self >= 0 && t.self < watchers }

// relays returns how many hosts relay changes, zero if watchers reach all.
func (t pushTree) relays() int {
	if len(t.ranked) <= directPushes {
		return 0
	}
	return int(math.Ceil(math.Sqrt(float64(len(t.ranked)))))
}

// targets returns the hosts to which this host pushes what it has newly
// applied.
func (t pushTree) targets() []gypsumyard.Host {
	relays := t.relays()
	var targets []gypsumyard.Host
	for i, h := range t.ranked {
		if i == t.self {
			continue
		}
		direct := t.watches() && (relays == 0 || i < relays)
		group := relays > 0 && t.self < relays && i >= relays && i%relays == t.self
		if direct || group {
			targets = append(targets, h)
		}
	}
	return targets
}
