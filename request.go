package gypsumyard

import (
	"context"
	"time"
)

// A StatementClass tells how a request is routed and acknowledged.
type StatementClass string

// The classes of statements.
const (
	// StatementRead only reads and may run on a replica.
	StatementRead StatementClass = "read"
	// StatementWrite writes or may write. Everything that is not known to
	// only read is of this class.
	StatementWrite StatementClass = "write"
	// StatementBegin opens a transaction on the primary.
	StatementBegin StatementClass = "begin"
	// StatementBeginRead opens a read-only transaction.
	StatementBeginRead StatementClass = "begin-read"
	// StatementCommit ends a transaction and keeps its work.
	StatementCommit StatementClass = "commit"
	// StatementRollback ends a transaction and drops its work.
	StatementRollback StatementClass = "rollback"
)

// A SessionID identifies a caller's session. It is unique in the whole system.
type SessionID string

// A Setting is a session parameter that an upstream connection must have
// before it runs a request of the session.
type Setting struct {
	Name  string
	Value string
}

// A Request is one unit of work: a simple query, or an extended batch up to its
// Sync. It is executed as a whole on one instance.
type Request struct {
	Session  SessionID
	Customer string
	Login    string
	Database string
	Class    StatementClass
	// Messages are the encoded frontend messages of PostgreSQL protocol 3,
	// ending with a Query or a Sync.
	Messages []byte
	// Shape identifies the statement without its literals, for learning run
	// times. Zero means unknown.
	Shape uint64
	// Repeatable is false for requests that must run at most once.
	Repeatable bool
	Priority   bool
	// Long marks a request that the caller declares to run long.
	Long bool
	// MaxStaleness is the accepted age of data. Zero asks for read-your-writes.
	MaxStaleness time.Duration
	// Position is the session's highest acknowledged position.
	Position Position
	// PositionKnown is false for a session that may have written elsewhere:
	// the owner then uses a bound that is certainly high enough.
	PositionKnown bool
	// Settings are the parameters that the session has set.
	Settings []Setting
	// Transaction is the handle of the open transaction, empty if none is.
	Transaction string
	// Owner is the host that holds the open transaction.
	Owner string
	// Deadline is when the caller gives up. Zero means no deadline.
	Deadline time.Time
}

// A Result tells how a request ended that an upstream has answered, be it with
// an error of the upstream itself.
type Result struct {
	// Position is the position to which the session has advanced: that of its
	// write, or that of the bound that was used for a read. Zero if unchanged.
	Position Position
	// TxStatus is the state after the request: 'I' idle, 'T' in a transaction,
	// 'E' in a failed transaction.
	TxStatus byte
	// Transaction is the handle of the transaction left open, empty if none is.
	Transaction string
	// Owner is the host that holds the transaction left open.
	Owner string
	// Instance served the request.
	Instance string
}

// A ResponseSink receives the answer to one request: whole, encoded backend
// messages without the final ReadyForQuery.
type ResponseSink interface {
	// Write blocks while the receiver is slow. The chunk may not be kept.
	Write(chunk []byte) (int, error)
}

// An Executor runs requests: the owner of the database, or the way to it.
type Executor interface {
	// Execute runs the request and writes the answer to sink. A failure is an
	// *Error whose class indicates whether the request ran. The CommandComplete
	// of a write is not written to sink before the write is confirmed.
	Execute(ctx context.Context, r *Request, sink ResponseSink) (Result, error)
	// Abandon rolls back the open transaction of a session that has ended.
	Abandon(ctx context.Context, r *Request) error
	// CancelStatement asks the upstream to cancel what the session runs.
	CancelStatement(ctx context.Context, r *Request) error
}
