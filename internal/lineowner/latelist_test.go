package lineowner

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/matryer/is"
)

// Guards against a host that takes a group over before it has the list of instances, and
// does not serve for long after it has arrived: all instances of the stored set counted as
// not listed.
func TestListArrivesAfterReplicaSet(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 3)
	a := f.addHost("host-a", nil)
	f.eventually("a stored replica set", func() bool {
		_, err := f.write(a, "WRITE a 1")
		return err == nil && a.lastLine("replica set stored") != nil
	})
	var arrived atomic.Bool
	listed := func() []gypsumyard.ListedInstance {
		if !arrived.Load() {
			return nil
		}
		return f.group.Listed()
	}
	b := f.startHost("host-b", listed, nil, nil)
	f.eventually("the read of the set", func() bool { return b.lastLine("instance of the stored replica set is not listed") != nil })
	arrived.Store(true)
	b.lists.change()
	began := time.Now()
	f.eventually("a write", func() bool { _, err := f.write(b, "WRITE a 2"); return err == nil })
	t.Logf("served after %v", time.Since(began))
	is.True(time.Since(began) < time.Second)
}
