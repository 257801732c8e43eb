package caller

import (
	"errors"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/sqltext"
	"github.com/jackc/pgx/v5/pgproto3"
)

// A unit is a part of a query string or of a batch that runs as one request or
// is answered here. All statements of a unit are plain, or there is only one.
type unit struct {
	statements []*sqltext.Statement
	// messages are those of an extended batch, nil for a simple query.
	messages []message
	// text is what a simple query sends.
	text string
	// runs indicates that statements are run, not only prepared.
	runs bool
	// class is how the unit is routed outside a transaction.
	class gypsumyard.StatementClass
	// failure is the answer to a unit that cannot run.
	failure *gypsumyard.Error
}

func (u *unit) kind() sqltext.Kind {
	if len(u.statements) == 0 {
		return sqltext.KindPlain
	}
	return u.statements[0].Kind
}

func (u *unit) statement() *sqltext.Statement { return u.statements[0] }

// closesOnly reports whether the unit does nothing but close prepared
// statements.
func (u *unit) closesOnly() bool {
	for i := range u.messages {
		if m := &u.messages[i]; m.kind != 'C' || m.object != 'S' {
			return false
		}
	}
	return u.messages != nil && u.failure == nil
}

// checkOrder refuses what would lose the common implicit transaction of a
// query string or batch: outside a transaction, only the last unit may write,
// and statements cannot become part of a transaction that a later one begins
// or ends.
func checkOrder(units []unit, inTransaction bool) *gypsumyard.Error {
	wrote, ran := false, false
	for i := range units {
		u := &units[i]
		control := u.kind() == sqltext.KindControl && u.runs
		if wrote || ran && control {
			return gypsumyard.Errorf(gypsumyard.ClassNotSupported, "transaction control and session statements cannot follow other statements of the same query or batch outside a transaction")
		}
		if control {
			inTransaction = u.class == gypsumyard.StatementBegin || u.class == gypsumyard.StatementBeginRead
			continue
		}
		if !inTransaction && u.runs && u.kind() == sqltext.KindPlain {
			ran = true
			wrote = u.class != gypsumyard.StatementRead
		}
	}
	return nil
}

// runUnits runs units in order until one fails. It reports whether all have
// succeeded; err ends the session.
func (x *session) runUnits(units []unit) (ok bool, err error) {
	if e := checkOrder(units, x.tx.open()); e != nil {
		return false, x.refuse(e)
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
		return false, x.refuse(e)
	}
	if u.closesOnly() {
		return x.simulate(u.messages)
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
	return x.runUpstream(u, x.classOf(u), &answer{session: x})
}

// checkUnit returns why the unit cannot run now, or nil.
func (x *session) checkUnit(u *unit) *gypsumyard.Error {
	if u.failure != nil {
		return u.failure
	}
	if x.tx.lost && u.kind() != sqltext.KindControl && u.kind() != sqltext.KindEmpty {
		return failedTransaction()
	}
	for _, s := range u.statements {
		switch {
		case s.Kind == sqltext.KindRefused:
			return gypsumyard.Errorf(gypsumyard.ClassNotSupported, "%s", s.Refusal)
		case s.MarkError != nil:
			return refusal(stateInvalidValue, "%v", s.MarkError)
		case s.RefusalOutsideTransaction != "" && !x.tx.open():
			return gypsumyard.Errorf(gypsumyard.ClassNotSupported, "%s", s.RefusalOutsideTransaction)
		}
	}
	return nil
}

// classOf returns how a plain unit is routed.
func (x *session) classOf(u *unit) gypsumyard.StatementClass {
	if x.tx.open() && x.tx.readOnly || !u.runs {
		return gypsumyard.StatementRead
	}
	return u.class
}

// runUpstream sends the unit to the executor.
func (x *session) runUpstream(u *unit, class gypsumyard.StatementClass, a *answer) (ok bool, err error) {
	var messages []byte
	if u.messages == nil {
		messages, err = (&pgproto3.Query{String: u.text}).Encode(nil)
	} else {
		messages, a.ops, err = x.rewrite(u.messages)
	}
	var e *gypsumyard.Error
	if err != nil && !errors.As(err, &e) {
		e = gypsumyard.Errorf(gypsumyard.ClassProtocol, "cannot encode a request: %w", err)
	}
	if e != nil {
		return false, x.refuse(e)
	}
	r := x.newRequest(class, messages)
	describe(r, u.statements)
	return x.execute(r, a)
}

// refuse answers with an error in place of the caller's statement. An open
// transaction fails with it, as it would at the upstream.
func (x *session) refuse(e *gypsumyard.Error) error {
	x.server.metrics.failure(e.Class)
	if x.tx.status == statusOpen {
		if err := x.failTransaction(); err != nil {
			return err
		}
	}
	x.send(errorResponse("ERROR", e))
	return nil
}

// missingStatement is a prepared statement that no upstream connection has.
const missingStatement = "gypsumyard_refused"

// failTransaction makes the open transaction fail at the upstream with a
// statement that does not exist.
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
	_, err = x.execute(r, &answer{session: x, quiet: true})
	if x.tx.lost {
		// The error of the lost transaction gives way to that of the refusal.
		x.out = x.out[:out]
	}
	return err
}

