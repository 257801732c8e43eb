// Package route selects the instances that may serve a read, by their position,
// replication lag, distance and load.
package route
