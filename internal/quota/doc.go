// Package quota divides the rate limit of a customer among the owners of the database
// groups. Each owner has a [Share] for its group, with a token bucket for each customer
// that is active there. A share that is short of tokens asks others; tokens are deducted
// before they are sent and are never created on the way.
//
// The package has no network and no goroutines. See docs/design/rate-limits.md for the
// terms of the bound.
package quota
