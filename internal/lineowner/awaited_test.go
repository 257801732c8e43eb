package lineowner

import (
	"errors"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/emulate/linegroup"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

// longAbsence is well above all timeouts of an owner.
const longAbsence = 8 * time.Second

// awaitedFixture returns a group whose primary and one replica hold commits that the other
// replica lacks. Both are absent: silent and not listed.
func awaitedFixture(t *testing.T) (f *fixture, h *hostFixture, absent []*linegroup.Instance, behind *linegroup.Instance) {
	t.Helper()
	f = newFixture(t, 3)
	h = f.addHost("host-1", nil)
	all := f.group.Instances()
	f.writeWithout(h, all[1])
	f.awaitLog(h, "replica set stored")
	absent = []*linegroup.Instance{all[0], all[2]}
	for _, i := range absent {
		i.SetUnresponsive(true)
	}
	h.list(all[1])
	return f, h, absent, all[1]
}

// awaitLog waits for a log line of the host and returns it.
func (f *fixture) awaitLog(h *hostFixture, message string) (line *logrus.Entry) {
	f.t.Helper()
	f.eventually("the log line "+message, func() bool {
		line = h.lastLine(message)
		return line != nil
	})
	return line
}

// lastLine returns the latest log line of the host with the message, or nil.
func (h *hostFixture) lastLine(message string) (line *logrus.Entry) {
	for _, e := range h.logHook.AllEntries() {
		if e.Message == message {
			line = e
		}
	}
	return line
}

// awaits returns the value of the host's gauge of awaited instances.
func (h *hostFixture) awaits() float64 {
	for _, g := range h.scope.Snapshot().Gauges() {
		if g.Name() == "group_awaits_instances" && g.Tags()["group"] == groupName {
			return g.Value()
		}
	}
	return 0
}

// awaitWait waits until the election of the host waits, and returns its log line.
func (f *fixture) awaitWait(h *hostFixture) *logrus.Entry {
	f.t.Helper()
	return f.awaitLog(h, "election waits for absent instances")
}

// checkRejected checks that a write is rejected at once, as not run.
func (f *fixture) checkRejected(h *hostFixture) {
	f.t.Helper()
	is := is.New(f.t)
	began := time.Now()
	_, err := f.write(h, "WRITE a 9")
	var e *gypsumyard.Error
	is.True(errors.As(err, &e))
	is.Equal(e.Class, gypsumyard.ClassNotRun)
	is.Equal(e.RetryAfter, time.Second)
	is.True(time.Since(began) < 100*time.Millisecond)
}

// writesAgain waits for an acknowledged write, which must come within the time.
func (f *fixture) writesAgain(h *hostFixture, within time.Duration) {
	f.t.Helper()
	began := time.Now()
	f.eventually("a write", func() bool {
		_, err := f.write(h, "WRITE a 3")
		return err == nil
	})
	if d := time.Since(began); d > within {
		f.t.Errorf("the first write was acknowledged after %v", d)
	}
	f.nothingLost()
}

// Guards against the loss of commits that only absent instances hold: one that is behind
// was promoted after 6 s, and the others returned after 14 to 16 s. Also against a wait
// that is not visible, and requests that wait with it.
func TestAbsentInstancesReturnLate(t *testing.T) {
	is := is.New(t)
	f, h, absent, behind := awaitedFixture(t)
	line := f.awaitWait(h)
	is.Equal(len(line.Data["awaited"].([]string)), 2)
	is.Equal(line.Data["longest"], behind.Position().String())
	is.Equal(line.Data["acknowledged"], "1/6")
	is.Equal(h.awaits(), 2.0)
	f.checkRejected(h)
	time.Sleep(longAbsence)
	f.checkRejected(h)
	is.Equal(len(h.promoter.sent()), 0)
	for _, i := range absent {
		i.SetUnresponsive(false)
	}
	h.list(f.group.Instances()...)
	f.writesAgain(h, time.Second)
	f.eventually("the end of the wait", func() bool { return h.awaits() == 0 })
}

// Guards against a wait that goes on after one of the instances that hold all commits has
// returned, be it the former primary or a replica.
func TestOneAbsentInstanceReturns(t *testing.T) {
	for name, n := range map[string]int{"primary": 0, "replica": 1} {
		t.Run(name, func(t *testing.T) {
			f, h, absent, behind := awaitedFixture(t)
			f.awaitWait(h)
			behind.SetIsolated(false)
			absent[n].SetUnresponsive(false)
			h.list(behind, absent[n])
			f.writesAgain(h, time.Second)
		})
	}
}

// Guards against a log line and a gauge that keep naming the first instances awaited: an
// operator who accepted the loss of these would not end the wait.
func TestWaitForFurtherInstance(t *testing.T) {
	is := is.New(t)
	f, h, _, behind := awaitedFixture(t)
	is.Equal(len(f.awaitWait(h).Data["awaited"].([]string)), 2)
	behind.SetUnresponsive(true)
	f.eventually("the third instance in the gauge", func() bool { return h.awaits() == 3 })
	is.Equal(len(f.awaitWait(h).Data["awaited"].([]string)), 3)
	behind.SetUnresponsive(false)
	f.eventually("the return of the third instance in the gauge", func() bool { return h.awaits() == 2 })
}

// Guards against a wait that ends with a restart of all hosts.
func TestWaitOutlivesHosts(t *testing.T) {
	is := is.New(t)
	f, h, absent, behind := awaitedFixture(t)
	f.awaitWait(h)
	h.members.Assign(gypsumyard.Assignment{Host: "none"})
	b := f.addHostWithList("host-b", behind)
	line := f.awaitWait(b)
	is.Equal(len(line.Data["awaited"].([]string)), 2)
	is.Equal(line.Data["answering"], []string{behind.ID() + " at " + behind.Addr().String() + " term 1 received 1/1"})
	f.checkRejected(b)
	time.Sleep(electionSpan)
	is.Equal(len(b.promoter.sent()), 0)
	behind.SetIsolated(false)
	absent[1].SetUnresponsive(false)
	b.list(behind, absent[1])
	f.writesAgain(b, time.Second)
}

// Guards against reads that stop at once while an election waits.
func TestReadsGoOnDuringWait(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 3)
	f.staleness = 5 * time.Second
	h := f.addHost("host-1", nil)
	all := f.group.Instances()
	_, err := f.write(h, "WRITE a 1")
	is.NoErr(err)
	time.Sleep(pollInterval)
	all[0].SetUnresponsive(true)
	all[2].SetUnresponsive(true)
	f.awaitWait(h)
	read := statement{text: "READ a", class: gypsumyard.StatementRead, consistency: gypsumyard.ConsistencyBounded, staleness: f.staleness, timeout: time.Second}
	out, _, err := f.run(h, read)
	is.NoErr(err)
	is.True(strings.HasPrefix(out, "ROW 1\r\n"))
	time.Sleep(f.staleness)
	began := time.Now()
	_, _, err = f.run(h, read)
	is.Equal(gypsumyard.ClassOf(err), gypsumyard.ClassNotRun)
	is.True(time.Since(began) < 100*time.Millisecond)
}

