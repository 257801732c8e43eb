package engine

import (
	"slices"
	"strconv"
	"strings"

	"github.com/gypsumyard/gypsumyard/internal/emulate/sqlparse"
)

// A Schema is the definition of a table.
type Schema struct {
	Name    string
	Columns []sqlparse.ColumnDef
	// Key holds the indexes of the primary key's columns.
	Key []int
}

func (s *Schema) column(name string) int {
	if s == nil {
		return -1
	}
	return slices.IndexFunc(s.Columns, func(c sqlparse.ColumnDef) bool { return c.Name == name })
}

func (s *Schema) requireColumn(name string) (int, error) {
	i := s.column(name)
	if i < 0 {
		return -1, sqlparse.Errorf(codeUndefinedColumn, "column %q of relation %q does not exist", name, s.Name)
	}
	return i, nil
}

// newSchema returns the schema of a new table. It fails if the primary key names
// an unknown column.
func newSchema(c *sqlparse.CreateTable) (*Schema, error) {
	s := &Schema{Name: c.Table, Columns: c.Columns}
	for _, k := range c.PrimaryKey {
		i, err := s.requireColumn(k)
		if err != nil {
			return nil, err
		}
		s.Columns[i].NotNull = true
		s.Key = append(s.Key, i)
	}
	return s, nil
}

// keyOf encodes the primary key of a row as a string. The encoding is unambiguous,
// since each value is preceded by its length.
func (s *Schema) keyOf(row []Value) string {
	var b strings.Builder
	for _, i := range s.Key {
		t := FormatText(row[i])
		b.WriteString(strconv.Itoa(len(t)))
		b.WriteByte(':')
		b.WriteString(t)
	}
	return b.String()
}

// A RowID identifies a row of a table. It never changes and is the same on all
// instances.
type RowID int64

// A table holds the schema and the committed rows of a table. Rows are never
// modified in place.
type table struct {
	schema *Schema
	rows   map[RowID][]Value
	// order lists the row IDs in order of insertion. IDs of deleted rows remain
	// until compaction.
	order []RowID
	index map[string]RowID
}

func newTable(s *Schema) *table {
	return &table{schema: s, rows: map[RowID][]Value{}, index: map[string]RowID{}}
}

func (t *table) put(id RowID, row []Value) {
	if old, ok := t.rows[id]; ok {
		t.unindex(id, old)
	} else {
		t.order = append(t.order, id)
	}
	t.rows[id] = row
	if t.schema.Key != nil {
		t.index[t.schema.keyOf(row)] = id
	}
}

func (t *table) remove(id RowID) {
	old, ok := t.rows[id]
	if !ok {
		return
	}
	t.unindex(id, old)
	delete(t.rows, id)
	const slackRows = 1024
	if len(t.order) > 2*len(t.rows)+slackRows {
		t.order = slices.DeleteFunc(t.order, func(id RowID) bool { _, ok := t.rows[id]; return !ok })
	}
}

func (t *table) unindex(id RowID, row []Value) {
	if t.schema.Key == nil {
		return
	}
	k := t.schema.keyOf(row)
	if t.index[k] == id {
		delete(t.index, k)
	}
}
