// Package linecaller serves callers, the clients of the proxy, over the line
// protocol. The state of a session (its settings, prepared statements and
// position) is kept on this host; its statements are executed by the owner of
// the database group, which [gypsumyard.Executor] finds.
//
// BEGIN is answered locally. The transaction is opened on an instance by its
// first statement, so that a transaction that has not run a statement yet
// holds no upstream connection.
package linecaller
