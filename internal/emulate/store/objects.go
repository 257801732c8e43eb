package store

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/gypsumyard/gypsumyard"
)

// objects holds versioned objects. It keeps a tombstone of each deleted object,
// so that watches report the deletion.
type objects struct {
	mu      sync.Mutex
	version gypsumyard.Version
	byName  map[string]gypsumyard.Object
	changed chan struct{}
}

func newObjects() *objects {
	return &objects{byName: map[string]gypsumyard.Object{}, changed: make(chan struct{})}
}

func (o *objects) get(name string) (gypsumyard.Object, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	v, ok := o.byName[name]
	return v, ok && !v.Deleted
}

// update replaces or deletes an object if its version is the expected one. It
// returns the new version, or the current one with ErrConflict.
func (o *objects) update(name string, expected gypsumyard.Version, value []byte, deleted bool) (gypsumyard.Version, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var current gypsumyard.Version
	if old, ok := o.byName[name]; ok && !old.Deleted {
		current = old.Version
	}
	if current != expected || deleted && current == 0 {
		return current, gypsumyard.ErrConflict
	}
	o.version++
	o.byName[name] = gypsumyard.Object{Name: name, Version: o.version, Value: value, Deleted: deleted}
	close(o.changed)
	o.changed = make(chan struct{})
	return o.version, nil
}

// list returns the objects with a version above after, ordered by name, the
// store's version, and a channel that is closed at the next change. It includes
// tombstones if deleted is set.
func (o *objects) list(prefix string, after gypsumyard.Version, deleted bool) (list []gypsumyard.Object, v gypsumyard.Version, changed <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, obj := range o.byName {
		if strings.HasPrefix(name, prefix) && obj.Version > after && (deleted || !obj.Deleted) {
			list = append(list, obj)
		}
	}
	slices.SortFunc(list, func(a, b gypsumyard.Object) int { return strings.Compare(a.Name, b.Name) })
	return list, o.version, o.changed
}

// watch waits for changes after a version and returns them with the store's
// version. It returns no changes if ctx is done first.
func (o *objects) watch(ctx context.Context, prefix string, after gypsumyard.Version) ([]gypsumyard.Object, gypsumyard.Version) {
	for {
		list, v, changed := o.list(prefix, after, true)
		if len(list) > 0 {
			return list, v
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, max(v, after)
		}
	}
}
