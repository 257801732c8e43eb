// Package balance estimates how long each instance of a database group takes to serve
// a read. It counts what it has sent itself, corrects old samples of the load by others
// for their age, and learns which instances are slow or fail. The package has no network
// and no locks.
package balance
