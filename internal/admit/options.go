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

// A policy holds the parameters that are varied in the measurements of
// docs/decisions-admission.md.
type policy struct {
	// standingAfter is how long a customer's queue must have been non-empty to
	// count as a standing queue, in which the accepted wait is reduced (see
	// fairQueue.acceptedWait).
	standingAfter time.Duration
	// maxStandingWait is the accepted wait in a standing queue.
	maxStandingWait time.Duration
	// overdueAfter is how long the oldest waiter of a flow must have waited before
	// the newest is served first, unless its request has a LatestStart.
	overdueAfter time.Duration
	// refuseEarly refuses requests on arrival if their expected wait is too
	// long.
	refuseEarly bool
	// avoidSoleTargets keeps long requests with several targets away from
	// instances that are the sole target of short requests, and from instances
	// with a single slot.
	avoidSoleTargets bool
	// reserveForLong reserves a free slot for a long request that is next in the
	// fair order.
	reserveForLong bool
	// limitLong limits the number of long requests on an instance so that as
	// many slots remain as short requests have used recently.
	limitLong bool
	// waitForCheaper makes a request wait for a target of lower cost if that is
	// expected to be faster in total.
	waitForCheaper bool
}

var defaultPolicy = policy{
	standingAfter:    200 * time.Millisecond,
	maxStandingWait:  50 * time.Millisecond,
	overdueAfter:     100 * time.Millisecond,
	refuseEarly:      true,
	avoidSoleTargets: true,
	reserveForLong:   true,
	limitLong:        true,
	waitForCheaper:   true,
}

// An Option configures an Admitter.
type Option func(*settings)

// WithClock sets the clock. The default is the system clock.
func WithClock(c gypsumyard.Clock) Option { return func(s *settings) { s.clock = c } }

// WithLogger sets the logger. The default discards all log lines.
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
