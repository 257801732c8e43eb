package group

import (
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/clock"
)

// Defaults of a group, those of the larger of the two current deployments.
const (
	defaultInstances   = 3
	defaultSlots       = 5
	defaultConnections = 35
	defaultOpenDelay   = 10 * time.Millisecond
)

type config struct {
	instances   int
	slots       int
	connections int
	openDelay   time.Duration
	roundTrip   time.Duration
	cost        time.Duration
	lag, jitter time.Duration
	user        string
	password    string
	domains     []string
	journal     int
	clock       gypsumyard.Clock
}

func defaults() config {
	return config{
		instances:   defaultInstances,
		slots:       defaultSlots,
		connections: defaultConnections,
		openDelay:   defaultOpenDelay,
		user:        "gypsumyard",
		journal:     defaultJournal,
		clock:       clock.System(),
	}
}

// An Option changes how a group is built.
type Option func(*config)

// WithInstances sets the number of instances. The first one is the primary.
func WithInstances(n int) Option { return func(c *config) { c.instances = n } }

// WithSlots sets how many statements an instance runs at a time.
func WithSlots(n int) Option { return func(c *config) { c.slots = n } }

// WithConnections sets how many connections an instance accepts.
func WithConnections(n int) Option { return func(c *config) { c.connections = n } }

// WithOpenDelay sets how long it takes to open a connection.
func WithOpenDelay(d time.Duration) Option { return func(c *config) { c.openDelay = d } }

// WithRoundTrip sets the emulated network round trip to clients.
func WithRoundTrip(d time.Duration) Option { return func(c *config) { c.roundTrip = d } }

// WithStatementCost sets the service time of statements in their slot.
func WithStatementCost(d time.Duration) Option { return func(c *config) { c.cost = d } }

// WithLag sets the replication lag of all replicas and its jitter: a record is
// applied between lag and lag+jitter after its commit.
func WithLag(lag, jitter time.Duration) Option {
	return func(c *config) { c.lag, c.jitter = lag, jitter }
}

// WithCredentials makes the instances ask for a cleartext password. Without it
// they trust everybody.
func WithCredentials(user, password string) Option {
	return func(c *config) { c.user, c.password = user, password }
}

// WithFailureDomains names the instances' failure domains, in turn.
func WithFailureDomains(names ...string) Option { return func(c *config) { c.domains = names } }

// WithJournal sets how many entries the journal keeps. Zero turns it off.
func WithJournal(entries int) Option { return func(c *config) { c.journal = entries } }

// WithClock sets the clock. The default is the system's.
func WithClock(k gypsumyard.Clock) Option { return func(c *config) { c.clock = k } }
