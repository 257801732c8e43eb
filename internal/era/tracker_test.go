package era

import (
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
)

func newTracker(t *testing.T) (*Tracker, *clock.Fake, *logtest.Hook) {
	t.Helper()
	log, hook := logtest.NewNullLogger()
	c := clock.NewFake(time.Unix(1000, 0))
	return NewTracker(WithClock(c), WithLogger(log)), c, hook
}

// Guards against an era that falls, and against losing the time since which it is
// known: what an unseen election may still do is counted from there.
func TestEraNeverFalls(t *testing.T) {
	is := is.New(t)
	k, c, _ := newTracker(t)
	e, since := k.Era()
	is.Equal(e, gypsumyard.Era(0))
	is.True(since.IsZero())
	k.Observe(2)
	first := c.Now()
	c.Advance(time.Second)
	k.Observe(2)
	k.Observe(1)
	e, since = k.Era()
	is.Equal(e, gypsumyard.Era(2))
	is.Equal(since, first)
	k.Observe(3)
	e, since = k.Era()
	is.Equal(e, gypsumyard.Era(3))
	is.Equal(since, first.Add(time.Second))
}

// Guards against parts of the host that are not told of a restore.
func TestEraChanges(t *testing.T) {
	is := is.New(t)
	k, _, _ := newTracker(t)
	k.Observe(1)
	changed := k.EraChanges()
	k.Observe(1)
	k.Observe(0)
	select {
	case <-changed:
		t.Fatal("a change without a new era")
	default:
	}
	k.Observe(2)
	<-changed
	is.True(k.EraChanges() != changed)
}

// Guards against a log line for each of the many responses that cross with a
// restore.
func TestOlderErasAreLoggedOnce(t *testing.T) {
	is := is.New(t)
	k, c, hook := newTracker(t)
	k.Observe(1)
	k.Observe(2)
	is.Equal(hook.LastEntry().Level, logrus.WarnLevel)
	before := len(hook.AllEntries())
	for range 100 {
		k.Observe(1)
	}
	is.Equal(len(hook.AllEntries()), before+1)
	c.Advance(olderLogInterval)
	k.Observe(1)
	is.Equal(len(hook.AllEntries()), before+2)
}

// Guards against a host that has just started and waits for elections of before an
// era that its peers have known for long.
func TestAgeOfEraIsLearned(t *testing.T) {
	is := is.New(t)
	k, c, _ := newTracker(t)
	k.Observe(2)
	k.Learn(2, time.Minute)
	_, since := k.Era()
	is.Equal(since, c.Now().Add(-time.Minute))
	k.Learn(2, time.Second) // Another peer has known it for a shorter time.
	_, since = k.Era()
	is.Equal(since, c.Now().Add(-time.Minute))
	k.Learn(1, time.Hour)
	_, since = k.Era()
	is.Equal(since, c.Now().Add(-time.Minute))
	k.Learn(3, time.Second)
	e, since := k.Era()
	is.Equal(e, gypsumyard.Era(3))
	is.Equal(since, c.Now().Add(-time.Second))
}
