// Package bench plays the load of a deployment against a site on loopback,
// injects faults, and reports latencies, the measures that users asked for and
// the verdict on what must always hold.
//
// Load is open: requests arrive at times that are drawn beforehand from the
// seed, and a latency counts from the arrival, whether or not a session was
// free to send the request.
package bench
