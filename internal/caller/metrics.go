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
	byClass  map[gypsumyard.StatementClass]requestMetrics
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
		byClass:  map[gypsumyard.StatementClass]requestMetrics{},
	}
	for _, c := range []gypsumyard.StatementClass{
		gypsumyard.StatementRead, gypsumyard.StatementWrite, gypsumyard.StatementBegin,
		gypsumyard.StatementBeginRead, gypsumyard.StatementCommit, gypsumyard.StatementRollback,
	} {
		tagged := scope.Tagged(map[string]string{"class": string(c)})
		m.byClass[c] = requestMetrics{
			count:   tagged.Counter("requests"),
			latency: tagged.Histogram("latency", latencyBuckets()),
		}
	}
	return m
}

// latencyBuckets returns buckets that range from the latency of a lookup in
// memory to that of a long batch.
func latencyBuckets() tally.DurationBuckets {
	return tally.MustMakeExponentialDurationBuckets(250*time.Microsecond, 2, 18)
}

// countRequest records a completed request with its latency. The error class is
// empty if the request succeeded.
func (m *metrics) countRequest(class gypsumyard.StatementClass, errorClass gypsumyard.ErrorClass, latency time.Duration) {
	r := m.byClass[class]
	r.count.Inc(1)
	r.latency.RecordDuration(latency)
	if errorClass != "" {
		m.countFailure(errorClass)
	}
}

func (m *metrics) countFailure(class gypsumyard.ErrorClass) {
	m.scope.Tagged(map[string]string{"class": string(class)}).Counter("errors").Inc(1)
}
