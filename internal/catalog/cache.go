package catalog

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
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
// is an entry of one. A copy with Deleted set is a tombstone; its value and instance
// are the last ones before the removal.
type cachedObject struct {
	gypsumyard.Object
	instance *gypsumyard.ListedInstance
	// removed is when this host learned of the removal.
	removed time.Time
	// lost indicates that the object is missing since a restore of the store, which
	// does not mean that it was removed.
	lost bool
	// gone indicates that the grace period after the removal is over.
	gone bool
	// withheld is what the store has shown since a restore, if it is older than the
	// copy.
	withheld *withheldObject
}

// listed reports whether the copy counts as an entry of an instance.
func (o *cachedObject) listed(now time.Time) bool {
	switch {
	case o.instance == nil || o.gone:
		return false
	case !o.Deleted:
		return true
	case o.instance.Leaving && !o.lost:
		return false
	}
	return now.Sub(o.removed) <= removalGrace
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
	// current is read without the lock, since each statement reads it and a large
	// desired state is decoded under the lock.
	current atomic.Pointer[snapshot]
	changes chan struct{}
	ready   chan struct{}
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

// Holds reports whether the copy of the object is of the version, or of a later one of
// the same era.
func (c *objectCache) Holds(name string, v gypsumyard.Version) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.objects[name]
	return o != nil && o.Version.Era() == v.Era() && o.Version >= v
}

