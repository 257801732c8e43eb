package lineowner

import (
	"strings"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/emulate/linegroup"
	"github.com/gypsumyard/gypsumyard/internal/line"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a number of instances at which the fenced instances need not
// include one that proves the primary, or one that holds an acknowledged commit.
func TestFencesMeetEvidenceAndCommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "instances")
		f, e := fencesNeeded(n), evidenceNeeded(n)
		if f < 1 || f > n || e < 1 || e > n {
			t.Fatalf("%d fences and %d for evidence of %d", f, e, n)
		}
		if f+e <= n {
			t.Fatalf("%d fences miss %d instances that prove the primary, of %d", f, e, n)
		}
		if n > 1 && f+2 <= n {
			t.Fatalf("%d fences miss a commit on a primary and one replica of %d", f, n)
		}
	})
}

// Guards against answers that differ from the instance's.
func TestStatementsOfAllKinds(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 3)
	h := f.addHost("host-1", nil)
	res, err := f.write(h, "WRITE rug-1 blue")
	is.NoErr(err)
	is.Equal(res.Position.Offset, gypsumyard.Offset(1))
	out, _, err := f.run(h, statement{text: "READ rug-1", class: gypsumyard.StatementRead})
	is.NoErr(err)
	is.True(strings.HasPrefix(out, "ROW blue\r\nCOMPLETE "))
	out, _, err = f.run(h, statement{
		text: "EXECUTE s9 rug-1 red", class: gypsumyard.StatementWrite, prepared: line.Prepared{Verb: line.Write, Shape: "q1"},
	})
	is.NoErr(err)
	is.True(strings.HasPrefix(out, "COMPLETE "))
	out, _, err = f.run(h, statement{
		text: "READ rug-1", class: gypsumyard.StatementRead, consistency: gypsumyard.ConsistencySession, staleness: time.Second,
		position: gypsumyard.Position{Term: 1, Offset: 2},
	})
	is.NoErr(err)
	is.True(strings.HasPrefix(out, "ROW red\r\n"))
}

// Guards against a session read that misses the session's own commit because it
// runs on a lagging replica.
func TestReadYourWritesBehindLag(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 3, linegroup.WithLag(400*time.Millisecond))
	h := f.addHost("host-1", nil)
	for n := range 20 {
		data := "v" + strings.Repeat("x", n+1)
		res, err := f.write(h, "WRITE rug-1 "+data)
		is.NoErr(err)
		out, _, err := f.run(h, statement{
			text: "READ rug-1", class: gypsumyard.StatementRead, consistency: gypsumyard.ConsistencySession, staleness: 2 * time.Second,
			position: res.Position,
		})
		is.NoErr(err)
		is.True(strings.HasPrefix(out, "ROW "+data+"\r\n"))
	}
}

// Guards against statements of a transaction that run on another connection, and
// against a transaction that remains open, or is kept, although it was rolled back.
func TestTransactions(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 3)
	h := f.addHost("host-1", nil)
	_, tx, err := f.run(h, statement{text: "WRITE a 1", class: gypsumyard.StatementBegin})
	is.NoErr(err)
	is.Equal(tx.TxStatus, byte('T'))
	out, _, err := f.run(h, statement{text: "READ a", class: gypsumyard.StatementRead, tx: tx})
	is.NoErr(err)
	is.True(strings.HasPrefix(out, "ROW 1\r\n"))
	_, res, err := f.run(h, statement{text: "COMMIT", class: gypsumyard.StatementCommit, tx: tx})
	is.NoErr(err)
	is.Equal(res.TxStatus, byte('I'))
	_, _, err = f.run(h, statement{text: "READ a", class: gypsumyard.StatementRead, tx: tx})
	is.Equal(gypsumyard.ClassOf(err), gypsumyard.ClassNotRun) // It has ended.
	_, tx, err = f.run(h, statement{text: "WRITE a 2", class: gypsumyard.StatementBegin})
	is.NoErr(err)
	is.NoErr(h.Abandon(t.Context(), &gypsumyard.Request{Session: "s1", Database: groupName, Transaction: tx.Transaction}))
	out, _, err = f.run(h, statement{text: "READ a", class: gypsumyard.StatementRead})
	is.NoErr(err)
	is.True(strings.HasPrefix(out, "ROW 1\r\n"))
}

// Guards against reporting a write as not run when its answer was lost: it may
// have run.
func TestLostAnswers(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 3)
	h := f.addHost("host-1", nil)
	_, err := f.write(h, "WRITE a 1")
	is.NoErr(err)
	f.group.Primary().DropResponses(1)
	_, err = f.write(h, "WRITE a 2")
	is.Equal(gypsumyard.ClassOf(err), gypsumyard.ClassUnknown)
	// A read whose answer was lost is retried.
	f.group.Primary().DropResponses(1)
	out, _, err := f.run(h, statement{text: "READ a", class: gypsumyard.StatementRead})
	is.NoErr(err)
	is.True(strings.HasPrefix(out, "ROW 2\r\n"))
	// A transaction whose first answer was lost is retried from BEGIN.
	f.group.Primary().DropResponses(1)
	_, tx, err := f.run(h, statement{text: "WRITE a 3", class: gypsumyard.StatementBegin})
	is.NoErr(err)
	f.group.Primary().DropResponses(1)
	_, _, err = f.run(h, statement{text: "COMMIT", class: gypsumyard.StatementCommit, tx: tx})
	is.Equal(gypsumyard.ClassOf(err), gypsumyard.ClassUnknown)
}

