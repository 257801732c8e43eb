// Package rendezvous computes the weights of rendezvous hashing: for a key, the
// host of the highest weight comes first. Every process computes the same.
package rendezvous

import "hash/fnv"

// HashName returns a 64-bit hash of a host's name.
func HashName(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return Mix(h.Sum64())
}

// HashKey returns the part of the weights that depends on the key. The
// increment of SplitMix64 keeps it apart from the hash of a host of the same
// name.
func HashKey(key string) uint64 { return Mix(HashName(key) + 0x9e3779b97f4a7c15) }

// Weight returns the weight of a host for a key, given their hashes.
func Weight(host, key uint64) uint64 { return Mix(host ^ key) }

// Mix spreads the bits of x over the whole word (the finalizer of SplitMix64).
// FNV alone leaves names that differ in the last byte close together.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
