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
	clock       gypsumyard.Clock
	log         logrus.FieldLogger
	database    string
	seen        gypsumyard.Term
	callTimeout time.Duration
	calls       int
	grace       time.Duration
	attempts    int
	backoff     time.Duration
	catchUp     time.Duration
	newToken    func() gypsumyard.Token
	cutOff      string
	leaving     []string
	silence     time.Duration
	jitter      func(d time.Duration) time.Duration
}

// An Option changes how a promotion or a Detector works.
type Option func(*settings)

// WithClock sets the clock. The default is the system clock.
func WithClock(c gypsumyard.Clock) Option { return func(s *settings) { s.clock = c } }

// WithLogger sets the logger. The default discards all lines.
func WithLogger(l logrus.FieldLogger) Option { return func(s *settings) { s.log = l } }

// WithDatabase sets the name that log lines and errors carry.
func WithDatabase(name string) Option { return func(s *settings) { s.database = name } }

// WithHighestTerm sets the highest term that the caller has seen in any status.
// Given one, a promotion does not read the status of the instances first.
func WithHighestTerm(t gypsumyard.Term) Option { return func(s *settings) { s.seen = t } }

// WithCallTimeout bounds each call to an instance. The default is 200 ms.
func WithCallTimeout(d time.Duration) Option { return func(s *settings) { s.callTimeout = d } }

// WithAttempts sets how many terms a promotion tries. The default is 8.
func WithAttempts(n int) Option { return func(s *settings) { s.attempts = n } }

// WithCatchUp bounds how long a planned hand-over waits for a replica to hold
// the whole log. The default is 3 s.
func WithCatchUp(d time.Duration) Option { return func(s *settings) { s.catchUp = d } }

// WithExcludedPrimary names a primary that answers but whose log the replicas no
// longer receive. It holds records that can never be confirmed, so it is not a
// candidate; a majority must be fenced without it.
func WithExcludedPrimary(instance string) Option { return func(s *settings) { s.cutOff = instance } }

// WithLeaving names instances that are about to leave although their status may
// not say so. Among equals others are preferred.
func WithLeaving(instances ...string) Option { return func(s *settings) { s.leaving = instances } }

// WithDetectTimeout sets how long a primary that no witness hears may be silent
// before a Detector declares it dead. The default is 600 ms.
func WithDetectTimeout(d time.Duration) Option { return func(s *settings) { s.silence = d } }

// WithToken sets the source of tokens. Tokens must not repeat; the default
// ones are random.
func WithToken(f func() gypsumyard.Token) Option { return func(s *settings) { s.newToken = f } }

func newSettings(options []Option) *settings {
	discard := logrus.New()
	discard.SetOutput(io.Discard)
	s := &settings{
		clock:       clock.System(),
		log:         discard,
		silence:     defaultSilence,
		callTimeout: 200 * time.Millisecond,
		calls:       3,
		// An instance that answers this long after the majority still takes
		// part in the choice. A round trip in one region takes about 2 ms.
		grace:    10 * time.Millisecond,
		attempts: 8,
		backoff:  20 * time.Millisecond,
		catchUp:  3 * time.Second,
		newToken: func() gypsumyard.Token { return gypsumyard.Token(rand.Text()) },
		jitter:   func(d time.Duration) time.Duration { return d/2 + mathrand.N(d) },
	}
	for _, o := range options {
		o(s)
	}
	return s
}
