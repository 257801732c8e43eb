package promote

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"
)

// A State is a Detector's assessment of a primary.
type State string

// The states of a primary.
const (
	// StateHealthy: the primary answers, or nothing has shown yet that it does not.
	StateHealthy State = "healthy"
	// StateSuspect: the primary does not answer, but may only be slow or
	// unreachable from this host alone.
	StateSuspect State = "suspect"
	// StateDead: the primary has failed and must be replaced.
	StateDead State = "dead"
)

const (
	// defaultDetectTimeout is how long a primary that no witness hears may be
	// silent before it is dead.
	defaultDetectTimeout = 600 * time.Millisecond
	// refusedDetectTimeout applies instead when the primary's host refuses
	// connections: no process listens there, so the primary is not merely slow. It
	// leaves time for three polls and for the replicas' replication streams to end.
	refusedDetectTimeout = 250 * time.Millisecond
	// witnessedDetectTimeout applies instead while a witness hears the primary.
	witnessedDetectTimeout = 3 * time.Second
	// suspectAfter is the silence after which a primary is suspect: two polls, sent
	// every 50 ms, have failed.
	suspectAfter = 150 * time.Millisecond
	// witnessMargin is how much later than this host a witness must have heard the
	// primary for the witness to count. Even when the primary dies, the last times
	// at which the two heard it can differ by one poll interval of 50 ms and some
	// network delays.
	witnessMargin = 150 * time.Millisecond
	// minFailures is the number of polls on the open connection that must have
	// failed before a primary is dead.
	minFailures = 3
	// pauseThreshold is the gap between poll results above which this host is
	// assumed to have been paused. Silence during the gap says nothing about the
	// primary.
	pauseThreshold = 400 * time.Millisecond
)

// A Detector is a failure detector for one primary. It judges the primary by the
// results of polls and by witnesses. It is not safe for concurrent use.
type Detector struct {
	settings *settings
	// lastAnswer is when the primary last answered on any connection. silentSince
	// is the same time, or a later one if this host was paused since.
	lastAnswer       time.Time
	silentSince      time.Time
	lastResult       time.Time
	openConnFailures int
	// freshConnFailures counts failed polls over fresh connections.
	freshConnFailures int
	// refused indicates that the primary's host refused the latest attempt to
	// connect.
	refused     bool
	witness     string
	witnessedAt time.Time
	state       State
}

// NewDetector returns a Detector for a primary that is healthy now.
func NewDetector(options ...Option) *Detector {
	d := &Detector{settings: newSettings(options)}
	d.Reset()
	return d
}

// Reset discards all observations and starts with a new, healthy primary.
func (d *Detector) Reset() {
	now := d.settings.clock.Now()
	*d = Detector{settings: d.settings, lastAnswer: now, silentSince: now, lastResult: now, state: StateHealthy}
}

// Answered records that the primary answered a poll, however late. Callers must
// keep reading after a poll has timed out, so that a slow primary is not taken for
// a dead one.
func (d *Detector) Answered() {
	now := d.settings.clock.Now()
	d.lastAnswer, d.silentSince, d.lastResult = now, now, now
	d.openConnFailures, d.freshConnFailures, d.refused = 0, 0, false
}

// SetConnectionRefused records whether the primary's host refused the latest
// attempt to connect, which shows that no process listens there.
func (d *Detector) SetConnectionRefused(refused bool) { d.refused = refused }

// OpenConnPollFailed records that a poll on the open connection failed or timed
// out.
func (d *Detector) OpenConnPollFailed() {
	d.recordPoll()
	d.openConnFailures++
}

// FreshConnPollFailed records that a poll on a fresh connection failed or timed
// out.
func (d *Detector) FreshConnPollFailed() {
	d.recordPoll()
	d.freshConnFailures++
}

// recordPoll records that a poll ended. If this host was paused since the previous
// poll, the silence and the failures are counted from zero.
func (d *Detector) recordPoll() {
	now := d.settings.clock.Now()
	if now.Sub(d.lastResult) > pauseThreshold {
		d.silentSince = now
		d.openConnFailures, d.freshConnFailures = 0, 0
	}
	d.lastResult = now
}

// Witness records that another instance or host last heard the primary the given
// age ago: the StreamAge of a replica's status, or zero for a successful probe.
func (d *Detector) Witness(name string, age time.Duration) {
	at := d.settings.clock.Now().Add(-age)
	if at.After(d.witnessedAt) {
		d.witness, d.witnessedAt = name, at
	}
}

// State returns the current assessment of the primary and a short reason for it.
func (d *Detector) State() (s State, reason string) {
	s, reason = d.evaluate()
	if s != d.state {
		d.settings.log.WithFields(logrus.Fields{"database": d.settings.database, "from": d.state, "to": s, "reason": reason}).Info("state of the primary changed")
		d.state = s
	}
	return s, reason
}

func (d *Detector) evaluate() (State, string) {
	now := d.settings.clock.Now()
	silence := now.Sub(d.silentSince)
	// Idle databases are polled only every 200 ms, so silence does not count until
	// a poll has failed.
	if silence < suspectAfter || d.openConnFailures+d.freshConnFailures == 0 {
		return StateHealthy, "answers"
	}
	limit, cause := d.settings.detectTimeout, "no witness hears it"
	if d.refused {
		limit, cause = min(limit, refusedDetectTimeout), "connections are refused"
	}
	if d.witnessedAt.Sub(d.lastAnswer) > witnessMargin && now.Sub(d.witnessedAt) < d.settings.detectTimeout {
		limit, cause = witnessedDetectTimeout, "heard by "+d.witness
	}
	switch {
	case silence < limit:
		return StateSuspect, fmt.Sprintf("silent for %v, %s", silence, cause)
	case d.openConnFailures < minFailures || d.freshConnFailures == 0:
		return StateSuspect, fmt.Sprintf("silent for %v, not tried on both connections", silence)
	}
	return StateDead, fmt.Sprintf("silent for %v on open and fresh connections, %s", silence, cause)
}
