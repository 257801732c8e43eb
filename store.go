package gypsumyard

import (
	"context"
	"fmt"
	"strconv"
	"time"
)

// An Era counts how often the platform's store was restored from an older copy.
// A store that does not report its era is in era zero.
type Era uint32

const (
	// revisionBits is the number of low bits of a Version that hold the revision.
	// Era and revision together fit the 53 bits that a JSON number holds exactly.
	revisionBits = 40
	// MaxEra is the highest era that a Version can hold.
	MaxEra Era = 1<<13 - 1
)

// A Version is a place in the history of the platform's store: the store's era
// and its revision within the era. The order of versions is the order of their
// eras, and of their revisions within an era. Within an era versions are unique;
// a restore takes the revision back, so the same revision may occur again in the
// next era. A version without a revision means that the object does not exist.
type Version uint64

// NewVersion returns the version of the revision in the era. The era must not
// exceed MaxEra.
func NewVersion(e Era, revision uint64) Version {
	return Version(e)<<revisionBits | Version(revision&(1<<revisionBits-1))
}

// Era returns the era of v.
func (v Version) Era() Era { return Era(v >> revisionBits) }

// Revision returns the revision of v within its era.
func (v Version) Revision() uint64 { return uint64(v) & (1<<revisionBits - 1) }

// String returns the version in the form "era/revision", or the revision alone in
// era zero.
func (v Version) String() string {
	if v.Era() == 0 {
		return strconv.FormatUint(v.Revision(), 10)
	}
	return fmt.Sprintf("%d/%d", v.Era(), v.Revision())
}

// Eras tracks the era of the platform's store as this host knows it.
type Eras interface {
	// Observe records the era of a response of the store. An era below the latest
	// one is ignored.
	Observe(Era)
	// Learn records an era that a peer has known for the given time.
	Learn(e Era, age time.Duration)
	// Era returns the latest era, and since when this host knows of it. The store
	// may have been restored earlier.
	Era() (e Era, since time.Time)
	// EraChanges returns a channel that is closed when the next era is seen.
	EraChanges() <-chan struct{}
}

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
	// Get returns the object. It fails with ErrNotFound if there is none; the
	// version of the result then holds only the era of the store.
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
	// which to continue. It returns no objects if the server ended the wait. It
	// fails with ErrHistoryGone if the store is in another era than the version.
	Watch(ctx context.Context, prefix string, after Version) ([]Object, Version, error)
}
