// Package catalog maintains a host's copies of the desired state and of the list
// of instances, and registers the host itself in the platform's store.
//
// A few hosts, the watchers, watch the store. Every host also pulls newer objects
// from a watcher periodically, so that a host that the store does not serve learns
// of changes as well. The answer of a watcher may be relied on for a short time;
// without one a host stands in for the watchers and reads the store itself.
//
// The version of an object never goes back, whatever the source. The store may be
// restored from an older copy, which begins a new era. Across eras the versions of an
// object say nothing about which of two values was written later; see merge.go.
package catalog