// Guards against a crash of the process when an instance refuses a session.
func TestRefusedStart(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 3)
	for _, i := range f.group.Instances() {
		i.RejectSessions("TOOMANY")
	}
	h := f.addHost("host-1", nil)
	_, _, err := f.run(h, statement{text: "READ a", class: gypsumyard.StatementRead, timeout: 300 * time.Millisecond})
	is.Equal(gypsumyard.ClassOf(err), gypsumyard.ClassNotRun)
	for _, i := range f.group.Instances() {
		i.RejectSessions("")
	}
	_, err = f.write(h, "WRITE a 1")
	is.NoErr(err)
}

// Guards against a new primary that lacks an acknowledged commit, and against
// writes that stall too long after a primary has crashed.
func TestPrimaryCrash(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 3)
	h := f.addHost("host-1", nil)
	for range 20 {
		_, err := f.write(h, "WRITE a 1")
		is.NoErr(err)
	}
	began := time.Now()
	f.group.Primary().Crash()
	_, err := f.write(h, "WRITE a 2")
	if gypsumyard.ClassOf(err) == gypsumyard.ClassUnknown && err != nil {
		_, err = f.write(h, "WRITE a 2") // The statement was in flight during the crash.
	}
	is.NoErr(err)
	is.True(time.Since(began) < 3*time.Second)
	for _, p := range f.group.Acknowledged() {
		is.True(f.group.Primary().Contains(p))
	}
	sent := h.promoter.sent()
	is.Equal(len(sent), 1)
	is.True(sent[0].Generation > 0)
	is.Equal(sent[0].Holder, "host-1")
}

// Guards against promoting a replica that lacks acknowledged commits because it
// received nothing for a while.
func TestLongestLogIsPromoted(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 3)
	h := f.addHost("host-1", nil)
	_, err := f.write(h, "WRITE a 1")
	is.NoErr(err)
	f.group.Instances()[1].SetIsolated(true)
	for range 5 {
		_, err := f.write(h, "WRITE a 2")
		is.NoErr(err)
	}
	f.group.Instances()[0].Crash()
	f.eventually("a new primary", func() bool { return len(h.promoter.sent()) > 0 })
	is.Equal(h.promoter.sent()[0].Instance, f.group.Instances()[2].ID())
}

// Guards against a promotion with too few fenced instances: an acknowledged commit
// may be only on the unreachable instance.
func TestNoPromotionWithoutEnoughFences(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 3)
	h := f.addHost("host-1", nil)
	_, err := f.write(h, "WRITE a 1")
	is.NoErr(err)
	f.group.Instances()[2].SetUnresponsive(true)
	f.group.Instances()[0].Crash()
	time.Sleep(1500 * time.Millisecond)
	is.Equal(len(h.promoter.sent()), 0)
	began := time.Now()
	_, _, err = f.run(h, statement{text: "WRITE a 2", class: gypsumyard.StatementWrite, timeout: 4 * time.Second})
	is.Equal(gypsumyard.ClassOf(err), gypsumyard.ClassNotRun)
	is.True(time.Since(began) < 2*time.Second) // Rejected after noPrimaryTimeout, not at its deadline.
	f.group.Instances()[2].SetUnresponsive(false)
	f.eventually("a promotion", func() bool { return len(h.promoter.sent()) > 0 })
}

