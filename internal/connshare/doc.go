// Package connshare decides how the customers of a database group share the
// connections to one instance. A connection serves the customer that it was opened for
// until it closes, there are fewer connections than customers, and a new one costs
// time and a slot. The package has no network and no locks.
package connshare
