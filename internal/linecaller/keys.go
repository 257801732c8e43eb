package linecaller

import (
	"encoding/hex"
	"errors"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/line"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

const (
	// denialLogRate and denialLogBurst bound the log lines about rejected keys a second,
	// since callers decide how often they try.
	denialLogRate  = 10
	denialLogBurst = 50
)

// errDenied ends a session whose key is not accepted any more.
var errDenied = errors.New("key of the session is not accepted")

// A verdict is whether a session may run statements on its route.
type verdict string

const (
	verdictAccepted verdict = "accepted"
	// verdictUnknown: no customer holds the key, or there is no key.
	verdictUnknown verdict = "unknown"
	// verdictUnproven: this host cannot tell whether the key was withdrawn.
	verdictUnproven verdict = "unproven"
	// verdictRejectedByOwner: the owner of the database group has a newer desired state,
	// by which the customer does not hold the key.
	verdictRejectedByOwner verdict = "rejected-by-owner"
)

// A keyChecker decides whom a session speaks for. It has no state.
type keyChecker struct {
	desired gypsumyard.DesiredStateSource
	// prover is nil unless revocation is strict. timeout is how old the proof of the
	// desired state may be then.
	prover  gypsumyard.DesiredStateProver
	timeout time.Duration
}

// check decides whom a message speaks for that was read no later than now, on a session
// with the given hash of its key and database. It returns the desired state by which it
// decided, and the customer, which is empty for anonymous callers. A key that is unknown
// or not proven counts as none on an open route.
func (c *keyChecker) check(key gypsumyard.KeyHash, database string, now time.Time) (d *gypsumyard.DesiredState, customer string, v verdict) {
	// The proof is read before the state, which is then at least as new.
	proven := c.prover == nil || now.Sub(c.prover.ProvenAt()) <= c.timeout
	d = c.desired.Desired()
	if d == nil || !d.Keyed {
		return d, "", verdictAccepted
	}
	customer, known := d.CustomerOf(key)
	switch {
	case known && proven:
		return d, customer, verdictAccepted
	case opensTo(d, database):
		return d, "", verdictAccepted
	case !proven:
		return d, "", verdictUnproven
	}
	return d, "", verdictUnknown
}

// opensTo reports whether the database serves callers without a key. One that does not
// exist refuses them later.
func opensTo(d *gypsumyard.DesiredState, database string) bool {
	r, ok := d.Routes[database]
	return !ok || r.Open
}

// identify sets whom the session speaks for, for a message that was read no later than
// now.
func (ss *session) identify(now time.Time) (v verdict) {
	ss.desired, ss.customer, v = ss.server.keys.check(ss.key, ss.database, now)
	return v
}

// admitKey checks the key for a statement. It reports whether the statement may go on,
// and otherwise answers it. It fails with errDenied if the session must end.
func (ss *session) admitKey(id, text string, now time.Time) (ok bool, err error) {
	switch v := ss.identify(now); {
	case v == verdictUnknown:
		ss.deny(id, v)
		return false, errDenied
	case ss.state == stateFailed, text == string(line.Rollback):
		return true, nil // It runs nothing at an instance.
	case v == verdictUnproven:
		ss.server.logDenial(ss, id, v, line.CodeBusy)
		ss.endCommitted(text)
		ss.failQuietly(line.CodeBusy, unprovenText)
		return false, nil
	case ss.keepsCustomer():
		return true, nil
	}
	ss.endCommitted(text)
	ss.fail(id, line.CodeAborted, "the key of the session has changed its customer")
	return false, nil
}

// keepsCustomer reports whether the open transaction, if there is one, may go on: it is
// that of the customer that the session speaks for. Its connection to an instance belongs
// to the customer that it was opened for. One that began anonymously stays anonymous.
func (ss *session) keepsCustomer() bool {
	switch {
	case ss.state != stateTransaction || ss.customer == ss.tx.customer:
		return true
	case ss.tx.handle == "" && (ss.customer != "" || ss.mayBeAnonymous()):
		ss.tx.customer = ss.customer // It was not opened at an instance yet.
		return true
	case ss.tx.customer == "" && opensTo(ss.desired, ss.database):
		ss.customer = ""
		return true
	}
	return false
}

// mayBeAnonymous reports whether the session's route exists and serves callers without a
// key. A transaction goes on by the route that it began with, also after that was removed.
func (ss *session) mayBeAnonymous() bool {
	return !ss.desired.Keyed || ss.desired.Routes[ss.database].Open
}

// endCommitted rolls the open transaction back if the statement that is rejected is its
// COMMIT, which ends it in any case.
func (ss *session) endCommitted(text string) {
	if ss.state == stateTransaction && text == string(line.Commit) {
		ss.abandon()
		ss.setState(stateIdle)
	}
}

// deny answers a statement whose key is not accepted, after which the session ends. An
// open transaction is rolled back.
func (ss *session) deny(id string, v verdict) {
	ss.abandon()
	ss.setState(stateIdle)
	ss.server.logDenial(ss, id, v, line.CodeDenied)
	ss.failQuietly(line.CodeDenied, deniedText)
}

// unprovenText tells a caller to try another host.
const unprovenText = "this host cannot tell whether the key is still valid"

// deniedText is all that callers are told: neither whether a key was ever known, nor whose
// it is.
const deniedText = "the key is not accepted for this database"

// logDenial counts a statement or session that its key does not allow, and logs it unless
// there are too many. The line holds the first bytes of the key's hash.
func (s *Server) logDenial(ss *session, id string, v verdict, code line.Code) {
	s.metrics.countDenial(v)
	if !s.denialLog.Allow() {
		s.metrics.denialsNotLogged.Inc(1)
		return
	}
	fields := logrus.Fields{"route": ss.database, "code": code, "reason": v}
	if id != "" {
		fields["request"] = id
	}
	if !ss.key.IsZero() {
		fields["key-hash"] = hex.EncodeToString(ss.key[:4])
	}
	if d := ss.desired; d != nil {
		fields["desired"] = d.Number
	}
	if p := s.keys.prover; p != nil {
		fields["proof-age"] = s.clock.Since(p.ProvenAt()).String()
	}
	ss.log.WithFields(fields).Info("key not accepted")
}

// newDenialLog returns the limiter of log lines about rejected keys.
func newDenialLog() *rate.Limiter { return rate.NewLimiter(denialLogRate, denialLogBurst) }
