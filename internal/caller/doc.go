// Package caller serves the proxy's clients, called callers, over PostgreSQL
// protocol 3: it authenticates them, keeps the state of their sessions and
// turns each simple query or extended-query batch into requests for the
// Executor.
//
// Connections are polled by nbio, whose data callback appends to a bounded
// buffer. Each connection has one goroutine that reads from the buffer and runs
// until the connection ends. Server.Stop waits for all of them.
//
// No session state stays on an upstream connection outside a transaction.
// Prepared statements are stored here and parsed as the unnamed statement in
// each batch that uses them. SET is sent upstream as SET LOCAL, which validates
// the value; the setting is then stored and sent with each request in
// Request.Settings, whose values have the form that the function set_config
// takes. Statements whose state cannot be stored in this way are rejected. A
// rejection within an open transaction also makes the transaction fail at the
// upstream, with a Bind of a statement that does not exist.
//
// A query string or batch that contains transaction control or session
// statements runs as several requests, provided that this gives the same result
// as running it as one.
package caller