// Guards against a read from a primary that another host has replaced: a host that
// still reaches the old primary must not rely on it.
func TestOldPrimaryIsNotRead(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 3, linegroup.WithPromotionDelay(150*time.Millisecond))
	a := f.addHost("host-a", nil)
	_, err := f.write(a, "WRITE a 1")
	is.NoErr(err)
	// The old primary no longer hears the replicas. Another host, which does not
	// reach the old primary, fences them and promotes one.
	old := f.group.Primary()
	old.SetIsolated(true)
	b := f.addHost("host-b", nil)
	b.lists.listed = func() []gypsumyard.ListedInstance {
		l := f.group.Listed()
		for n := range l {
			if l[n].ID == old.ID() {
				l[n].Addr = f.deadAddr()
			}
		}
		return l
	}
	b.lists.change()
	f.eventually("a promotion by the other host", func() bool { return len(b.promoter.sent()) > 0 })
	_, err = f.write(b, "WRITE a 2")
	is.NoErr(err)
	for range 20 {
		out, _, err := f.run(a, statement{text: "READ a", class: gypsumyard.StatementRead, timeout: time.Second})
		if err == nil {
			is.True(strings.HasPrefix(out, "ROW 2\r\n"))
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against new work for a leaving instance, and against a leaving primary
// that is not replaced.
func TestLeavingPrimaryHandsOver(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 3)
	h := f.addHost("host-1", nil)
	_, err := f.write(h, "WRITE a 1")
	is.NoErr(err)
	old := f.group.Primary()
	old.SetLeaving()
	h.lists.change()
	f.eventually("a handover", func() bool { return f.group.Primary() != old })
	_, err = f.write(h, "WRITE a 2")
	is.NoErr(err)
	for _, p := range f.group.Acknowledged() {
		is.True(f.group.Primary().Contains(p))
	}
	mark := len(f.group.Executions())
	for range 10 {
		_, _, err := f.run(h, statement{
			text: "READ a", class: gypsumyard.StatementRead, consistency: gypsumyard.ConsistencyBounded, staleness: time.Second,
		})
		is.NoErr(err)
	}
	for _, r := range f.group.Executions()[mark:] {
		is.True(r.Instance != old.ID())
	}
}

// Guards against unacknowledged commits that occupy the slots that reads need, on
// a primary whose replicas receive nothing.
func TestUnacknowledgedCommitsLeaveSlots(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 3)
	h := f.addHost("host-1", nil)
	_, err := f.write(h, "WRITE a 1")
	is.NoErr(err)
	for _, i := range f.group.Instances()[1:] {
		i.SetIsolated(true)
	}
	ended := make(chan error, 40)
	for range 40 {
		go func() {
			_, _, err := f.runConcurrently(h, statement{text: "WRITE a 2", class: gypsumyard.StatementWrite, timeout: time.Second})
			ended <- err
		}()
		time.Sleep(10 * time.Millisecond)
	}
	began := time.Now()
	_, _, err = f.run(h, statement{
		text: "READ a", class: gypsumyard.StatementRead, consistency: gypsumyard.ConsistencyBounded, staleness: 3 * time.Second,
	})
	is.NoErr(err)
	is.True(time.Since(began) < 300*time.Millisecond)
	for range 40 {
		is.True(<-ended != nil)
	}
}

// Guards against an owner that keeps a group although it reaches too few instances
// and another host reaches enough.
func TestGroupIsGivenAway(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 3)
	peers := &fakePeers{probe: func(host, instance string) (gypsumyard.InstanceStatus, error) {
		if host != "host-2" {
			return gypsumyard.InstanceStatus{}, gypsumyard.ErrUnavailable
		}
		return gypsumyard.InstanceStatus{Role: gypsumyard.RoleReplica}, nil
	}}
	h := f.addHost("host-1", peers, "host-2", "host-3")
	_, err := f.write(h, "WRITE a 1")
	is.NoErr(err)
	f.group.Instances()[1].SetUnresponsive(true)
	f.group.Instances()[2].SetUnresponsive(true)
	f.eventually("the transfer of the group", func() bool {
		a, ok := h.members.Assigned(groupName)
		return ok && a.Host == "host-2"
	})
	_, err = f.write(h, "WRITE a 2")
	is.Equal(gypsumyard.ClassOf(err), gypsumyard.ClassNotOwner)
}

// Guards against elections that block each other indefinitely when several hosts
// believe they own the group (soak seed 120: no primary for 12 s).
func TestElectionsOfSeveralHosts(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 3)
	var hosts []*hostFixture
	for _, name := range []string{"host-a", "host-b", "host-c"} {
		hosts = append(hosts, f.addHost(name, nil))
	}
	_, err := f.write(hosts[0], "WRITE a 1")
	is.NoErr(err)
	for range 3 {
		old := f.group.Primary()
		began := time.Now()
		old.Crash()
		_, err = f.group.Add()
		is.NoErr(err)
		f.eventually("a new primary", func() bool { p := f.group.Primary(); return p != nil && p != old })
		is.True(time.Since(began) < 4*time.Second)
		f.group.Remove(old)
		for _, h := range hosts {
			h.lists.change()
			f.eventually("a write", func() bool {
				_, err := f.write(h, "WRITE a 2")
				return err == nil
			})
		}
		for _, p := range f.group.Acknowledged() {
			is.True(f.group.Primary().Contains(p))
		}
	}
}

// Guards against replicas that abandoned elections have fenced for terms that no
// promotion reaches, and that would never receive anything again (deploy/days,
// frozen-duty on svell-pond: a group without writes for 18 s).
func TestElectionAfterOthersWereGivenUp(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 3)
	h := f.addHost("host-1", nil)
	_, err := f.write(h, "WRITE a 1")
	is.NoErr(err)
	h.promoter.mu.Lock()
	h.promoter.refuse = 3
	h.promoter.mu.Unlock()
	f.group.Primary().Crash()
	f.eventually("a write", func() bool {
		_, err := f.write(h, "WRITE a 2")
		return err == nil
	})
	is.Equal(len(h.promoter.sent()), 4)
}
