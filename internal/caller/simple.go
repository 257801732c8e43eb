package caller

import (
	"bytes"
	"strings"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/sqltext"
	"github.com/jackc/pgx/v5/pgproto3"
)

// handleQuery handles a simple query.
func (x *session) handleQuery(f frame) error {
	if len(x.batch) > 0 {
		return gypsumyard.Errorf(gypsumyard.ClassProtocol, "simple query within an extended batch")
	}
	var q pgproto3.Query
	if err := q.Decode(f.body()); err != nil || bytes.IndexByte(f.body(), 0) != len(f.body())-1 {
		return gypsumyard.Errorf(gypsumyard.ClassProtocol, "malformed query message")
	}
	if err := x.authorizeRequest(); err != nil {
		return err
	}
	x.prepared.remove("")
	if _, err := x.runUnits(splitQuery(q.String)); err != nil {
		return err
	}
	return x.sendReady()
}

// authorizeRequest checks, before a request outside a transaction, that the
// lists still grant access to the database.
func (x *session) authorizeRequest() error {
	if x.tx.open() {
		return nil
	}
	return x.authorize()
}

// splitQuery splits a query string into units: each sequence of plain
// statements is one unit, and so is every other statement.
func splitQuery(sql string) []unit {
	statements := sqltext.Split(sql)
	var units []unit
	for i := range statements {
		s := &statements[i]
		last := len(units) - 1
		if s.Kind == sqltext.KindPlain && last >= 0 && units[last].kind() == sqltext.KindPlain {
			units[last].statements = append(units[last].statements, s)
			continue
		}
		units = append(units, unit{statements: []*sqltext.Statement{s}, executes: true})
	}
	for i := range units {
		units[i].complete(sql, len(units) == 1)
	}
	return units
}

// complete sets the text and the class of a unit of a simple query. If the
// query string is a single unit, its text is kept as it is, so that error
// positions are correct.
func (u *unit) complete(sql string, whole bool) {
	u.class = combinedClass(u.statements)
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

// combinedClass returns the class of a unit with the given statements.
func combinedClass(statements []*sqltext.Statement) gypsumyard.StatementClass {
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
