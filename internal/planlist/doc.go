// Package planlist manages the lists of customers, plans and databases: their
// encoding in the platform's store, edits that are applied exactly once, and the
// replication of the lists to all hosts.
//
// A list is sharded over objects of the store. An object holds entries, each
// with its own version, which counts the edits of that entry. A removed entry
// is kept as a tombstone, so that its version keeps growing.
package planlist
