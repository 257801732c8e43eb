// Package caller speaks PostgreSQL protocol 3 with callers: it authenticates
// them, keeps the state of their sessions and turns each simple query or
// extended batch into requests for the Executor.
//
// Connections run on nbio, whose data callback appends to a bounded buffer.
// Each connection has one goroutine that reads from the buffer and lives until
// the connection ends. Server.Stop waits for all of them.
//
// Nothing of a session stays on an upstream connection outside a transaction.
// Prepared statements are kept here and parsed unnamed in each batch that uses
// them. SET runs upstream as SET LOCAL, which validates the value, and is then
// kept as one of Request.Settings, whose values have the form that the function
// set_config takes. Statements whose state cannot be kept so are refused; a
// refusal fails an open transaction with a Bind of a missing statement.
//
// A query string or batch with transaction control or session statements runs
// as several requests, where that is the same as running it at once.
package caller
