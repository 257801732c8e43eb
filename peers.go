package gypsumyard

import "context"

// Peers is the way to the parts of other hosts, apart from requests.
type Peers interface {
	// PushObjects hands objects of the lists to a host, which applies those
	// that are newer than its own.
	PushObjects(ctx context.Context, to Host, objects []Object) error
	// FetchObjects returns the objects of which the host has a newer version
	// than have names, and those that have does not name.
	FetchObjects(ctx context.Context, from Host, have map[string]Version) ([]Object, error)
	// ProbeInstance asks a host to read the status of an instance over a
	// fresh connection of its own.
	ProbeInstance(ctx context.Context, via Host, database, instance string) (InstanceStatus, error)
	// ReleaseDatabase tells a host that this one has finished its work as the
	// owner of the database.
	ReleaseDatabase(ctx context.Context, to Host, database string) error
}

// An ObjectReplica keeps copies of versioned objects. A version never goes
// back.
type ObjectReplica interface {
	// Apply takes over the objects that are newer than the copies and returns
	// how many they were.
	Apply(objects []Object) int
	// Newer returns the copies that are newer than have names, and those that
	// have does not name.
	Newer(have map[string]Version) []Object
}

// An Owner runs the databases that a host owns, and answers its peers.
type Owner interface {
	Executor
	// ProbeInstance reads the status of an instance over a fresh connection.
	ProbeInstance(ctx context.Context, database, instance string) (InstanceStatus, error)
	// AcceptRelease tells that the previous owner has finished its work, so
	// that customers get their full rate at once.
	AcceptRelease(database, from string)
}
