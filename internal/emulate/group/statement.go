package group

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/emulate/engine"
	"github.com/gypsumyard/gypsumyard/internal/emulate/sqlparse"
	"github.com/jackc/pgx/v5/pgproto3"
)

// An activeStatement is a statement that was started and whose rows have not all
// been sent.
type activeStatement struct {
	columns []engine.ResultColumn
	next    func() ([]engine.Value, error)
	// tag is the command tag. For a SELECT, complete adds the number of rows
	// sent.
	tag      string
	affected int64
	entry    *Entry
	ctx      context.Context
	release  func()
}

// run starts a statement. If it succeeds, the caller must read the rows and then
// call finish.
func (s *session) run(p sqlparse.ParsedStatement, params []engine.Value) (o *activeStatement, err error) {
	if s.failed {
		switch p.Statement.(type) {
		case *sqlparse.Commit, *sqlparse.Rollback:
		default:
			return nil, sqlparse.Errorf("25P02", "current transaction is aborted, commands ignored until end of transaction block")
		}
	}
	ctx, release := s.statementContext()
	o = &activeStatement{tag: p.Statement.Verb(), ctx: ctx, release: release}
	if err := s.start(o, p, params); err != nil {
		s.finish(o, err)
		return nil, err
	}
	return o, nil
}

func (s *session) start(o *activeStatement, p sqlparse.ParsedStatement, params []engine.Value) error {
	if err := s.instance.awaitGate(o.ctx); err != nil {
		return err
	}
	handled, err := s.runSessionStatement(o, p.Statement)
	if handled || err != nil {
		return err
	}
	s.begin()
	kind := strings.ToLower(p.Statement.Verb())
	if engine.IsControl(p.Statement) {
		kind = "control"
	} else {
		o.entry = s.newEntry(p, params)
		s.slotTime = 0
		if err := s.spendServiceTime(o.ctx, p); err != nil {
			return err
		}
	}
	s.instance.count(kind)
	r, err := s.instance.engine.Execute(o.ctx, s, s.tx, p.Statement, params)
	if err != nil {
		return err
	}
	if err := s.checkTruncation(); err != nil {
		return err
	}
	o.columns, o.next, o.affected = r.Columns, r.Next, r.Affected
	if o.entry != nil {
		o.entry.Seen = r.Applied
	}
	switch p.Statement.(type) {
	case *sqlparse.Insert:
		o.tag = fmt.Sprintf("INSERT 0 %d", r.Affected)
	case *sqlparse.Update, *sqlparse.Delete:
		o.tag = fmt.Sprintf("%s %d", o.tag, r.Affected)
	}
	return nil
}

// spendServiceTime acquires a slot and waits for the statement's service time.
func (s *session) spendServiceTime(ctx context.Context, p sqlparse.ParsedStatement) error {
	if err := s.acquireSlot(ctx); err != nil {
		return err
	}
	if d := s.serviceTime(p); d > 0 {
		return s.instance.clock.Sleep(ctx, d)
	}
	return nil
}

func (s *session) serviceTime(p sqlparse.ParsedStatement) time.Duration {
	if p.Cost > 0 {
		return p.Cost
	}
	return s.instance.group.config.serviceTime
}

// finish ends a statement that has sent its rows or failed. It releases the slot
// and adds the statement to the journal.
func (s *session) finish(o *activeStatement, err error) {
	s.releaseSlot()
	o.release()
	if o.entry == nil {
		return
	}
	o.entry.End, o.entry.SlotTime = s.instance.clock.Now(), s.slotTime
	if err != nil {
		o.entry.Error = sqlError(err).Code
	}
	s.instance.group.journal.add(o.entry)
	s.entries = append(s.entries, o.entry)
}

func (s *session) newEntry(p sqlparse.ParsedStatement, params []engine.Value) *Entry {
	e := &Entry{
		Instance:    s.instance.name,
		Session:     s.pid,
		Transaction: s.tx.ID(),
		Statement:   p.Text,
		Start:       s.instance.clock.Now(),
	}
	for _, v := range params {
		if v == nil {
			v = "NULL"
		}
		e.Params = append(e.Params, engine.FormatText(v))
	}
	return e
}

// runSessionStatement runs statements that concern only the session and its
// transaction. They need no slot. It reports whether st is such a statement.
func (s *session) runSessionStatement(o *activeStatement, st sqlparse.Statement) (handled bool, err error) {
	switch st := st.(type) {
	case *sqlparse.Begin:
		if s.explicit {
			s.notice("25001", "there is already a transaction in progress")
			return true, nil
		}
		s.begin()
		s.explicit, s.tx.ReadOnly = true, st.ReadOnly || s.readOnlyByDefault()
	case *sqlparse.Commit:
		return true, s.runCommit(o)
	case *sqlparse.Rollback:
		s.rollback()
	case *sqlparse.SetTransaction:
		if s.tx != nil {
			s.tx.ReadOnly = st.ReadOnly
		}
	case *sqlparse.Set:
		return true, s.runSet(st)
	case *sqlparse.Reset:
		s.settings.reset(st.Name)
		o.tag = "RESET"
		s.report(st.Name)
	case *sqlparse.Show:
		return true, s.runShow(o, st)
	case *sqlparse.Discard:
		return true, s.runDiscard()
	case *sqlparse.Deallocate:
		return true, s.runDeallocate(st)
	default:
		return false, nil
	}
	return true, nil
}

