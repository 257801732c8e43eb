package owner

import (
	"io"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/gypsumyard/gypsumyard/internal/upstream"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

type settings struct {
	clock                  gypsumyard.Clock
	log                    logrus.FieldLogger
	logEvery               uint64
	scope                  tally.Scope
	newAdmitter            func(gypsumyard.Database) gypsumyard.Admitter
	newRouter              func(gypsumyard.Database) gypsumyard.Router
	newPromoter            func(gypsumyard.Database) Promoter
	newControl             func(gypsumyard.Database, gypsumyard.Upstream) gypsumyard.Instance
	confirmTimeout         time.Duration
	idleTransactionTimeout time.Duration
	pollInterval           time.Duration
	urgentPollInterval     time.Duration
	pollTimeout            time.Duration
	takeoverPeriod         time.Duration
	coalesce               bool
	overcommit             bool
}

// An Option configures a Service.
type Option func(*settings)

// Options combines several options into one.
func Options(options ...Option) Option {
	return func(s *settings) {
		for _, o := range options {
			o(s)
		}
	}
}

func defaults() settings {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := settings{
		clock:                  clock.System(),
		log:                    log,
		logEvery:               1,
		scope:                  tally.NoopScope,
		newAdmitter:            func(d gypsumyard.Database) gypsumyard.Admitter { return NewFIFOAdmitter() },
		newRouter:              func(gypsumyard.Database) gypsumyard.Router { return NewReplicaRouter() },
		confirmTimeout:         5 * time.Second,
		idleTransactionTimeout: 60 * time.Second,
		pollInterval:           50 * time.Millisecond,
		urgentPollInterval:     2 * time.Millisecond,
		pollTimeout:            150 * time.Millisecond,
		takeoverPeriod:         3 * time.Second,
		coalesce:               true,
		overcommit:             true,
	}
	s.newControl = func(d gypsumyard.Database, u gypsumyard.Upstream) gypsumyard.Instance {
		return upstream.NewControl(s.clock, d, u)
	}
	return s
}

// WithClock sets the clock. The default is the system clock.
func WithClock(c gypsumyard.Clock) Option { return func(s *settings) { s.clock = c } }

// WithLogger sets the logger. The default discards all lines.
func WithLogger(l logrus.FieldLogger) Option { return func(s *settings) { s.log = l } }

// WithLogEvery logs one of n routing decisions. Zero logs none. The default is
// 1.
func WithLogEvery(n int) Option { return func(s *settings) { s.logEvery = uint64(n) } }

// WithMetrics sets the scope that receives the metrics. The default discards
// them.
func WithMetrics(scope tally.Scope) Option { return func(s *settings) { s.scope = scope } }

// WithAdmitter sets the constructor of a database's admitter. An admitter that
// also has the method Close() is closed with its database, and one that has
// SetRateFactor(float64) gets a reduced rate factor during a takeover. The
// default is NewFIFOAdmitter.
func WithAdmitter(f func(gypsumyard.Database) gypsumyard.Admitter) Option {
	return func(s *settings) { s.newAdmitter = f }
}

// WithRouter sets the constructor of a database's router. The default is
// NewReplicaRouter.
func WithRouter(f func(gypsumyard.Database) gypsumyard.Router) Option {
	return func(s *settings) { s.newRouter = f }
}

// WithPromoter sets the constructor of a database's promoter. Without it,
// primaries are never replaced.
func WithPromoter(f func(gypsumyard.Database) Promoter) Option {
	return func(s *settings) { s.newPromoter = f }
}

// WithInstance sets the constructor of an instance's control side. The default
// is upstream.NewControl.
func WithInstance(f func(gypsumyard.Database, gypsumyard.Upstream) gypsumyard.Instance) Option {
	return func(s *settings) { s.newControl = f }
}

// WithConfirmTimeout sets how long a write may wait for its confirmation
// before its outcome is reported as unknown. The default is 5 s.
func WithConfirmTimeout(d time.Duration) Option { return func(s *settings) { s.confirmTimeout = d } }

// WithIdleTransactionTimeout sets how long a transaction may be idle before it
// is rolled back. The default is 60 s.
func WithIdleTransactionTimeout(d time.Duration) Option {
	return func(s *settings) { s.idleTransactionTimeout = d }
}

// WithPollInterval sets the interval between two status polls of an instance,
// normally and while requests wait for its position. The defaults are 50 ms
// and 2 ms.
func WithPollInterval(rest, urgent time.Duration) Option {
	return func(s *settings) { s.pollInterval, s.urgentPollInterval = rest, urgent }
}

// WithCoalescing sets whether identical reads of one login that wait at the
// same time are answered by a single run. The default is true.
func WithCoalescing(on bool) Option { return func(s *settings) { s.coalesce = on } }

// WithOvercommit sets whether short statements are sent beyond an instance's
// slots so that no slot idles for a network round trip. The default is true.
func WithOvercommit(on bool) Option { return func(s *settings) { s.overcommit = on } }
