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
	// lapseGrace is how long the entry of an instance counts after it was
	// removed without having announced that it leaves. Entries that expire
	// while the store is unavailable are back within two seconds of its
	// return.
	lapseGrace = 3 * time.Second
	// tombstoneAge is how long a removed object is remembered, so that an old
	// copy of another host does not bring it back.
	tombstoneAge = 5 * time.Minute
)

// A copied object is an object with what it decodes to.
type copied struct {
	gypsumyard.Object
	instance *gypsumyard.ListedInstance
	// removed is when the removal was learned.
	removed time.Time
}

// A snapshot is an immutable view of the copies.
type snapshot struct {
	desired   *gypsumyard.DesiredState
	instances map[string][]gypsumyard.ListedInstance
	databases []gypsumyard.Database
	byName    map[string]gypsumyard.Database
}

// copies holds the objects. It implements [gypsumyard.ObjectReplica].
type copies struct {
	names   ObjectNames
	decoder gypsumyard.Decoder
	clock   gypsumyard.Clock
	log     logrus.FieldLogger
	region  string

	mu      sync.Mutex
	objects map[string]*copied
	desired *gypsumyard.DesiredState
	// complete is, for each source, the version up to which no change is
	// missing.
	complete map[string]gypsumyard.Version
	current  *snapshot
	changes  chan struct{}
	ready    chan struct{}
}

// Apply takes over the objects that are newer than the copies.
func (c *copies) Apply(objects []gypsumyard.Object) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range objects {
		if c.replace(o) {
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
func (c *copies) Newer(after gypsumyard.Version) (list []gypsumyard.Object, complete gypsumyard.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.objects {
		if o.Version > after {
			list = append(list, o.Object)
		}
	}
	return list, c.completeLocked()
}

// completeLocked returns the version up to which all sources are complete.
func (c *copies) completeLocked() gypsumyard.Version {
	return min(c.complete[c.names.desiredPrefix()], c.complete[c.names.Instances])
}

// completeOf returns the version up to which one source is complete.
func (c *copies) completeOf(prefix string) gypsumyard.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.complete[prefix]
}

func (c *copies) setComplete(prefix string, v gypsumyard.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.complete[prefix] = max(c.complete[prefix], v)
	c.checkReady()
}

// adoptComplete notes that the copies are as complete as those of a peer.
func (c *copies) adoptComplete(v gypsumyard.Version) {
	c.setComplete(c.names.desiredPrefix(), v)
	c.setComplete(c.names.Instances, v)
}

// replaceAll takes over a whole list as it was at the version: copies that are
// missing from it are gone.
func (c *copies) replaceAll(prefix string, list []gypsumyard.Object, at gypsumyard.Version) {
	listed := map[string]bool{}
	for _, o := range list {
		listed[o.Name] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range list {
		c.replace(o)
	}
	for name, o := range c.objects {
		if strings.HasPrefix(name, prefix) && !listed[name] && !o.Deleted && o.Version <= at {
			c.replace(gypsumyard.Object{Name: name, Version: at, Deleted: true})
		}
	}
	c.complete[prefix] = max(c.complete[prefix], at)
	c.rebuild()
	c.checkReady()
}

// replace sets the copy of one object if o is newer. It is called with the lock
// held.
func (c *copies) replace(o gypsumyard.Object) bool {
	old := c.objects[o.Name]
	if old != nil && (o.Version < old.Version || o.Version == old.Version && o.Deleted == old.Deleted) {
		return false
	}
	n := &copied{Object: o}
	if o.Deleted {
		n.removed = c.clock.Now()
		if old != nil {
			n.instance = old.instance
		}
	}
	c.objects[o.Name] = n
	switch {
	case o.Name == c.names.Desired:
		c.takeDesired(o)
	case strings.HasPrefix(o.Name, c.names.Instances) && !o.Deleted:
		c.takeInstance(n)
	case strings.HasPrefix(o.Name, c.names.Instances):
		c.log.WithFields(logrus.Fields{"object": o.Name, "version": o.Version}).Info("entry of instance removed")
	}
	return true
}

func (c *copies) takeDesired(o gypsumyard.Object) {
	if o.Deleted {
		c.log.WithField("version", o.Version).Warn("desired state was deleted, the last one stays in force")
		return
	}
	d, err := c.decoder.DesiredState(o)
	if err != nil {
		c.log.WithField("version", o.Version).WithError(err).Warn("desired state is not taken over")
		return
	}
	c.desired = d
	c.log.WithFields(logrus.Fields{
		"version": o.Version, "number": d.Number, "routes": len(d.Routes), "groups": len(d.Groups),
	}).Info("desired state in force")
}

func (c *copies) takeInstance(n *copied) {
	i, err := c.decoder.Instance(n.Object)
	if err != nil {
		c.log.WithField("version", n.Version).WithError(err).Warn("entry names no instance")
		return
	}
	n.instance = &i
	c.log.WithFields(logrus.Fields{
		"instance": i.ID, "database": i.Group, "version": n.Version, "leaving": i.Leaving, "role": i.Role, "started": i.Started.UnixMilli(),
	}).Info("entry of instance")
}

// rebuild makes the snapshot anew and wakes those who wait for a change. It is
// called with the lock held.
func (c *copies) rebuild() {
	now := c.clock.Now()
	s := &snapshot{desired: c.desired, instances: map[string][]gypsumyard.ListedInstance{}, byName: map[string]gypsumyard.Database{}}
	for name, o := range c.objects {
		if o.Deleted && now.Sub(o.removed) > tombstoneAge {
			delete(c.objects, name)
		}
		if o.instance == nil || o.Deleted && (o.instance.Leaving || now.Sub(o.removed) > lapseGrace) {
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

func (c *copies) database(g gypsumyard.Group, list []gypsumyard.ListedInstance) gypsumyard.Database {
	d := gypsumyard.Database{Name: g.Name, Region: c.region, Connections: g.Connections}
	for _, i := range list {
		d.Slots = max(d.Slots, i.Slots)
		d.Instances = append(d.Instances, gypsumyard.Upstream{Name: i.ID, Addr: i.Addr, FailureDomain: i.FailureDomain})
	}
	return d
}

// expire drops the entries whose grace has ended.
func (c *copies) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	for _, o := range c.objects {
		if age := now.Sub(o.removed); o.Deleted && o.instance != nil && age > lapseGrace {
			c.log.WithFields(logrus.Fields{"instance": o.instance.ID, "age": age}).Info("instance is gone")
			o.instance = nil
			c.rebuild()
			return
		}
	}
}

func (c *copies) checkReady() {
	if c.desired == nil || c.complete[c.names.Instances] == 0 {
		return
	}
	select {
	case <-c.ready:
	default:
		close(c.ready)
	}
}

func (c *copies) snapshot() *snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}
