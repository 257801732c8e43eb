// Package dispatch routes requests to the owner of their database, on this host or
// another one. It retries only requests that certainly did not run, and reads that
// may safely run twice.
package dispatch
