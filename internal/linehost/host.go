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
	// Prefixes of the product's own objects in the store.
	hostPrefix  = "gypsumyard-hosts/"
	claimPrefix = "gypsumyard-promotions/"
	// reservedDescriptors are those that the platform keeps for files.
	reservedDescriptors = 200
	// descriptorsPerSession leaves as many descriptors to instances and hosts
	// as to sessions.
	descriptorsPerSession = 2
	// outOfRotation is how long the platform may send new connections to a
	// host that no longer reports itself ready: two misses, a second apart.
	outOfRotation = 2200 * time.Millisecond
	// drainShare is the part of the grace period in which work may end.
	drainShare = 0.85
	// drainCheck is the pause between two looks at what is left.
	drainCheck = 20 * time.Millisecond
	// stopTimeout bounds the end of the services after the drain.
	stopTimeout = 500 * time.Millisecond
)

// A Host is one process on the platform.
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

// An Option changes a Host.
type Option func(*Host)

// WithClock sets the clock, which must count the time of suspensions.
func WithClock(c gypsumyard.Clock) Option { return func(h *Host) { h.clock = c } }

// WithLogger sets the logger.
func WithLogger(l *logrus.Logger) Option { return func(h *Host) { h.log = l } }

// WithMetrics sets the scope of the metrics.
func WithMetrics(m tally.Scope) Option { return func(h *Host) { h.scope = m } }

// WithMetricsHandler serves the metrics at a port of the host's address.
func WithMetricsHandler(port uint16, handler http.Handler) Option {
	return func(h *Host) { h.metricsPort, h.metricsHandler = port, handler }
}

// New assembles a host.
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
	client := platform.NewClient(s.StoreAddr, s.PromotionAddr)
	names := catalog.Names{Desired: platform.DesiredStateObject, Instances: platform.InstancePrefix, Hosts: hostPrefix}
	h.registry = catalog.NewRegistry(client, client, hostPrefix, s.Host, h.entry("registry"))
	h.lists = catalog.New(client, platform.Decoder{}, names, s.Host.Region, catalog.WithClock(h.clock), catalog.WithLogger(h.entry("lists")))
	peers := peer.New(s.Host, secret(s), peer.WithClock(h.clock), peer.WithLogger(h.entry("peer")), peer.WithMetrics(h.scope))
	h.members = member.New(s.Host, member.WithClock(h.clock), member.WithLogger(h.entry("members")), member.WithMetrics(h.scope),
		member.WithSeeds(s.Seeds...))
	h.owner = lineowner.New(client, claimPrefix, client, lineowner.WithClock(h.clock), lineowner.WithLogger(h.entry("owner")),
		lineowner.WithMetrics(h.scope))
	dispatcher := dispatch.New(dispatch.WithClock(h.clock), dispatch.WithLogger(h.entry("dispatch")), dispatch.WithMetrics(h.scope))
	h.caller = linecaller.New(s.CallerAddr, linecaller.WithClock(h.clock), linecaller.WithLogger(h.entry("caller")),
		linecaller.WithMetrics(h.scope), linecaller.WithMaxSessions((s.Descriptors-reservedDescriptors)/descriptorsPerSession))
	h.readiness = newReadiness(s.ReadinessAddr, h.ready, h.entry("readiness"))
	// They start in this order. The registry and the lists call the store, which
	// may be slow, while the others start.
	services := []kernel.Service{h.registry, h.lists, peers, h.members, h.owner, dispatcher, h.caller, h.readiness}
	if h.metricsPort != 0 {
		addr := netip.AddrPortFrom(s.Host.Addr.Addr(), h.metricsPort)
		services = append(services, newMetricsServer(addr, h.metricsHandler, h.entry("metrics")))
	}
	return services
}

// entry returns a logger whose lines name the service.
func (h *Host) entry(service string) *logrus.Entry {
	return h.log.WithFields(logrus.Fields{"host": h.settings.Host.Name, "service": service})
}

// secret returns the key that the hosts of one deployment share. The platform
// hands out no secrets: the key only keeps hosts of different deployments
// apart.
func secret(s platform.Settings) []byte {
	sum := sha256.Sum256([]byte("gypsumyard peers " + s.Host.Region))
	return sum[:]
}

// ready reports whether the host should get new callers.
func (h *Host) ready() bool {
	select {
	case <-h.lists.Ready():
	default:
		return false
	}
	return h.lists.Current()
}

// Run starts the host and serves until ctx is done, then drains it.
func (h *Host) Run(ctx context.Context) (err error) {
	log := h.entry("host")
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

// drain ends the work of the host within the grace period. It goes on serving
// until the platform no longer sends new callers; then sessions without an
// outstanding statement are closed, and after half of the grace period those
// with an open transaction as well.
func (h *Host) drain() {
	began := h.clock.Now()
	h.readiness.leave()
	h.members.Announce(gypsumyard.HostLeaving)
	end := time.Duration(drainShare * float64(h.settings.GracePeriod))
	ctx, cancel := context.WithTimeout(context.Background(), end)
	defer cancel()
	drained := make(chan error, 1)
	go func() { drained <- h.owner.Drain(ctx) }()
	_ = h.registry.Leave(ctx) // Others learn of the end from the announcement.
	_ = h.clock.Sleep(ctx, min(outOfRotation, h.settings.GracePeriod/2)-h.clock.Since(began))
	h.caller.CloseIdle()
	_ = h.clock.Sleep(ctx, h.settings.GracePeriod/2-h.clock.Since(began))
	h.caller.EndTransactions()
	for h.caller.Sessions() > 0 && h.clock.Sleep(ctx, drainCheck) == nil {
		continue
	}
	if err := <-drained; err != nil {
		h.entry("host").WithError(err).Warn("drain is cut short")
	}
	h.members.Announce(gypsumyard.HostDead)
}

func (h *Host) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return h.kernel.Stop(ctx)
}
