// Package memstore emulates the platform's store in memory, with fault injection.
package memstore
