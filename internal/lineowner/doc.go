// Package lineowner runs the database groups that a host owns over the line
// protocol. It routes statements to instances, keeps transactions on their
// connections, watches which instance leads, and replaces a primary that has
// failed or leaves.
//
// No single owner is needed for safety: two hosts may run a group at the same
// time. Whether an instance leads is decided by evidence from the instances,
// see lead.go, and a promotion first fences enough of them, see elect.go.
package lineowner
