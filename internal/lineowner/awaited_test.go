package lineowner

import (
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/emulate/linegroup"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

// longAbsence exceeds the 6 s after which absent instances once stopped counting.
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

// Guards against the loss of commits that only absent instances hold: one that is behind
// was promoted after 6 s, and the others returned after 14 to 16 s.
func TestAbsentInstancesReturnLate(t *testing.T) {
	is := is.New(t)
	f, h, absent, _ := awaitedFixture(t)
	time.Sleep(longAbsence)
	is.Equal(len(h.promoter.sent()), 0)
	for _, i := range absent {
		i.SetUnresponsive(false)
	}
	h.list(f.group.Instances()...)
	f.eventually("a write", func() bool {
		_, err := f.write(h, "WRITE a 3")
		return err == nil
	})
	f.nothingLost()
}
