// Package owner runs the databases that this host owns. It polls their
// instances, executes requests, holds open transactions, acknowledges a write
// only after a majority has confirmed it, and replaces failed or leaving
// primaries.
package owner
