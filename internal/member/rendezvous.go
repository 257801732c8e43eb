package member

import (
	"cmp"
	"slices"
	"sync"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/rendezvous"
)

// A candidate is a host that may own databases.
type candidate struct {
	host gypsumyard.Host
	hash uint64
}

// first returns the candidate of the highest weight for the key. Candidates are
// ordered by name, which decides between equal weights.
func first(candidates []candidate, key string) (gypsumyard.Host, bool) {
	if len(candidates) == 0 {
		return gypsumyard.Host{}, false
	}
	k := rendezvous.HashKey(key)
	best, bestWeight := 0, uint64(0)
	for i := range candidates {
		if w := rendezvous.Weight(candidates[i].hash, k); i == 0 || w > bestWeight {
			best, bestWeight = i, w
		}
	}
	return candidates[best].host, true
}

// leading returns the n candidates of the highest weights for the key.
func leading(candidates []candidate, key string, n int) []candidate {
	k := rendezvous.HashKey(key)
	sorted := slices.Clone(candidates)
	slices.SortStableFunc(sorted, func(a, b candidate) int {
		return cmp.Compare(rendezvous.Weight(b.hash, k), rendezvous.Weight(a.hash, k))
	})
	return sorted[:min(n, len(sorted))]
}

// A view is an immutable copy of what the table says about hosts, with the
// owners that were asked for.
type view struct {
	hosts   []gypsumyard.Host
	regions map[string][]candidate
	// waiting holds hosts that have returned a moment ago and are used because
	// their regions have no others.
	waiting []candidate
	// assigned maps databases to the hosts that own them for a time.
	assigned map[string]string
	// owners maps a database's name to its ownership. It only ever holds
	// names that the lists know.
	owners sync.Map
}

// An ownership is the answer for one database while it was in region.
type ownership struct {
	region string
	host   gypsumyard.Host
	ok     bool
}

// assignee returns the host to which the database is assigned, if it can own
// databases.
func (v *view) assignee(region, database string) (gypsumyard.Host, bool) {
	name, ok := v.assigned[database]
	if !ok {
		return gypsumyard.Host{}, false
	}
	for _, c := range v.regions[region] {
		if c.host.Name == name {
			return c.host, true
		}
	}
	return gypsumyard.Host{}, false
}

func (v *view) owner(region, database string) (gypsumyard.Host, bool) {
	if o, ok := v.owners.Load(database); ok && o.(*ownership).region == region {
		return o.(*ownership).host, o.(*ownership).ok
	}
	h, ok := v.assignee(region, database)
	if !ok {
		h, ok = first(v.regions[region], database)
	}
	v.owners.Store(database, &ownership{region, h, ok})
	return h, ok
}
