// Package catalog keeps a host's copy of the desired state and of the list of
// instances, and registers the host itself.
//
// A host watches the platform's store. It also asks another host from time to
// time for objects that are newer than its own, so that a host which the store
// does not serve learns of changes all the same. Versions of an object never go
// back, whatever the source.
package catalog
