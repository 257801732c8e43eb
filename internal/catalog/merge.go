package catalog

import (
	"strings"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/sirupsen/logrus"
)

// withheldTimeout is how long an entry that the store shows since a restore is
// withheld if it is older than the copy. The store removes entries of instances that
// do not write for three heartbeat intervals, so an entry that is still there
// belongs to a live instance.
const withheldTimeout = 6 * time.Second

// A withheldObject is an object of a restored store that is older than the copy.
type withheldObject struct {
	gypsumyard.Object
	since time.Time
}

// supersedes reports whether n replaces old, which has the same name and is of
// another era. Versions do not tell which of the two is newer, since the store came
// back from an older copy: what was written does. The caller must hold c.mu.
func (c *objectCache) supersedes(n, old *cachedObject) bool {
	later := n.Version.Era() > old.Version.Era()
	switch {
	case n.Name == c.names.Desired:
		return !n.Deleted && c.isNewerDesired(n.Object, later)
	case !strings.HasPrefix(n.Name, c.names.Instances):
		return later
	}
	newer := isNewerEntry(n, old, later)
	if !newer && later && !n.Deleted {
		c.withhold(n.Object, old)
	}
	return newer
}

// isNewerDesired reports whether o, of another era, holds a desired state that
// replaces the one in force: one with a higher number, or the same one written again.
// The caller must hold c.mu.
func (c *objectCache) isNewerDesired(o gypsumyard.Object, later bool) bool {
	d, err := c.decoder.DesiredState(o)
	if err != nil {
		c.logFaulty(o, err)
		return false
	}
	if c.desired == nil || d.Number > c.desired.Number {
		return true
	}
	if d.Number < c.desired.Number && later {
		c.log.WithFields(logrus.Fields{"version": o.Version, "number": d.Number, "in-force": c.desired.Number}).
			Warn("the store was restored with an older desired state, the newer one stays in force")
	}
	return d.Number == c.desired.Number && later
}

// isNewerEntry reports whether the entry n of an instance is newer than old, of
// another era. later indicates that n is of the later era.
func isNewerEntry(n, old *cachedObject, later bool) bool {
	if n.Deleted && later || old.instance == nil {
		return later
	}
	if n.instance == nil {
		return later && !old.Deleted
	}
	if !n.instance.Started.Equal(old.instance.Started) {
		return !n.Deleted && n.instance.Started.After(old.instance.Started)
	}
	switch written := n.instance.Sequence - old.instance.Sequence; {
	case written != 0:
		return written > 0
	case n.Deleted != old.Deleted:
		return n.Deleted // An entry from before the removal.
	}
	return later
}

// withhold remembers the object that a restored store shows instead of the newer
// copy. The caller must hold c.mu.
func (c *objectCache) withhold(o gypsumyard.Object, copied *cachedObject) {
	w := copied.withheld
	switch {
	case w == nil:
		copied.withheld = &withheldObject{o, c.clock.Now()}
		c.log.WithFields(logrus.Fields{"object": o.Name, "version": o.Version, "copy": copied.Version, "removed": copied.Deleted}).
			Warn("the store was restored with an older entry of an instance, ignoring it")
	case o.Version > w.Version:
		w.Object = o
	}
}

// releaseWithheld replaces the copy with the withheld object once the latter has
// been there for withheldTimeout, and reports whether it did. An instance that has
// announced that it is leaving does not become available again. The caller must
// hold c.mu.
func (c *objectCache) releaseWithheld(copied *cachedObject, now time.Time) bool {
	w := copied.withheld
	if w == nil || now.Sub(w.since) < withheldTimeout {
		return false
	}
	n := &cachedObject{Object: w.Object}
	c.decode(n)
	if leaving := copied.instance; leaving != nil && leaving.Leaving && n.instance != nil && leaving.Started.Equal(n.instance.Started) {
		return false
	}
	c.objects[n.Name] = n
	c.logInstance(n)
	return true
}
