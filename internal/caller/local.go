package caller

import (
	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/sqltext"
	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	textOID     = 25
	variableLen = -1
)

// A localResult is the result of a statement that the entry host handles
// itself: a row with one column if column is not empty, a warning if notice is
// not empty, and the command tag. An empty tag stands for EmptyQueryResponse.
type localResult struct {
	column string
	value  string
	notice string
	tag    string
}

// columnOf returns the name of the statement's result column, or "" if it
// returns no rows.
func columnOf(s *sqltext.Statement) string {
	if s.Kind == sqltext.KindShow {
		return s.Name
	}
	return ""
}

func rowDescription(column string, format int16) *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name:         []byte(column),
		DataTypeOID:  textOID,
		DataTypeSize: variableLen,
		TypeModifier: -1,
		Format:       format,
	}}}
}

// runLocal runs a unit on the entry host, without an upstream.
func (x *session) runLocal(u *unit) (ok bool, err error) {
	if x.tx.status == statusFailed && !x.tx.lost && u.kind() != sqltext.KindEmpty {
		return false, x.reject(failedTransactionError())
	}
	if u.messages != nil {
		return x.runLocalBatch(u.messages)
	}
	r, e := x.runLocalStatement(u.statement())
	if e != nil {
		return false, x.reject(e)
	}
	if r.column != "" {
		x.send(rowDescription(r.column, pgproto3.TextFormat))
	}
	x.sendResult(r)
	return true, nil
}

func (x *session) sendResult(r localResult) {
	if r.notice != "" {
		x.send(&pgproto3.NoticeResponse{
			Severity: "WARNING", SeverityUnlocalized: "WARNING", Code: stateNoTransaction, Message: r.notice,
		})
	}
	if r.column != "" {
		x.send(&pgproto3.DataRow{Values: [][]byte{[]byte(r.value)}})
	}
	if r.tag == "" {
		x.send(&pgproto3.EmptyQueryResponse{})
		return
	}
	x.send(&pgproto3.CommandComplete{CommandTag: []byte(r.tag)})
}

// runLocalBatch handles extended-query messages for a statement that the entry
// host handles itself, or Close messages for prepared statements.
func (x *session) runLocalBatch(messages []message) (ok bool, err error) {
	format := int16(pgproto3.TextFormat)
	for i := range messages {
		m := &messages[i]
		switch {
		case m.kind == 'P':
			x.prepared.put(m.target)
			x.send(&pgproto3.ParseComplete{})
		case m.kind == 'B':
			if len(m.bind.ResultFormatCodes) > 0 {
				format = m.bind.ResultFormatCodes[0]
			}
			x.send(&pgproto3.BindComplete{})
		case m.kind == 'C':
			if m.object == 'S' {
				x.prepared.remove(m.name)
			}
			x.send(&pgproto3.CloseComplete{})
		case m.kind == 'D':
			if m.object == 'S' {
				x.send(&pgproto3.ParameterDescription{})
			}
			x.describeLocal(&m.target.statement, format)
		default:
			r, e := x.runLocalStatement(&m.target.statement)
			if e != nil {
				return false, x.reject(e)
			}
			x.sendResult(r)
		}
	}
	return true, nil
}

func (x *session) describeLocal(s *sqltext.Statement, format int16) {
	if column := columnOf(s); column != "" {
		x.send(rowDescription(column, format))
		return
	}
	x.send(&pgproto3.NoData{})
}

// runLocalStatement runs a statement that the entry host handles itself.
func (x *session) runLocalStatement(s *sqltext.Statement) (r localResult, e *gypsumyard.Error) {
	switch s.Kind {
	case sqltext.KindEmpty:
		return localResult{}, nil
	case sqltext.KindControl:
		return x.endTransaction(s), nil
	case sqltext.KindShow:
		v, e := x.showProxyParam(s.Name)
		return localResult{column: s.Name, value: v, tag: "SHOW"}, e
	case sqltext.KindSet:
		r.tag = "SET"
		if s.Reset {
			r.tag = "RESET"
		}
		return r, x.setProxyParam(s.Name, s.Value, s.Default)
	case sqltext.KindDeallocate:
		return x.deallocate(s)
	case sqltext.KindDiscard:
		return x.discard(s)
	}
	return x.resetAll()
}

// endTransaction handles COMMIT or ROLLBACK if the transaction is lost or none
// is open.
func (x *session) endTransaction(s *sqltext.Statement) localResult {
	if x.tx.lost {
		x.tx = transaction{status: statusIdle}
		return localResult{tag: "ROLLBACK"}
	}
	r := localResult{tag: "COMMIT", notice: "there is no transaction in progress"}
	if s.Class == gypsumyard.StatementRollback {
		r.tag = "ROLLBACK"
	}
	return r
}

func (x *session) deallocate(s *sqltext.Statement) (localResult, *gypsumyard.Error) {
	if s.All {
		x.prepared.clear()
		return localResult{tag: "DEALLOCATE ALL"}, nil
	}
	if x.prepared.get(s.Name) == nil {
		return localResult{}, stateErrorf(stateUnknownStatement, "prepared statement %q does not exist", s.Name)
	}
	x.prepared.remove(s.Name)
	return localResult{tag: "DEALLOCATE"}, nil
}

// discard handles DISCARD. Upstream connections hold no session state, so only
// the state on the entry host is discarded.
func (x *session) discard(s *sqltext.Statement) (localResult, *gypsumyard.Error) {
	switch s.Name {
	case "all":
		if x.tx.open() {
			return localResult{}, stateErrorf(stateActiveTransaction, "DISCARD ALL cannot run inside a transaction block")
		}
		x.prepared.clear()
		_, e := x.resetAll()
		return localResult{tag: "DISCARD ALL"}, e
	case "plans":
		return localResult{tag: "DISCARD PLANS"}, nil
	case "sequences":
		return localResult{tag: "DISCARD SEQUENCES"}, nil
	case "temp", "temporary":
		return localResult{tag: "DISCARD TEMP"}, nil
	}
	return localResult{}, stateErrorf(stateSyntax, "invalid DISCARD")
}

// resetAll handles RESET ALL.
func (x *session) resetAll() (localResult, *gypsumyard.Error) {
	if x.tx.open() {
		return localResult{}, gypsumyard.Errorf(gypsumyard.ClassNotSupported, "RESET ALL inside a transaction is not supported")
	}
	names := x.settings.list()
	x.settings = settings{}
	for _, s := range names {
		x.reportParameter(s.Name)
	}
	for _, p := range []string{paramMaxStaleness, paramRepeatable, paramPriority} {
		if e := x.setProxyParam(p, "", true); e != nil {
			return localResult{}, e
		}
	}
	return localResult{tag: "RESET"}, nil
}
