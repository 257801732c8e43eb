package linecaller

import (
	"context"
	"errors"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/line"
)

// defaultTimeout bounds a statement of a route without a limit.
const defaultTimeout = 30 * time.Second

// output collects the answer to a statement.
type output struct{ session *session }

func (o output) Write(p []byte) (int, error) {
	o.session.out = append(o.session.out, p...)
	return len(p), nil
}

// run has a statement run by the owner of the database group.
func (ss *session) run(id, text string, st line.Statement) {
	route, ok := ss.tx.route, true
	if ss.state == stateIdle {
		route, ok = ss.route()
	}
	if !ok {
		ss.fail(id, line.CodeNoDatabase, ss.database)
		return
	}
	r, code := ss.request(id, text, st, route)
	if code != "" {
		ss.fail(id, code, st.Name)
		return
	}
	mark := len(ss.out)
	res, err := ss.server.executor.Execute(ss.server.ctx, r, output{ss})
	if err != nil {
		ss.out = ss.out[:mark]
		ss.failed(r, id, st, err)
		return
	}
	ss.finish(r, res)
}

// request builds the request for a statement. It returns a code if the
// statement cannot be run.
func (ss *session) request(id, text string, st line.Statement, route gypsumyard.Route) (r *gypsumyard.Request, code line.Code) {
	b := line.Payload{Consistency: route.Consistency, RoutePriority: route.Priority, ID: id, Text: text, Objective: route.Objective}
	verb := st.Verb
	if verb == line.Execute {
		p, ok := ss.prepared[st.Name]
		if !ok {
			return nil, line.CodeUnknown
		}
		b.Prepared = p
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
		Class:        ss.class(verb),
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
	r.Messages = b.Marshal()
	return r, ""
}

// class tells how the statement is routed. The first statement of a
// transaction opens it.
func (ss *session) class(verb line.Verb) gypsumyard.StatementClass {
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

// finish takes over the result of a statement that an instance has answered.
func (ss *session) finish(r *gypsumyard.Request, res gypsumyard.Result) {
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

// failed answers a statement that got no answer from an instance.
func (ss *session) failed(r *gypsumyard.Request, id string, st line.Statement, err error) {
	class := gypsumyard.ClassOf(err)
	mayHaveRun := class == gypsumyard.ClassUnknown
	var e *gypsumyard.Error
	text := err.Error()
	if errors.As(err, &e) && e.RetryAfter > 0 {
		text += ", retry after " + e.RetryAfter.Round(time.Millisecond).String()
	}
	inTransaction := ss.state == stateTransaction
	code := ss.code(st, mayHaveRun, inTransaction, err)
	if st.Verb == line.Commit {
		// Whatever became of it, the transaction is over.
		ss.abandon()
		ss.setState(stateIdle)
	}
	ss.fail(id, code, text)
}

// code chooses the code of a failed statement. Without a COMMIT nothing of a
// transaction is kept.
func (ss *session) code(st line.Statement, mayHaveRun, inTransaction bool, err error) line.Code {
	commits := st.Verb == line.Commit
	reads := st.Verb == line.Read || ss.prepared[st.Name].Verb == line.Read
	switch {
	case mayHaveRun && (commits || !inTransaction && !reads):
		return line.CodeInDoubt
	case inTransaction:
		return line.CodeAborted
	case mayHaveRun && errors.Is(err, context.DeadlineExceeded):
		return line.CodeTimeout
	case mayHaveRun:
		return line.CodeFailed
	}
	return line.CodeBusy
}
