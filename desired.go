package gypsumyard

import (
	"context"
	"net/netip"
	"time"
)

// A Consistency tells which commits a read must see.
type Consistency string

// The consistencies of a route.
const (
	// ConsistencyPrimary: every commit that was acknowledged before the read
	// began.
	ConsistencyPrimary Consistency = "primary"
	// ConsistencyBounded: every commit that was acknowledged longer ago than
	// the route's staleness.
	ConsistencyBounded Consistency = "bounded-staleness"
	// ConsistencySession: as ConsistencyBounded, and every commit of the same
	// session.
	ConsistencySession Consistency = "read-your-writes"
)

// A Route tells how the statements of one database name are served.
type Route struct {
	// Database is the name that callers connect to.
	Database string
	// Group is the database group that serves it.
	Group       string
	Consistency Consistency
	// MaxStaleness is the accepted age of data. It is zero on routes of
	// ConsistencyPrimary.
	MaxStaleness time.Duration
	// StatementTimeout limits a single statement. Zero means no limit.
	StatementTimeout time.Duration
	// Objective is the latency objective of a whole operation.
	Objective time.Duration
	// Priority orders routes under contention. Zero is the highest.
	Priority int
}

// A Group is a database group as the desired state names it.
type Group struct {
	Name string
	// Connections is how many connections one instance accepts.
	Connections int
	// SyncReplicas is how many replicas must have received a commit before
	// the primary acknowledges it.
	SyncReplicas int
}

// A DesiredState is what the operator wants to be in force. It is immutable.
type DesiredState struct {
	// Number is the operator's own version.
	Number int64
	// Version is the store's version of the object that holds the state.
	Version Version
	Routes  map[string]Route
	Groups  map[string]Group
	// TransactionIdle is how long a transaction may be idle before it may be
	// terminated. Zero means no limit.
	TransactionIdle time.Duration
}

// A ListedInstance is an instance's entry in the platform's list.
type ListedInstance struct {
	ID            string
	Group         string
	Addr          netip.AddrPort
	FailureDomain string
	Slots         int
	// Leaving indicates that the instance is about to be shut down.
	Leaving bool
	// Role is what the instance believed to be when it wrote the entry.
	Role Role
	// Started is the start of the instance's process by its own clock. An
	// entry of the same ID with another start is another instance.
	Started time.Time
}

// A DesiredStateSource gives access to the desired state in force.
type DesiredStateSource interface {
	// Desired returns the state in force, or nil while none is known.
	Desired() *DesiredState
	// Changes returns a channel that is closed at the next change of the
	// desired state or of the instances.
	Changes() <-chan struct{}
}

// A Decoder turns the platform's objects into the product's types.
type Decoder interface {
	DesiredState(o Object) (*DesiredState, error)
	Instance(o Object) (ListedInstance, error)
}

// A Generation numbers the holders of a duty. It grows with each holder and is
// never used by two.
type Generation uint64

// A PromotionOrder asks the platform to make an instance the primary of its
// group.
type PromotionOrder struct {
	Group      string
	Instance   string
	Holder     string
	Generation Generation
}

// A PromotionClient orders promotions at the platform. Nothing can be read
// back: an order whose answer was lost may have taken effect.
type PromotionClient interface {
	// Promote orders a promotion. It fails with ErrConflict if the instance
	// does not run, and with ErrOutcomeUnknown if no answer came.
	Promote(ctx context.Context, o PromotionOrder) error
}
