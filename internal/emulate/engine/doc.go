// Package engine is the database inside an emulated instance: tables, a
// replicated log, transactions and the instance's term, fence and role. It
// knows nothing of networks.
package engine
