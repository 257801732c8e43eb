package owner_test

import (
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/emulate/group"
	"github.com/gypsumyard/gypsumyard/internal/owner"
	"github.com/gypsumyard/gypsumyard/internal/planlist"
	"github.com/matryer/is"
)

// detectAndPromote is longer than it takes to detect a dead primary and to try
// several promotions.
const detectAndPromote = 2 * time.Second

// listed returns the entry of the database with the instances of the given
// names only.
func listed(g *group.Group, names ...string) gypsumyard.Database {
	d := g.Database("north")
	d.Instances = nil
	for _, n := range names {
		d.Instances = append(d.Instances, g.Instance(n).Upstream())
	}
	return d
}

// edited returns the entry that the store holds after its instances were edited,
// from the first list to the last.
func edited(g *group.Group, lists ...[]string) gypsumyard.Database {
	d := listed(g, lists[0]...)
	for i, names := range lists[1:] {
		d = planlist.Successor(d, listed(g, names...), uint64(i+2))
	}
	return d
}

// awaitInForce waits until the log of the instance has a term of the version of the
// list. A write that is sent at that moment may have an unknown outcome.
func awaitInForce(t *testing.T, in *group.Instance, version uint64) {
	t.Helper()
	eventually(t, "list in force", func() bool { return in.Status().Applied.Term.ListVersion() == version })
}

// isolate stops the replication of the instances of the given names.
func isolate(g *group.Group, names ...string) {
	for _, n := range names {
		g.Instance(n).Isolate(true)
	}
}

// holds reports whether the instance's log holds the insert of the row.
func holds(in *group.Instance, id int64) bool {
	for _, r := range in.Rows("rugs") {
		if r[0] == id {
			return true
		}
	}
	return false
}

// neverPrimary fails if the instance is promoted within the time of a failover.
func neverPrimary(t *testing.T, in *group.Instance) {
	t.Helper()
	for end := time.Now().Add(detectAndPromote); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if st := in.Status(); st.Role == gypsumyard.RolePrimary {
			t.Fatalf("%s was promoted at %v", in.Name(), st.Applied)
		}
	}
}

// awaitSuccessor waits for a primary in a later term and fails if it lacks the
// insert of one of the rows.
func awaitSuccessor(t *testing.T, g *group.Group, term gypsumyard.Term, rows ...int64) {
	t.Helper()
	var p *group.Instance
	eventually(t, "new primary", func() bool {
		p = g.Primary()
		return p != nil && p.Status().Applied.Term > term
	})
	for _, id := range rows {
		if !holds(p, id) {
			t.Fatalf("acknowledged row %d isn't in the log of %s, which was promoted at %v", id, p.Name(), p.Status().Applied)
		}
	}
}

// Guards against a majority that is counted among the instances that can be
// reached: instances that crashed together come back one by one, the first of
// them lacks an acknowledged row and is fenced alone, and the others acknowledge
// more.
func TestFirstOfCrashedInstancesIsNotPromoted(t *testing.T) {
	is := is.New(t)
	f := start(t, nil, withPromoter())
	isolate(f.group, "3")
	f.must("s", gypsumyard.StatementWrite, insert(1))
	for _, in := range f.group.Instances() {
		in.Kill()
	}
	is.NoErr(f.group.Instance("3").Restart())
	neverPrimary(t, f.group.Instance("3"))
	is.True(f.group.Instance("3").Status().Fence > 1) // it was fenced alone
	is.NoErr(f.group.Instance("1").Restart())
	is.NoErr(f.group.Instance("2").Restart())
	w := f.must("s", gypsumyard.StatementWrite, insert(2))
	f.group.Primary().Kill()
	awaitSuccessor(t, f.group, w.result.Position.Term, 1, 2)
}

// Guards against a primary that no longer counts because it has been silent for
// long: a replica that is behind must not be promoted alone.
func TestSilentPrimaryStillCounts(t *testing.T) {
	is := is.New(t)
	f := start(t, nil, withPromoter())
	isolate(f.group, "3")
	w := f.must("s", gypsumyard.StatementWrite, insert(1))
	f.group.Instance("1").Partition(true)
	f.group.Instance("2").Kill()
	neverPrimary(t, f.group.Instance("3"))
	is.NoErr(f.group.Instance("2").Restart())
	awaitSuccessor(t, f.group, w.result.Position.Term, 1)
}

