package metrics

import (
	"io"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// metricsInterval is the time between two reports of the metrics to the
// registry that scrapers read.
const metricsInterval = time.Second

// NewScope returns the scope of a host's metrics, which reports to the registry
// once a metricsInterval until it is closed.
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
