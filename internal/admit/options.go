package admit

import (
	"io"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

type settings struct {
	database string
	clock    gypsumyard.Clock
	log      logrus.FieldLogger
	scope    tally.Scope
	policy   policy
}

// A policy holds what the measurements in docs/decisions-admission.md vary.
type policy struct {
	// standingAfter is how long a customer's queue must not have been empty
	// before the customer's accepted wait falls to standingWait.
	standingAfter time.Duration
	// standingWait is the accepted wait while the queue is standing.
	standingWait time.Duration
	// overdueAfter is how long the oldest waiter of a line must have waited
	// before the newest is served first, unless its ticket says when it is due.
	overdueAfter time.Duration
	// refuseEarly turns on the estimate of the wait on arrival.
	refuseEarly bool
	// keepClear keeps long requests that have a choice away from instances
	// that other requests cannot do without, and from the last instance that
	// runs no long request.
	keepClear bool
	// reserve holds a free slot back for a long request whose turn it is.
	reserve bool
	// leaveRoom keeps as many slots free of long requests as short ones have
	// used lately.
	leaveRoom bool
	// weighCost makes a request wait for a cheaper target if that is expected
	// to be faster.
	weighCost bool
}

var defaultPolicy = policy{
	standingAfter: 200 * time.Millisecond,
	standingWait:  50 * time.Millisecond,
	overdueAfter:  100 * time.Millisecond,
	refuseEarly:   true,
	keepClear:     true,
	reserve:       true,
	leaveRoom:     true,
	weighCost:     true,
}

// An Option changes how an Admitter is built.
type Option func(*settings)

// WithClock sets the clock. The default is the system clock.
func WithClock(c gypsumyard.Clock) Option { return func(s *settings) { s.clock = c } }

// WithLogger sets the logger. The default discards all lines.
func WithLogger(l logrus.FieldLogger) Option { return func(s *settings) { s.log = l } }

// WithMetrics sets the scope that receives the metrics. The default discards
// them.
func WithMetrics(scope tally.Scope) Option { return func(s *settings) { s.scope = scope } }

func newSettings(database string, options []Option) *settings {
	discard := logrus.New()
	discard.SetOutput(io.Discard)
	s := &settings{
		database: database,
		clock:    clock.System(),
		log:      discard,
		scope:    tally.NoopScope,
		policy:   defaultPolicy,
	}
	for _, o := range options {
		o(s)
	}
	return s
}
