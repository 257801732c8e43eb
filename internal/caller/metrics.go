package caller

import (
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/uber-go/tally/v4"
)

type metrics struct {
	scope    tally.Scope
	sessions tally.Gauge
	opened   tally.Counter
	refused  tally.Counter
	classes  map[gypsumyard.StatementClass]requestMetrics
}

type requestMetrics struct {
	count   tally.Counter
	latency tally.Histogram
}

func newMetrics(scope tally.Scope) *metrics {
	scope = scope.SubScope("caller")
	m := &metrics{
		scope:    scope,
		sessions: scope.Gauge("sessions"),
		opened:   scope.Counter("sessions_opened"),
		refused:  scope.Counter("connections_refused"),
		classes:  map[gypsumyard.StatementClass]requestMetrics{},
	}
	for _, c := range []gypsumyard.StatementClass{
		gypsumyard.StatementRead, gypsumyard.StatementWrite, gypsumyard.StatementBegin,
		gypsumyard.StatementBeginRead, gypsumyard.StatementCommit, gypsumyard.StatementRollback,
	} {
		tagged := scope.Tagged(map[string]string{"class": string(c)})
		m.classes[c] = requestMetrics{
			count:   tagged.Counter("requests"),
			latency: tagged.Histogram("latency", latencyBuckets()),
		}
	}
	return m
}

// latencyBuckets reach from a lookup in memory to a long batch.
func latencyBuckets() tally.DurationBuckets {
	return tally.MustMakeExponentialDurationBuckets(250*time.Microsecond, 2, 18)
}

// request records a request that ended, with the class of its error or "".
func (m *metrics) request(class gypsumyard.StatementClass, failure gypsumyard.ErrorClass, took time.Duration) {
	r := m.classes[class]
	r.count.Inc(1)
	r.latency.RecordDuration(took)
	if failure != "" {
		m.failure(failure)
	}
}

func (m *metrics) failure(class gypsumyard.ErrorClass) {
	m.scope.Tagged(map[string]string{"class": string(class)}).Counter("errors").Inc(1)
}
