package era

import (
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// olderLogInterval is the shortest time between two log lines about responses of an
// earlier era. Many calls may be in flight when the store is restored.
const olderLogInterval = 10 * time.Second

// A Tracker holds the latest era that a host has seen. It implements
// [gypsumyard.Eras].
type Tracker struct {
	clock    gypsumyard.Clock
	log      logrus.FieldLogger
	gauge    tally.Gauge
	restores tally.Counter
	older    tally.Counter

	mu sync.Mutex
	// known indicates that an era was observed; latest was first seen at since.
	known         bool
	latest        gypsumyard.Era
	since         time.Time
	olderLoggedAt time.Time
	changes       chan struct{}
}

var _ gypsumyard.Eras = (*Tracker)(nil)

// An Option configures a Tracker.
type Option func(*Tracker)

// WithClock sets the clock, which must include time spent suspended.
func WithClock(c gypsumyard.Clock) Option { return func(t *Tracker) { t.clock = c } }

// WithLogger sets the logger.
func WithLogger(l logrus.FieldLogger) Option { return func(t *Tracker) { t.log = l } }

// WithMetrics sets the scope of the metrics.
func WithMetrics(m tally.Scope) Option {
	return func(t *Tracker) {
		t.gauge = m.Gauge("store_era")
		t.restores = m.Counter("store_restores")
		t.older = m.Counter("store_responses_of_older_era")
	}
}

// NewTracker returns a tracker that has seen no era yet.
func NewTracker(options ...Option) *Tracker {
	t := &Tracker{clock: clock.Boot(), log: logrus.StandardLogger(), changes: make(chan struct{})}
	WithMetrics(tally.NoopScope)(t)
	for _, o := range options {
		o(t)
	}
	return t
}

// Observe records an era. A later one than the latest means that the store was
// restored; an earlier one is that of a response that crossed with others, or of a
// peer that has not seen the restore yet.
func (t *Tracker) Observe(e gypsumyard.Era) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record(e)
}

// Learn records an era that a peer has known for the given time. The peer may have
// seen its beginning long before this host.
func (t *Tracker) Learn(e gypsumyard.Era, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record(e)
	if since := t.clock.Now().Add(-age); e == t.latest && since.Before(t.since) {
		t.since = since
	}
}

// record records an era. The caller must hold t.mu.
func (t *Tracker) record(e gypsumyard.Era) {
	switch {
	case t.known && e == t.latest:
		return
	case t.known && e < t.latest:
		t.noteOlder(e)
		return
	}
	log := t.log.WithFields(logrus.Fields{"era": e, "previous": t.latest})
	if t.known {
		t.restores.Inc(1)
		log.Warn("store was restored from an older copy")
	} else {
		log.Info("era of the store")
	}
	t.known, t.latest, t.since = true, e, t.clock.Now()
	t.gauge.Update(float64(e))
	close(t.changes)
	t.changes = make(chan struct{})
}

// noteOlder counts and logs an earlier era. The caller must hold t.mu.
func (t *Tracker) noteOlder(e gypsumyard.Era) {
	t.older.Inc(1)
	now := t.clock.Now()
	if !t.olderLoggedAt.IsZero() && now.Sub(t.olderLoggedAt) < olderLogInterval {
		return
	}
	t.olderLoggedAt = now
	t.log.WithFields(logrus.Fields{"era": e, "latest": t.latest}).Warn("ignoring an earlier era of the store")
}

// Era returns the latest era, and since when this host knows of it.
func (t *Tracker) Era() (e gypsumyard.Era, since time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latest, t.since
}

// EraChanges returns a channel that is closed when the next era is seen.
func (t *Tracker) EraChanges() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changes
}
