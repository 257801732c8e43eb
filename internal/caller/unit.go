package caller

import (
	"errors"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/sqltext"
	"github.com/jackc/pgx/v5/pgproto3"
)

// A unit is a part of a query string or batch that runs as one request or is
// handled on this host. Its statements are all plain, or it has only one.
type unit struct {
	statements []*sqltext.Statement
	// messages are the messages of an extended-query batch, nil for a simple
	// query.
	messages []message
	// text is the query string that is sent upstream for a simple query.
	text string
	// executes indicates that statements are executed, not only prepared.
	executes bool
	// class determines how the unit is routed outside a transaction.
	class gypsumyard.StatementClass
	// failure is the error with which a unit that cannot run is rejected.
	failure *gypsumyard.Error
}

func (u *unit) kind() sqltext.Kind {
	if len(u.statements) == 0 {
		return sqltext.KindPlain
	}
	return u.statements[0].Kind
}

func (u *unit) statement() *sqltext.Statement { return u.statements[0] }

// closesOnly reports whether the unit consists of Close messages for prepared
// statements only.
func (u *unit) closesOnly() bool {
	for i := range u.messages {
		if m := &u.messages[i]; m.kind != 'C' || m.object != 'S' {
			return false
		}
	}
	return u.messages != nil && u.failure == nil
}

// checkOrder rejects sequences of units that cannot run as separate requests,
// because PostgreSQL would run the query string or batch in one implicit
// transaction. Outside a transaction only the last unit may write, and
// transaction control cannot follow other statements, which would become part
// of the transaction that it begins or ends.
func checkOrder(units []unit, inTransaction bool) *gypsumyard.Error {
	wrote, ran := false, false
	for i := range units {
		u := &units[i]
		control := u.kind() == sqltext.KindControl && u.executes
		if wrote || ran && control {
			return gypsumyard.Errorf(gypsumyard.ClassNotSupported, "transaction control and session statements cannot follow other statements of the same query or batch outside a transaction")
		}
		if control {
			inTransaction = u.class == gypsumyard.StatementBegin || u.class == gypsumyard.StatementBeginRead
			continue
		}
		if !inTransaction && u.executes && u.kind() == sqltext.KindPlain {
			ran = true
			wrote = u.class != gypsumyard.StatementRead
		}
	}
	return nil
}

// runUnits runs units in order until one fails. It reports whether all of them
// succeeded; err ends the session.
func (x *session) runUnits(units []unit) (ok bool, err error) {
	if e := checkOrder(units, x.tx.open()); e != nil {
		return false, x.reject(e)
	}
	for i := range units {
		if ok, err := x.runUnit(&units[i]); !ok || err != nil {
			return false, err
		}
	}
	return true, nil
}

func (x *session) runUnit(u *unit) (ok bool, err error) {
	if e := x.checkUnit(u); e != nil {
		return false, x.reject(e)
	}
	if u.closesOnly() {
		return x.runLocalBatch(u.messages)
	}
	switch u.kind() {
	case sqltext.KindEmpty, sqltext.KindShow, sqltext.KindDeallocate, sqltext.KindDiscard, sqltext.KindResetAll:
		return x.runLocal(u)
	case sqltext.KindSet:
		if u.statement().IsProxyParameter() {
			return x.runLocal(u)
		}
		return x.runSet(u)
	case sqltext.KindControl:
		return x.runControl(u)
	case sqltext.KindSavepoint, sqltext.KindRelease, sqltext.KindRollbackTo:
		return x.runSavepoint(u)
	}
	return x.runUpstream(u, x.classOf(u), &responseFilter{session: x})
}

// checkUnit returns the error with which the unit is to be rejected, or nil.
func (x *session) checkUnit(u *unit) *gypsumyard.Error {
	if u.failure != nil {
		return u.failure
	}
	if x.tx.lost && u.kind() != sqltext.KindControl && u.kind() != sqltext.KindEmpty {
		return failedTransactionError()
	}
	for _, s := range u.statements {
		switch {
		case s.Kind == sqltext.KindRefused:
			return gypsumyard.Errorf(gypsumyard.ClassNotSupported, "%s", s.Refusal)
		case s.MarkError != nil:
			return stateErrorf(stateInvalidValue, "%v", s.MarkError)
		case s.RefusalOutsideTransaction != "" && !x.tx.open():
			return gypsumyard.Errorf(gypsumyard.ClassNotSupported, "%s", s.RefusalOutsideTransaction)
		}
	}
	return nil
}

// classOf returns the class with which a plain unit is routed.
func (x *session) classOf(u *unit) gypsumyard.StatementClass {
	if x.tx.open() && x.tx.readOnly || !u.executes {
		return gypsumyard.StatementRead
	}
	return u.class
}

