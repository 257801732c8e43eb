// Package bench runs the workload of a deployment against a site on loopback,
// injects faults, and reports latencies, other measurements that users asked
// for, and violations of the system's invariants.
//
// It is an open-loop load generator: the arrival times of requests are drawn in
// advance from the seed, and latency is measured from the arrival, whether or
// not a session was free to send the request.
package bench
