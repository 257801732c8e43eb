// Package dispatch runs requests at the owner of their database, on this host
// or another one, and sends requests again that certainly did not run.
package dispatch
