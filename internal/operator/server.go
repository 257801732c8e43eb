package operator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/gypsumyard/gypsumyard/internal/planlist"
	"github.com/sirupsen/logrus"
)

const (
	// maxBody limits the size of a request or response body. An entry is far
	// smaller.
	maxBody = 1 << 20
	// readTimeout limits the time a client may take to send its request.
	readTimeout = 10 * time.Second
	// editTimeout limits the time of an edit with all its retries.
	editTimeout = 20 * time.Second
)

// stopTimeout is how long requests in flight may take to finish when the service
// stops, including the drain request that caused the stop.
const stopTimeout = 500 * time.Millisecond

// A Service is the server of the operators' API. Its name in the kernel is
// "operator".
type Service struct {
	addr    netip.AddrPort
	token   string
	clock   gypsumyard.Clock
	log     *logrus.Entry
	metrics http.Handler
	drain   func()

	lists    *planlist.Service
	members  gypsumyard.Membership
	editor   *planlist.Editor
	owner    describer
	server   *http.Server
	draining atomic.Bool
	done     chan struct{}
}

// A describer returns details of the databases that this host owns.
type describer interface {
	Describe(database string) (any, bool)
}

// An Option configures a service.
type Option func(*Service)

// WithToken makes the service require the token in the Authorization header of
// each request except for health and metrics.
func WithToken(t string) Option { return func(s *Service) { s.token = t } }

// WithClock sets the clock.
func WithClock(c gypsumyard.Clock) Option { return func(s *Service) { s.clock = c } }

// WithLogger sets the logger.
func WithLogger(l *logrus.Entry) Option { return func(s *Service) { s.log = l } }

// WithMetrics sets the handler of GET /metrics.
func WithMetrics(h http.Handler) Option { return func(s *Service) { s.metrics = h } }

// WithDrain sets the function that POST /drain calls. It is called at most once
// and must not block.
func WithDrain(f func()) Option { return func(s *Service) { s.drain = f } }

// New returns a service that will listen on addr.
func New(addr netip.AddrPort, options ...Option) *Service {
	s := &Service{
		addr:    addr,
		clock:   clock.System(),
		log:     logrus.NewEntry(logrus.StandardLogger()),
		metrics: http.NotFoundHandler(),
		drain:   func() {},
		done:    make(chan struct{}),
	}
	for _, o := range options {
		o(s)
	}
	return s
}

// Name returns "operator".
func (s *Service) Name() string { return "operator" }

// Needs returns the services that must be running before this one starts.
func (s *Service) Needs() []string { return []string{"platform", "lists", "members"} }

// Start starts listening.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) (err error) {
	store, err := kernel.Lookup[gypsumyard.Store](k, "platform")
	if err != nil {
		return err
	}
	s.editor = planlist.NewEditor(store, s.clock)
	if s.lists, err = kernel.Lookup[*planlist.Service](k, "lists"); err != nil {
		return err
	}
	if s.members, err = kernel.Lookup[gypsumyard.Membership](k, "members"); err != nil {
		return err
	}
	// The owner is optional: without it, the status has no details of
	// databases.
	s.owner, _ = kernel.Lookup[describer](k, "owner")
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(s.addr))
	if err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	s.server = &http.Server{Handler: s.routes(), ReadTimeout: readTimeout}
	go func() {
		defer close(s.done)
		if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.log.WithError(err).Error("operator HTTP server failed")
		}
	}()
	return nil
}

// Stop lets requests in flight finish within stopTimeout, and then closes their
// connections.
func (s *Service) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if s.server.Shutdown(ctx) == nil {
		return nil
	}
	return s.server.Close()
}

// Done returns a channel that is closed when the service has stopped.
func (s *Service) Done() <-chan struct{} { return s.done }

// SetDraining makes health checks fail, so that the load balancer sends no more
// callers.
func (s *Service) SetDraining() { s.draining.Store(true) }

func (s *Service) routes() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /health", s.health)
	m.Handle("GET /metrics", s.metrics)
	m.HandleFunc("GET /status", s.requireToken(s.status))
	m.HandleFunc("POST /drain", s.requireToken(s.beginDrain))
	m.HandleFunc("GET /lists/{list}/{entry}", s.requireToken(s.getEntry))
	m.HandleFunc("PUT /lists/{list}/{entry}", s.requireToken(s.putEntry))
	m.HandleFunc("DELETE /lists/{list}/{entry}", s.requireToken(s.deleteEntry))
	m.HandleFunc("GET /in-force", s.requireToken(s.inForce))
	return m
}

func (s *Service) requireToken(next http.HandlerFunc) http.HandlerFunc {
	want := []byte("Bearer " + s.token)
	return func(w http.ResponseWriter, r *http.Request) {
		got := []byte(r.Header.Get("Authorization"))
		if s.token != "" && subtle.ConstantTimeCompare(got, want) != 1 {
			writeJSON(w, http.StatusUnauthorized, ErrorResponse{"the token is missing or wrong", "not-authorized"})
			return
		}
		next(w, r)
	}
}

func (s *Service) ready() bool {
	select {
	case <-s.lists.Ready():
		return !s.draining.Load()
	default:
		return false
	}
}