func (s *session) readOnlyByDefault() bool {
	v, _ := s.Setting("default_transaction_read_only")
	return v == "on"
}

func (s *session) runCommit(o *activeStatement) error {
	if s.failed {
		s.rollback()
		o.tag = "ROLLBACK"
		return nil
	}
	s.instance.count("commit")
	if _, err := s.commit(); err != nil {
		return err
	}
	return s.checkTruncation()
}

func (s *session) runSet(st *sqlparse.Set) error {
	if _, ok := builtinParameters[st.Name]; !ok && !strings.Contains(st.Name, ".") {
		return sqlparse.Errorf("42704", "unrecognized configuration parameter %q", st.Name)
	}
	if st.Default {
		s.settings.reset(st.Name)
	} else {
		s.settings.set(st.Name, st.Value, st.Local)
	}
	s.report(st.Name)
	return nil
}

// report sends the client the value of a reported parameter, or of all reported
// parameters if name is empty.
func (s *session) report(name string) {
	for _, r := range reportedParameters {
		if name == "" || strings.EqualFold(r, name) {
			v, _ := s.Setting(r)
			s.backend.Send(&pgproto3.ParameterStatus{Name: r, Value: v})
		}
	}
}

func (s *session) runShow(o *activeStatement, st *sqlparse.Show) error {
	v, ok := s.Setting(st.Name)
	if !ok {
		return sqlparse.Errorf("42704", "unrecognized configuration parameter %q", st.Name)
	}
	o.columns = []engine.ResultColumn{{Name: st.Name, Type: sqlparse.Text}}
	rows := [][]engine.Value{{v}, nil}
	o.next = func() ([]engine.Value, error) {
		r := rows[0]
		rows = rows[1:]
		return r, nil
	}
	return nil
}

func (s *session) runDiscard() error {
	if s.explicit {
		return sqlparse.Errorf("25001", "DISCARD ALL cannot run inside a transaction block")
	}
	s.settings.reset("")
	s.report("")
	clear(s.statements)
	return nil
}

func (s *session) runDeallocate(st *sqlparse.Deallocate) error {
	if st.Name == "" {
		clear(s.statements)
		return nil
	}
	if _, ok := s.statements[st.Name]; !ok {
		return sqlparse.Errorf("26000", "prepared statement %q does not exist", st.Name)
	}
	delete(s.statements, st.Name)
	return nil
}

func (s *session) notice(code, message string) {
	s.backend.Send(&pgproto3.NoticeResponse{Severity: "WARNING", SeverityUnlocalized: "WARNING", Code: code, Message: message})
}

// simpleQuery runs the statements of a Query message. Outside an explicit
// transaction they form one implicit transaction.
func (s *session) simpleQuery(text string) error {
	list, err := sqlparse.Parse(text)
	if err != nil {
		return s.queryFailed(err)
	}
	if len(list) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for i, p := range list {
		if err := s.simpleStatement(p, i == len(list)-1); err != nil {
			return s.queryFailed(err)
		}
	}
	return s.ready()
}

// queryFailed sends an error and makes the session ready for the next query. It
// returns the error if the session must end.
func (s *session) queryFailed(err error) error {
	if err := s.reportError(err); err != nil {
		return err
	}
	return s.ready()
}

// reportError fails the transaction and sends an error. It returns the error
// instead if the session must end.
func (s *session) reportError(err error) error {
	var fatal fatalError
	if s.disconnected() || errors.As(err, &fatal) {
		return err
	}
	s.fail()
	s.sendError(err, "ERROR")
	return nil
}

func (s *session) simpleStatement(p sqlparse.ParsedStatement, last bool) error {
	o, err := s.run(p, nil)
	if err != nil {
		return err
	}
	if o.next != nil {
		s.backend.Send(rowDescription(o.columns, nil))
	}
	sent, _, err := s.sendRows(o, o.columns, nil, 0)
	s.finish(o, err)
	if err != nil {
		return err
	}
	if last && !s.explicit {
		if _, err := s.commit(); err != nil {
			return err
		}
		if err := s.checkTruncation(); err != nil {
			return err
		}
	}
	s.complete(p, o, sent)
	return nil
}

func (s *session) complete(p sqlparse.ParsedStatement, o *activeStatement, sent int64) {
	if _, ok := p.Statement.(*sqlparse.Select); ok {
		o.tag = fmt.Sprintf("SELECT %d", sent)
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(o.tag)})
}
