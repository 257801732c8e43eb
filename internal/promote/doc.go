// Package promote implements failover: it detects that the primary of a database
// has failed, and promotes another instance without losing an acknowledged write.
//
// A [Detector] judges the primary by the results of polls. [Run] fences a majority
// of the instances for a new term, so that no lower term can confirm writes any
// more, and promotes the most advanced of them. [HandOver] does the same for a
// planned change, after a replica has caught up with the leaving primary.
package promote
