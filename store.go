package gypsumyard

import "context"

// A Version numbers the updates of the platform's store. Versions only increase
// and are unique across the store. Zero means that the object does not exist.
type Version uint64

// An Object is a named, versioned value in the platform's store.
type Object struct {
	Name    string  `json:"name"`
	Version Version `json:"version"`
	Value   []byte  `json:"value"`
	// Deleted indicates, in the result of a watch, that the object was deleted.
	Deleted bool `json:"deleted,omitempty"`
}

// A Store is the platform's object API. A value has at most 1 MB. Each call
// counts against the platform's rate limits; a watch counts as one call however
// long it waits. A call fails with ErrUnavailable if nothing was changed and with
// ErrOutcomeUnknown if the response to an update was lost.
type Store interface {
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, name string) (Object, error)
	// List returns the objects whose names begin with prefix and the version
	// of the store that they reflect.
	List(ctx context.Context, prefix string) ([]Object, Version, error)
	// Put replaces the value if the object's version equals expected, and
	// returns the new version. Otherwise it fails with ErrConflict. If expected
	// is zero, Put creates the object.
	Put(ctx context.Context, name string, expected Version, value []byte) (Version, error)
	// Delete removes the object under the same condition as Put.
	Delete(ctx context.Context, name string, expected Version) error
	// Watch waits until an object whose name begins with prefix changes after
	// the given version. It returns the changed objects and the version from
	// which to continue. It returns no objects if the server ended the wait.
	Watch(ctx context.Context, prefix string, after Version) ([]Object, Version, error)
}
