package lineowner

import (
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/emulate/linegroup"
	"github.com/matryer/is"
)

// electionSpan is longer than the detection of a failed primary and an election take
// in the tests.
const electionSpan = 2 * time.Second

// list makes the host's list hold only the given instances.
func (h *hostFixture) list(instances ...*linegroup.Instance) {
	h.lists.mu.Lock()
	h.lists.listed = listOf(instances)
	h.lists.mu.Unlock()
	h.lists.change()
}

// writeWithout acknowledges commits that the instance does not receive.
func (f *fixture) writeWithout(h *hostFixture, i *linegroup.Instance) {
	f.t.Helper()
	is := is.New(f.t)
	_, err := f.write(h, "WRITE a 1")
	is.NoErr(err)
	i.SetIsolated(true)
	for range 5 {
		_, err := f.write(h, "WRITE a 2")
		is.NoErr(err)
	}
}

// nothingLost checks that the primary holds each acknowledged commit.
func (f *fixture) nothingLost() {
	f.t.Helper()
	is := is.New(f.t)
	for _, p := range f.group.Acknowledged() {
		is.True(f.group.Primary().Contains(p))
	}
}

// Guards against a lost commit after all instances were gone and return one by one:
// the first one that is listed again is not the whole group.
func TestInstancesThatReturnOneByOne(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 3)
	h := f.addHost("host-1", nil)
	all := f.group.Instances()
	f.writeWithout(h, all[1])
	all[0].SetUnresponsive(true)
	all[2].SetUnresponsive(true)
	h.list()
	time.Sleep(100 * time.Millisecond)
	h.list(all[1])
	time.Sleep(electionSpan)
	is.Equal(len(h.promoter.sent()), 0)
	all[0].SetUnresponsive(false)
	all[2].SetUnresponsive(false)
	h.list(all...)
	f.eventually("a write", func() bool {
		_, err := f.write(h, "WRITE a 3")
		return err == nil
	})
	f.nothingLost()
}

// Guards against a lost commit when the entry of an unreachable primary lapses: the
// one reachable replica may lack commits that the primary and the other replica hold.
func TestEntryOfPrimaryLapses(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 3)
	h := f.addHost("host-1", nil)
	all := f.group.Instances()
	f.writeWithout(h, all[1])
	all[0].SetUnresponsive(true)
	all[2].SetUnresponsive(true)
	h.list(all[1], all[2])
	time.Sleep(electionSpan)
	is.Equal(len(h.promoter.sent()), 0)
	all[2].SetUnresponsive(false)
	f.eventually("a promotion", func() bool { return len(h.promoter.sent()) > 0 })
	is.Equal(h.promoter.sent()[0].Instance, all[2].ID())
}

// Guards against a lost commit after the only replica that has received it has left.
func TestReplicaThatLeavesHeldCommit(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 3)
	h := f.addHost("host-1", nil)
	all := f.group.Instances()
	f.writeWithout(h, all[1])
	all[2].Crash()
	h.list(all[0], all[1])
	all[0].SetUnresponsive(true)
	time.Sleep(electionSpan)
	is.Equal(len(h.promoter.sent()), 0)
}

// Guards against a group that cannot replace its primary although the other replica
// has received everything since the third instance left.
func TestPrimaryFailsAfterReplicaHasLeft(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 3)
	h := f.addHost("host-1", nil)
	all := f.group.Instances()
	_, err := f.write(h, "WRITE a 1")
	is.NoErr(err)
	all[2].Crash()
	h.list(all[0], all[1])
	time.Sleep(electionSpan)
	_, err = f.write(h, "WRITE a 2")
	is.NoErr(err)
	all[0].Crash()
	f.eventually("a promotion", func() bool { return len(h.promoter.sent()) > 0 })
	f.eventually("a new primary", func() bool { return all[1].Role() == gypsumyard.RolePrimary })
	f.nothingLost()
}

// Guards against a promotion by a host that has just started and whose list holds
// only one of the instances.
func TestNewHostWithPartialList(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 3)
	a := f.addHost("host-a", nil)
	all := f.group.Instances()
	f.writeWithout(a, all[1])
	time.Sleep(electionSpan)
	b := f.addHostWithList("host-b", all[1])
	time.Sleep(electionSpan)
	is.Equal(len(b.promoter.sent()), 0)
	_, err := f.write(a, "WRITE a 3")
	is.NoErr(err)
	f.nothingLost()
}

// Guards against a lost commit when an instance that is not listed any more, and does
// not answer this host, still acknowledges commits.
func TestSilentInstanceStillAcknowledges(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 3)
	h := f.addHost("host-1", nil)
	all := f.group.Instances()
	_, err := f.write(h, "WRITE a 1")
	is.NoErr(err)
	all[2].SetUnresponsive(true)
	h.list(all[0], all[1])
	time.Sleep(electionSpan)
	f.writeWithout(h, all[1])
	all[0].SetUnresponsive(true)
	time.Sleep(electionSpan)
	is.Equal(len(h.promoter.sent()), 0)
}

// Guards against a lost commit when an instance starts again under its ID without its
// log and answers for the earlier process as well.
func TestInstanceStartsAgainWithoutLog(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 3)
	h := f.addHost("host-1", nil)
	all := f.group.Instances()
	f.writeWithout(h, all[1])
	all[0].SetUnresponsive(true)
	all[0].SetIsolated(true)
	all[2].RestartEmpty()
	h.list(all...)
	time.Sleep(electionSpan)
	is.Equal(len(h.promoter.sent()), 0)
}
