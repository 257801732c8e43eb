// Package caller speaks PostgreSQL protocol 3 with callers: it authenticates
// them, keeps the state of their sessions and turns each simple query or
// extended batch into requests for the Executor.
//
// Connections run on nbio, whose data callback appends to a bounded buffer.
// Each connection has one goroutine that reads from the buffer and lives until
// the connection ends. Server.Stop waits for all of them.
package caller
