// Package metrics connects the scopes of tally to the registry that scrapers
// read.
package metrics
