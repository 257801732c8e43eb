package engine

import (
	"errors"

	"github.com/gypsumyard/gypsumyard/internal/emulate/sqlparse"
)

// errRestart makes modify read the rows again after a wait for a lock.
var errRestart = errors.New("rows may have changed")

func (e *Engine) runInsert(s *scope, tx *Tx, st *sqlparse.Insert) (*Result, error) {
	input, err := e.insertValues(s, tx, st)
	if err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s.engineLocked = true // For defaults and RETURNING.
	if err := tx.checkWritable("INSERT"); err != nil {
		return nil, err
	}
	v, err := tx.writeSet(st.Table)
	if err != nil {
		return nil, err
	}
	s.schema = v.schema
	rows, err := s.newRows(v.schema, st, input)
	if err != nil {
		return nil, err
	}
	if v.schema.Key != nil {
		if _, err := tx.lockAll(s, rowLocks(v.schema, make([]RowID, len(rows)), rows)); err != nil {
			return nil, err
		}
		if err := tx.checkWritable("INSERT"); err != nil {
			return nil, err
		}
	}
	inserted, err := tx.insert(v, rows, st.OnConflictNothing)
	if err != nil {
		return nil, err
	}
	return s.modifyResult(st.Returning, v.schema, inserted)
}

// insertValues evaluates the VALUES lists or the SELECT of an INSERT. Columns that
// are not given are left to newRows, which fills in their defaults.
func (e *Engine) insertValues(s *scope, tx *Tx, st *sqlparse.Insert) ([][]Value, error) {
	if st.Select == nil {
		var rows [][]Value
		for _, list := range st.Rows {
			row, err := s.evalAll(list)
			if err != nil {
				return nil, err
			}
			rows = append(rows, row)
		}
		return rows, nil
	}
	in := *s
	r, err := e.runSelect(&in, tx, st.Select)
	if err != nil {
		return nil, err
	}
	return collect(r.Next)
}

