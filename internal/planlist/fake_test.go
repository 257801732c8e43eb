package planlist

import (
	"context"
	"strings"
	"sync"

	"github.com/gypsumyard/gypsumyard"
)

// A memoryStore is an in-memory gypsumyard.Store with fault injection.
type memoryStore struct {
	mu      sync.Mutex
	version gypsumyard.Version
	objects map[string]gypsumyard.Object
	changed chan struct{}
	down    bool
	// putFaults holds the faults of the next calls of Put, one per call.
	putFaults []fault
}

type fault int

const (
	faultNone fault = iota
	faultRequestLost
	faultAnswerLost
	faultUnavailable
	faultConflict
)

func newMemoryStore() *memoryStore {
	return &memoryStore{objects: map[string]gypsumyard.Object{}, changed: make(chan struct{})}
}

func (s *memoryStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *memoryStore) Get(_ context.Context, name string) (gypsumyard.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return gypsumyard.Object{}, gypsumyard.ErrUnavailable
	}
	o, ok := s.objects[name]
	if !ok {
		return gypsumyard.Object{}, gypsumyard.ErrNotFound
	}
	return o, nil
}

func (s *memoryStore) List(_ context.Context, prefix string) ([]gypsumyard.Object, gypsumyard.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, 0, gypsumyard.ErrUnavailable
	}
	return s.changedAfter(prefix, 0), s.version, nil
}

func (s *memoryStore) changedAfter(prefix string, after gypsumyard.Version) (objects []gypsumyard.Object) {
	for _, o := range s.objects {
		if strings.HasPrefix(o.Name, prefix) && o.Version > after {
			objects = append(objects, o)
		}
	}
	return objects
}

func (s *memoryStore) Put(_ context.Context, name string, expected gypsumyard.Version, value []byte) (gypsumyard.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := faultNone
	if len(s.putFaults) > 0 {
		f, s.putFaults = s.putFaults[0], s.putFaults[1:]
	}
	switch {
	case s.down || f == faultUnavailable:
		return 0, gypsumyard.ErrUnavailable
	case f == faultRequestLost:
		return 0, gypsumyard.ErrOutcomeUnknown
	case f == faultConflict || s.objects[name].Version != expected:
		return 0, gypsumyard.ErrConflict
	}
	s.version++
	s.objects[name] = gypsumyard.Object{Name: name, Version: s.version, Value: value}
	close(s.changed)
	s.changed = make(chan struct{})
	if f == faultAnswerLost {
		return 0, gypsumyard.ErrOutcomeUnknown
	}
	return s.version, nil
}

func (s *memoryStore) Delete(context.Context, string, gypsumyard.Version) error {
	return gypsumyard.ErrUnavailable
}

func (s *memoryStore) Watch(ctx context.Context, prefix string, after gypsumyard.Version) ([]gypsumyard.Object, gypsumyard.Version, error) {
	for {
		s.mu.Lock()
		objects, version, changed, down := s.changedAfter(prefix, after), s.version, s.changed, s.down
		s.mu.Unlock()
		if down {
			return nil, 0, gypsumyard.ErrUnavailable
		}
		if len(objects) > 0 {
			return objects, version, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}
