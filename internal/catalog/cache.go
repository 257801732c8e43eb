package catalog

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/sirupsen/logrus"
)

const (
	// removalGrace is how long an instance stays listed after its entry was removed
	// without having shown the instance as leaving. Entries that expire while the
	// store is unavailable are back within two seconds of its recovery.
	removalGrace = 3 * time.Second
	// tombstoneRetention is how long the tombstone of a removed object is kept, so
	// that an old copy from another host does not bring the object back.
	tombstoneRetention = 5 * time.Minute
)

// A cachedObject is a copy of an object, with the instance that it decodes to if it
// is an entry of one. A copy with Deleted set is a tombstone.
type cachedObject struct {
	gypsumyard.Object
	instance *gypsumyard.ListedInstance
	// removed is when this host learned of the removal.
	removed time.Time
}

// A snapshot is an immutable, decoded view of the copies.
type snapshot struct {
	desired   *gypsumyard.DesiredState
	instances map[string][]gypsumyard.ListedInstance
	databases []gypsumyard.Database
	byName    map[string]gypsumyard.Database
}

// An objectCache holds the copies of the store's objects. It implements
// [gypsumyard.ObjectReplica].
type objectCache struct {
	names   ObjectNames
	decoder gypsumyard.Decoder
	clock   gypsumyard.Clock
	log     logrus.FieldLogger
	region  string

	mu      sync.Mutex
	objects map[string]*cachedObject
	desired *gypsumyard.DesiredState
	// completeVersions holds, by watched prefix, the store's version up to which no
	// change is missing.
	completeVersions map[string]gypsumyard.Version
	current          *snapshot
	changes          chan struct{}
	ready            chan struct{}
}

// Apply merges the objects that are newer than the copies, and returns how many
// were.
func (c *objectCache) Apply(objects []gypsumyard.Object) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range objects {
		if c.applyObject(o) {
			n++
		}
	}
	if n > 0 {
		c.rebuild()
	}
	return n
}

// Newer returns the copies that are newer than after, and the version up to
// which the copies are complete.
func (c *objectCache) Newer(after gypsumyard.Version) (list []gypsumyard.Object, complete gypsumyard.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.objects {
		if o.Version > after {
			list = append(list, o.Object)
		}
	}
	return list, c.minCompleteVersionLocked()
}

// minCompleteVersionLocked returns the version up to which the copies of all
// prefixes are complete. The caller must hold c.mu.
func (c *objectCache) minCompleteVersionLocked() gypsumyard.Version {
	return min(c.completeVersions[c.names.desiredPrefix()], c.completeVersions[c.names.Instances])
}

// completeVersion returns the version up to which the copies of one prefix are
// complete.
func (c *objectCache) completeVersion(prefix string) gypsumyard.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.completeVersions[prefix]
}

func (c *objectCache) setCompleteVersion(prefix string, v gypsumyard.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.completeVersions[prefix] = max(c.completeVersions[prefix], v)
	c.checkReady()
}

// adoptCompleteVersion records that the copies are complete up to the version up to
// which those of a peer are.
func (c *objectCache) adoptCompleteVersion(v gypsumyard.Version) {
	c.setCompleteVersion(c.names.desiredPrefix(), v)
	c.setCompleteVersion(c.names.Instances, v)
}

