// Package history checks what clients and upstreams recorded during a run
// against what must always hold: acknowledged writes are present exactly once,
// refused ones are absent, sessions read their own writes, transactions do not
// mix, answers are whole, shares are kept and lists never revert.
//
// Clients write rows with unique tags, so that every row found at the end can
// be traced to one request.
package history
