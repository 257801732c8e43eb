package gypsumyard

import (
	"context"
	"time"
)

// PeerClient makes calls to other hosts (peers), except for the execution of
// requests, for which see [Executor].
type PeerClient interface {
	// PushObjects sends objects of the lists to a host, which applies those that
	// are newer than its own.
	PushObjects(ctx context.Context, to Host, objects []Object) error
	// FetchObjects returns what the host's copies add to copies that are complete
	// up to after. It fails if no more of the answer arrives for a second, and takes
	// as long as the answer needs otherwise. What has arrived of a large value is
	// not lost when it fails. Large objects that this host holds come without value.
	FetchObjects(ctx context.Context, from Host, after Version) (ObjectUpdate, error)
	// ProbeInstance asks a host to read the status of an instance over a new
	// connection.
	ProbeInstance(ctx context.Context, via Host, database, instance string) (InstanceStatus, error)
	// ReleaseDatabase notifies a host that this host has completed its work as
	// owner of the database.
	ReleaseDatabase(ctx context.Context, to Host, database string) error
	// RelayClaim makes a call to the store for a claim on the promotion of a database
	// through a host that may reach the store when this one does not. Its errors are
	// those of [Store].
	RelayClaim(ctx context.Context, via Host, c ClaimCall) (Object, error)
	// RequestQuota asks a host, as the owner of a database, for operations of customers'
	// rate limits. It returns those granted, which the host has given up.
	RequestQuota(ctx context.Context, from Host, q QuotaRequest) ([]QuotaTokens, error)
	// AssignDatabase notifies a host of a temporary owner of a database.
	AssignDatabase(ctx context.Context, to Host, a Assignment) error
}

// A ClaimCall reads or writes the claim on the promotion of a database.
type ClaimCall struct {
	Database string
	// Value is the value to write, or nil to read the claim.
	Value []byte
	// Expected is the version that the claim must have to be written.
	Expected Version
}

// An Assignment temporarily makes a host the owner of a database and overrides
// the owner that the order of the hosts determines. A host that cannot reach
// enough instances assigns the database to a host that can.
type Assignment struct {
	Database string
	// Host is the name of the owner.
	Host string
	// Remaining is the time until the assignment expires.
	Remaining time.Duration
}

// An ObjectReplica keeps copies of versioned objects. The version of a copy
// never decreases.
type ObjectReplica interface {
	// Apply stores the objects that are newer than the copies and returns their
	// number.
	Apply(objects []Object) int
	// Newer returns what the copies add to copies that are complete up to after.
	Newer(after Version) ObjectUpdate
	// Holds reports whether the copy of the object is of the version, or of a later one
	// of the same era.
	Holds(name string, v Version) bool
}

// An ObjectUpdate holds what the copies of one host add to those of another.
type ObjectUpdate struct {
	// Objects are the copies that the other host may lack.
	Objects []Object
	// Complete is the store version up to which the copies are complete: they
	// include every change at or below it. Zero means that this is not known.
	Complete Version
	// ValidFor is how long the other host may rely on Complete without asking the
	// store itself. Zero leaves the time to the other host.
	ValidFor time.Duration
	// EraAge is for how long the era of Complete has been known.
	EraAge time.Duration
	// Proven indicates that the other host may take the copy of the desired state
	// for proven since ProofAge before it asked: a read of the store that was sent
	// no earlier has confirmed the copy.
	Proven   bool
	ProofAge time.Duration
}

// An Owner executes requests for the databases that this host owns, and serves
// calls from peers.
type Owner interface {
	Executor
	// ProbeInstance reads the status of an instance over a new connection.
	ProbeInstance(ctx context.Context, database, instance string) (InstanceStatus, error)
	// AcceptRelease records that the previous owner has completed its work on
	// the database, so that customers get their full rate at once.
	AcceptRelease(database, from string)
}