// newRows converts the input to complete rows of the table.
func (s *scope) newRows(schema *Schema, st *sqlparse.Insert, input [][]Value) (rows [][]Value, err error) {
	targets, err := insertTargets(schema, st.Columns)
	if err != nil {
		return nil, err
	}
	for _, in := range input {
		if len(in) > len(targets) || len(st.Columns) > 0 && len(in) != len(targets) {
			return nil, sqlparse.Errorf(codeSyntax, "INSERT has %d expressions for %d target columns", len(in), len(targets))
		}
		row := make([]Value, len(schema.Columns))
		given := make([]bool, len(schema.Columns))
		for i, v := range in {
			row[targets[i]], given[targets[i]] = v, true
		}
		if err := s.completeRow(schema, row, given); err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}

func insertTargets(schema *Schema, columns []string) (targets []int, err error) {
	if len(columns) == 0 {
		for i := range schema.Columns {
			targets = append(targets, i)
		}
		return targets, nil
	}
	for _, c := range columns {
		i, err := schema.requireColumn(c)
		if err != nil {
			return nil, err
		}
		targets = append(targets, i)
	}
	return targets, nil
}

// completeRow fills in defaults, converts the values to the column types and
// checks NOT NULL constraints.
func (s *scope) completeRow(schema *Schema, row []Value, given []bool) (err error) {
	for i, c := range schema.Columns {
		if !given[i] && c.Default != nil {
			if row[i], err = s.eval(c.Default); err != nil {
				return err
			}
		}
		if row[i], err = coerce(row[i], c.Type); err != nil {
			return err
		}
		if row[i] == nil && c.NotNull {
			return sqlparse.Errorf(codeNotNull, "null value in column %q of relation %q violates not-null constraint", c.Name, schema.Name)
		}
	}
	return nil
}

// insert inserts rows. The transaction must hold the locks of their keys.
func (tx *Tx) insert(v *writeSet, rows [][]Value, skipConflicts bool) (inserted [][]Value, err error) {
	for _, row := range rows {
		if v.schema.Key != nil {
			if _, _, exists := tx.find(v.schema.Name, v.schema.keyOf(row)); exists {
				if skipConflicts {
					continue
				}
				return nil, duplicateKey(v.schema)
			}
		}
		tx.engine.lastRow++
		tx.write(v, tx.engine.lastRow, nil, row)
		inserted = append(inserted, row)
	}
	return inserted, nil
}

func duplicateKey(schema *Schema) error {
	return sqlparse.Errorf(codeUnique, "duplicate key value violates unique constraint \"%s_pkey\"", schema.Name)
}

// modifyResult returns the result of a statement that changed rows.
func (s *scope) modifyResult(returning []sqlparse.SelectItem, schema *Schema, rows [][]Value) (*Result, error) {
	r := &Result{Affected: int64(len(rows)), Applied: s.engine.applied()}
	if returning == nil {
		return r, nil
	}
	items, err := expand(returning, schema)
	if err != nil {
		return nil, err
	}
	r.Columns = columnsOf(items, schema, nil)
	var out [][]Value
	for _, row := range rows {
		p, err := s.project(items, row)
		if err != nil {
			return nil, err
		}
		out = append(out, p)
	}
	r.Next = sliceRows(out)
	return r, nil
}

// An edit is the change of one row.
type edit struct {
	id       RowID
	old, row []Value
}

func (e *Engine) runUpdate(s *scope, tx *Tx, st *sqlparse.Update) (*Result, error) {
	change := func(in *scope, schema *Schema, row []Value) ([]Value, error) {
		return in.updatedRow(schema, st.Set, row)
	}
	return e.modify(s, tx, "UPDATE", st.Table, st.Where, st.Returning, change)
}

func (e *Engine) runDelete(s *scope, tx *Tx, st *sqlparse.Delete) (*Result, error) {
	change := func(*scope, *Schema, []Value) ([]Value, error) { return nil, nil }
	return e.modify(s, tx, "DELETE", st.Table, st.Where, st.Returning, change)
}

type changeFunc func(in *scope, schema *Schema, row []Value) ([]Value, error)

// modify locks and changes the matching rows. If it had to wait for a lock, it
// reads them again first.
func (e *Engine) modify(s *scope, tx *Tx, verb, name string, where sqlparse.Expr, returning []sqlparse.SelectItem, change changeFunc) (*Result, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.engineLocked = true
	for {
		if err := tx.checkWritable(verb); err != nil {
			return nil, err
		}
		v, err := tx.writeSet(name)
		if err != nil {
			return nil, err
		}
		s.schema = v.schema
		edits, err := tx.planEdits(s, v, where, change)
		if err == errRestart {
			continue
		}
		if err != nil {
			return nil, err
		}
		rows, err := tx.applyEdits(v, edits)
		if err != nil {
			return nil, err
		}
		return s.modifyResult(returning, v.schema, rows)
	}
}

// planEdits locks the matching rows and computes their changes. It returns
// errRestart if it had to wait for a lock.
func (tx *Tx) planEdits(s *scope, v *writeSet, where sqlparse.Expr, change changeFunc) (edits []edit, err error) {
	ids, rows, err := tx.matches(s, v.schema, where)
	if err != nil {
		return nil, err
	}
	locks := rowLocks(v.schema, ids, rows)
	for i, id := range ids {
		row, err := change(s.with(rows[i]), v.schema, rows[i])
		if err != nil {
			return nil, err
		}
		if row != nil && v.schema.Key != nil {
			locks = append(locks, rowLock(v.schema, id, row))
		}
		edits = append(edits, edit{id: id, old: rows[i], row: row})
	}
	waited, err := tx.lockAll(s, locks)
	if err == nil && waited {
		err = errRestart
	}
	return edits, err
}

// applyEdits writes the changes. It returns the new rows and, for deleted rows,
// the old ones.
func (tx *Tx) applyEdits(v *writeSet, edits []edit) (rows [][]Value, err error) {
	for _, ed := range edits {
		if ed.row != nil && v.schema.Key != nil {
			id, _, exists := tx.find(v.schema.Name, v.schema.keyOf(ed.row))
			if exists && id != ed.id {
				return nil, duplicateKey(v.schema)
			}
		}
		tx.write(v, ed.id, ed.old, ed.row)
		if ed.row == nil {
			rows = append(rows, ed.old)
		} else {
			rows = append(rows, ed.row)
		}
	}
	return rows, nil
}

func (s *scope) updatedRow(schema *Schema, set []sqlparse.Assignment, old []Value) ([]Value, error) {
	row := append([]Value(nil), old...)
	given := make([]bool, len(row))
	for _, a := range set {
		i, err := schema.requireColumn(a.Column)
		if err != nil {
			return nil, err
		}
		if row[i], err = s.eval(a.Expr); err != nil {
			return nil, err
		}
		given[i] = true
	}
	for i := range given {
		given[i] = true
	}
	return row, s.completeRow(schema, row, given)
}

func (e *Engine) runCreate(s *scope, tx *Tx, st *sqlparse.CreateTable) (*Result, error) {
	schema, err := newSchema(st)
	if err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := tx.lockTable(s, "CREATE TABLE", st.Table); err != nil {
		return nil, err
	}
	r := &Result{Applied: e.applied()}
	if _, err := e.schema(tx, st.Table); err == nil {
		if st.IfNotExists {
			return r, nil
		}
		return nil, sqlparse.Errorf(codeDuplicateTable, "relation %q already exists", st.Table)
	}
	v := newWriteSet(schema)
	v.created = true
	tx.writeSets[st.Table] = v
	tx.changes = append(tx.changes, Change{Table: st.Table, Create: schema})
	return r, nil
}

// lockTable acquires the lock for creating or dropping a table. The caller must
// hold tx.engine.mu.
func (tx *Tx) lockTable(s *scope, verb, table string) error {
	if err := tx.checkWritable(verb); err != nil {
		return err
	}
	_, err := tx.lockAll(s, []string{"table " + table})
	return err
}

func (e *Engine) runDrop(s *scope, tx *Tx, st *sqlparse.DropTable) (*Result, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := tx.lockTable(s, "DROP TABLE", st.Table); err != nil {
		return nil, err
	}
	r := &Result{Applied: e.applied()}
	if _, err := e.schema(tx, st.Table); err != nil {
		if st.IfExists {
			return r, nil
		}
		return nil, err
	}
	tx.writeSets[st.Table] = &writeSet{created: true}
	tx.changes = append(tx.changes, Change{Table: st.Table, Drop: true})
	return r, nil
}