func (s *Service) health(w http.ResponseWriter, _ *http.Request) {
	switch {
	case s.draining.Load():
		writeJSON(w, http.StatusServiceUnavailable, ErrorResponse{"draining", "unavailable"})
	case !s.ready():
		writeJSON(w, http.StatusServiceUnavailable, ErrorResponse{"the lists are not known yet", "unavailable"})
	default:
		writeJSON(w, http.StatusOK, struct{}{})
	}
}

func (s *Service) status(w http.ResponseWriter, _ *http.Request) {
	complete := s.lists.Newer(^gypsumyard.Version(0)).Complete
	status := Status{
		Host:       s.members.Self(),
		Ready:      s.ready(),
		Draining:   s.draining.Load(),
		Members:    s.members.Hosts(),
		CompleteTo: complete,
	}
	for _, d := range s.lists.Databases() {
		status.Databases = append(status.Databases, s.describe(d.Name))
	}
	writeJSON(w, http.StatusOK, status)
}

func (s *Service) describe(database string) DatabaseStatus {
	status := DatabaseStatus{Name: database}
	if h, ok := s.members.Owner(database); ok {
		status.Owner = h.Name
	}
	if s.owner == nil {
		return status
	}
	if detail, ok := s.owner.Describe(database); ok {
		status.Detail, _ = json.Marshal(detail)
	}
	return status
}

func (s *Service) beginDrain(w http.ResponseWriter, _ *http.Request) {
	if s.draining.CompareAndSwap(false, true) {
		s.log.Info("drain requested by an operator")
		s.drain()
	}
	writeJSON(w, http.StatusAccepted, struct{}{})
}

func (s *Service) getEntry(w http.ResponseWriter, r *http.Request) {
	kind, ok := listKind(w, r)
	if !ok {
		return
	}
	e, err := s.editor.Get(r.Context(), kind, r.PathValue("entry"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, EntryResponse{Version: e.Version, Deleted: e.Deleted, Value: e.Value})
}

func (s *Service) putEntry(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		writeJSON(w, http.StatusRequestEntityTooLarge, ErrorResponse{err.Error(), "invalid"})
		return
	}
	s.edit(w, r, value)
}

func (s *Service) deleteEntry(w http.ResponseWriter, r *http.Request) { s.edit(w, r, nil) }

func (s *Service) edit(w http.ResponseWriter, r *http.Request, value []byte) {
	kind, ok := listKind(w, r)
	if !ok {
		return
	}
	expected := planlist.AnyVersion
	if v := r.URL.Query().Get("expected"); v != "" {
		n, err := strconv.ParseUint(v, 10, 64)
		if err != nil {
			writeJSON(w, http.StatusBadRequest, ErrorResponse{"expected must be a version", "invalid"})
			return
		}
		expected = n
	}
	ctx, cancel := context.WithTimeout(r.Context(), editTimeout)
	defer cancel()
	name := r.PathValue("entry")
	applied, err := s.editor.Apply(ctx, planlist.Edit{Kind: kind, Name: name, Value: value, Expected: expected})
	log := s.log.WithFields(logrus.Fields{"list": kind, "entry": name, "removed": value == nil})
	if err != nil {
		log.WithError(err).Warn("edit not applied")
		writeError(w, err)
		return
	}
	log.WithFields(logrus.Fields{"version": applied.Version, "attempts": applied.Attempts}).Info("edit applied")
	writeJSON(w, http.StatusOK, applied)
}

func (s *Service) inForce(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	if err != nil || version == 0 {
		writeJSON(w, http.StatusBadRequest, ErrorResponse{"version must be a number above 0", "invalid"})
		return
	}
	hosts := s.lists.InForce(r.Context(), r.URL.Query().Get("object"), gypsumyard.Version(version))
	a := InForceResponse{Everywhere: true, Hosts: hosts}
	for _, h := range hosts {
		a.Everywhere = a.Everywhere && h.InForce
	}
	writeJSON(w, http.StatusOK, a)
}

func listKind(w http.ResponseWriter, r *http.Request) (planlist.Kind, bool) {
	kind, err := planlist.ParseKind(r.PathValue("list"))
	if err != nil {
		writeJSON(w, http.StatusNotFound, ErrorResponse{err.Error(), "not-found"})
	}
	return kind, err == nil
}

// writeError writes an error response with the status code for the error.
func writeError(w http.ResponseWriter, err error) {
	var conflict *planlist.EntryConflictError
	switch {
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusConflict, ErrorResponse{err.Error(), "conflict"})
	case errors.Is(err, gypsumyard.ErrNotFound):
		writeJSON(w, http.StatusNotFound, ErrorResponse{err.Error(), "not-found"})
	case errors.Is(err, gypsumyard.ErrOutcomeUnknown):
		writeJSON(w, http.StatusGatewayTimeout, ErrorResponse{err.Error(), "outcome-unknown"})
	case errors.Is(err, gypsumyard.ErrUnavailable), errors.Is(err, context.DeadlineExceeded):
		writeJSON(w, http.StatusServiceUnavailable, ErrorResponse{err.Error(), "unavailable"})
	default:
		writeJSON(w, http.StatusUnprocessableEntity, ErrorResponse{err.Error(), "invalid"})
	}
}

func writeJSON(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	// A failed write means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