// Guards against the promotion of a replica that is behind when the replica that
// alone acknowledged was removed from the list and the primary fails.
func TestReplicaRemovedThenPrimaryFails(t *testing.T) {
	f := start(t, nil, withPromoter())
	isolate(f.group, "3")
	f.must("s", gypsumyard.StatementWrite, insert(1))
	f.lists.setDatabase(listed(f.group, "1", "3"))
	time.Sleep(100 * time.Millisecond)
	f.group.Instance("1").Kill()
	neverPrimary(t, f.group.Instance("3"))
}

// Guards against a promotion by a host whose list lacks one added instance: what
// the others acknowledge with the added one must be in the log that it promotes.
func TestAddedInstanceUnknownToAnotherHost(t *testing.T) {
	g := startFour(t)
	newer := serveListed(t, g, listed(g, "1", "2", "3", "4"))
	isolate(g, "2")
	g.Instance("3").SetLag(300*time.Millisecond, 0)
	w := newer.must("s", gypsumyard.StatementWrite, insert(1))
	g.Instance("1").Kill()
	serveListed(t, g, listed(g, "1", "2", "3"), withPromoter())
	awaitSuccessor(t, g, w.result.Position.Term, 1)
}

// startFour returns a group of four instances that hold the table, which no host
// owns.
func startFour(t *testing.T) *group.Group {
	f := start(t, []group.Option{group.WithInstances(4)})
	f.members.setOwner("host-2")
	eventually(t, "replication of the table", func() bool {
		for _, in := range f.group.Instances() {
			if in.Status().Applied != f.group.Instance("1").Status().Applied {
				return false
			}
		}
		return true
	})
	return f.group
}

// Guards against a primary that counts for acknowledgement after it was removed
// from the list: the promotion after it need not ask it.
func TestRemovedPrimaryDoesNotAcknowledge(t *testing.T) {
	g := startFour(t)
	isolate(g, "3", "4")
	g.Instance("2").SetLag(400*time.Millisecond, 0)
	f := serveListed(t, g, listed(g, "1", "2", "3"), owner.WithConfirmTimeout(time.Second))
	written := make(chan *answer, 1)
	go func() { written <- f.exec("s", gypsumyard.StatementWrite, insert(1)) }()
	eventually(t, "commit on the primary", func() bool { return holds(g.Instance("1"), 1) })
	f.lists.setDatabase(listed(g, "2", "3", "4"))
	if a := <-written; a.err != nil {
		is.New(t).Equal(gypsumyard.ClassOf(a.err), gypsumyard.ClassUnknown)
		return
	}
	g.Instance("1").Kill()
	g.Instance("2").Partition(true)
	serveListed(t, g, listed(g, "2", "3", "4"), withPromoter())
	awaitSuccessor(t, g, 1, 1)
}

// neverWithout fails if a primary that lacks the insert of the row is promoted
// within the time of a failover. It is no fault if none is promoted.
func neverWithout(t *testing.T, g *group.Group, term gypsumyard.Term, id int64) {
	t.Helper()
	for end := time.Now().Add(detectAndPromote); time.Now().Before(end); time.Sleep(time.Millisecond) {
		p := g.Primary()
		if p != nil && p.Status().Applied.Term > term && !holds(p, id) {
			t.Fatalf("acknowledged row %d isn't in the log of %s, which was promoted at %v", id, p.Name(), p.Status().Applied)
		}
	}
}

// Guards against a lost row when the replica that acknowledged it is replaced by
// a new instance, in one edit of the list or in two, and the primary fails: the
// new instance and the replica that is behind are a majority of the new list.
func TestReplicaReplacedThenPrimaryFails(t *testing.T) {
	for name, edits := range map[string][][]string{
		"one edit":  {{"1", "3", "4"}},
		"two edits": {{"1", "3"}, {"1", "3", "4"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := startFour(t)
			isolate(g, "3", "4")
			f := serveListed(t, g, listed(g, "1", "2", "3"), withPromoter())
			w := f.must("s", gypsumyard.StatementWrite, insert(1))
			for _, e := range edits {
				f.lists.setDatabase(listed(g, e...))
				time.Sleep(100 * time.Millisecond)
			}
			g.Instance("1").Kill()
			neverWithout(t, g, w.result.Position.Term, 1)
		})
	}
}

// Guards against a lost row when a host acknowledges with an instance that
// replaced another one, and a host whose list is older promotes: majorities of the
// two lists need not have an instance in common.
func TestReplacedInstanceUnknownToAnotherHost(t *testing.T) {
	g := startFour(t)
	isolate(g, "2", "3")
	newer := serveListed(t, g, edited(g, []string{"1", "2", "3"}, []string{"1", "2", "4"}), withPromoter())
	awaitInForce(t, g.Instance("4"), 2)
	w := newer.must("s", gypsumyard.StatementWrite, insert(1))
	newer.members.setOwner("host-2")
	g.Instance("1").Kill()
	serveListed(t, g, listed(g, "1", "2", "3"), withPromoter())
	neverWithout(t, g, w.result.Position.Term, 1)
}

