package linehost_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/linehost"
	"github.com/gypsumyard/gypsumyard/internal/loopback"
	"github.com/gypsumyard/gypsumyard/internal/metrics"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// scrape returns the lines that the host serves as metrics.
func scrape(url string) string {
	r, err := http.Get(url)
	if err != nil {
		return ""
	}
	defer r.Body.Close()
	text, _ := io.ReadAll(r.Body) // Lines that are missing are asked for again.
	return string(text)
}

// Guards against calls to the platform that on-call cannot see, or whose reason is
// lost between the service that makes them and the metric.
func TestCallsToThePlatformAreServedAsMetrics(t *testing.T) {
	s := newSystem(t, 1, routes())
	addr, err := loopback.FreeAddress()
	s.must(err)
	registry := prometheus.NewRegistry()
	scope, closer := metrics.NewScope(registry)
	t.Cleanup(func() { _ = closer.Close() })
	s.addHosts(1)
	h := s.hosts[1]
	h.settings.Host.Name = "counted"
	s.start(h, linehost.WithMetrics(scope), linehost.WithMetricsHandler(addr.Port(), promhttp.HandlerFor(registry, promhttp.HandlerOpts{})))
	s.awaitRoute(h, routes()[0].Host)
	want := []string{
		`gypsumyard_platform_calls{kind="list",reason="start"} 2`,
		`gypsumyard_platform_calls{kind="write",reason="registration"} 1`,
		`gypsumyard_platform_calls{kind="stale_list",reason="hosts"}`,
		`gypsumyard_platform_calls{kind="watch",reason="watcher"}`,
	}
	text := ""
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		text = scrape(fmt.Sprintf("http://%s/metrics", addr))
		missing := false
		for _, line := range want {
			missing = missing || !strings.Contains(text, line)
		}
		if !missing {
			return
		}
	}
	t.Fatalf("want %q, have\n%s", want, text)
}
