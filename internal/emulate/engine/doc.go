// Package engine implements the database of an emulated instance: tables, a
// replicated log, transactions and the instance's term, fence and role. It does
// no network I/O.
package engine
