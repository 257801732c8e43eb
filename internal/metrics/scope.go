package metrics

import (
	"io"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// metricsInterval is the interval at which metrics are reported to the registry
// that scrapers read.
const metricsInterval = time.Second

// NewScope returns the root scope of a host's metrics. It reports to the registry
// every metricsInterval until the returned Closer is closed.
func NewScope(r *prometheus.Registry) (tally.Scope, io.Closer) {
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer: r,
		Gatherer:   r,
		// A summary, the default for timers, holds about 70 KB, and each
		// database has two.
		DefaultTimerType: tallyprom.HistogramTimerType,
	})
	return tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "gypsumyard",
		CachedReporter:  reporter,
		Separator:       tallyprom.DefaultSeparator,
		SanitizeOptions: &tallyprom.DefaultSanitizerOpts,
	}, metricsInterval)
}
