package gypsumyard

import (
	"context"
	"time"
)

// PeerClient is the way to the parts of other hosts, apart from requests.
type PeerClient interface {
	// PushObjects hands objects of the lists to a host, which applies those
	// that are newer than its own.
	PushObjects(ctx context.Context, to Host, objects []Object) error
	// FetchObjects returns the host's copies that are newer than after, and
	// the version of the store up to which the host's copies are complete.
	FetchObjects(ctx context.Context, from Host, after Version) ([]Object, Version, error)
	// ProbeInstance asks a host to read the status of an instance over a
	// fresh connection of its own.
	ProbeInstance(ctx context.Context, via Host, database, instance string) (InstanceStatus, error)
	// ReleaseDatabase tells a host that this one has finished its work as the
	// owner of the database.
	ReleaseDatabase(ctx context.Context, to Host, database string) error
	// AssignDatabase tells a host who owns a database for a time.
	AssignDatabase(ctx context.Context, to Host, a Assignment) error
}

// An Assignment makes a host the owner of a database for a time, whatever the
// order of the hosts says. A host that cannot reach enough instances gives the
// database to one that can.
type Assignment struct {
	Database string
	// Host is the name of the owner.
	Host string
	// Remaining is how long the assignment still holds.
	Remaining time.Duration
}

// An ObjectReplica keeps copies of versioned objects. A version never goes
// back.
type ObjectReplica interface {
	// Apply takes over the objects that are newer than the copies and returns
	// how many they were.
	Apply(objects []Object) int
	// Newer returns the copies that are newer than after, and the version of
	// the store up to which the copies are complete: no object has a change at
	// or below that version which the copies lack.
	Newer(after Version) ([]Object, Version)
}

// An Owner runs the databases that a host owns, and answers its peers.
type Owner interface {
	Executor
	// ProbeInstance reads the status of an instance over a fresh connection.
	ProbeInstance(ctx context.Context, database, instance string) (InstanceStatus, error)
	// AcceptRelease indicates that the previous owner has finished its work, so
	// that customers get their full rate at once.
	AcceptRelease(database, from string)
}
