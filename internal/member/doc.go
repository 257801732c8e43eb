// Package member implements cluster membership: a host's view of the other hosts
// and of which host owns which database. The view has two sources: the
// platform's list, which lags, and heartbeats between hosts, which carry gossip.
//
// Failure detection and gossip resemble those of SWIM. A host sends heartbeats
// to other hosts on a hash ring. A host that has not been heard from for two
// and a half heartbeat intervals is suspected: two other hosts are asked to
// probe it, and it is declared dead unless one of them reaches it. An update
// carries the incarnation of the host that it is about. Only that host raises
// its incarnation, which is how it refutes a suspicion.
package member
