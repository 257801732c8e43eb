// Package memstore emulates the platform's store in memory, with the faults
// that tests inject.
package memstore
