package promote

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"
)

// A State is what a Detector holds of a primary.
type State string

// The states of a primary.
const (
	// StateHealthy: the primary answers.
	StateHealthy State = "healthy"
	// StateSuspect: the primary does not answer, but may be slow or out of
	// reach of this host only.
	StateSuspect State = "suspect"
	// StateDead: a promotion is due.
	StateDead State = "dead"
)

const (
	// defaultSilence is how long a primary that no witness hears may be
	// silent.
	defaultSilence = 600 * time.Millisecond
	// refusedSilence is the same when the primary's host refuses connections:
	// no process listens there, so the primary is not merely slow. It leaves
	// time for three polls and for the replicas' streams to end.
	refusedSilence = 250 * time.Millisecond
	// witnessedLimit is the same while a witness hears the primary.
	witnessedLimit = 3 * time.Second
	// suspectAfter is the silence after which a primary is suspect: two polls
	// of 50 ms have failed.
	suspectAfter = 150 * time.Millisecond
	// witnessMargin is how much later than this host a witness must have heard
	// the primary to speak for it. Both hear it at moments up to one poll of
	// 50 ms and some delays apart, also when it dies.
	witnessMargin = 150 * time.Millisecond
	// minFailures is how many polls of the open connection must have failed.
	minFailures = 3
	// pauseAfter is the gap between poll results after which this host itself
	// was paused: silence in that gap says nothing of the primary.
	pauseAfter = 400 * time.Millisecond
)

// A Detector judges a primary by the results of its polls. It is not safe for
// concurrent use.
type Detector struct {
	set *settings
	// heard is when the primary answered last on any connection. silentFrom is
	// the same, or later if this host was paused.
	heard      time.Time
	silentFrom time.Time
	lastResult time.Time
	openFailed int
	// freshFailed counts failed attempts over fresh connections.
	freshFailed int
	// refused indicates that the latest attempt was refused by the host.
	refused   bool
	witness   string
	witnessed time.Time
	state     State
}

// NewDetector returns a Detector for a primary that is healthy now.
func NewDetector(options ...Option) *Detector {
	d := &Detector{set: newSettings(options)}
	d.Reset()
	return d
}

// Reset starts over, for another primary.
func (d *Detector) Reset() {
	now := d.set.clock.Now()
	*d = Detector{set: d.set, heard: now, silentFrom: now, lastResult: now, state: StateHealthy}
}

// Answered records that the primary answered a poll, however late. Callers go
// on reading after a poll's timeout, so that a slow primary is heard.
func (d *Detector) Answered() {
	now := d.set.clock.Now()
	d.heard, d.silentFrom, d.lastResult = now, now, now
	d.openFailed, d.freshFailed, d.refused = 0, 0, false
}

// SetConnectionRefused records whether the primary's host refused the latest
// attempt to connect, which shows that no process listens there.
func (d *Detector) SetConnectionRefused(refused bool) { d.refused = refused }

// OpenConnPollFailed records that a poll on the open connection failed or timed
// out.
func (d *Detector) OpenConnPollFailed() {
	d.result()
	d.openFailed++
}

// FreshConnPollFailed records that a poll on a fresh connection failed or timed
// out.
func (d *Detector) FreshConnPollFailed() {
	d.result()
	d.freshFailed++
}

// result notes that this host works. After a pause the silence counts anew.
func (d *Detector) result() {
	now := d.set.clock.Now()
	if now.Sub(d.lastResult) > pauseAfter {
		d.silentFrom = now
		d.openFailed, d.freshFailed = 0, 0
	}
	d.lastResult = now
}

// Witness records that another instance or host heard the primary age ago:
// the StreamAge of a replica's status, or zero for a successful probe.
func (d *Detector) Witness(name string, age time.Duration) {
	at := d.set.clock.Now().Add(-age)
	if at.After(d.witnessed) {
		d.witness, d.witnessed = name, at
	}
}

// State judges the primary now. The reason says in a few words why.
func (d *Detector) State() (s State, reason string) {
	s, reason = d.judge()
	if s != d.state {
		d.set.log.WithFields(logrus.Fields{"database": d.set.database, "from": d.state, "to": s, "reason": reason}).Info("state of the primary changed")
		d.state = s
	}
	return s, reason
}

func (d *Detector) judge() (State, string) {
	now := d.set.clock.Now()
	silence := now.Sub(d.silentFrom)
	// Databases without requests are polled every 200 ms: silence between two
	// polls says nothing until one has failed.
	if silence < suspectAfter || d.openFailed+d.freshFailed == 0 {
		return StateHealthy, "answers"
	}
	limit, why := d.set.silence, "no witness hears it"
	if d.refused {
		limit, why = min(limit, refusedSilence), "connections are refused"
	}
	if d.witnessed.Sub(d.heard) > witnessMargin && now.Sub(d.witnessed) < d.set.silence {
		limit, why = witnessedLimit, "heard by "+d.witness
	}
	switch {
	case silence < limit:
		return StateSuspect, fmt.Sprintf("silent for %v, %s", silence, why)
	case d.openFailed < minFailures || d.freshFailed == 0:
		return StateSuspect, fmt.Sprintf("silent for %v, not tried on both connections", silence)
	}
	return StateDead, fmt.Sprintf("silent for %v on open and fresh connections, %s", silence, why)
}