// runUpstream sends the unit to the executor.
func (x *session) runUpstream(u *unit, class gypsumyard.StatementClass, f *responseFilter) (ok bool, err error) {
	var messages []byte
	if u.messages == nil {
		messages, err = (&pgproto3.Query{String: u.text}).Encode(nil)
	} else {
		messages, f.ops, err = x.rewrite(u.messages)
	}
	var e *gypsumyard.Error
	if err != nil && !errors.As(err, &e) {
		e = gypsumyard.Errorf(gypsumyard.ClassProtocol, "cannot encode a request: %w", err)
	}
	if e != nil {
		return false, x.reject(e)
	}
	r := x.newRequest(class, messages)
	setStatementInfo(r, u.statements)
	return x.execute(r, f)
}

// reject reports an error to the client instead of running its statement. An
// open transaction fails, as it would after an error of the upstream.
func (x *session) reject(e *gypsumyard.Error) error {
	x.server.metrics.countFailure(e.Class)
	if x.tx.status == statusOpen {
		if err := x.failTransaction(); err != nil {
			return err
		}
	}
	x.send(errorResponse("ERROR", e))
	return nil
}

// missingStatement is the name of a prepared statement that exists on no
// upstream connection.
const missingStatement = "gypsumyard_refused"

// failTransaction makes the open transaction fail at the upstream, with a Bind
// of a statement that does not exist.
func (x *session) failTransaction() error {
	messages, err := (&pgproto3.Bind{PreparedStatement: missingStatement}).Encode(nil)
	if err != nil {
		return err
	}
	messages, err = (&pgproto3.Sync{}).Encode(messages)
	if err != nil {
		return err
	}
	r := x.newRequest(gypsumyard.StatementRead, messages)
	out := len(x.out)
	_, err = x.execute(r, &responseFilter{session: x, dropAll: true})
	if x.tx.lost {
		// Drop the error about the lost transaction: the client gets the error of
		// the rejection instead.
		x.out = x.out[:out]
	}
	return err
}

// runControl begins or ends a transaction.
func (x *session) runControl(u *unit) (ok bool, err error) {
	if !u.executes {
		return x.runUpstream(u, gypsumyard.StatementRead, &responseFilter{session: x})
	}
	ending := endsTransaction(u.class)
	switch {
	case x.tx.lost && !ending:
		return false, x.reject(failedTransactionError())
	case x.tx.lost, ending && !x.tx.open():
		return x.runLocal(u)
	case !ending && x.tx.open():
		// The upstream warns that there is already a transaction in progress.
		return x.runUpstream(u, gypsumyard.StatementRead, &responseFilter{session: x})
	}
	f := &responseFilter{session: x}
	if u.class == gypsumyard.StatementCommit && x.tx.status == statusOpen {
		f.hiddenParams = x.changedReportedParams()
	}
	ok, err = x.runUpstream(u, u.class, f)
	if x.tx.open() {
		return ok, err
	}
	changes := x.tx.changes
	x.tx.changes = nil
	if ok && u.class == gypsumyard.StatementCommit && f.completedTag == "COMMIT" {
		x.applyChanges(changes)
	}
	return ok, err
}

// runSavepoint runs a savepoint statement and applies it to the recorded
// settings, since a rollback to a savepoint undoes settings as well.
func (x *session) runSavepoint(u *unit) (ok bool, err error) {
	if x.tx.changesFull() && u.kind() == sqltext.KindSavepoint {
		return false, x.reject(stateErrorf(stateLimitExceeded, "too many savepoints in one transaction"))
	}
	ok, err = x.runUpstream(u, gypsumyard.StatementRead, &responseFilter{session: x})
	if ok && u.executes && x.tx.open() {
		x.tx.trackSavepoint(u.statement())
	}
	return ok, err
}

// runSet validates a parameter upstream with SET LOCAL, which does not outlast
// the transaction, and records it for the session: at once outside a
// transaction, otherwise when the transaction commits.
func (x *session) runSet(u *unit) (ok bool, err error) {
	s := u.statement()
	if u.executes && (x.tx.changesFull() || !x.settings.hasRoom(s, &x.server.limits)) {
		return false, x.reject(stateErrorf(stateLimitExceeded, "too many settings in one session"))
	}
	f := &responseFilter{session: x, dropAsync: !x.tx.open()}
	if s.Reset {
		f.tag = "RESET"
	}
	ok, err = x.runUpstream(u, gypsumyard.StatementRead, f)
	if !ok || !u.executes || f.completedTag == "" {
		return ok, err
	}
	c := change{kind: changeSet, name: s.Name, value: s.Value, reset: s.Default}
	if x.tx.open() {
		x.tx.changes = append(x.tx.changes, c)
		return ok, err
	}
	x.settings.apply(c)
	x.reportParameter(s.Name)
	return ok, err
}
