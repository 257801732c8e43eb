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

// A metricsServer is the kernel service "metrics". It serves counters and
// histograms to scrapers.
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

// Needs returns nothing.
func (m *metricsServer) Needs() []string { return nil }

// Done returns a channel that is closed after Stop.
func (m *metricsServer) Done() <-chan struct{} { return m.done }

// Start listens. A host whose metrics cannot be served works all the same.
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

// readiness is the kernel service "readiness". It answers every request with
// status 200 while the host should get new callers, and else with 503.
type readiness struct {
	addr    netip.AddrPort
	check   func() bool
	log     logrus.FieldLogger
	server  http.Server
	leaving atomic.Bool
	before  atomic.Bool
	done    chan struct{}
}

func newReadiness(addr netip.AddrPort, check func() bool, log logrus.FieldLogger) *readiness {
	r := &readiness{addr: addr, check: check, log: log, done: make(chan struct{})}
	r.server.Handler = r
	return r
}

// Name returns "readiness".
func (r *readiness) Name() string { return "readiness" }

// Needs lists the services that must run before callers come.
func (r *readiness) Needs() []string { return []string{"caller"} }

// Done returns a channel that is closed after Stop.
func (r *readiness) Done() <-chan struct{} { return r.done }

// Start listens.
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

// leave makes the host not ready for good.
func (r *readiness) leave() { r.leaving.Store(true) }

// ServeHTTP tells whether the host is ready.
func (r *readiness) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	ready := !r.leaving.Load() && r.check()
	if r.before.Swap(ready) != ready {
		r.log.WithFields(logrus.Fields{"ready": ready, "leaving": r.leaving.Load()}).Info("readiness changes")
	}
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