// Guards against an election that makes a working primary step down although it lacks
// the fences for another one.
func TestPlannedElectionNeedsFences(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 4)
	h := f.addHost("host-1", nil)
	all := f.group.Instances()
	_, err := f.write(h, "WRITE a 1")
	is.NoErr(err)
	f.awaitLog(h, "replica set stored")
	all[2].SetUnresponsive(true)
	all[3].SetUnresponsive(true)
	all[0].SetLeaving()
	h.list(all[0], all[1])
	time.Sleep(electionSpan)
	_, err = f.write(h, "WRITE a 2")
	is.NoErr(err)
	is.Equal(all[0].Role(), gypsumyard.RolePrimary)
	all[2].SetUnresponsive(false)
	f.eventually("a handover", func() bool { p := f.group.Primary(); return p != nil && p != all[0] })
	f.nothingLost()
}

// acceptLoss writes an operator's acceptance.
func (f *fixture) acceptLoss(value string) {
	f.t.Helper()
	is := is.New(f.t)
	o, _ := f.store.Get(f.t.Context(), lossPrefix+groupName) // There may be none.
	_, err := f.store.Put(f.t.Context(), lossPrefix+groupName, o.Version, []byte(value))
	is.NoErr(err)
}

// Guards against a group that stays unserved after an operator has accepted the loss of
// its absent instances, against an acceptance that is used twice, and against one that is
// malformed, for another term or for other instances and has an effect.
func TestAcceptedLoss(t *testing.T) {
	is := is.New(t)
	f, h, absent, behind := awaitedFixture(t)
	f.awaitWait(h)
	for _, value := range []string{"no object", `{"instances": ["x"]}`, `{"term": 3, "instances": ["appraisal-1", "appraisal-3"]}`, `{"term": 2, "instances": ["appraisal-2"]}`} {
		f.acceptLoss(value)
		time.Sleep(lossReadInterval + 100*time.Millisecond)
	}
	is.Equal(len(h.promoter.sent()), 0)
	f.acceptLoss(`{"term": 2, "instances": ["appraisal-1", "appraisal-3"]}`)
	behind.SetIsolated(false)
	f.eventually("a promotion", func() bool { return f.group.Primary() == behind })
	f.eventually("the end of the acceptance", func() bool {
		_, err := f.store.Get(t.Context(), lossPrefix+groupName)
		return errors.Is(err, gypsumyard.ErrNotFound)
	})
	added, err := f.group.Add()
	is.NoErr(err)
	h.list(behind, added)
	f.eventually("a write", func() bool {
		_, err := f.write(h, "WRITE a 3")
		return err == nil
	})
	f.eventually("a stored set without the lost instances", func() bool {
		s, err := h.replicaSets.read(t.Context(), groupName)
		return err == nil && len(s.Replicas) == 2
	})
	for _, i := range absent {
		i.Crash()
	}
}

