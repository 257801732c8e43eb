package caller

import (
	"context"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/sqltext"
)

// newRequest returns a request of the session with the given messages.
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

// describe adds the shape and the marks of the statements.
func describe(r *gypsumyard.Request, statements []*sqltext.Statement) {
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

// execute runs the request and takes over its result. It reports whether the
// upstream answered without an error; err ends the session.
func (x *session) execute(r *gypsumyard.Request, a *answer) (ok bool, err error) {
	x.setCurrent(r)
	x.conn.pauseReading()
	x.requests++
	start := x.server.clock.Now()
	// Only a read ends with the caller's connection: a write that was
	// received runs, as in PostgreSQL.
	ctx := x.server.ctx
	if r.Class == gypsumyard.StatementRead {
		ctx = x.ctx
	}
	result, failure := x.server.executor.Execute(ctx, r, a)
	x.setCurrent(nil)
	class := gypsumyard.ErrorClass("")
	if failure != nil {
		class = gypsumyard.ClassOf(failure)
	}
	x.server.metrics.request(r.Class, class, x.server.clock.Since(start))
	if failure == nil {
		x.adopt(r, result)
	}
	switch {
	case a.failure != nil:
		return false, a.failure
	case failure != nil:
		return false, x.failed(r, a, failure)
	case a.partial():
		return false, errBroken
	}
	return !a.refused, nil
}

// failed answers a request whose Execute failed.
func (x *session) failed(r *gypsumyard.Request, a *answer, failure error) error {
	e := asError(failure)
	log := x.logger().WithError(failure).WithField("class", e.Class)
	if e.Class == gypsumyard.ClassLoad || e.Class == gypsumyard.ClassPlan {
		// Under overload these are many; the metrics count them.
		log.Debug("request refused")
	} else {
		log.Info("request failed")
	}
	if e.Class == gypsumyard.ClassUnknown && r.Class != gypsumyard.StatementRead {
		// The write may have run, at a position that nobody has told. The next
		// read has to see it if it did.
		x.positionKnown = false
	}
	if x.tx.open() || r.Transaction != "" {
		x.loseTransaction(r)
	}
	if a.partial() {
		return errBroken
	}
	x.send(errorResponse("ERROR", e))
	return nil
}

// loseTransaction gives up the open transaction. The caller still has to end
// it, unless the request was to do so.
func (x *session) loseTransaction(r *gypsumyard.Request) {
	x.abandon()
	x.tx = transaction{status: statusFailed, lost: true}
	if ends(r.Class) {
		x.tx = transaction{status: statusIdle}
	}
}

func ends(c gypsumyard.StatementClass) bool {
	return c == gypsumyard.StatementCommit || c == gypsumyard.StatementRollback
}

// adopt takes over the position and the transaction that a request left.
func (x *session) adopt(r *gypsumyard.Request, result gypsumyard.Result) {
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

// abandon rolls back the open transaction of the session.
func (x *session) abandon() {
	if !x.tx.open() || x.tx.lost {
		return
	}
	r := x.newRequest(gypsumyard.StatementRollback, nil)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), cancelTime)
	defer cancel()
	if err := x.server.executor.Abandon(ctx, r); err != nil {
		x.logger().WithError(err).Warn("cannot abandon a transaction")
	}
	x.tx = transaction{status: statusIdle}
}

func (x *session) setCurrent(r *gypsumyard.Request) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.current = r
}

// inFlight returns the request that the session runs, or nil.
func (x *session) inFlight() *gypsumyard.Request {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.current
}

// statementTimeout returns the session's statement_timeout, zero for none.
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
