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
	mu      sync.Mutex
	version gypsumyard.Version
	objects map[string]gypsumyard.Object
	history []gypsumyard.Object
	kept    gypsumyard.Version
	changed chan struct{}
	down    bool
	deaf    bool
	lose    int
	calls   map[string]int
}

// New returns an empty store.
func New() *Store {
	return &Store{version: 1, objects: map[string]gypsumyard.Object{}, changed: make(chan struct{}), calls: map[string]int{}}
}

// SetDown makes all calls fail with ErrUnavailable.
func (s *Store) SetDown(on bool) { s.set(func() { s.down = on }) }

// SetWatchesStalled makes watches report nothing.
func (s *Store) SetWatchesStalled(on bool) { s.set(func() { s.deaf = on }) }

// DropResponses makes the next n updates take effect without an answer.
func (s *Store) DropResponses(n int) { s.set(func() { s.lose = n }) }

// Compact drops the history.
func (s *Store) Compact() { s.set(func() { s.kept, s.history = s.version, nil }) }

// Calls returns how often a method was called.
func (s *Store) Calls(method string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[method]
}

func (s *Store) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

// call counts a call and fails while the store is down. It is called with the
// lock held.
func (s *Store) call(method string) error {
	s.calls[method]++
	if s.down {
		return gypsumyard.ErrUnavailable
	}
	return nil
}

// Get returns the object.
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

// List returns the objects below the prefix.
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

// ListStale is List.
func (s *Store) ListStale(ctx context.Context, prefix string) ([]gypsumyard.Object, error) {
	list, _, err := s.List(ctx, prefix)
	return list, err
}

// Put replaces the value if the object's version is expected.
func (s *Store) Put(_ context.Context, name string, expected gypsumyard.Version, value []byte) (v gypsumyard.Version, err error) {
	s.set(func() {
		if err = s.call("put"); err != nil {
			return
		}
		if s.objects[name].Version != expected {
			err = gypsumyard.ErrConflict
			return
		}
		v = s.record(gypsumyard.Object{Name: name, Value: bytes.Clone(value)})
		err = s.lost()
	})
	return v, err
}

// Delete removes the object.
func (s *Store) Delete(_ context.Context, name string, expected gypsumyard.Version) (err error) {
	s.set(func() {
		if err = s.call("delete"); err != nil {
			return
		}
		o, ok := s.objects[name]
		if !ok || expected != 0 && o.Version != expected {
			err = gypsumyard.ErrConflict
			return
		}
		s.record(gypsumyard.Object{Name: name, Deleted: true})
		err = s.lost()
	})
	return err
}

func (s *Store) lost() error {
	if s.lose == 0 {
		return nil
	}
	s.lose--
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

// Watch waits for a change below the prefix after the version.
func (s *Store) Watch(ctx context.Context, prefix string, after gypsumyard.Version) (list []gypsumyard.Object, v gypsumyard.Version, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		switch {
		case s.down:
			return nil, after, s.call("watch")
		case after < s.kept && !s.deaf:
			return nil, after, gypsumyard.ErrHistoryGone
		}
		for _, o := range s.history {
			if o.Version > after && strings.HasPrefix(o.Name, prefix) {
				list = append(list, o)
			}
		}
		if len(list) > 0 && !s.deaf {
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
