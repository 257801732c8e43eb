// Package history is a consistency checker. It checks the events that clients
// and upstreams recorded during a run against the system's invariants:
// acknowledged writes are present exactly once, refused writes are absent,
// sessions read their own writes, transactions are not interleaved, responses
// are complete and belong to their requests, customers stay within their
// limits, and lists never revert to an older version.
//
// Clients write rows with unique tags, so that every row found at the end of a
// run can be traced to one request.
package history
