package engine

import (
	"context"
	"fmt"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/emulate/sqlparse"
)

// A ResultColumn describes one column of a result.
type ResultColumn struct {
	Name string
	Type sqlparse.Type
}

// A Result is the outcome of a statement.
type Result struct {
	Columns []ResultColumn
	// Next returns the next row, or nil after the last one. It is nil for
	// statements that return no rows. It may block, since some rows are computed
	// when they are read.
	Next func() ([]Value, error)
	// Affected is the number of rows that the statement changed.
	Affected int64
	// Applied is the log position whose data the statement saw.
	Applied gypsumyard.Position
}

// Execute runs a statement that reads or changes data. The transaction stays open
// even after an error.
func (e *Engine) Execute(ctx context.Context, session Session, tx *Tx, st sqlparse.Statement, params []Value) (*Result, error) {
	s := &scope{ctx: ctx, engine: e, session: session, params: params}
	switch st := st.(type) {
	case *sqlparse.Select:
		return e.runSelect(s, tx, st)
	case *sqlparse.Insert:
		return e.runInsert(s, tx, st)
	case *sqlparse.Update:
		return e.runUpdate(s, tx, st)
	case *sqlparse.Delete:
		return e.runDelete(s, tx, st)
	case *sqlparse.CreateTable:
		return e.runCreate(s, tx, st)
	case *sqlparse.DropTable:
		return e.runDrop(s, tx, st)
	}
	return nil, sqlparse.Errorf(codeNotSupported, "%s is not supported", st.Verb())
}

// A rowFunc returns the next row, or nil after the last one.
type rowFunc func() ([]Value, error)

func sliceRows(rows [][]Value) rowFunc {
	return func() ([]Value, error) {
		if len(rows) == 0 {
			return nil, nil
		}
		r := rows[0]
		rows = rows[1:]
		return r, nil
	}
}

func (e *Engine) runSelect(s *scope, tx *Tx, st *sqlparse.Select) (r *Result, err error) {
	limit, offset, err := s.evalLimits(st)
	if err != nil {
		return nil, err
	}
	r = &Result{}
	source, err := e.matchingRows(s, tx, st, r)
	if err != nil {
		return nil, err
	}
	items, err := expand(st.Items, s.schema)
	if err != nil {
		return nil, err
	}
	r.Columns = columnsOf(items, s.schema, nil)
	if hasAggregate(items) {
		row, err := s.aggregate(items, source)
		if err != nil {
			return nil, err
		}
		r.Next = limitRows(sliceRows([][]Value{row}), limit, offset)
		return r, nil
	}
	if len(st.OrderBy) > 0 {
		if source, err = s.sorted(st, source); err != nil {
			return nil, err
		}
	}
	source = limitRows(source, limit, offset)
	r.Next = func() ([]Value, error) {
		row, err := source()
		if row == nil || err != nil {
			return nil, err
		}
		return s.project(items, row)
	}
	return r, nil
}

// matchingRows returns the rows that match WHERE, before projection. It sets the
// scope's schema and the result's position.
func (e *Engine) matchingRows(s *scope, tx *Tx, st *sqlparse.Select, r *Result) (rowFunc, error) {
	switch {
	case st.From == nil:
		r.Applied = e.Status().Applied
		return s.filtered(sliceRows([][]Value{{}}), st.Where), nil
	case st.From.Func != nil:
		rows, err := s.functionRows(st.From)
		r.Applied = e.Status().Applied
		return s.filtered(rows, st.Where), err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	schema, err := e.schema(tx, st.From.Table)
	if err != nil {
		return nil, err
	}
	s.schema = schema
	ids, rows, err := tx.matches(s, schema, st.Where)
	if err != nil {
		return nil, err
	}
	if st.ForUpdate {
		if rows, err = tx.lockRows(s, schema, st.Where, ids, rows); err != nil {
			return nil, err
		}
	}
	r.Applied = e.applied()
	return sliceRows(rows), nil
}

// lockRows locks rows for SELECT FOR UPDATE and returns their latest state. After
// a wait for a lock it evaluates the condition again.
func (tx *Tx) lockRows(s *scope, schema *Schema, where sqlparse.Expr, ids []RowID, rows [][]Value) ([][]Value, error) {
	if err := tx.checkWritable("SELECT FOR UPDATE"); err != nil {
		return nil, err
	}
	for {
		waited, err := tx.lockAll(s, rowLocks(schema, ids, rows))
		if err != nil || !waited {
			return rows, err
		}
		if ids, rows, err = tx.matches(s, schema, where); err != nil {
			return nil, err
		}
	}
}

// rowLocks returns the lock keys of rows.
func rowLocks(schema *Schema, ids []RowID, rows [][]Value) []string {
	keys := make([]string, len(ids))
	for i, id := range ids {
		keys[i] = rowLock(schema, id, rows[i])
	}
	return keys
}

func rowLock(schema *Schema, id RowID, row []Value) string {
	if schema.Key == nil {
		return fmt.Sprintf("%s#%d", schema.Name, id)
	}
	return schema.Name + "/" + schema.keyOf(row)
}

// matches returns the rows of a table that satisfy a condition. The caller must
// hold tx.engine.mu.
func (tx *Tx) matches(s *scope, schema *Schema, where sqlparse.Expr) (ids []RowID, rows [][]Value, err error) {
	in := *s
	in.schema, in.engineLocked = schema, true
	visit := func(id RowID, row []Value) bool {
		in.row = row
		var ok bool
		if ok, err = in.evalCondition(where); ok {
			ids, rows = append(ids, id), append(rows, row)
		}
		return err == nil
	}
	if key, ok := in.lookupKey(schema, where); ok {
		if id, row, ok := tx.find(schema.Name, key); ok {
			visit(id, row)
		}
		return ids, rows, err
	}
	tx.scan(schema.Name, visit)
	return ids, rows, err
}

// lookupKey returns the primary key that rows must have to satisfy a condition. It
// reports false if the condition does not determine the key.
func (s *scope) lookupKey(schema *Schema, where sqlparse.Expr) (string, bool) {
	if schema.Key == nil || where == nil {
		return "", false
	}
	row := make([]Value, len(schema.Columns))
	s.collectEqualities(schema, where, row)
	for _, i := range schema.Key {
		if row[i] == nil {
			return "", false
		}
	}
	return schema.keyOf(row), true
}

// collectEqualities stores in row the constants that columns must equal, by
// equalities that AND combines.
func (s *scope) collectEqualities(schema *Schema, x sqlparse.Expr, row []Value) {
	b, ok := x.(*sqlparse.Binary)
	if !ok {
		return
	}
	if b.Op == "and" {
		s.collectEqualities(schema, b.Left, row)
		s.collectEqualities(schema, b.Right, row)
		return
	}
	if b.Op != "=" {
		return
	}
	left, right := b.Left, b.Right
	if _, ok := right.(*sqlparse.Column); ok {
		left, right = right, left
	}
	c, ok := left.(*sqlparse.Column)
	if !ok || !isConstant(right) {
		return
	}
	i := schema.column(c.Name)
	if i < 0 {
		return
	}
	v, err := s.eval(right)
	if err != nil {
		return
	}
	exact, err := coerce(v, schema.Columns[i].Type)
	if err != nil || exact == nil {
		return
	}
	if n, err := compare(exact, v); err == nil && n == 0 {
		row[i] = exact
	}
}

func isConstant(x sqlparse.Expr) bool {
	constant := true
	sqlparse.Walk(x, func(x sqlparse.Expr) {
		switch x.(type) {
		case *sqlparse.Column, *sqlparse.Call:
			constant = false
		}
	})
	return constant
}
