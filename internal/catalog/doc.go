// Package catalog maintains a host's copies of the desired state and of the list
// of instances, and registers the host itself in the platform's store.
//
// A few hosts, the watchers, watch the store. Every host also pulls newer objects
// from a watcher periodically, so that a host that the store does not serve learns
// of changes as well. The version of an object never goes back, whatever the
// source.
package catalog
