package lineowner

import (
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/emulate/linegroup"
	"github.com/matryer/is"
)

// leavingFixture returns a group whose primary and one replica leave. The replica that
// stays receives nothing.
func leavingFixture(t *testing.T, drainTimeout time.Duration) (f *fixture, h *hostFixture, staying *linegroup.Instance) {
	t.Helper()
	is := is.New(t)
	f = newFixture(t, 3)
	f.drainTimeout = drainTimeout
	h = f.addHost("host-1", nil)
	_, err := f.write(h, "WRITE a 1")
	is.NoErr(err)
	all := f.group.Instances()
	all[1].SetIsolated(true)
	_, err = f.write(h, "WRITE a 2")
	is.NoErr(err)
	all[0].SetLeaving()
	all[2].SetLeaving()
	h.lists.change()
	f.eventually("the list to be applied", func() bool {
		seen := 0
		for _, e := range h.logHook.AllEntries() {
			if e.Message == "instance is leaving" {
				seen++
			}
		}
		return seen == 2
	})
	return f, h, all[1]
}

// Guards against the loss of a commit that only leaving instances hold: their logs go
// with them.
func TestCommitThatOnlyLeavingInstancesHold(t *testing.T) {
	is := is.New(t)
	f, h, staying := leavingFixture(t, 0)
	end := time.Now().Add(electionSpan)
	for time.Now().Before(end) {
		_, _, err := f.run(h, statement{text: "WRITE a 3", class: gypsumyard.StatementWrite, timeout: 500 * time.Millisecond})
		is.True(err != nil)
	}
	staying.SetIsolated(false)
	f.eventually("a write", func() bool {
		_, err := f.write(h, "WRITE a 4")
		return err == nil
	})
	f.eventually("a handover", func() bool { return f.group.Primary() == staying })
	f.nothingLost()
}

// Guards against work for a leaving primary after the time in which it must be drained,
// and against requests that wait for their deadline then.
func TestLeavingPrimaryIsDrainedInTime(t *testing.T) {
	is := is.New(t)
	f, h, _ := leavingFixture(t, drainMargin+time.Second)
	time.Sleep(time.Second + 200*time.Millisecond)
	mark := len(f.group.Executions())
	end := time.Now().Add(electionSpan)
	for time.Now().Before(end) {
		began := time.Now()
		_, _, err := f.run(h, statement{text: "READ a", class: gypsumyard.StatementRead, timeout: 3 * time.Second})
		is.Equal(gypsumyard.ClassOf(err), gypsumyard.ClassNotRun)
		is.True(time.Since(began) < 2*time.Second)
		time.Sleep(50 * time.Millisecond)
	}
	is.Equal(len(f.group.Executions()), mark)
}
