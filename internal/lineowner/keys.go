package lineowner

import (
	"time"

	"github.com/gypsumyard/gypsumyard"
	"golang.org/x/time/rate"
)

const (
	// keyRetryAfter is when a caller whose key is still valid may try again: the host
	// that it is connected to has the present desired state by then.
	keyRetryAfter = 500 * time.Millisecond
	// rejectionLogRate and rejectionLogBurst bound the log lines about rejected requests
	// of one kind a second.
	rejectionLogRate  = 10
	rejectionLogBurst = 50
)

// checkKey rejects a request of a session with a key if the desired state of this host is
// at least as new as that of the session's host and has no such key of the customer. The
// request did not run, and its open transaction is rolled back.
func (g *group) checkKey(j *job) error {
	if j.Key.IsZero() {
		return nil
	}
	d := g.service.lists.Desired()
	if d == nil || d.Number < j.StateNumber {
		return nil
	}
	customer, known := d.CustomerOf(j.Key)
	if known && customer == j.KeyHolder {
		return nil
	}
	if j.Transaction != "" {
		g.abandonTransaction(j.Request)
	}
	// The caller of a key that was moved, or that is no longer needed, is still welcome.
	valid := known || !d.Keyed || d.Routes[j.Customer].Open
	return g.rejectKey(j, d, valid)
}

// rejectKey returns the error for a request whose key is not the customer's by the
// desired state.
func (g *group) rejectKey(j *job, d *gypsumyard.DesiredState, valid bool) error {
	g.metrics.keysRejected.Inc(1)
	if g.service.keyLog.Allow() {
		g.log.WithFields(g.fields(j)).WithField("desired", d.Number).WithField("checked-by", j.StateNumber).
			WithField("customer", j.KeyHolder).WithField("still-valid", valid).Info("key not accepted")
	}
	e := gypsumyard.Errorf(gypsumyard.ClassAuth, "the customer does not hold the key by desired state %d", d.Number)
	if valid {
		e.RetryAfter = keyRetryAfter
	}
	return e
}

// newRejectionLog returns the limiter of log lines about one kind of rejected requests.
func newRejectionLog() *rate.Limiter { return rate.NewLimiter(rejectionLogRate, rejectionLogBurst) }