// applyList merges a complete list of the store at the given version: copies that
// are missing from it have been removed.
func (c *objectCache) applyList(prefix string, list []gypsumyard.Object, at gypsumyard.Version) {
	listed := map[string]bool{}
	for _, o := range list {
		listed[o.Name] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range list {
		c.applyObject(o)
	}
	for name, o := range c.objects {
		if strings.HasPrefix(name, prefix) && !listed[name] && !o.Deleted && o.Version <= at {
			c.applyObject(gypsumyard.Object{Name: name, Version: at, Deleted: true})
		}
	}
	c.completeVersions[prefix] = max(c.completeVersions[prefix], at)
	c.rebuild()
	c.checkReady()
}

// applyObject replaces the copy of one object if o is newer, and reports
// whether it was. The caller must hold c.mu.
func (c *objectCache) applyObject(o gypsumyard.Object) bool {
	old := c.objects[o.Name]
	if old != nil && (o.Version < old.Version || o.Version == old.Version && o.Deleted == old.Deleted) {
		return false
	}
	n := &cachedObject{Object: o}
	if o.Deleted {
		n.removed = c.clock.Now()
		if old != nil {
			n.instance = old.instance
		}
	}
	c.objects[o.Name] = n
	switch {
	case o.Name == c.names.Desired:
		c.applyDesired(o)
	case strings.HasPrefix(o.Name, c.names.Instances) && !o.Deleted:
		c.applyInstance(n)
	case strings.HasPrefix(o.Name, c.names.Instances):
		c.log.WithFields(logrus.Fields{"object": o.Name, "version": o.Version}).Info("entry of instance removed")
	}
	return true
}

func (c *objectCache) applyDesired(o gypsumyard.Object) {
	if o.Deleted {
		c.log.WithField("version", o.Version).Warn("desired state was deleted, the last one stays in force")
		return
	}
	d, err := c.decoder.DesiredState(o)
	if err != nil {
		c.log.WithField("version", o.Version).WithError(err).Warn("cannot decode desired state, ignoring it")
		return
	}
	c.desired = d
	c.log.WithFields(logrus.Fields{
		"version": o.Version, "number": d.Number, "routes": len(d.Routes), "groups": len(d.Groups),
	}).Info("desired state in force")
}

func (c *objectCache) applyInstance(n *cachedObject) {
	i, err := c.decoder.Instance(n.Object)
	if err != nil {
		c.log.WithField("version", n.Version).WithError(err).Warn("cannot decode entry of instance")
		return
	}
	n.instance = &i
	c.log.WithFields(logrus.Fields{
		"instance": i.ID, "database": i.Group, "version": n.Version, "leaving": i.Leaving, "role": i.Role, "started": i.Started.UnixMilli(),
	}).Info("entry of instance")
}

// rebuild rebuilds the snapshot and wakes the waiters on Changes. The caller
// must hold c.mu.
func (c *objectCache) rebuild() {
	now := c.clock.Now()
	s := &snapshot{desired: c.desired, instances: map[string][]gypsumyard.ListedInstance{}, byName: map[string]gypsumyard.Database{}}
	for name, o := range c.objects {
		if o.Deleted && now.Sub(o.removed) > tombstoneRetention {
			delete(c.objects, name)
		}
		if o.instance == nil || o.Deleted && (o.instance.Leaving || now.Sub(o.removed) > removalGrace) {
			continue
		}
		s.instances[o.instance.Group] = append(s.instances[o.instance.Group], *o.instance)
	}
	for _, list := range s.instances {
		slices.SortFunc(list, func(a, b gypsumyard.ListedInstance) int { return cmp.Compare(a.ID, b.ID) })
	}
	if s.desired != nil {
		for _, g := range s.desired.Groups {
			d := c.database(g, s.instances[g.Name])
			s.databases = append(s.databases, d)
			s.byName[d.Name] = d
		}
	}
	slices.SortFunc(s.databases, func(a, b gypsumyard.Database) int { return cmp.Compare(a.Name, b.Name) })
	c.current = s
	close(c.changes)
	c.changes = make(chan struct{})
	c.checkReady()
}

func (c *objectCache) database(g gypsumyard.Group, list []gypsumyard.ListedInstance) gypsumyard.Database {
	d := gypsumyard.Database{Name: g.Name, Region: c.region, Connections: g.Connections}
	for _, i := range list {
		d.Slots = max(d.Slots, i.Slots)
		d.Instances = append(d.Instances, gypsumyard.Upstream{Name: i.ID, Addr: i.Addr, FailureDomain: i.FailureDomain})
	}
	return d
}

// expireRemoved drops a removed instance whose grace period has ended. It drops one
// per call.
func (c *objectCache) expireRemoved() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	for _, o := range c.objects {
		if age := now.Sub(o.removed); o.Deleted && o.instance != nil && age > removalGrace {
			c.log.WithFields(logrus.Fields{"instance": o.instance.ID, "age": age}).Info("instance is gone")
			o.instance = nil
			c.rebuild()
			return
		}
	}
}

func (c *objectCache) checkReady() {
	if c.desired == nil || c.completeVersions[c.names.Instances] == 0 {
		return
	}
	select {
	case <-c.ready:
	default:
		close(c.ready)
	}
}

func (c *objectCache) snapshot() *snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}
