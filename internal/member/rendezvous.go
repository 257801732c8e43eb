package member

import (
	"cmp"
	"slices"
	"sync"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/rendezvous"
)

// A candidate is a host that is eligible to own databases.
type candidate struct {
	host gypsumyard.Host
	hash uint64
}

// topCandidate returns the candidate with the highest weight for the key. The
// candidates are ordered by name, which breaks ties between equal weights.
func topCandidate(candidates []candidate, key string) (gypsumyard.Host, bool) {
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

// topCandidates returns the n candidates with the highest weights for the key,
// highest first.
func topCandidates(candidates []candidate, key string, n int) []candidate {
	k := rendezvous.HashKey(key)
	sorted := slices.Clone(candidates)
	slices.SortStableFunc(sorted, func(a, b candidate) int {
		return cmp.Compare(rendezvous.Weight(b.hash, k), rendezvous.Weight(a.hash, k))
	})
	return sorted[:min(n, len(sorted))]
}

// A view is an immutable snapshot of the table for readers, with a cache of the
// owners that were looked up.
type view struct {
	hosts   []gypsumyard.Host
	regions map[string][]candidate
	// rejoining holds the hosts that have rejoined within rejoinDelay and are
	// candidates only because their regions have no others.
	rejoining []candidate
	// assignments maps databases to the names of the hosts they are assigned to.
	assignments map[string]string
	// owners caches the ownership of databases by name. Only names that the lists
	// contain are cached, which bounds its size.
	owners sync.Map
}

// An ownership is the cached owner of one database, valid for the given region of
// the database.
type ownership struct {
	region string
	host   gypsumyard.Host
	ok     bool
}

// assignee returns the host to which the database is assigned, if that host is
// eligible in the region.
func (v *view) assignee(region, database string) (gypsumyard.Host, bool) {
	name, ok := v.assignments[database]
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
		h, ok = topCandidate(v.regions[region], database)
	}
	v.owners.Store(database, &ownership{region, h, ok})
	return h, ok
}
