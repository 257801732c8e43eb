// Package metrics reports tally scopes to a Prometheus registry.
package metrics
