package catalog

import (
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// The sources of an answer, and the outcomes of asking one.
const (
	sourceStore = "store"
	sourcePeer  = "peer"

	outcomeAnswered = "answered"
	outcomeFailed   = "failed"
)

// An answerLog records when and by whom the copy of the desired state was last
// confirmed, for logs and metrics. No decision depends on it.
type answerLog struct {
	log   logrus.FieldLogger
	clock gypsumyard.Clock
	// limit is the age of the last confirmation from which on it is reported as late.
	limit time.Duration

	calls  map[[2]string]tally.Counter
	age    tally.Gauge
	number tally.Gauge

	mu sync.Mutex
	// confirmed is when the question was sent whose answer last confirmed the copy, by
	// whom it was answered, and up to which version the copies were complete.
	confirmed time.Time
	by        string
	complete  gypsumyard.Version
	// failed counts the questions without an answer since then, by source, and
	// lastErrors holds the last error of each.
	failed     map[string]int
	lastErrors map[string]error
	late       bool
}

func newAnswerLog(c gypsumyard.Clock, log logrus.FieldLogger, m tally.Scope, limit time.Duration) *answerLog {
	a := &answerLog{
		log: log, clock: c, limit: limit, confirmed: c.Now(), by: "none",
		calls:  map[[2]string]tally.Counter{},
		age:    m.Gauge("lists_desired_age_seconds"),
		number: m.Gauge("lists_desired_number"),
		failed: map[string]int{}, lastErrors: map[string]error{},
	}
	for _, source := range []string{sourceStore, sourcePeer} {
		for _, outcome := range []string{outcomeAnswered, outcomeFailed} {
			a.calls[[2]string{source, outcome}] = m.Tagged(map[string]string{"source": source, "outcome": outcome}).Counter("lists_desired_reads")
		}
	}
	return a
}

// noteConfirmed records that the copy was confirmed by the answer to a question that
// was sent at the given time. by names the source or the host.
func (a *answerLog) noteConfirmed(source, by string, sent time.Time, complete gypsumyard.Version) {
	a.calls[[2]string{source, outcomeAnswered}].Inc(1)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.late {
		a.late = false
		a.logLocked().WithField("by", by).Info("desired state is confirmed again")
	}
	a.confirmed, a.by, a.complete = sent, by, complete
	clear(a.failed)
	clear(a.lastErrors)
}

// noteFailed records that a question had no answer that confirms the copy.
func (a *answerLog) noteFailed(source string, err error) {
	a.calls[[2]string{source, outcomeFailed}].Inc(1)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.failed[source]++
	a.lastErrors[source] = err
}

// report updates the gauges and logs once if the copy has not been confirmed for
// longer than the limit. d is the desired state in force, or nil.
func (a *answerLog) report(d *gypsumyard.DesiredState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.age.Update(a.clock.Since(a.confirmed).Seconds())
	if d == nil {
		return
	}
	a.number.Update(float64(d.Number))
	if a.late || a.clock.Since(a.confirmed) <= a.limit {
		return
	}
	a.late = true
	a.logLocked().WithField("number", d.Number).Warn("desired state has not been confirmed in time")
}

// logLocked returns a logger with what is known. The caller must hold a.mu.
func (a *answerLog) logLocked() logrus.FieldLogger {
	fields := logrus.Fields{"age": a.clock.Since(a.confirmed).String(), "confirmed-by": a.by, "complete": a.complete}
	for source, n := range a.failed {
		fields["failed-"+source] = n
		fields["error-"+source] = a.lastErrors[source].Error()
	}
	return a.log.WithFields(fields)
}

// valueBytes returns the size of the objects' values.
func valueBytes(list []gypsumyard.Object) (n int) {
	for _, o := range list {
		n += len(o.Value)
	}
	return n
}
