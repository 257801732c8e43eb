package gypsumyard

import "context"

// A Version numbers the updates of the platform's store. Versions only grow
// and are unique in the whole store. Zero means that the object does not
// exist.
type Version uint64

// An Object is one named value of the platform's store.
type Object struct {
	Name    string  `json:"name"`
	Version Version `json:"version"`
	Value   []byte  `json:"value"`
	// Deleted marks the removal of an object in a watch.
	Deleted bool `json:"deleted,omitempty"`
}

// A Store is the platform's object API. Values hold up to 1 MB. Each call
// counts against the platform's rates, a waiting watch as one. Calls fail with
// ErrUnavailable when nothing was changed and with ErrOutcomeUnknown when the
// answer to an update was lost.
type Store interface {
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, name string) (Object, error)
	// List returns the objects whose names begin with prefix and the version
	// of the store that they reflect.
	List(ctx context.Context, prefix string) ([]Object, Version, error)
	// Put replaces the value if the object's version is expected, and returns
	// the new version. An expected version of zero creates the object. It
	// fails with ErrConflict if the version is another.
	Put(ctx context.Context, name string, expected Version, value []byte) (Version, error)
	// Delete removes the object under the same condition as Put.
	Delete(ctx context.Context, name string, expected Version) error
	// Watch waits until an object whose name begins with prefix has changed
	// after the given version, and returns the changed objects and the version
	// to continue from. It returns no objects when the server ended the wait.
	Watch(ctx context.Context, prefix string, after Version) ([]Object, Version, error)
}
