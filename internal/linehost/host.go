package linehost

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/catalog"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/gypsumyard/gypsumyard/internal/dispatch"
	"github.com/gypsumyard/gypsumyard/internal/era"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/gypsumyard/gypsumyard/internal/linecaller"
	"github.com/gypsumyard/gypsumyard/internal/lineowner"
	"github.com/gypsumyard/gypsumyard/internal/member"
	"github.com/gypsumyard/gypsumyard/internal/peer"
	"github.com/gypsumyard/gypsumyard/platform"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

const (
	// hostPrefix and claimPrefix are the prefixes of the objects that the proxy
	// itself keeps in the platform's store: registered hosts and promotions.
	hostPrefix  = "gypsumyard-hosts/"
	claimPrefix = "gypsumyard-promotions/"
	// lossPrefix is that of the objects in which operators accept the loss of
	// instances.
	lossPrefix = "gypsumyard-loss-acceptance/"
	// reservedDescriptors is the number of file descriptors that the platform
	// reserves for files.
	reservedDescriptors = 200
	// descriptorsPerSession leaves as many descriptors for connections to
	// instances and hosts as for sessions.
	descriptorsPerSession = 2
	// deregistrationDelay is how long the platform may send new connections to
	// a host that reports itself as not ready. It stops after two failed
	// readiness checks, which are a second apart.
	deregistrationDelay = 2200 * time.Millisecond
	// drainFraction is the fraction of the grace period in which sessions and
	// statements may finish.
	drainFraction = 0.85
	// drainPollInterval is the interval at which a drain checks whether
	// sessions are left.
	drainPollInterval = 20 * time.Millisecond
	// stopTimeout bounds the shutdown of the services after the drain. With a short
	// grace period, what is left of that bounds it.
	stopTimeout = 500 * time.Millisecond
)

// A Host is one process of the proxy on the platform.
type Host struct {
	settings platform.Settings
	clock    gypsumyard.Clock
	log      *logrus.Logger
	scope    tally.Scope
	// metricsPort and metricsHandler serve the metrics unless the port is zero.
	metricsPort    uint16
	metricsHandler http.Handler

	registry  *catalog.Registry
	lists     *catalog.Service
	members   *member.Service
	owner     *lineowner.Service
	caller    *linecaller.Server
	readiness *readiness
	kernel    *kernel.Kernel
}

// An Option configures a Host.
type Option func(*Host)

// WithClock sets the clock, which must advance while the machine is suspended.
func WithClock(c gypsumyard.Clock) Option { return func(h *Host) { h.clock = c } }

// WithLogger sets the logger.
func WithLogger(l *logrus.Logger) Option { return func(h *Host) { h.log = l } }

// WithMetrics sets the scope in which metrics are reported.
func WithMetrics(m tally.Scope) Option { return func(h *Host) { h.scope = m } }

// WithMetricsHandler sets the handler that serves the metrics and its port at
// the address of the host. With port zero the metrics are not served.
func WithMetricsHandler(port uint16, handler http.Handler) Option {
	return func(h *Host) { h.metricsPort, h.metricsHandler = port, handler }
}

// New returns a host with the settings of the platform. Run starts it.
func New(s platform.Settings, options ...Option) (h *Host, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("host %s: %w", s.Host.Name, err)
		}
	}()
	h = &Host{settings: s, clock: clock.Boot(), log: logrus.StandardLogger(), scope: tally.NoopScope}
	for _, o := range options {
		o(h)
	}
	h.kernel, err = kernel.New(h.services()...)
	return h, err
}

