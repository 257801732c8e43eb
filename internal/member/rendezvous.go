package member

import (
	"cmp"
	"math"
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

// maxMillicores bounds the capacity of a host in the ranking, so that one host's claim
// cannot take all databases.
const maxMillicores = 1 << 20

// A ranking orders candidates for a key by weighted rendezvous hashing.
type ranking struct {
	key uint64
	// weighted indicates that hosts with more capacity rank higher.
	weighted bool
}

// newRanking returns the order of the candidates for the key. The hosts' capacities count
// if all are known and they differ. All hosts of a region then compute the same order,
// also while hosts of an earlier version, which state no capacity, are among them.
func newRanking(candidates []candidate, key string) ranking {
	r := ranking{key: rendezvous.HashKey(key)}
	for i := range candidates {
		m := candidates[i].host.Millicores
		if m <= 0 {
			return ranking{key: r.key}
		}
		r.weighted = r.weighted || m != candidates[0].host.Millicores
	}
	return r
}

// compare orders a before b if a ranks higher.
func (r ranking) compare(a, b candidate) int {
	if !r.weighted {
		return cmp.Compare(rendezvous.Weight(b.hash, r.key), rendezvous.Weight(a.hash, r.key))
	}
	return cmp.Compare(r.score(&b), r.score(&a))
}

// score returns the weighted rendezvous score of a candidate. The weight is the square of
// the capacity: the load of one database cannot be divided, so a share in proportion to
// the capacity would still give databases to hosts that are too small for them.
func (r ranking) score(c *candidate) float64 {
	return weight(c) / -math.Log(r.uniform(c))
}

// scoreBound returns what the score does not exceed. It needs no logarithm and rules
// out most candidates of a large region.
func (r ranking) scoreBound(c *candidate) float64 {
	return weight(c) / (1 - r.uniform(c))
}

func weight(c *candidate) float64 { return float64(c.host.Millicores) * float64(c.host.Millicores) }

// uniform returns the candidate's hash for the key as a number between 0 and 1.
func (r ranking) uniform(c *candidate) float64 {
	const buckets = 1 << 52
	return (float64(rendezvous.Weight(c.hash, r.key)>>12) + 0.5) / buckets
}

// topCandidate returns the candidate that ranks highest for the key. The candidates are
// ordered by name, which breaks ties.
func topCandidate(candidates []candidate, key string) (gypsumyard.Host, bool) {
	if len(candidates) == 0 {
		return gypsumyard.Host{}, false
	}
	r := newRanking(candidates, key)
	best := r.topByHash
	if r.weighted {
		best = r.topByScore
	}
	return candidates[best(candidates)].host, true
}

// topByHash returns the index of the candidate with the highest weight. Like topByScore it
// copies no candidate: each change of the view ranks all hosts for each database.
func (r ranking) topByHash(candidates []candidate) (best int) {
	var most uint64
	for i := range candidates {
		if w := rendezvous.Weight(candidates[i].hash, r.key); w > most {
			best, most = i, w
		}
	}
	return best
}

// topByScore returns the index of the candidate with the highest score.
func (r ranking) topByScore(candidates []candidate) (best int) {
	most := 0.0
	for i := range candidates {
		c := &candidates[i]
		if r.scoreBound(c) <= most {
			continue
		}
		if s := r.score(c); s > most {
			best, most = i, s
		}
	}
	return best
}

// topCandidates returns the n candidates that rank highest for the key, highest first.
// Large ones come before all others: the few hosts that serve something to all hosts are
// a bottleneck if one of them has little capacity.
func topCandidates(candidates []candidate, key string, n int) []candidate {
	r := newRanking(candidates, key)
	limit := 0
	if r.weighted {
		limit = largeCapacity(candidates)
	}
	sorted := slices.Clone(candidates)
	slices.SortStableFunc(sorted, func(a, b candidate) int {
		if la, lb := a.host.Millicores >= limit, b.host.Millicores >= limit; la != lb {
			return largeFirst(la)
		}
		return r.compare(a, b)
	})
	return sorted[:min(n, len(sorted))]
}

// largeCapacity returns half of the highest capacity in thousandths of a core. Hosts that
// have as much count as large.
func largeCapacity(candidates []candidate) (limit int) {
	for i := range candidates {
		limit = max(limit, (candidates[i].host.Millicores+1)/2)
	}
	return limit
}

// largeFirst orders a large candidate before one that is not. It gets whether the first of
// them is large.
func largeFirst(large bool) int {
	if large {
		return -1
	}
	return 1
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
