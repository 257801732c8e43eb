// Package quota divides the rate limit of a customer among the owners of the database
// groups. Each owner has an [Allocation] for its group, with a token bucket for each customer
// that is active there. An allocation that is short of tokens requests some from others;
// tokens are deducted before they are sent and are never created on the way.
//
// The package has no network and no goroutines. See docs/design/rate-limits.md for the
// bound and its tolerance.
package quota
