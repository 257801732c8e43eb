// Package planlist keeps the lists of customers, plans and databases: their
// form in the platform's store, edits that are applied exactly once, and each
// host's copy with its distribution between hosts.
//
// A list is split over objects of the store. An object holds entries, each
// with its own version, which counts the edits of that entry. A removed entry
// stays as a tombstone, so that its version keeps growing.
package planlist