func (h *Host) services() []kernel.Service {
	s := h.settings
	eras := era.NewTracker(era.WithClock(h.clock), era.WithLogger(h.logger("store")), era.WithMetrics(h.scope))
	client := platform.NewClient(s.StoreAddr, s.PromotionAddr, platform.WithCallObserver(countCalls(h.scope)))
	store := func(r gypsumyard.CallReason) gypsumyard.Store { return client.For(r) }
	names := catalog.ObjectNames{Desired: platform.DesiredStateObject, Instances: platform.InstancePrefix, Hosts: hostPrefix}
	h.registry = catalog.NewRegistry(store(gypsumyard.ReasonRegistration), client.For(gypsumyard.ReasonHosts), hostPrefix, s.Host, eras, h.logger("registry"))
	h.lists = catalog.New(store, platform.Decoder{}, names, s.Host.Region, catalog.WithClock(h.clock), catalog.WithLogger(h.logger("lists")), catalog.WithMetrics(h.scope),
		catalog.WithEras(eras), catalog.WithApplyTimeout(s.ApplyTimeout), catalog.WithRevokeTimeout(s.RevokeTimeout))
	peers := peer.New(s.Host, peerSecret(s), peer.WithClock(h.clock), peer.WithLogger(h.logger("peer")), peer.WithMetrics(h.scope))
	h.members = member.New(s.Host, member.WithClock(h.clock), member.WithLogger(h.logger("members")), member.WithMetrics(h.scope),
		member.WithSeeds(s.Seeds...))
	h.owner = lineowner.New(store(gypsumyard.ReasonClaim), claimPrefix, client.For(gypsumyard.ReasonPromotion),
		lineowner.WithClock(h.clock), lineowner.WithLogger(h.logger("owner")), lineowner.WithMetrics(h.scope), lineowner.WithEras(eras),
		lineowner.WithDrainTimeout(s.DrainTimeout), lineowner.WithQuota(s.Quota),
		lineowner.WithLossAcceptances(store(gypsumyard.ReasonClaim), lossPrefix), lineowner.WithUnevenInstances(s.InstancesMisreport))
	dispatcher := dispatch.New(dispatch.WithClock(h.clock), dispatch.WithLogger(h.logger("dispatch")), dispatch.WithMetrics(h.scope))
	h.caller = linecaller.New(s.CallerAddr, linecaller.WithClock(h.clock), linecaller.WithLogger(h.logger("caller")),
		linecaller.WithMetrics(h.scope), linecaller.WithMaxSessions((s.Descriptors-reservedDescriptors)/descriptorsPerSession),
		linecaller.WithRevokeTimeout(s.RevokeTimeout))
	h.readiness = newReadiness(s.ReadinessAddr, h.ready, h.logger("readiness"))
	// The services are started in this order. The calls of the registry and the
	// lists to the store, which may be slow, overlap with the start of the
	// rest.
	services := []kernel.Service{h.registry, h.lists, peers, h.members, h.owner, dispatcher, h.caller, h.readiness}
	if h.metricsPort != 0 {
		addr := netip.AddrPortFrom(s.Host.Addr.Addr(), h.metricsPort)
		services = append(services, newMetricsServer(addr, h.metricsHandler, h.logger("metrics")))
	}
	return services
}

// logger returns a logger that adds the names of the host and of the service to
// each line.
func (h *Host) logger(service string) *logrus.Entry {
	return h.log.WithFields(logrus.Fields{"host": h.settings.Host.Name, "service": service})
}

// peerSecret returns the key that the hosts of one deployment share. It
// protects nothing, since the platform provides no secrets: it only keeps hosts
// of different deployments apart.
func peerSecret(s platform.Settings) []byte {
	sum := sha256.Sum256([]byte("gypsumyard peers " + s.Host.Region))
	return sum[:]
}

// ready reports whether the host should receive new connections of callers.
func (h *Host) ready() bool {
	select {
	case <-h.lists.Ready():
	default:
		return false
	}
	return h.lists.Current() && h.lists.KeysProven()
}

// Run starts the host, serves until ctx is done, and then drains and stops it.
func (h *Host) Run(ctx context.Context) (err error) {
	log := h.logger("host")
	log.WithFields(logrus.Fields{"callers": h.settings.CallerAddr, "peers": h.settings.Host.Addr, "store": h.settings.StoreAddr}).Info("host starts")
	if err := h.kernel.Start(ctx); err != nil {
		return errors.Join(err, h.stop())
	}
	<-ctx.Done()
	log.WithField("sessions", h.caller.Sessions()).Info("host drains")
	h.drain()
	err = h.stop()
	log.WithError(err).Info("host stops")
	return err
}

// drain shuts down the work of the host within the grace period. The host
// serves until the platform no longer sends it new connections. Then sessions
// that have neither a statement in flight nor an open transaction are closed,
// and after half of the grace period those with an open transaction as well.
func (h *Host) drain() {
	began := h.clock.Now()
	h.readiness.setLeaving()
	h.members.Announce(gypsumyard.HostLeaving)
	end := time.Duration(drainFraction * float64(h.settings.GracePeriod))
	ctx, cancel := context.WithTimeout(context.Background(), end)
	defer cancel()
	drained := make(chan error, 1)
	go func() { drained <- h.owner.Drain(ctx) }()
	_ = h.registry.Deregister(ctx) // Not needed: other hosts rely on the announcement.
	_ = h.clock.Sleep(ctx, min(deregistrationDelay, h.settings.GracePeriod/2)-h.clock.Since(began))
	h.caller.CloseIdle()
	_ = h.clock.Sleep(ctx, h.settings.GracePeriod/2-h.clock.Since(began))
	h.caller.EndTransactions()
	for h.caller.Sessions() > 0 && h.clock.Sleep(ctx, drainPollInterval) == nil {
		continue
	}
	if err := <-drained; err != nil {
		h.logger("host").WithError(err).Warn("drain incomplete")
	}
	h.members.Announce(gypsumyard.HostDead)
}

func (h *Host) stop() error {
	left := time.Duration((1 - drainFraction) * float64(h.settings.GracePeriod))
	ctx, cancel := context.WithTimeout(context.Background(), min(stopTimeout, left))
	defer cancel()
	return h.kernel.Stop(ctx)
}
