package admit

import (
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

type metrics struct {
	granted tally.Counter
	refused map[gypsumyard.ErrorClass]tally.Counter
	wait    tally.Histogram
	queued  tally.Gauge
	running tally.Gauge
}

func newMetrics(scope tally.Scope) *metrics {
	m := &metrics{
		granted: scope.Counter("admit_granted"),
		refused: map[gypsumyard.ErrorClass]tally.Counter{},
		wait:    scope.Histogram("admit_wait", tally.MustMakeExponentialDurationBuckets(100*time.Microsecond, 2, 18)),
		queued:  scope.Gauge("admit_queued"),
		running: scope.Gauge("admit_running"),
	}
	for _, c := range []gypsumyard.ErrorClass{gypsumyard.ClassLoad, gypsumyard.ClassPlan, gypsumyard.ClassNotRun} {
		m.refused[c] = scope.Tagged(map[string]string{"class": string(c)}).Counter("admit_refused")
	}
	return m
}

func (m *metrics) record(w *waiter) {
	if w.err == nil {
		m.granted.Inc(1)
		m.wait.RecordDuration(w.grant.Waited)
		return
	}
	if c, ok := m.refused[gypsumyard.ClassOf(w.err)]; ok {
		c.Inc(1)
	}
}

func (m *metrics) setLengths(queued, running int) {
	m.queued.Update(float64(queued))
	m.running.Update(float64(running))
}

func (a *Admitter) logDecision(w *waiter) {
	if !debugEnabled(a.settings.log) {
		return
	}
	e := a.settings.log.WithFields(logrus.Fields{
		"database": a.settings.database,
		"customer": w.request.Customer,
		"priority": w.request.Priority,
		"long":     w.request.Long,
	})
	if w.err != nil {
		e.WithError(w.err).Debug("request refused")
		return
	}
	e.WithFields(logrus.Fields{
		"instance": w.grant.Target.Instance,
		"cost":     w.grant.Target.Cost,
		"waited":   w.grant.Waited,
		"expected": w.expectedWait,
		"reason":   w.grant.Target.Reason,
	}).Debug("request admitted")
}

// debugEnabled reports whether debug lines are logged, so that their fields are
// not built needlessly for each grant.
func debugEnabled(l logrus.FieldLogger) bool {
	switch l := l.(type) {
	case *logrus.Logger:
		return l.IsLevelEnabled(logrus.DebugLevel)
	case *logrus.Entry:
		return l.Logger.IsLevelEnabled(logrus.DebugLevel)
	}
	return true
}
