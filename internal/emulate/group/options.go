package group

import (
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/clock"
)

// Defaults of a group. They match the larger of the two current deployments.
const (
	defaultInstances   = 3
	defaultSlots       = 5
	defaultConnections = 35
	defaultOpenDelay   = 10 * time.Millisecond
)

type config struct {
	instances      int
	slots          int
	connections    int
	openDelay      time.Duration
	roundTrip      time.Duration
	serviceTime    time.Duration
	lag, jitter    time.Duration
	user           string
	password       string
	domains        []string
	journalEntries int
	clock          gypsumyard.Clock
}

func defaults() config {
	return config{
		instances:      defaultInstances,
		slots:          defaultSlots,
		connections:    defaultConnections,
		openDelay:      defaultOpenDelay,
		user:           "gypsumyard",
		journalEntries: defaultJournalEntries,
		clock:          clock.System(),
	}
}

// An Option configures a group.
type Option func(*config)

// WithInstances sets the number of instances. The first one is the primary.
func WithInstances(n int) Option { return func(c *config) { c.instances = n } }

// WithSlots sets how many statements an instance runs concurrently.
func WithSlots(n int) Option { return func(c *config) { c.slots = n } }

// WithConnections sets how many connections an instance accepts.
func WithConnections(n int) Option { return func(c *config) { c.connections = n } }

// WithOpenDelay sets the delay before an instance responds to the startup of a
// connection.
func WithOpenDelay(d time.Duration) Option { return func(c *config) { c.openDelay = d } }

// WithRoundTrip sets the emulated network round-trip time to clients.
func WithRoundTrip(d time.Duration) Option { return func(c *config) { c.roundTrip = d } }

// WithStatementCost sets the service time of statements: how long each occupies
// its slot before it is executed. A cost comment in a statement overrides it.
func WithStatementCost(d time.Duration) Option { return func(c *config) { c.serviceTime = d } }

// WithLag sets the replication lag of all replicas and its jitter: a record is
// applied between lag and lag+jitter after its commit.
func WithLag(lag, jitter time.Duration) Option {
	return func(c *config) { c.lag, c.jitter = lag, jitter }
}

// WithCredentials makes the instances require a user and a cleartext password.
// By default they accept every user without a password.
func WithCredentials(user, password string) Option {
	return func(c *config) { c.user, c.password = user, password }
}

// WithFailureDomains assigns the failure domains to the instances in turn.
func WithFailureDomains(names ...string) Option { return func(c *config) { c.domains = names } }

// WithJournal sets the capacity of the journal. Zero turns it off.
func WithJournal(entries int) Option { return func(c *config) { c.journalEntries = entries } }

// WithClock sets the clock. The default is the system clock.
func WithClock(k gypsumyard.Clock) Option { return func(c *config) { c.clock = k } }
