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

func (s *Schema) mustColumn(name string) (int, error) {
	i := s.column(name)
	if i < 0 {
		return -1, sqlparse.Errorf(codeUndefinedColumn, "column %q of relation %q does not exist", name, s.Name)
	}
	return i, nil
}

// newSchema checks a definition.
func newSchema(c *sqlparse.CreateTable) (*Schema, error) {
	s := &Schema{Name: c.Table, Columns: c.Columns}
	for _, k := range c.PrimaryKey {
		i, err := s.mustColumn(k)
		if err != nil {
			return nil, err
		}
		s.Columns[i].NotNull = true
		s.Key = append(s.Key, i)
	}
	return s, nil
}

// keyOf returns the primary key of a row as one string.
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

// A RowID identifies a row of a table for its life, the same on all instances.
type RowID int64

// A table holds committed rows. Rows are never changed in place.
type table struct {
	schema *Schema
	rows   map[RowID][]Value
	// order lists the rows' ids by insertion; ids of deleted rows stay in it
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
	const slack = 1024
	if len(t.order) > 2*len(t.rows)+slack {
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
