package lineowner

import (
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/emulate/linegroup"
	"github.com/matryer/is"
)

// replacedFixture returns a group whose primary was out of reach when another instance was
// promoted. That one and the third instance, which hold acknowledged commits of the new
// term, have ended for good. The old primary is in reach again, and two new replicas
// follow it.
func replacedFixture(t *testing.T) (f *fixture, h *hostFixture, old *linegroup.Instance, added []*linegroup.Instance) {
	t.Helper()
	is := is.New(t)
	f = newFixture(t, 3)
	h = f.addHost("host-1", nil)
	all := f.group.Instances()
	old = all[0]
	_, err := f.write(h, "WRITE a 1")
	is.NoErr(err)
	f.awaitLog(h, "replica set stored")
	old.SetUnresponsive(true)
	old.SetIsolated(true)
	f.eventually("a promotion", func() bool { p := f.group.Primary(); return p != nil && p != old })
	f.eventually("a write in the new term", func() bool {
		_, err := f.write(h, "WRITE a 2")
		return err == nil
	})
	time.Sleep(500 * time.Millisecond) // The host records what it has to.
	for _, i := range all[1:] {
		i.Crash()
	}
	old.SetIsolated(false)
	for range 2 {
		i, err := f.group.Add()
		is.NoErr(err)
		added = append(added, i)
	}
	old.SetUnresponsive(false)
	return f, h, old, added
}

// Guards against the loss of all commits of a term: new replicas that follow the primary of
// the term before seem to prove to a host that has not seen the new term that it leads.
func TestNewReplicasDoNotProveReplacedPrimary(t *testing.T) {
	is := is.New(t)
	f, h, old, added := replacedFixture(t)
	acknowledged := f.group.Acknowledged()
	h.members.Assign(gypsumyard.Assignment{Host: "none"})
	b := f.addHostWithList("host-b", append(added, old)...)
	f.awaitWait(b)
	is.Equal(f.awaitLog(b, "primary was replaced in a later term, ignoring it").Data["instance"], old.ID())
	f.checkRejected(b)
	time.Sleep(longAbsence)
	f.checkRejected(b)
	is.Equal(len(b.promoter.sent()), 0)
	is.Equal(len(f.group.Acknowledged()), len(acknowledged))
}

// Guards against a group that stays without a primary after an operator has accepted that
// the instances of the later term are lost.
func TestAcceptedLossOfLaterTerm(t *testing.T) {
	f, h, old, added := replacedFixture(t)
	h.members.Assign(gypsumyard.Assignment{Host: "none"})
	b := f.addHostWithList("host-b", append(added, old)...)
	f.awaitWait(b)
	f.acceptLoss(`{"term": 2, "instances": ["appraisal-2", "appraisal-3"]}`)
	f.eventually("a write", func() bool {
		_, err := f.write(b, "WRITE a 3")
		return err == nil
	})
	f.eventually("a stored set without the lost instances", func() bool {
		s, err := b.replicaSets.read(t.Context(), groupName)
		return err == nil && len(s.Replicas) == 3
	})
	b.members.Assign(gypsumyard.Assignment{Host: "none"})
	c := f.addHostWithList("host-c", append(added, old)...)
	f.eventually("a write through another host", func() bool {
		_, err := f.write(c, "WRITE a 4")
		return err == nil
	})
}

// Guards against a set whose term is not rewritten after operators have accepted the loss
// of that term.
func TestStoredTermAfterAcceptedLoss(t *testing.T) {
	is := is.New(t)
	r := &storedReplicas{set: replicaSet{Term: 5}}
	is.True(r.showReplaced(4))
	is.True(!r.showReplaced(5))
	r.acceptedTerm = 3
	is.True(r.showReplaced(2))
	is.True(!r.showReplaced(3))
	r.set.Term = 3
	is.True(!r.showReplaced(3))
	is.True(!(&storedReplicas{}).showReplaced(1)) // As of a host that stores no term.
}

// Guards against a host that takes a group over while the store is away and does not serve
// it because it waits for the stored set.
func TestTakeoverWithoutStore(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 3)
	h := f.addHost("host-1", nil)
	_, err := f.write(h, "WRITE a 1")
	is.NoErr(err)
	f.awaitLog(h, "replica set stored")
	h.members.Assign(gypsumyard.Assignment{Host: "none"})
	f.store.SetDown(true)
	b := f.addHost("host-b", nil)
	began := time.Now()
	f.eventually("a write", func() bool {
		_, err := f.write(b, "WRITE a 2")
		return err == nil
	})
	is.True(time.Since(began) < time.Second)
}
