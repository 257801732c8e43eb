package memstore

import (
	"bytes"
	"context"
	"strings"
	"sync"

	"github.com/gypsumyard/gypsumyard"
)

// A Store implements [gypsumyard.Store].
type Store struct {
	mu             sync.Mutex
	version        gypsumyard.Version
	objects        map[string]gypsumyard.Object
	history        []gypsumyard.Object
	compactedTo    gypsumyard.Version
	changed        chan struct{}
	down           bool
	watchesStalled bool
	dropResponses  int
	calls          map[string]int
}

// New returns an empty store.
func New() *Store {
	return &Store{version: 1, objects: map[string]gypsumyard.Object{}, changed: make(chan struct{}), calls: map[string]int{}}
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
func (s *Store) Compact() { s.update(func() { s.compactedTo, s.history = s.version, nil }) }

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
		return o, gypsumyard.ErrNotFound
	}
	return o, nil
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
			list = append(list, o)
		}
	}
	return list, s.version, nil
}

// ListStale returns the same objects as List: the emulated list is never stale.
func (s *Store) ListStale(ctx context.Context, prefix string) ([]gypsumyard.Object, error) {
	list, _, err := s.List(ctx, prefix)
	return list, err
}

// Put sets the object's value if its version is the expected one. A missing
// object has version 0.
func (s *Store) Put(_ context.Context, name string, expected gypsumyard.Version, value []byte) (v gypsumyard.Version, err error) {
	s.update(func() {
		if err = s.call("put"); err != nil {
			return
		}
		if s.objects[name].Version != expected {
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
		if !ok || expected != 0 && o.Version != expected {
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
	s.version++
	o.Version = s.version
	s.history = append(s.history, o)
	if o.Deleted {
		delete(s.objects, o.Name)
	} else {
		s.objects[o.Name] = o
	}
	return o.Version
}

// Watch waits for changes after the version to objects whose names have the
// prefix.
func (s *Store) Watch(ctx context.Context, prefix string, after gypsumyard.Version) (list []gypsumyard.Object, v gypsumyard.Version, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		switch {
		case s.down:
			return nil, after, s.call("watch")
		case after < s.compactedTo && !s.watchesStalled:
			return nil, after, gypsumyard.ErrHistoryGone
		}
		for _, o := range s.history {
			if o.Version > after && strings.HasPrefix(o.Name, prefix) {
				list = append(list, o)
			}
		}
		if len(list) > 0 && !s.watchesStalled {
			return list, s.version, s.call("watch")
		}
		list = nil
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			err = gypsumyard.ErrUnavailable
		}
		s.mu.Lock()
		if err != nil {
			return nil, after, err
		}
	}
}