// Guards against a group that no host serves because nothing proves that its primary leads:
// the host that promoted it without the lost instances has crashed before it stored that.
func TestAcceptedLossOutlivesHost(t *testing.T) {
	is := is.New(t)
	f, h, _, behind := awaitedFixture(t)
	f.awaitWait(h)
	h.members.Assign(gypsumyard.Assignment{Host: "none"})
	behind.SetIsolated(false)
	is.NoErr(f.group.Promote(behind.ID()))
	f.eventually("a promotion", func() bool { return f.group.Primary() == behind })
	f.acceptLoss(`{"term": 2, "instances": ["appraisal-1", "appraisal-3"]}`)
	b := f.addHostWithList("host-b", behind)
	f.awaitWait(b)
	added, err := f.group.Add()
	is.NoErr(err)
	b.list(behind, added)
	f.eventually("a write", func() bool {
		_, err := f.write(b, "WRITE a 3")
		return err == nil
	})
}

// Guards against the loss of commits that the new primary alone has, after an election
// without lost instances, if it fails before another remaining instance has its log.
func TestPrimaryFailsAfterAcceptedLoss(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 4)
	h := f.addHost("host-1", nil)
	all := f.group.Instances()
	all[2].SetIsolated(true)
	f.writeWithout(h, all[1])
	f.awaitLog(h, "replica set stored")
	all[0].SetUnresponsive(true)
	all[0].SetIsolated(true)
	all[2].SetUnresponsive(true)
	h.list(all[1], all[3])
	f.awaitWait(h)
	f.acceptLoss(`{"term": 2, "instances": ["appraisal-1", "appraisal-3"]}`)
	f.eventually("a promotion", func() bool { return all[3].Role() == gypsumyard.RolePrimary })
	f.awaitLog(h, "an operator accepted the loss of the instance")
	all[3].SetUnresponsive(true)
	time.Sleep(electionCooldown + electionSpan)
	is.Equal(len(h.promoter.sent()), 1)
	is.True(all[3].Contains(all[0].Position()))
}

// Guards against an acceptance that is forgotten because the operator wrote it while an
// election went on that used an earlier one.
func TestLaterAcceptanceIsKept(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 3)
	h := f.addHost("host-1", nil)
	f.eventually("primary", func() bool { _, err := f.write(h, "WRITE rug-1 a"); return err == nil })
	h.mu.Lock()
	g := h.groups[groupName]
	h.mu.Unlock()
	g.mu.Lock()
	p, _ := g.provenPrimary()
	g.loss.accepted = lossAcceptance{version: 5, Term: p.status.term + 1, Instances: []string{"appraisal-2"}}
	g.loss.ordered, g.loss.chosen = g.nextBallot(), p
	g.loss.ordered.term = p.status.term
	g.loss.accepted = lossAcceptance{version: 7, Term: p.status.term + 1, Instances: []string{"appraisal-3"}}
	g.mu.Unlock()
	g.completeLoss()
	g.mu.Lock()
	defer g.mu.Unlock()
	is.Equal(g.loss.accepted.version, gypsumyard.Version(7))
	is.True(g.loss.chosen == nil)
}

// Guards against the loss of commits that an instance holds whose loss was not accepted.
func TestLossOfOthersIsNotAccepted(t *testing.T) {
	is := is.New(t)
	f, h, absent, behind := awaitedFixture(t)
	f.awaitWait(h)
	f.acceptLoss(`{"term": 2, "instances": ["appraisal-1"]}`)
	time.Sleep(lossReadInterval + electionSpan)
	is.Equal(len(h.promoter.sent()), 0)
	behind.SetIsolated(false)
	absent[1].SetUnresponsive(false)
	h.list(behind, absent[1])
	f.writesAgain(h, time.Second)
}

