// Package lineowner serves the database groups that a host owns over the line
// protocol. It routes statements to instances, pins transactions to their
// connections, tracks which instance is the primary, and runs the failover when
// the primary has failed or is leaving.
//
// Safety does not depend on a single owner: two hosts may run a group at the same
// time. Whether an instance is the primary is decided by evidence from the
// instances (lead.go), and a promotion first fences enough of them (elect.go,
// fence.go). Which instances count is a stored set, not the list of the moment
// (replicaset.go, replicas.go).
package lineowner