// Guards against a former primary that acknowledges because a new instance, which
// no promotion has fenced, counts as evidence that it still leads.
func TestNewInstanceIsNoEvidence(t *testing.T) {
	g := startFour(t)
	old := g.Instance("1")
	former := serveListed(t, g, listed(g, "1", "2", "3"), withPromoter())
	former.must("s", gypsumyard.StatementWrite, insert(1))
	old.Partition(true)
	isolate(g, "4")
	awaitSuccessor(t, g, 1, 1)
	eventually(t, "row 2 by the new primary", func() bool {
		return former.exec("s", gypsumyard.StatementWrite, insert(2)).err == nil
	})
	former.members.setOwner("host-2")
	g.Instance("3").Partition(true)
	old.Partition(false)
	g.Instance("4").Isolate(false)
	next := serveListed(t, g, edited(g, []string{"1", "2", "3"}, []string{"1", "3", "4"}))
	r := request("s", gypsumyard.StatementWrite, insert(3))
	r.Deadline = time.Now().Add(detectAndPromote)
	if a := next.run(r); a.err == nil && !holds(g.Instance(a.result.Instance), 2) {
		t.Fatalf("%s acknowledged row 3 at %v; it lacks row 2, which %s acknowledged", a.result.Instance, a.result.Position, g.Primary().Name())
	}
}

// Guards against an edit that is forgotten when the host restarts: the replica that
// alone acknowledged is no longer listed, and the primary fails.
func TestReplicaReplacedThenHostRestarts(t *testing.T) {
	for name, lists := range map[string][][]string{
		"one edit":  {{"1", "2", "3"}, {"1", "3", "4"}},
		"two edits": {{"1", "2", "3"}, {"1", "3"}, {"1", "3", "4"}},
	} {
		t.Run(name, func(t *testing.T) {
			g := startFour(t)
			isolate(g, "3", "4")
			f := serveListed(t, g, listed(g, "1", "2", "3"), withPromoter())
			w := f.must("s", gypsumyard.StatementWrite, insert(1))
			f.members.setOwner("host-2")
			g.Instance("1").Kill()
			serveListed(t, g, edited(g, lists...), withPromoter())
			if len(lists) > 2 {
				// Instances 1 and 3 may have acknowledged more meanwhile.
				neverWithout(t, g, w.result.Position.Term, 1)
				return
			}
			// The former instance is promoted, since the listed ones lack the row.
			awaitSuccessor(t, g, w.result.Position.Term, 1)
		})
	}
}

// Guards against a former instance that counts for ever, against an edit that
// interrupts service, and against former instances that stay in the entry.
func TestFormerInstanceStopsCounting(t *testing.T) {
	is := is.New(t)
	g := startFour(t)
	f := serveListed(t, g, listed(g, "1", "2", "3"), withPromoter())
	f.must("s", gypsumyard.StatementWrite, insert(1))
	f.lists.setDatabase(edited(g, []string{"1", "2", "3"}, []string{"1", "2", "4"}))
	eventually(t, "removal of the former instances from the entry", func() bool {
		d, _ := f.lists.Database("")
		return d.ListVersion == 2 && len(d.Former) == 0
	})
	described, _ := f.service.Describe("appraisal")
	d := described.(owner.Description)
	is.Equal(len(d.Instances), 3)
	is.Equal(d.Primary, "appraisal-1") // the edit doesn't move the primary
	is.Equal(d.Term.ListVersion(), uint64(2))
	g.Instance("3").Kill()
	g.Instance("1").Kill()
	start := time.Now()
	f.must("s", gypsumyard.StatementWrite, insert(2))
	is.True(time.Since(start) < 2*time.Second)
	awaitSuccessor(t, g, d.Term, 1, 2)
}

// Guards against a primary that is taken out of the list and keeps its role, or is
// replaced by an instance that lacks a row.
func TestPrimaryTakenOutOfList(t *testing.T) {
	g := startFour(t)
	f := serveListed(t, g, listed(g, "1", "2", "3"), withPromoter())
	w := f.must("s", gypsumyard.StatementWrite, insert(1))
	f.lists.setDatabase(edited(g, []string{"1", "2", "3"}, []string{"2", "3", "4"}))
	awaitSuccessor(t, g, w.result.Position.Term, 1)
	f.must("s", gypsumyard.StatementWrite, insert(2))
	if p := g.Primary().Name(); p == "appraisal-1" {
		t.Fatalf("%s is the primary", p)
	}
}

