package caller

import (
	"context"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/sqltext"
)

// newRequest returns a request with the given messages and the state of the
// session.
func (x *session) newRequest(class gypsumyard.StatementClass, messages []byte) *gypsumyard.Request {
	r := &gypsumyard.Request{
		Session:       x.id,
		Customer:      x.customer,
		Login:         x.login.Name,
		Database:      x.database,
		Class:         class,
		Messages:      messages,
		Repeatable:    x.repeatable,
		Priority:      x.priority,
		MaxStaleness:  x.maxStaleness,
		Position:      x.position,
		PositionKnown: x.positionKnown,
		Settings:      x.settings.list(),
		Transaction:   x.tx.handle,
		Owner:         x.tx.owner,
	}
	if timeout := x.statementTimeout(); timeout > 0 {
		r.Deadline = x.server.clock.Now().Add(timeout)
	}
	return r
}

// setStatementInfo sets the fields of r that depend on the shapes and the marks
// of the statements.
func setStatementInfo(r *gypsumyard.Request, statements []*sqltext.Statement) {
	var marks sqltext.Marks
	for _, s := range statements {
		const prime = 1099511628211
		r.Shape = r.Shape*prime ^ s.Shape
		marks = marks.Merge(s.Marks)
	}
	r.Long = marks.Long
	r.Priority = r.Priority || marks.Priority
	r.Repeatable = r.Repeatable && !marks.NotRepeatable
	if marks.MaxStaleness != nil {
		r.MaxStaleness = *marks.MaxStaleness
	}
}

// execute runs the request and applies its result to the session. It reports
// whether the upstream responded without an error; err ends the session.
func (x *session) execute(r *gypsumyard.Request, f *responseFilter) (ok bool, err error) {
	x.setCurrent(r)
	x.conn.pauseReading()
	x.requests++
	start := x.server.clock.Now()
	// Only a read is canceled when the client disconnects. A write that was
	// received is executed, as in PostgreSQL.
	ctx := x.server.ctx
	if r.Class == gypsumyard.StatementRead {
		ctx = x.ctx
	}
	result, failure := x.server.executor.Execute(ctx, r, f)
	x.setCurrent(nil)
	class := gypsumyard.ErrorClass("")
	if failure != nil {
		class = gypsumyard.ClassOf(failure)
	}
	x.server.metrics.countRequest(r.Class, class, x.server.clock.Since(start))
	if failure == nil {
		x.applyResult(r, result)
	}
	switch {
	case f.forwardErr != nil:
		return false, f.forwardErr
	case failure != nil:
		return false, x.reportFailure(r, f, failure)
	case f.midMessage():
		return false, errMalformedResponse
	}
	return !f.hasError, nil
}

// reportFailure reports the failure of Execute to the client.
func (x *session) reportFailure(r *gypsumyard.Request, f *responseFilter, failure error) error {
	e := clientError(failure)
	log := x.logger().WithError(failure).WithField("class", e.Class)
	if e.Class == gypsumyard.ClassLoad || e.Class == gypsumyard.ClassPlan {
		// Under overload there are many of these, and metrics count them.
		log.Debug("request rejected")
	} else {
		log.Info("request failed")
	}
	if e.Class == gypsumyard.ClassUnknown && r.Class != gypsumyard.StatementRead {
		// The write may have been executed at a position that this host does not
		// know. If so, the next read must see it.
		x.positionKnown = false
	}
	if x.tx.open() || r.Transaction != "" {
		x.loseTransaction(r)
	}
	if f.midMessage() {
		return errMalformedResponse
	}
	x.send(errorResponse("ERROR", e))
	return nil
}

// loseTransaction abandons the open transaction after a failure of request r.
// The client still has to end the transaction, unless r was to do so.
func (x *session) loseTransaction(r *gypsumyard.Request) {
	x.abandon()
	x.tx = transaction{status: statusFailed, lost: true}
	if endsTransaction(r.Class) {
		x.tx = transaction{status: statusIdle}
	}
}

func endsTransaction(c gypsumyard.StatementClass) bool {
	return c == gypsumyard.StatementCommit || c == gypsumyard.StatementRollback
}

// applyResult updates the position and the transaction state of the session
// from the result of a request.
func (x *session) applyResult(r *gypsumyard.Request, result gypsumyard.Result) {
	if !result.Position.IsZero() {
		x.positionKnown = true
		if result.Position.Compare(x.position) > 0 {
			x.position = result.Position
		}
	}
	switch result.TxStatus {
	case statusOpen, statusFailed:
		if !x.tx.open() {
			x.tx.readOnly = r.Class == gypsumyard.StatementBeginRead
		}
		x.tx.status = result.TxStatus
		x.tx.handle = result.Transaction
		x.tx.owner = result.Owner
	default:
		changes := x.tx.changes
		x.tx = transaction{status: statusIdle}
		if r.Class == gypsumyard.StatementCommit {
			x.tx.changes = changes
		}
	}
}

// abandon rolls back the session's open transaction, unless there is none or it
// is lost.
func (x *session) abandon() {
	if !x.tx.open() || x.tx.lost {
		return
	}
	r := x.newRequest(gypsumyard.StatementRollback, nil)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), cancelTimeout)
	defer cancel()
	if err := x.server.executor.Abandon(ctx, r); err != nil {
		x.logger().WithError(err).Warn("cannot roll back an abandoned transaction")
	}
	x.tx = transaction{status: statusIdle}
}

func (x *session) setCurrent(r *gypsumyard.Request) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.currentRequest = r
}

// inFlight returns the request that the session is running, or nil.
func (x *session) inFlight() *gypsumyard.Request {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.currentRequest
}

// statementTimeout returns the session's statement_timeout, or 0 if it is not
// set.
func (x *session) statementTimeout() time.Duration {
	value, ok := x.settings["statement_timeout"]
	for _, c := range x.tx.changes {
		if c.kind == changeSet && c.name == "statement_timeout" {
			value, ok = c.value, !c.reset
		}
	}
	if !ok {
		return 0
	}
	d, err := parseTimeout(value)
	if err != nil {
		return 0
	}
	return d
}
