package linehost

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"

	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/sirupsen/logrus"
)

// A metricsServer is the kernel service "metrics", which serves the metrics of
// the host over HTTP.
type metricsServer struct {
	addr   netip.AddrPort
	log    logrus.FieldLogger
	server http.Server
	done   chan struct{}
}

func newMetricsServer(addr netip.AddrPort, h http.Handler, log logrus.FieldLogger) *metricsServer {
	m := &metricsServer{addr: addr, log: log, done: make(chan struct{})}
	m.server.Handler = h
	return m
}

// Name returns "metrics".
func (m *metricsServer) Name() string { return "metrics" }

// Needs returns nil: the service depends on no other one.
func (m *metricsServer) Needs() []string { return nil }

// Done returns a channel that is closed after Stop.
func (m *metricsServer) Done() <-chan struct{} { return m.done }

// Start listens and serves. A failure to listen is logged and not returned,
// since the host works without metrics.
func (m *metricsServer) Start(context.Context, *kernel.Kernel) error {
	l, err := net.Listen("tcp", m.addr.String())
	if err != nil {
		m.log.WithError(err).Error("metrics are not served")
		close(m.done)
		return nil
	}
	go func() {
		defer close(m.done)
		if err := m.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			m.log.WithError(err).Error("metrics are no longer served")
		}
	}()
	return nil
}

// Stop closes the server.
func (m *metricsServer) Stop(context.Context) error { return m.server.Close() }

// readiness is the kernel service "readiness", the endpoint of the platform's
// readiness checks. It answers every request with status 200 while the host
// should receive new connections of callers, and with 503 otherwise.
type readiness struct {
	addr     netip.AddrPort
	check    func() bool
	log      logrus.FieldLogger
	server   http.Server
	leaving  atomic.Bool
	wasReady atomic.Bool
	done     chan struct{}
}

func newReadiness(addr netip.AddrPort, check func() bool, log logrus.FieldLogger) *readiness {
	r := &readiness{addr: addr, check: check, log: log, done: make(chan struct{})}
	r.server.Handler = r
	return r
}

// Name returns "readiness".
func (r *readiness) Name() string { return "readiness" }

// Needs returns the services that must run before the host reports itself
// ready.
func (r *readiness) Needs() []string { return []string{"caller"} }

// Done returns a channel that is closed after Stop.
func (r *readiness) Done() <-chan struct{} { return r.done }

// Start listens and serves.
func (r *readiness) Start(context.Context, *kernel.Kernel) error {
	l, err := net.Listen("tcp", r.addr.String())
	if err != nil {
		return fmt.Errorf("readiness: %w", err)
	}
	go func() {
		defer close(r.done)
		if err := r.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			r.log.WithError(err).Error("readiness is no longer served")
		}
	}()
	return nil
}

// Stop closes the server.
func (r *readiness) Stop(context.Context) error { return r.server.Close() }

// setLeaving makes the host permanently not ready.
func (r *readiness) setLeaving() { r.leaving.Store(true) }

// ServeHTTP answers a readiness check.
func (r *readiness) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	ready := !r.leaving.Load() && r.check()
	if r.wasReady.Swap(ready) != ready {
		r.log.WithFields(logrus.Fields{"ready": ready, "leaving": r.leaving.Load()}).Info("readiness changed")
	}
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
