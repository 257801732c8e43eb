package memstore

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// A Store implements [gypsumyard.Store].
type Store struct {
	mu             sync.Mutex
	era            gypsumyard.Era
	revision       uint64
	objects        map[string]gypsumyard.Object
	history        []gypsumyard.Object
	compactedTo    uint64
	changed        chan struct{}
	down           bool
	watchesStalled bool
	dropResponses  int
	calls          map[string]int
}

// New returns an empty store.
func New() *Store {
	return &Store{revision: 1, objects: map[string]gypsumyard.Object{}, changed: make(chan struct{}), calls: map[string]int{}}
}

// SetDown makes all calls fail with ErrUnavailable, or ends that.
func (s *Store) SetDown(on bool) { s.update(func() { s.down = on }) }

// SetWatchesStalled makes watches report no changes, or ends that.
func (s *Store) SetWatchesStalled(on bool) { s.update(func() { s.watchesStalled = on }) }

// DropResponses makes the next n updates take effect but fail with
// ErrOutcomeUnknown, as if the response was lost.
func (s *Store) DropResponses(n int) { s.update(func() { s.dropResponses = n }) }

// Compact discards the history of changes. Watches from an earlier version then
// fail with ErrHistoryGone.
func (s *Store) Compact() { s.update(func() { s.compactedTo, s.history = s.revision, nil }) }

// SetEra sets the era that the store reports. The initial one is zero.
func (s *Store) SetEra(e gypsumyard.Era) { s.update(func() { s.era = e }) }

// Era returns the era of the store.
func (s *Store) Era() gypsumyard.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// A Copy holds the objects of a store at one revision.
type Copy struct {
	revision uint64
	objects  map[string]gypsumyard.Object
}

// Copy returns a copy of the store, from which Restore can bring it back.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{s.revision, maps.Clone(s.objects)}
}

// Restore takes the store back to the copy and begins the next era. Writes since
// the copy are lost and their revisions are assigned again.
func (s *Store) Restore(c Copy) {
	s.update(func() {
		s.era++
		s.revision, s.objects = c.revision, maps.Clone(c.objects)
		s.compactedTo, s.history = c.revision, nil
	})
}

// version returns a revision of the current era as a version. The caller must hold
// s.mu.
func (s *Store) version(revision uint64) gypsumyard.Version {
	return gypsumyard.NewVersion(s.era, revision)
}

// inEra returns the object with its version in the current era. The caller must
// hold s.mu.
func (s *Store) inEra(o gypsumyard.Object) gypsumyard.Object {
	o.Version = s.version(o.Version.Revision())
	return o
}

// Calls returns the number of calls of a method: get, list, put, delete or watch.
// A watch counts when it returns changes or fails because the store is down.
func (s *Store) Calls(method string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[method]
}

func (s *Store) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

// call counts a call and fails with ErrUnavailable while the store is down. The
// caller must hold s.mu.
func (s *Store) call(method string) error {
	s.calls[method]++
	if s.down {
		return gypsumyard.ErrUnavailable
	}
	return nil
}

// Get returns the object with the given name.
func (s *Store) Get(_ context.Context, name string) (gypsumyard.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.call("get"); err != nil {
		return gypsumyard.Object{}, err
	}
	o, ok := s.objects[name]
	if !ok {
		return gypsumyard.Object{Name: name, Version: s.version(0)}, gypsumyard.ErrNotFound
	}
	return s.inEra(o), nil
}

// List returns the objects whose names have the prefix, and the store's version.
func (s *Store) List(_ context.Context, prefix string) (list []gypsumyard.Object, v gypsumyard.Version, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.call("list"); err != nil {
		return nil, 0, err
	}
	for name, o := range s.objects {
		if strings.HasPrefix(name, prefix) {
			list = append(list, s.inEra(o))
		}
	}
	return list, s.version(s.revision), nil
}

// ListStale returns the same objects as List: the emulated list is never stale.
func (s *Store) ListStale(ctx context.Context, prefix string) ([]gypsumyard.Object, error) {
	list, _, err := s.List(ctx, prefix)
	return list, err
}

// Put sets the object's value if its revision is that of the expected version: like
// the platform's store, it does not know in which era the caller read it. A missing
// object has revision 0.
func (s *Store) Put(_ context.Context, name string, expected gypsumyard.Version, value []byte) (v gypsumyard.Version, err error) {
	s.update(func() {
		if err = s.call("put"); err != nil {
			return
		}
		if s.objects[name].Version.Revision() != expected.Revision() {
			err = gypsumyard.ErrConflict
			return
		}
		v = s.record(gypsumyard.Object{Name: name, Value: bytes.Clone(value)})
		err = s.dropResponse()
	})
	return v, err
}

// Delete removes the object if its version is the expected one. An expected
// version of 0 matches any.
func (s *Store) Delete(_ context.Context, name string, expected gypsumyard.Version) (err error) {
	s.update(func() {
		if err = s.call("delete"); err != nil {
			return
		}
		o, ok := s.objects[name]
		if !ok || expected.Revision() != 0 && o.Version.Revision() != expected.Revision() {
			err = gypsumyard.ErrConflict
			return
		}
		s.record(gypsumyard.Object{Name: name, Deleted: true})
		err = s.dropResponse()
	})
	return err
}

func (s *Store) dropResponse() error {
	if s.dropResponses == 0 {
		return nil
	}
	s.dropResponses--
	return gypsumyard.ErrOutcomeUnknown
}

func (s *Store) record(o gypsumyard.Object) gypsumyard.Version {
	s.revision++
	o.Version = s.version(s.revision)
	s.history = append(s.history, o)
	if o.Deleted {
		delete(s.objects, o.Name)
	} else {
		s.objects[o.Name] = o
	}
	return o.Version
}

const (
	// quietWatch is how long a watch waits for a change before it returns none, and
	// watchMargin how long before its deadline it does so at the latest.
	quietWatch  = 900 * time.Millisecond
	watchMargin = 300 * time.Millisecond
)

// Watch waits for changes after the version to objects whose names have the
// prefix, at most for quietWatch and until watchMargin before its deadline. It fails with ErrHistoryGone if the version is of another era.
func (s *Store) Watch(ctx context.Context, prefix string, after gypsumyard.Version) (list []gypsumyard.Object, v gypsumyard.Version, err error) {
	wait := quietWatch
	if end, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(end)-watchMargin)
	}
	quiet := time.NewTimer(wait)
	defer quiet.Stop()
	ended := false
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		switch {
		case s.down:
			return nil, after, s.call("watch")
		case after.Era() != s.era || after.Revision() > s.revision:
			return nil, after, gypsumyard.ErrHistoryGone
		case after.Revision() < s.compactedTo && !s.watchesStalled:
			return nil, after, gypsumyard.ErrHistoryGone
		}
		for _, o := range s.history {
			if o.Version.Revision() > after.Revision() && strings.HasPrefix(o.Name, prefix) {
				list = append(list, s.inEra(o))
			}
		}
		if len(list) > 0 && !s.watchesStalled {
			return list, s.version(s.revision), s.call("watch")
		}
		if ended && !s.watchesStalled {
			return nil, s.version(s.revision), s.call("watch")
		}
		list = nil
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-quiet.C:
			ended = true
		case <-ctx.Done():
			err = fmt.Errorf("%w: %w", gypsumyard.ErrUnavailable, ctx.Err())
		}
		s.mu.Lock()
		if err != nil {
			return nil, after, err
		}
	}
}
