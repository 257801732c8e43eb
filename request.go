package gypsumyard

import (
	"context"
	"time"
)

// A StatementClass determines how a request is routed and acknowledged.
type StatementClass string

// The classes of statements.
const (
	// StatementRead: the request only reads and may run on a replica.
	StatementRead StatementClass = "read"
	// StatementWrite: the request writes or may write. Every statement that is
	// not known to be read-only is in this class.
	StatementWrite StatementClass = "write"
	// StatementBegin: the request opens a transaction on the primary.
	StatementBegin StatementClass = "begin"
	// StatementBeginRead: the request opens a read-only transaction.
	StatementBeginRead StatementClass = "begin-read"
	// StatementCommit: the request commits a transaction.
	StatementCommit StatementClass = "commit"
	// StatementRollback: the request rolls a transaction back.
	StatementRollback StatementClass = "rollback"
)

// A SessionID identifies a caller's session. It is unique across all hosts.
type SessionID string

// A Setting is a session parameter that must be set on an upstream connection
// before the connection runs a request of the session.
type Setting struct {
	Name  string
	Value string
}

// A Request is one unit of work: a simple query, or a batch of the extended query
// protocol up to its Sync. All of it is executed on one instance.
type Request struct {
	Session  SessionID
	Customer string
	Login    string
	Database string
	Class    StatementClass
	// Messages are the encoded frontend messages of PostgreSQL protocol 3. The
	// last one is a Query or a Sync.
	Messages []byte
	// Shape is the fingerprint of the statement without its literals, by which
	// run times are recorded. Zero means unknown.
	Shape uint64
	// Repeatable is false for requests that must run at most once.
	Repeatable bool
	Priority   bool
	// Long indicates that the caller has marked the request as long-running.
	Long bool
	// MaxStaleness is the maximum age of the data that a read may return. Zero
	// asks for read-your-writes.
	MaxStaleness time.Duration
	// Position is the highest position that was acknowledged to the session.
	Position Position
	// PositionKnown is false if the session may have written through another
	// host. The owner then uses a safe upper bound of the position.
	PositionKnown bool
	// DesiredNumber is the number of the desired state by which the route of the
	// request was found. Zero means unknown.
	DesiredNumber int64
	// Settings are the session parameters that the session has set.
	Settings []Setting
	// Transaction is the handle of the open transaction, empty if there is none.
	Transaction string
	// Owner is the name of the host that holds the open transaction.
	Owner string
	// Deadline is when the caller gives up. Zero means no deadline.
	Deadline time.Time
}

// A Result describes the outcome of a request to which an upstream has
// responded, possibly with an error.
type Result struct {
	// Position is the position to which the session has advanced: that of its
	// write, or the bound that was used for a read. Zero means unchanged.
	Position Position
	// TxStatus is the transaction status after the request: 'I' idle, 'T' in a
	// transaction, 'E' in a failed transaction.
	TxStatus byte
	// Transaction is the handle of the transaction that is still open, empty if
	// there is none.
	Transaction string
	// Owner is the name of the host that holds the open transaction.
	Owner string
	// Instance is the name of the instance that served the request.
	Instance string
}

// A ResponseSink receives the response to one request: complete, encoded backend
// messages without the final ReadyForQuery.
type ResponseSink interface {
	// Write blocks while the receiver is slow. Implementations must not retain
	// chunk.
	Write(chunk []byte) (int, error)
}

// An Executor runs requests. It is the owner of the database, or forwards to the
// owner.
type Executor interface {
	// Execute runs the request and writes the response to sink. A failure is an
	// *Error whose class indicates whether the request ran. The CommandComplete
	// of a write is written to sink only after the write is confirmed.
	Execute(ctx context.Context, r *Request, sink ResponseSink) (Result, error)
	// Abandon rolls back the open transaction of a session that has ended.
	Abandon(ctx context.Context, r *Request) error
	// CancelStatement asks the upstream to cancel the session's running
	// statement.
	CancelStatement(ctx context.Context, r *Request) error
}
