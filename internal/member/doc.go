// Package member keeps a host's view of the other hosts and of who owns which
// database. The view has two sources: the platform's list, which lags, and
// heartbeats between hosts, on which updates spread by gossip.
//
// A host exchanges heartbeats with its successors on a ring. One that misses
// three is suspected, and declared dead unless two others reach it. Updates
// carry the incarnation of the host that they are about. Only that host raises
// it, which is how it refutes a suspicion.
package member
