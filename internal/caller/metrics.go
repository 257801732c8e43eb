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
}

func newMetrics(scope tally.Scope) *metrics {
	scope = scope.SubScope("caller")
	return &metrics{
		scope:    scope,
		sessions: scope.Gauge("sessions"),
		opened:   scope.Counter("sessions_opened"),
		refused:  scope.Counter("connections_refused"),
	}
}

// request records a request that ended, with the class of its error or "".
func (m *metrics) request(class gypsumyard.StatementClass, failure gypsumyard.ErrorClass, took time.Duration) {
	scope := m.scope.Tagged(map[string]string{"class": string(class)})
	scope.Counter("requests").Inc(1)
	scope.Histogram("latency", tally.DefaultBuckets).RecordDuration(took)
	if failure != "" {
		m.failure(failure)
	}
}

func (m *metrics) failure(class gypsumyard.ErrorClass) {
	m.scope.Tagged(map[string]string{"class": string(class)}).Counter("errors").Inc(1)
}