// Guards against an edit that takes the primary out of service while the new
// instances are not there yet or far behind.
func TestNewInstancesNotReady(t *testing.T) {
	g := startFour(t)
	isolate(g, "3", "4")
	f := serveListed(t, g, listed(g, "1", "2", "3"), withPromoter())
	w := f.must("s", gypsumyard.StatementWrite, insert(1))
	f.lists.setDatabase(edited(g, []string{"1", "2", "3"}, []string{"1", "3", "4"}))
	time.Sleep(detectAndPromote)
	if st := g.Instance("1").Status(); st.Fence > w.result.Position.Term {
		t.Fatalf("the primary was fenced for term %d", st.Fence)
	}
	g.Instance("4").Isolate(false)
	awaitInForce(t, g.Instance("4"), 2)
	f.must("s", gypsumyard.StatementWrite, insert(2))
}

// Guards against an unknown outcome of a write that waits for its confirmation while
// an edit comes into force, and against its loss.
func TestWriteInFlightAtEdit(t *testing.T) {
	is := is.New(t)
	g := startFour(t)
	isolate(g, "2", "3")
	f := serveListed(t, g, listed(g, "1", "2", "3"), withPromoter())
	written := make(chan *answer, 1)
	go func() { written <- f.exec("s", gypsumyard.StatementWrite, insert(1)) }()
	eventually(t, "commit on the primary", func() bool { return holds(g.Instance("1"), 1) })
	f.lists.setDatabase(edited(g, []string{"1", "2", "3"}, []string{"1", "2", "4"}))
	a := <-written
	is.NoErr(a.err)
	g.Instance("1").Kill()
	awaitSuccessor(t, g, a.result.Position.Term, 1)
	is.True(holds(g.Instance("4"), 1))
}

// Guards against a host with an older list that acknowledges beside the list in
// force: the primary and a former instance are a majority of its list, and a
// promotion need not ask the former one.
func TestOlderListDoesNotAcknowledge(t *testing.T) {
	is := is.New(t)
	g := startFour(t)
	newer := serveListed(t, g, edited(g, []string{"1", "2", "3"}, []string{"1", "2", "4"}), withPromoter())
	awaitInForce(t, g.Instance("4"), 2)
	newer.must("s", gypsumyard.StatementWrite, insert(1))
	newer.members.setOwner("host-2")
	isolate(g, "2", "4")
	older := serveListed(t, g, listed(g, "1", "2", "3"), withPromoter())
	r := request("s", gypsumyard.StatementWrite, insert(2))
	r.Deadline = time.Now().Add(detectAndPromote)
	a := older.run(r)
	is.True(a.err != nil)
	is.Equal(gypsumyard.ClassOf(a.err), gypsumyard.ClassNotRun)
	is.True(!holds(g.Instance("1"), 2))
	older.lists.setDatabase(edited(g, []string{"1", "2", "3"}, []string{"1", "2", "4"}))
	g.Instance("4").Isolate(false)
	older.must("s", gypsumyard.StatementWrite, insert(3))
}

// Guards against lists of edits by older hosts, which have no version, that are
// dropped while a later one is not in force, or kept for ever, in any order of edits.
func TestEditsWithAndWithoutVersion(t *testing.T) {
	g := startFour(t)
	f := serveListed(t, g, listed(g, "1", "2", "3"), withPromoter())
	f.must("s", gypsumyard.StatementWrite, insert(1))
	versioned := edited(g, []string{"1", "2", "3"}, []string{"1", "2", "4"})
	later := planlist.Successor(listed(g, "1", "2", "3"), listed(g, "2", "3", "4"), 7)
	for i, d := range []gypsumyard.Database{listed(g, "1", "2", "4"), versioned, listed(g, "1", "2", "3"), listed(g, "1", "4"), later, versioned, later} {
		f.lists.setDatabase(d)
		if i%2 == 0 {
			time.Sleep(100 * time.Millisecond)
		}
	}
	awaitInForce(t, g.Instance("4"), 7)
	f.must("s", gypsumyard.StatementWrite, insert(2))
	eventually(t, "end of the former lists", func() bool {
		d, _ := f.service.Describe("appraisal")
		return len(d.(owner.Description).Instances) == 3
	})
}
