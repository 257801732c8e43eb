package host

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/admit"
	"github.com/gypsumyard/gypsumyard/internal/caller"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/gypsumyard/gypsumyard/internal/config"
	"github.com/gypsumyard/gypsumyard/internal/dispatch"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/gypsumyard/gypsumyard/internal/member"
	"github.com/gypsumyard/gypsumyard/internal/metrics"
	"github.com/gypsumyard/gypsumyard/internal/operator"
	"github.com/gypsumyard/gypsumyard/internal/owner"
	"github.com/gypsumyard/gypsumyard/internal/peer"
	"github.com/gypsumyard/gypsumyard/internal/planlist"
	"github.com/gypsumyard/gypsumyard/internal/platform"
	"github.com/gypsumyard/gypsumyard/internal/route"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// A Host is one node of the proxy. A process runs one host, or several in tests
// and emulated sites.
type Host struct {
	settings config.Settings
	clock    gypsumyard.Clock
	log      *logrus.Logger
	admitter func(gypsumyard.Database, tally.Scope) gypsumyard.Admitter
	router   func(gypsumyard.Database) gypsumyard.Router
	dialer   PeerDialer
	// dispatch, if not nil, returns the service that replaces those that run
	// requests.
	dispatch func(h *Host) kernel.Service

	registry *prometheus.Registry
	scope    tally.Scope
	metrics  io.Closer

	kernel   *kernel.Kernel
	members  *member.Service
	lists    *planlist.Service
	owner    *owner.Service
	caller   *caller.Server
	operator *operator.Service

	drain     sync.Once
	drainDone chan struct{}
	done      chan struct{}
}

// An Option configures a host.
type Option func(*Host)

// WithClock sets the clock.
func WithClock(c gypsumyard.Clock) Option { return func(h *Host) { h.clock = c } }

// WithLogger replaces the logger that the settings configure.
func WithLogger(l *logrus.Logger) Option { return func(h *Host) { h.log = l } }

// WithAdmitter replaces the admission control, for benchmarks against a baseline.
func WithAdmitter(f func(gypsumyard.Database, tally.Scope) gypsumyard.Admitter) Option {
	return func(h *Host) { h.admitter = f }
}

// WithRouter replaces the routing of reads, for benchmarks against a baseline.
func WithRouter(f func(gypsumyard.Database) gypsumyard.Router) Option {
	return func(h *Host) { h.router = f }
}

// A PeerDialer opens a connection from one host to another.
type PeerDialer func(ctx context.Context, from string, to netip.AddrPort) (net.Conn, error)

// WithPeerDialer replaces the dialer of connections to other hosts, for tests
// that simulate network partitions.
func WithPeerDialer(d PeerDialer) Option { return func(h *Host) { h.dialer = d } }

// WithDispatch replaces the services that run requests, including the owner, with
// a single service, for benchmarks against a baseline. The service must have the
// name "dispatch".
func WithDispatch(f func(h *Host) kernel.Service) Option {
	return func(h *Host) { h.dispatch = f }
}

// New returns a host with all its services, which are not started yet.
func New(s config.Settings, options ...Option) (h *Host, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("host %s: %w", s.Host.Name, err)
		}
	}()
	h = &Host{
		settings:  s,
		clock:     clock.System(),
		registry:  prometheus.NewRegistry(),
		drainDone: make(chan struct{}),
		done:      make(chan struct{}),
	}
	h.admitter = func(d gypsumyard.Database, m tally.Scope) gypsumyard.Admitter {
		return admit.New(d.Name, admit.WithClock(h.clock), admit.WithLogger(h.logger("admit")), admit.WithMetrics(m))
	}
	h.router = func(gypsumyard.Database) gypsumyard.Router { return route.New() }
	for _, o := range options {
		o(h)
	}
	if h.log == nil {
		h.log = newLogger(s.Log)
	}
	h.startMetrics()
	h.kernel, err = kernel.New(h.services()...)
	return h, err
}

func newLogger(s config.Log) *logrus.Logger {
	l := logrus.New()
	if level, err := logrus.ParseLevel(s.Level); err == nil {
		l.SetLevel(level)
	}
	if s.Format == "json" {
		l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	}
	return l
}

func (h *Host) startMetrics() {
	h.scope, h.metrics = metrics.NewScope(h.registry)
}

// logger returns a logger that adds the host and the service to each line.
func (h *Host) logger(service string) *logrus.Entry {
	return h.log.WithFields(logrus.Fields{"host": h.settings.Host.Name, "service": service})
}

