// Package slopes measures what one more item of a kind costs a host: processor
// time, memory and bytes on the wire for each session, database, peer and so
// on. Each experiment runs at several sizes; the slope of the line through the
// results is the cost of one item, and the residual indicates whether the cost is
// linear.
//
// Everything runs in one process on loopback. What the stand-ins and clients
// cost is measured in a run of their own and taken off.
package slopes
