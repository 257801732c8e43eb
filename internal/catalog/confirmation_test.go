package catalog

import (
	"errors"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/uber-go/tally/v4"
)

// Guards against a copy of the desired state that nobody has confirmed for long without
// a line that tells what was tried.
func TestLateConfirmationIsLogged(t *testing.T) {
	is := is.New(t)
	log, hook := test.NewNullLogger()
	m := tally.NewTestScope("", nil)
	a := newAnswerLog(clock.System(), log, m, time.Second)
	ago := func(d time.Duration) time.Time { return time.Now().Add(-d) }
	d := &gypsumyard.DesiredState{Number: 15}

	a.noteConfirmed(sourcePeer, "host-1", ago(500*time.Millisecond), 7)
	a.report(d)
	is.Equal(len(hook.Entries), 0)

	a.noteConfirmed(sourcePeer, "host-1", ago(2*time.Second), 7)
	a.noteFailed(sourcePeer, errors.New("from host-2: timeout"))
	a.noteFailed(sourceStore, errors.New("store unavailable"))
	a.noteFailed(sourceStore, errors.New("status 503"))
	a.report(d)
	a.report(d) // Logged once only.
	is.Equal(len(hook.Entries), 1)
	e := hook.LastEntry()
	is.Equal(e.Level, logrus.WarnLevel)
	is.Equal(e.Data["number"], int64(15))
	is.Equal(e.Data["confirmed-by"], "host-1")
	is.Equal(e.Data["complete"], gypsumyard.Version(7))
	is.Equal(e.Data["failed-peer"], 1)
	is.Equal(e.Data["failed-store"], 2)
	is.Equal(e.Data["error-store"], "status 503")

	a.noteConfirmed(sourceStore, sourceStore, ago(0), 9)
	is.Equal(len(hook.Entries), 2)
	is.Equal(hook.LastEntry().Message, "desired state is confirmed again")
	is.Equal(hook.LastEntry().Data["by"], sourceStore)

	counters := m.Snapshot().Counters()
	is.Equal(counters["lists_desired_reads+outcome=failed,source=store"].Value(), int64(2))
	is.Equal(counters["lists_desired_reads+outcome=answered,source=peer"].Value(), int64(2))
	is.Equal(m.Snapshot().Gauges()["lists_desired_number+"].Value(), float64(15))
	is.True(m.Snapshot().Gauges()["lists_desired_age_seconds+"].Value() >= 2)
}
