// Package rendezvous computes the weights of rendezvous (highest random weight)
// hashing: for a key, the host with the highest weight comes first. The weights
// depend only on the names, so that all processes compute the same order.
package rendezvous

import "hash/fnv"

// HashName returns the 64-bit hash of a host's name.
func HashName(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return Mix(h.Sum64())
}

// HashKey returns the 64-bit hash of a key. It adds the increment of SplitMix64 so
// that a key's hash differs from the hash of a host with the same name.
func HashKey(key string) uint64 { return Mix(HashName(key) + 0x9e3779b97f4a7c15) }

// Weight returns the weight of a host for a key. The arguments are the results of
// HashName and HashKey.
func Weight(host, key uint64) uint64 { return Mix(host ^ key) }

// Mix is the finalizer of SplitMix64. It spreads the bits of x over the whole
// result. It is needed because FNV alone gives similar hashes to names that differ
// only in the last byte.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