// Newer returns the copies that are newer than after, and the version up to
// which the copies are complete.
func (c *objectCache) Newer(after gypsumyard.Version) (list []gypsumyard.Object, complete gypsumyard.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	complete = c.minCompleteVersionLocked()
	for _, o := range c.objects {
		// A host that started after a restore knows its versions, but not what
		// this host has from before.
		if o.Version > after || o.Version.Era() < complete.Era() {
			list = append(list, o.Object)
		}
	}
	return list, complete
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
// which those of a peer are. In a new era they are complete only after a list of the
// store: a peer cannot tell which copies from before the restore are gone.
func (c *objectCache) adoptCompleteVersion(v gypsumyard.Version) {
	c.mu.Lock()
	own := c.minCompleteVersionLocked()
	c.mu.Unlock()
	if own != 0 && own.Era() != v.Era() {
		return
	}
	c.setCompleteVersion(c.names.desiredPrefix(), v)
	c.setCompleteVersion(c.names.Instances, v)
}

// applyList merges a complete list of the store at the given version: copies that
// are missing from it have been removed. A list of an earlier era is ignored. It
// returns how many of the objects are newer than the copies.
func (c *objectCache) applyList(prefix string, list []gypsumyard.Object, at gypsumyard.Version) (n int) {
	listed := map[string]bool{}
	for _, o := range list {
		listed[o.Name] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.Era() < c.completeVersions[prefix].Era() {
		return 0
	}
	for _, o := range list {
		if c.applyObject(o) {
			n++
		}
	}
	for name, o := range c.objects {
		present := !o.Deleted || o.withheld != nil
		if strings.HasPrefix(name, prefix) && !listed[name] && present && o.Version <= at {
			c.applyObject(gypsumyard.Object{Name: name, Version: at, Deleted: true})
		}
	}
	c.completeVersions[prefix] = max(c.completeVersions[prefix], at)
	c.rebuild()
	c.checkReady()
	return n
}

// applyObject replaces the copy of one object if o supersedes it, and reports
// whether it did. The caller must hold c.mu.
func (c *objectCache) applyObject(o gypsumyard.Object) bool {
	old := c.objects[o.Name]
	sameEra := old != nil && o.Version.Era() == old.Version.Era()
	if sameEra && (o.Version < old.Version || o.Version == old.Version && o.Deleted == old.Deleted) {
		return false
	}
	if o.Deleted && o.Name == c.names.Desired {
		c.log.WithField("version", o.Version).Warn("desired state was deleted, the last one stays in force")
		return false
	}
	n := &cachedObject{Object: o}
	c.decode(n)
	if old != nil && !sameEra && !c.supersedes(n, old) {
		return false
	}
	c.noteLeaving(n, old)
	if o.Deleted {
		c.bury(n, old)
	}
	c.objects[o.Name] = n
	switch {
	case o.Name == c.names.Desired:
		c.applyDesired(o)
	case strings.HasPrefix(o.Name, c.names.Instances):
		c.logInstance(n)
	}
	return true
}

// decode sets the instance of the copy if it is the entry of one.
func (c *objectCache) decode(n *cachedObject) {
	if !strings.HasPrefix(n.Name, c.names.Instances) || n.Deleted && len(n.Value) == 0 {
		return
	}
	i, err := c.decoder.Instance(n.Object)
	if err != nil {
		c.log.WithFields(logrus.Fields{"object": n.Name, "version": n.Version, "error": shortened(err)}).Warn("cannot decode entry of instance, ignoring it")
		return
	}
	n.instance = &i
}

// noteLeaving sets since when the instance of n is known to leave. old is the copy that
// n replaces, or nil.
func (c *objectCache) noteLeaving(n, old *cachedObject) {
	if n.instance == nil || !n.instance.Leaving {
		return
	}
	n.instance.LeavingSince = c.clock.Now()
	if old != nil && old.instance != nil && old.instance.Leaving && old.instance.Started.Equal(n.instance.Started) {
		n.instance.LeavingSince = old.instance.LeavingSince
	}
}

// bury makes n the tombstone of old, which may be nil.
func (c *objectCache) bury(n, old *cachedObject) {
	n.removed = c.clock.Now()
	if old == nil {
		n.gone = true
		return
	}
	n.Value, n.instance = old.Value, old.instance
	n.lost = n.Version.Era() > old.Version.Era()
	if old.Deleted {
		n.removed, n.lost, n.gone = old.removed, old.lost, old.gone
	}
}

// maxLoggedFaults is how many bytes of a decoding error are logged: it names all faults, of
// which a state with many customers may have many.
const maxLoggedFaults = 4 << 10

// logFaulty logs that a desired state cannot be decoded.
func (c *objectCache) logFaulty(o gypsumyard.Object, err error) {
	c.log.WithFields(logrus.Fields{"version": o.Version, "error": shortened(err), "bytes": len(err.Error())}).Warn("cannot decode desired state, ignoring it")
}

// shortened returns the text of a decoding error, up to maxLoggedFaults.
func shortened(err error) string {
	text := err.Error()
	if len(text) > maxLoggedFaults {
		text = text[:maxLoggedFaults] + "..."
	}
	return text
}

func (c *objectCache) applyDesired(o gypsumyard.Object) {
	d, err := c.decoder.DesiredState(o)
	if err != nil {
		c.logFaulty(o, err)
		return
	}
	fields := logrus.Fields{"version": o.Version, "number": d.Number, "routes": len(d.Routes), "groups": len(d.Groups)}
	if d.Keyed {
		fields["customers"], fields["keys"], fields["keys-withdrawn"] = len(d.Customers), len(d.Keys), withdrawnKeys(c.desired, d)
	}
	c.desired = d
	c.log.WithFields(fields).Info("desired state in force")
}

func (c *objectCache) logInstance(n *cachedObject) {
	i := n.instance
	switch {
	case n.Deleted:
		c.log.WithFields(logrus.Fields{"object": n.Name, "version": n.Version, "lost": n.lost}).Info("entry of instance removed")
	case i != nil:
		c.log.WithFields(logrus.Fields{
			"instance": i.ID, "address": i.Addr.String(), "database": i.Group, "version": n.Version, "leaving": i.Leaving, "role": i.Role, "started": i.Started.UnixMilli(),
		}).Info("entry of instance")
	}
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
		if !o.listed(now) {
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
	c.current.Store(s)
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

// expireRemoved drops the instances whose grace period has ended.
func (c *objectCache) expireRemoved() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	changed := false
	for _, o := range c.objects {
		if age := now.Sub(o.removed); o.Deleted && !o.gone && o.instance != nil && age > removalGrace {
			c.log.WithFields(logrus.Fields{"instance": o.instance.ID, "age": age}).Info("instance is gone")
			o.gone = true
			changed = true
		}
		changed = c.releaseWithheld(o, now) || changed
	}
	if changed {
		c.rebuild()
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

func (c *objectCache) snapshot() *snapshot { return c.current.Load() }
