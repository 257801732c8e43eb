package planlist

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"

	"github.com/gypsumyard/gypsumyard"
)

// A localCopy is a host's copy of the objects of the lists. An object is
// replaced only by a newer version of itself, regardless of the source.
type localCopy struct {
	mu      sync.RWMutex
	objects map[string]*decodedObject
	// completeTo is the version of the store up to which the copy contains all
	// changes.
	completeTo gypsumyard.Version
	// changed is closed and replaced at each change.
	changed chan struct{}
	// sortedDatabases caches all databases, ordered by name. It is nil after a
	// change of an object that holds databases.
	sortedDatabases []gypsumyard.Database
}

// A decodedObject is an object together with its decoded entries, without the
// tombstones.
type decodedObject struct {
	gypsumyard.Object
	plans     map[string]gypsumyard.Plan
	customers map[string]gypsumyard.Customer
	databases map[string]gypsumyard.Database
}

func newLocalCopy() *localCopy {
	return &localCopy{objects: map[string]*decodedObject{}, changed: make(chan struct{})}
}

func decodeObject(o gypsumyard.Object) (d *decodedObject, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("object %s version %d: %w", o.Name, o.Version, err)
		}
	}()
	kind, err := kindOf(o.Name)
	if err != nil {
		return nil, err
	}
	d = &decodedObject{Object: o}
	if o.Deleted {
		return d, nil
	}
	doc, err := decodeDocument(o.Value)
	if err != nil {
		return nil, err
	}
	switch kind {
	case Plans:
		d.plans, err = decodeEntries[gypsumyard.Plan](doc)
	case Customers:
		d.customers, err = decodeEntries[gypsumyard.Customer](doc)
	case Databases:
		d.databases, err = decodeEntries[gypsumyard.Database](doc)
	}
	return d, err
}

// apply stores the objects that are newer than the copies and returns them,
// with an error for each object that cannot be decoded. The copy of such an
// object is kept.
func (c *localCopy) apply(objects []gypsumyard.Object) (applied []gypsumyard.Object, errs []error) {
	for _, o := range objects {
		if !c.isStale(o) {
			continue
		}
		d, err := decodeObject(o)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		if c.replace(d) {
			applied = append(applied, o)
		}
	}
	return applied, errs
}

// isStale reports whether the copy of the object is missing or older than o.
func (c *localCopy) isStale(o gypsumyard.Object) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	d, ok := c.objects[o.Name]
	return !ok || d.Version < o.Version
}

// replace stores the object and reports true, unless an equal or newer version
// was stored concurrently.
func (c *localCopy) replace(d *decodedObject) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old, ok := c.objects[d.Name]; ok && old.Version >= d.Version {
		return false
	}
	c.objects[d.Name] = d
	if kind, _ := kindOf(d.Name); kind == Databases {
		c.sortedDatabases = nil
	}
	close(c.changed)
	c.changed = make(chan struct{})
	return true
}

// setCompleteVersion records that the copy contains all changes up to v.
func (c *localCopy) setCompleteVersion(v gypsumyard.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.completeTo = max(c.completeTo, v)
}

func (c *localCopy) completeVersion() gypsumyard.Version {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.completeTo
}

// newer returns the objects with a version above after, ordered by version, and
// the version up to which the copy is complete.
func (c *localCopy) newer(after gypsumyard.Version) ([]gypsumyard.Object, gypsumyard.Version) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var objects []gypsumyard.Object
	for _, d := range c.objects {
		if d.Version > after {
			objects = append(objects, d.Object)
		}
	}
	slices.SortFunc(objects, func(a, b gypsumyard.Object) int { return cmp.Compare(a.Version, b.Version) })
	return objects, c.completeTo
}

func (c *localCopy) changes() <-chan struct{} {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.changed
}

func (c *localCopy) versions() map[string]gypsumyard.Version {
	c.mu.RLock()
	defer c.mu.RUnlock()
	versions := make(map[string]gypsumyard.Version, len(c.objects))
	for name, d := range c.objects {
		versions[name] = d.Version
	}
	return versions
}

// object returns the copy of an object, or an empty object if there is none.
func (c *localCopy) object(name string) *decodedObject {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if d, ok := c.objects[name]; ok {
		return d
	}
	return &decodedObject{}
}

func (c *localCopy) customer(name string) (gypsumyard.Customer, bool) {
	v, ok := c.object(ObjectName(Customers, name)).customers[name]
	return v, ok
}

func (c *localCopy) plan(name string) (gypsumyard.Plan, bool) {
	v, ok := c.object(ObjectName(Plans, name)).plans[name]
	return v, ok
}

func (c *localCopy) database(name string) (gypsumyard.Database, bool) {
	v, ok := c.object(ObjectName(Databases, name)).databases[name]
	return v, ok
}

// allDatabases returns all databases, ordered by name. The slice is built once
// after each change of an object that holds databases. It is shared, so callers
// must not modify it.
func (c *localCopy) allDatabases() []gypsumyard.Database {
	c.mu.RLock()
	sorted := c.sortedDatabases
	c.mu.RUnlock()
	if sorted != nil {
		return sorted
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sortedDatabases == nil {
		c.sortedDatabases = c.sortDatabases()
	}
	return c.sortedDatabases
}

// sortDatabases returns all databases, ordered by name. The caller must hold
// c.mu.
func (c *localCopy) sortDatabases() []gypsumyard.Database {
	sorted := []gypsumyard.Database{}
	for _, d := range c.objects {
		sorted = slices.AppendSeq(sorted, maps.Values(d.databases))
	}
	slices.SortFunc(sorted, func(a, b gypsumyard.Database) int { return cmp.Compare(a.Name, b.Name) })
	return sorted
}
