package gypsumyard

import (
	"context"
	"net/netip"
	"time"
)

// A Consistency is the consistency level of reads: which commits a read must
// see.
type Consistency string

// The consistency levels of a route.
const (
	// ConsistencyPrimary: a read sees every commit that was acknowledged before
	// the read began.
	ConsistencyPrimary Consistency = "primary"
	// ConsistencyBounded: a read sees every commit that was acknowledged longer
	// ago than the route's MaxStaleness.
	ConsistencyBounded Consistency = "bounded-staleness"
	// ConsistencySession: as ConsistencyBounded, and a read also sees every
	// commit of its own session.
	ConsistencySession Consistency = "read-your-writes"
)

// A Route configures how statements sent to one database name are served.
type Route struct {
	// Database is the name to which callers connect.
	Database string
	// Group is the name of the database group that serves the route.
	Group       string
	Consistency Consistency
	// MaxStaleness is the maximum age of the data that a read may return. It is
	// zero on routes of ConsistencyPrimary.
	MaxStaleness time.Duration
	// StatementTimeout limits the run time of one statement. Zero means no
	// limit.
	StatementTimeout time.Duration
	// Objective is the latency objective of a whole operation.
	Objective time.Duration
	// Priority orders routes under contention. Zero is the highest.
	Priority int
	// Open indicates that the route serves callers without a key.
	Open bool
}

// A Group is the configuration of a database group in the desired state.
type Group struct {
	Name string
	// Connections is how many connections one instance accepts.
	Connections int
	// SyncReplicas is how many replicas must have received a commit before
	// the primary acknowledges it.
	SyncReplicas int
}

// A DesiredState is the configuration that the operator has requested. It is
// immutable.
type DesiredState struct {
	// Number is the version number that the operator assigned.
	Number int64
	// Version is the version of the stored object that holds the state.
	Version Version
	Routes  map[string]Route
	Groups  map[string]Group
	// Keyed indicates that callers identify themselves by keys. Without it all
	// routes are open and there are no customers.
	Keyed bool
	// Customers holds the customers by name.
	Customers map[string]CallerCustomer
	// Keys maps the hash of each key to the name of the customer that holds it.
	Keys map[KeyHash]string
	// TransactionIdle is the idle timeout of transactions: one that is idle for
	// longer may be terminated. Zero means no limit.
	TransactionIdle time.Duration
}

// A ListedInstance is an instance's entry in the platform's list of instances.
type ListedInstance struct {
	ID            string
	Group         string
	Addr          netip.AddrPort
	FailureDomain string
	Slots         int
	// Leaving indicates that the instance is about to be shut down.
	Leaving bool
	// LeavingSince is when this host learned that it is leaving. It is zero while the
	// instance stays.
	LeavingSince time.Time
	// Role is the instance's role, according to the instance, when it wrote the
	// entry.
	Role Role
	// Sequence counts the writes of the instance's process to its entry, so that
	// of two entries of one process the later one can be told.
	Sequence int64
	// Started is when the instance's process started, by the instance's own
	// clock. An entry with the same ID and another start time belongs to another
	// instance.
	Started time.Time
}

// A DesiredStateSource provides the current desired state.
type DesiredStateSource interface {
	// Desired returns the current desired state, or nil while none is known.
	Desired() *DesiredState
	// Changes returns a channel that is closed when the desired state or the
	// instances change next.
	Changes() <-chan struct{}
}

// A DesiredStateProver tells since when the copy of the desired state is proven.
type DesiredStateProver interface {
	// ProvenAt returns when the read of the store that last confirmed the copy was
	// sent. Each state that the store acknowledged before that time is in force, or
	// a later one. It returns zero if nothing proves the copy. Callers that compare
	// it with the desired state must call it first.
	ProvenAt() time.Time
}

// A Decoder converts objects of the platform's store to the types of this
// package.
type Decoder interface {
	DesiredState(o Object) (*DesiredState, error)
	Instance(o Object) (ListedInstance, error)
}

// A Generation is a fencing token: it numbers the successive holders of a
// duty that one host has at a time. It increases with each holder and is never
// reused.
type Generation uint64

// A PromotionOrder asks the platform to promote an instance to primary of its
// group.
type PromotionOrder struct {
	Group      string
	Instance   string
	Holder     string
	Generation Generation
}

// A PromotionClient sends promotion orders to the platform. The platform has no
// call to read an order's result, so an order whose response was lost may have
// taken effect.
type PromotionClient interface {
	// Promote sends the order. It fails with ErrConflict if the instance is not
	// running, and with ErrOutcomeUnknown if there was no response.
	Promote(ctx context.Context, o PromotionOrder) error
}
