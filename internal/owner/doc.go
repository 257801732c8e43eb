// Package owner runs the databases that this host owns: it watches their
// instances, executes requests, holds open transactions, confirms writes
// before they are acknowledged and starts promotions.
package owner
