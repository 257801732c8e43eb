package promote

import (
	"crypto/rand"
	"io"
	mathrand "math/rand/v2"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/sirupsen/logrus"
)

type settings struct {
	clock          gypsumyard.Clock
	log            logrus.FieldLogger
	database       string
	highestTerm    gypsumyard.Term
	callTimeout    time.Duration
	callAttempts   int
	gracePeriod    time.Duration
	attempts       int
	backoff        time.Duration
	catchUpTimeout time.Duration
	newToken       func() gypsumyard.Token
	excluded       string
	leaving        []string
	preferred      string
	lists          []gypsumyard.InstanceList
	detectTimeout  time.Duration
	jitter         func(d time.Duration) time.Duration
}

// An Option configures a promotion or a Detector.
type Option func(*settings)

// WithClock sets the clock. The default is the system clock.
func WithClock(c gypsumyard.Clock) Option { return func(s *settings) { s.clock = c } }

// WithLogger sets the logger. The default discards all messages.
func WithLogger(l logrus.FieldLogger) Option { return func(s *settings) { s.log = l } }

// WithDatabase sets the name of the database in log messages and errors.
func WithDatabase(name string) Option { return func(s *settings) { s.database = name } }

// WithHighestTerm sets the highest term that the caller has seen in any status.
// Given one, a promotion does not read the status of the instances first.
func WithHighestTerm(t gypsumyard.Term) Option { return func(s *settings) { s.highestTerm = t } }

// WithCallTimeout bounds each single call to an instance. The default is 200 ms.
func WithCallTimeout(d time.Duration) Option { return func(s *settings) { s.callTimeout = d } }

// WithAttempts sets the number of terms that a promotion tries. The default is 8.
func WithAttempts(n int) Option { return func(s *settings) { s.attempts = n } }

// WithCatchUp bounds each wait of a planned handover for a replica to catch up
// with the leaving primary. The default is 3 s.
func WithCatchUp(d time.Duration) Option { return func(s *settings) { s.catchUpTimeout = d } }

// WithExcludedPrimary names a primary that answers but whose log the replicas no
// longer receive. It holds records that can never be confirmed, so it is not a
// candidate; a majority must be fenced without it.
func WithExcludedPrimary(instance string) Option { return func(s *settings) { s.excluded = instance } }

// WithLeaving names instances that are about to leave, whether or not their status
// says so. Among equally advanced instances the others are preferred.
func WithLeaving(instances ...string) Option { return func(s *settings) { s.leaving = instances } }

// WithPreferred names the instance to choose among equally advanced ones that are
// not about to leave.
func WithPreferred(instance string) Option { return func(s *settings) { s.preferred = instance } }

// WithLists sets the lists of instances that count, the one in force first: a
// majority of each must be fenced. The term belongs to the version of the first.
// The default is one list of version zero with all instances.
func WithLists(lists ...gypsumyard.InstanceList) Option { return func(s *settings) { s.lists = lists } }

// WithDetectTimeout sets how long a primary that no witness hears may be silent
// before a Detector declares it dead. The default is 600 ms.
func WithDetectTimeout(d time.Duration) Option { return func(s *settings) { s.detectTimeout = d } }

// WithToken sets the function that returns fence tokens. Tokens must not repeat;
// the default ones are random.
func WithToken(f func() gypsumyard.Token) Option { return func(s *settings) { s.newToken = f } }

func newSettings(options []Option) *settings {
	discard := logrus.New()
	discard.SetOutput(io.Discard)
	s := &settings{
		clock:         clock.System(),
		log:           discard,
		detectTimeout: defaultDetectTimeout,
		callTimeout:   200 * time.Millisecond,
		callAttempts:  3,
		// An instance that answers within this time after the majority is still a
		// candidate. A round trip in one region takes about 2 ms.
		gracePeriod:    10 * time.Millisecond,
		attempts:       8,
		backoff:        20 * time.Millisecond,
		catchUpTimeout: 3 * time.Second,
		newToken:       func() gypsumyard.Token { return gypsumyard.Token(rand.Text()) },
		jitter:         func(d time.Duration) time.Duration { return d/2 + mathrand.N(d) },
	}
	for _, o := range options {
		o(s)
	}
	return s
}
