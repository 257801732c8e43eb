package caller

import (
	"bytes"
	"strings"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/sqltext"
	"github.com/jackc/pgx/v5/pgproto3"
)

// simple runs a query string.
func (x *session) simple(f frame) error {
	if len(x.batch) > 0 {
		return gypsumyard.Errorf(gypsumyard.ClassProtocol, "simple query within an extended batch")
	}
	var q pgproto3.Query
	if err := q.Decode(f.body()); err != nil || bytes.IndexByte(f.body(), 0) != len(f.body())-1 {
		return gypsumyard.Errorf(gypsumyard.ClassProtocol, "malformed query message")
	}
	if err := x.admitRequest(); err != nil {
		return err
	}
	x.prepared.remove("")
	if _, err := x.runUnits(simpleUnits(q.String)); err != nil {
		return err
	}
	return x.ready()
}

// admitRequest checks before a request outside a transaction that the lists
// still grant it.
func (x *session) admitRequest() error {
	if x.tx.open() {
		return nil
	}
	return x.authorize()
}

// simpleUnits cuts a query string into units: runs of plain statements, and
// other statements on their own.
func simpleUnits(sql string) []unit {
	statements := sqltext.Split(sql)
	var units []unit
	for i := range statements {
		s := &statements[i]
		last := len(units) - 1
		if s.Kind == sqltext.KindPlain && last >= 0 && units[last].kind() == sqltext.KindPlain {
			units[last].statements = append(units[last].statements, s)
			continue
		}
		units = append(units, unit{statements: []*sqltext.Statement{s}, runs: true})
	}
	for i := range units {
		units[i].complete(sql, len(units) == 1)
	}
	return units
}

// complete sets the text and the class of a simple unit. The text of a whole
// query string is kept, so that positions in errors are right.
func (u *unit) complete(sql string, whole bool) {
	u.class = combine(u.statements)
	switch {
	case u.kind() == sqltext.KindSet:
		u.text = u.statement().LocalText
	case whole:
		u.text = sql
	default:
		texts := make([]string, len(u.statements))
		for i, s := range u.statements {
			texts[i] = s.Text
		}
		// A line break ends a comment at the end of a statement.
		u.text = strings.Join(texts, "\n;")
	}
}

// combine returns the class of statements that run together.
func combine(statements []*sqltext.Statement) gypsumyard.StatementClass {
	if len(statements) == 1 {
		return statements[0].Class
	}
	for _, s := range statements {
		if s.Class != gypsumyard.StatementRead {
			return gypsumyard.StatementWrite
		}
	}
	return gypsumyard.StatementRead
}
