// Package slopes measures the marginal cost of one item to a host: CPU time,
// memory and bytes on the wire for each additional session, database, peer and
// so on. Each experiment runs at several sizes. The slope of a least-squares line
// through the results is the cost of one item, and the residual indicates whether
// the cost is linear.
//
// Everything runs in one process on loopback. The cost of the fake services and
// the clients is measured in a separate run and subtracted.
package slopes
