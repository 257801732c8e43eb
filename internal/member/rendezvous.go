package member

import (
	"cmp"
	"hash/fnv"
	"slices"
	"sync"

	"github.com/gypsumyard/gypsumyard"
)

// hashName returns the same 64-bit hash in every process.
func hashName(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return mix(h.Sum64())
}

// mix spreads the bits of x over the whole word (the finalizer of SplitMix64).
// FNV alone leaves names that differ in the last byte close together.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// hashKey returns the part of the rendezvous weights that depends on the key.
// The increment of SplitMix64 keeps it apart from the hash of a host of the
// same name.
func hashKey(key string) uint64 { return mix(hashName(key) + 0x9e3779b97f4a7c15) }

// weight returns the rendezvous weight of a host for a key, given their hashes.
func weight(host, key uint64) uint64 { return mix(host ^ key) }

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
	k := hashKey(key)
	best, bestWeight := 0, uint64(0)
	for i := range candidates {
		if w := weight(candidates[i].hash, k); i == 0 || w > bestWeight {
			best, bestWeight = i, w
		}
	}
	return candidates[best].host, true
}

// leading returns the n candidates of the highest weights for the key.
func leading(candidates []candidate, key string, n int) []candidate {
	k := hashKey(key)
	sorted := slices.Clone(candidates)
	slices.SortStableFunc(sorted, func(a, b candidate) int {
		return cmp.Compare(weight(b.hash, k), weight(a.hash, k))
	})
	return sorted[:min(n, len(sorted))]
}

// A view is an immutable copy of what the table says about hosts, with the
// owners that were asked for.
type view struct {
	hosts   []gypsumyard.Host
	regions map[string][]candidate
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

func (v *view) owner(region, database string) (gypsumyard.Host, bool) {
	if o, ok := v.owners.Load(database); ok && o.(*ownership).region == region {
		return o.(*ownership).host, o.(*ownership).ok
	}
	h, ok := first(v.regions[region], database)
	v.owners.Store(database, &ownership{region, h, ok})
	return h, ok
}
