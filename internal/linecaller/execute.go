package linecaller

import (
	"errors"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/line"
)

// defaultTimeout bounds a statement if its route sets no statement timeout.
const defaultTimeout = 30 * time.Second

// responseBuffer is a [gypsumyard.ResponseSink] that appends the response to
// the output buffer of the session.
type responseBuffer struct{ session *session }

func (b responseBuffer) Write(p []byte) (int, error) {
	b.session.out = append(b.session.out, p...)
	return len(p), nil
}

// execute sends a statement to the owner of the database group and buffers the
// response. It fails with errDenied if the session must end.
func (ss *session) execute(id, text string, st line.Statement) error {
	route, number := ss.tx.route, ss.tx.desiredNumber
	if ss.state == stateIdle {
		var ok bool
		if route, ok = ss.route(); !ok {
			ss.fail(id, line.CodeNoDatabase, ss.database)
			return nil
		}
		number = ss.desired.Number
	}
	r, code := ss.buildRequest(id, text, st, route)
	if code != "" {
		ss.fail(id, code, st.Name)
		return nil
	}
	r.DesiredNumber = number
	outLen := len(ss.out)
	res, err := ss.server.executor.Execute(ss.server.ctx, r, responseBuffer{ss})
	if err != nil {
		ss.out = ss.out[:outLen]
		return ss.answerFailure(r, id, st, err)
	}
	ss.applyResult(r, res)
	return nil
}

// buildRequest returns the request for a statement, or an error code if the
// statement cannot be executed.
func (ss *session) buildRequest(id, text string, st line.Statement, route gypsumyard.Route) (r *gypsumyard.Request, code line.Code) {
	payload := line.Payload{Consistency: route.Consistency, RoutePriority: route.Priority, ID: id, Text: text, Objective: route.Objective}
	if ss.customer != "" {
		payload.KeyHolder, payload.Key, payload.StateNumber = ss.customer, ss.key, ss.desired.Number
	}
	verb := st.Verb
	if verb == line.Execute {
		p, ok := ss.prepared[st.Name]
		if !ok {
			return nil, line.CodeUnknown
		}
		payload.Prepared = p
		verb = p.Verb
	}
	timeout := route.StatementTimeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	r = &gypsumyard.Request{
		Session:      ss.id,
		Customer:     route.Database,
		Database:     route.Group,
		Class:        ss.statementClass(verb),
		MaxStaleness: route.MaxStaleness,
		Settings:     ss.settings,
		Transaction:  ss.tx.handle,
		Owner:        ss.tx.owner,
		Deadline:     ss.server.clock.Now().Add(timeout),
	}
	if route.Consistency == gypsumyard.ConsistencySession {
		r.Position, r.PositionKnown = ss.position, true
	}
	r.Repeatable = r.Class == gypsumyard.StatementRead && r.Transaction == ""
	r.Messages = payload.Marshal()
	return r, ""
}

// statementClass returns the class by which the statement is routed. The first
// statement of a transaction gets a class that opens the transaction.
func (ss *session) statementClass(verb line.Verb) gypsumyard.StatementClass {
	switch {
	case ss.state == stateTransaction && ss.tx.handle == "" && ss.tx.readOnly:
		return gypsumyard.StatementBeginRead
	case ss.state == stateTransaction && ss.tx.handle == "":
		return gypsumyard.StatementBegin
	case verb == line.Commit:
		return gypsumyard.StatementCommit
	case verb == line.Read:
		return gypsumyard.StatementRead
	}
	return gypsumyard.StatementWrite
}

// applyResult updates the session with the result of a statement that an
// instance has answered.
func (ss *session) applyResult(r *gypsumyard.Request, res gypsumyard.Result) {
	ss.server.metrics.answered.Inc(1)
	if r.Class != gypsumyard.StatementRead && r.Class != gypsumyard.StatementBeginRead && res.Position.Compare(ss.position) > 0 {
		ss.position = res.Position
	}
	if ss.state == stateIdle {
		return
	}
	ss.tx.handle, ss.tx.owner = res.Transaction, res.Owner
	switch res.TxStatus {
	case stateTransaction, stateFailed:
		ss.setState(res.TxStatus)
	default:
		ss.setState(stateIdle)
	}
}

// answerFailure sends an error for a statement that no instance has answered. It fails
// with errDenied if the session must end.
func (ss *session) answerFailure(r *gypsumyard.Request, id string, st line.Statement, err error) error {
	class := gypsumyard.ClassOf(err)
	mayHaveRun := class == gypsumyard.ClassUnknown
	var e *gypsumyard.Error
	text := err.Error()
	switch {
	case errors.As(err, &e) && e.RetryAfter > 0:
		text += ", retry after " + e.RetryAfter.Round(time.Millisecond).String()
	case class == gypsumyard.ClassAuth:
		ss.deny(id, verdictRejectedByOwner)
		return errDenied
	}
	inTransaction := ss.state == stateTransaction
	code := ss.errorCode(r, st, mayHaveRun, inTransaction)
	if st.Verb == line.Commit {
		// The transaction is over, whether or not the commit took effect.
		ss.abandon()
		ss.setState(stateIdle)
	}
	ss.fail(id, code, text)
	return nil
}

// errorCode returns the error code for a failed statement. In a transaction
// only a failed COMMIT can be in doubt: without a COMMIT none of the
// transaction's writes take effect.
func (ss *session) errorCode(r *gypsumyard.Request, st line.Statement, mayHaveRun, inTransaction bool) line.Code {
	commits := st.Verb == line.Commit
	reads := st.Verb == line.Read || ss.prepared[st.Name].Verb == line.Read
	switch {
	case mayHaveRun && (commits || !inTransaction && !reads):
		return line.CodeInDoubt
	case inTransaction:
		return line.CodeAborted
	case mayHaveRun && !ss.server.clock.Now().Before(r.Deadline):
		// The reason of the error does not tell it: it is lost between hosts.
		return line.CodeTimeout
	case mayHaveRun:
		return line.CodeFailed
	}
	return line.CodeBusy
}