// runControl begins or ends a transaction.
func (x *session) runControl(u *unit) (ok bool, err error) {
	if !u.runs {
		return x.runUpstream(u, gypsumyard.StatementRead, &answer{session: x})
	}
	ending := ends(u.class)
	switch {
	case x.tx.lost && !ending:
		return false, x.refuse(failedTransaction())
	case x.tx.lost, ending && !x.tx.open():
		return x.runLocal(u)
	case !ending && x.tx.open():
		// The upstream warns that a transaction is open already.
		return x.runUpstream(u, gypsumyard.StatementRead, &answer{session: x})
	}
	a := &answer{session: x}
	if u.class == gypsumyard.StatementCommit && x.tx.status == statusOpen {
		a.hide = x.changedReports()
	}
	ok, err = x.runUpstream(u, u.class, a)
	if x.tx.open() {
		return ok, err
	}
	changes := x.tx.changes
	x.tx.changes = nil
	if ok && u.class == gypsumyard.StatementCommit && a.completed == "COMMIT" {
		x.keepChanges(changes)
	}
	return ok, err
}

// runSavepoint follows savepoints, which undo settings as well.
func (x *session) runSavepoint(u *unit) (ok bool, err error) {
	if x.tx.full() && u.kind() == sqltext.KindSavepoint {
		return false, x.refuse(refusal(stateTooMuch, "too many savepoints in one transaction"))
	}
	ok, err = x.runUpstream(u, gypsumyard.StatementRead, &answer{session: x})
	if ok && u.runs && x.tx.open() {
		x.tx.savepoint(u.statement())
	}
	return ok, err
}

// runSet validates a parameter upstream with SET LOCAL, which leaves nothing
// on the upstream connection, and keeps it for the session: at once outside a
// transaction, with the commit within one.
func (x *session) runSet(u *unit) (ok bool, err error) {
	s := u.statement()
	if u.runs && (x.tx.full() || !x.settings.room(s, &x.server.limits)) {
		return false, x.refuse(refusal(stateTooMuch, "too many settings in one session"))
	}
	a := &answer{session: x, local: !x.tx.open()}
	if s.Reset {
		a.tag = "RESET"
	}
	ok, err = x.runUpstream(u, gypsumyard.StatementRead, a)
	if !ok || !u.runs || a.completed == "" {
		return ok, err
	}
	c := change{kind: changeSet, name: s.Name, value: s.Value, reset: s.Default}
	if x.tx.open() {
		x.tx.changes = append(x.tx.changes, c)
		return ok, err
	}
	x.settings.apply(c)
	x.reportSetting(s.Name)
	return ok, err
}
