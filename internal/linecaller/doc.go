// Package linecaller serves callers over the line protocol. A session keeps its
// values, its prepared statements and its position on this host; statements are
// run by the owner of the database group, which [gypsumyard.Executor] finds.
//
// BEGIN is answered at once, and the transaction is opened at an instance with
// its first statement. A transaction that is idle before it has done anything
// holds no connection.
package linecaller