func (h *Host) services() []kernel.Service {
	s := h.settings
	self := gypsumyard.Host{
		Name:          s.Host.Name,
		Addr:          s.Listen.Peers,
		Region:        s.Host.Region,
		FailureDomain: s.Host.FailureDomain,
		State:         gypsumyard.HostLive,
	}
	store := platform.NewService(s.Platform.Address,
		platform.WithClock(h.clock),
		platform.WithRateLimit(s.Platform.CallsPerSecond, s.Platform.CallBurst),
		platform.WithTimeout(time.Duration(s.Platform.CallTimeout)))
	h.members = member.New(self, member.WithClock(h.clock), member.WithLogger(h.logger("members")),
		member.WithMetrics(h.scope), member.WithSeeds(s.Peers.Seeds...))
	h.lists = planlist.New(planlist.WithClock(h.clock), planlist.WithLogger(h.logger("lists")), planlist.WithMetrics(h.scope))
	peers := peer.New(self, []byte(s.Peers.Secret), h.peerOptions()...)
	h.owner = owner.New(h.ownerOptions()...)
	dispatcher := dispatch.New(dispatch.WithClock(h.clock), dispatch.WithLogger(h.logger("dispatch")), dispatch.WithMetrics(h.scope))
	h.caller = caller.New(s.Listen.Callers, caller.WithClock(h.clock), caller.WithLogger(h.logger("caller")),
		caller.WithMetrics(h.scope), caller.WithCancelForwarder(peers), caller.WithMockSecret([]byte(s.Peers.Secret)), caller.WithLimits(caller.Limits{
			ConnectionBuffer: int(s.Callers.BufferPerConnection),
			TotalBuffer:      int(s.Callers.BufferTotal),
			StartupTimeout:   time.Duration(s.Callers.StartupTimeout),
			DrainIdleTimeout: time.Duration(s.Callers.DrainIdle),
		}))
	h.operator = operator.New(s.Listen.Operators, operator.WithClock(h.clock), operator.WithLogger(h.logger("operator")),
		operator.WithToken(s.Operators.Token), operator.WithDrain(func() { go h.Drain(context.Background()) }),
		operator.WithMetrics(promhttp.HandlerFor(h.registry, promhttp.HandlerOpts{})))
	common := []kernel.Service{store, peers, h.members, h.lists, h.caller, h.operator}
	if h.dispatch != nil {
		return append(common, h.dispatch(h))
	}
	return append(common, h.owner, dispatcher)
}

func (h *Host) peerOptions() []peer.Option {
	options := []peer.Option{peer.WithClock(h.clock), peer.WithLogger(h.logger("peer")), peer.WithMetrics(h.scope)}
	if h.dialer != nil {
		options = append(options, peer.WithDialer(func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
			return h.dialer(ctx, h.settings.Host.Name, to)
		}))
	}
	return options
}

func (h *Host) ownerOptions() []owner.Option {
	s := h.settings.Owner
	options := []owner.Option{
		owner.WithClock(h.clock),
		owner.WithLogger(h.logger("owner")),
		owner.WithMetrics(h.scope),
		owner.WithLogEvery(h.settings.Log.Decisions),
		owner.WithConfirmTimeout(time.Duration(s.ConfirmTimeout)),
		owner.WithIdleTransactionTimeout(time.Duration(s.IdleTransaction)),
		owner.WithPollInterval(time.Duration(s.PollInterval), urgentPollInterval),
		owner.WithAdmitter(func(d gypsumyard.Database) gypsumyard.Admitter {
			return h.admitter(d, h.scope.Tagged(map[string]string{"database": d.Name}))
		}),
		owner.WithRouter(h.router),
	}
	if s.Promote {
		options = append(options, owner.WithPromoter(func(d gypsumyard.Database) owner.Promoter {
			return owner.NewPromoter(d, h.clock, h.logger("promote"), time.Duration(s.DetectTimeout))
		}))
	}
	return options
}

// urgentPollInterval is the time between two status polls while requests wait for
// an instance to reach a position.
const urgentPollInterval = 2 * time.Millisecond

// Start starts all services.
func (h *Host) Start(ctx context.Context) error {
	return h.kernel.Start(ctx)
}

// Ready returns a channel that is closed when the host admits callers.
func (h *Host) Ready() <-chan struct{} { return h.lists.Ready() }

// Settings returns the host's settings.
func (h *Host) Settings() config.Settings { return h.settings }

// Lists returns the host's copy of the lists of plans, customers and databases.
func (h *Host) Lists() *planlist.Service { return h.lists }

// Members returns the host's view of the other hosts.
func (h *Host) Members() gypsumyard.Membership { return h.members }

// MetricsHandler returns the HTTP handler that exposes the metrics.
func (h *Host) MetricsHandler() http.Handler {
	return promhttp.HandlerFor(h.registry, promhttp.HandlerOpts{})
}

// Gatherer returns the source of the current metrics.
func (h *Host) Gatherer() prometheus.Gatherer { return h.registry }

// Drain lets all requests in flight finish, hands over the databases and stops
// the host. It returns when that is done or ctx is done. Later calls wait for the
// first one and return nil.
func (h *Host) Drain(ctx context.Context) (err error) {
	h.drain.Do(func() {
		defer close(h.drainDone)
		h.logger("host").Info("drain started")
		h.operator.SetDraining()
		h.members.Announce(gypsumyard.HostLeaving)
		err = errors.Join(h.caller.Drain(ctx), h.owner.Drain(ctx))
		h.members.Announce(gypsumyard.HostDead)
		err = errors.Join(err, h.Stop(ctx))
	})
	<-h.drainDone
	return err
}

// Stop stops all services without draining.
func (h *Host) Stop(ctx context.Context) error {
	err := h.kernel.Stop(ctx)
	select {
	case <-h.done:
	default:
		close(h.done)
		err = errors.Join(err, h.metrics.Close())
	}
	return err
}

// Done returns a channel that is closed when the host has stopped.
func (h *Host) Done() <-chan struct{} { return h.done }