// Guards against an instance that counts for good at a host that did not see the end of
// its process, although another host has removed it from the stored set.
func TestInstanceRemovedByAnotherHost(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 4)
	h := f.addHost("host-1", nil)
	all := f.group.Instances()
	_, err := f.write(h, "WRITE a 1")
	is.NoErr(err)
	f.awaitLog(h, "replica set stored")
	all[3].SetUnresponsive(true)
	h.list(all[:3]...)
	f.awaitLog(h, "instance lost")
	s, err := h.replicaSets.read(t.Context(), groupName)
	is.NoErr(err)
	s.Replicas = s.Replicas[:3]
	_, err = h.replicaSets.write(t.Context(), groupName, s)
	is.NoErr(err)
	all[0].Crash()
	f.eventually("a new primary", func() bool { return f.group.Primary() != nil })
	f.nothingLost()
}

// Guards against a removal that is inferred from a set which a restore of the store has
// taken back.
func TestRemovalInAnotherEra(t *testing.T) {
	is := is.New(t)
	is.True(wasRemoved(gypsumyard.NewVersion(1, 5), gypsumyard.NewVersion(1, 6)))
	is.True(!wasRemoved(gypsumyard.NewVersion(1, 5), gypsumyard.NewVersion(1, 5)))
	is.True(!wasRemoved(gypsumyard.NewVersion(1, 5), gypsumyard.NewVersion(2, 6)))
	is.True(!wasRemoved(gypsumyard.NewVersion(1, 0), gypsumyard.NewVersion(1, 6)))
}

// Guards against a number of fences that misses a commit of which a remaining instance
// holds a copy, or against one that is larger than that takes.
func TestFencesWithoutLostInstances(t *testing.T) {
	for n := 1; n <= 6; n++ {
		for lost := range n {
			needed := fencesNeededWithout(n, lost)
			remaining := n - lost
			// A holder pair misses the fences if it fits in what is neither fenced nor lost,
			// with at least one remaining instance in it.
			unfenced := remaining - needed
			missed := unfenced >= 2 || unfenced == 1 && lost > 0
			spare := needed > 1 && (lost == 0 && unfenced == 0 || unfenced < 0)
			if missed || spare {
				t.Errorf("%d instances, %d lost: %d fences", n, lost, needed)
			}
		}
	}
}

// Pattern: the first instance leads, the third has its commits, the second is behind. The
// third starts again empty under its ID, the first stops answering, and another host, which
// knows only the stored replica set and the list, takes over.
//
// Guards against a host that takes the former third instance for the one that is listed at
// its address, counts one too few, and promotes the second.
func TestTakeoverAfterEmptyRestart(t *testing.T) {
	f := newFixture(t, 3)
	h := f.addHost("host-1", nil)
	all := f.group.Instances()
	f.writeWithout(h, all[1])
	f.awaitLog(h, "replica set stored")
	all[0].SetUnresponsive(true)
	all[2].SetIsolated(true)
	all[2].RestartEmpty()
	h.list(all[0], all[1], all[2])
	h.members.Assign(gypsumyard.Assignment{Host: "none"})
	b := f.addHostWithList("host-b", all...)
	f.eventually("a wait", func() bool { return b.awaits() > 0 })
	time.Sleep(2 * time.Second) // Several attempts to elect.
	if n := len(b.promoter.sent()); n != 0 {
		t.Errorf("%d promotions were ordered, the log of the first instance is missing", n)
	}
}

// Guards against an ended instance that counts until the next term, because a failure of
// another kind between two refusals made its end look later than what was noted of the
// primary's log.
func TestCoverageAfterSecondRefusal(t *testing.T) {
	f := newFixture(t, 3)
	h := f.addHost("host-1", nil)
	f.eventually("primary", func() bool { _, err := f.write(h, "WRITE rug-1 a"); return err == nil })
	h.mu.Lock()
	g := h.groups[groupName]
	h.mu.Unlock()
	// A write needs only one replica: the other may not have been polled yet.
	f.eventually("states of all instances", func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return !slices.ContainsFunc(g.instances, func(i *instance) bool { return !i.statusKnown })
	})
	g.mu.Lock()
	defer g.mu.Unlock()
	p, _ := g.provenPrimary()
	var replicas []*instance
	for _, i := range g.instances {
		if i != p {
			replicas = append(replicas, i)
		}
	}
	ended, other := replicas[0], replicas[1]
	now := g.clock.Now()
	step := func() { now = now.Add(time.Millisecond) }
	fail := func(err error) { step(); g.recordSilence(ended, now, false, err) }
	check := func() { step(); p.sampledAt, other.sampledAt = now, now; g.noteCoverage() }

	p.status.received.Offset++ // The other replica lacks it at first.
	fail(syscall.ECONNREFUSED)
	check()
	fail(errors.New("timeout"))
	fail(syscall.ECONNREFUSED)
	other.status.received = p.status.received
	for range 5 {
		check()
	}
	if !ended.covered {
		t.Error("the ended instance is not covered")
	}
}
