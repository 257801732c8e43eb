package engine

import "github.com/gypsumyard/gypsumyard/internal/emulate/sqlparse"

// Describe returns the parameter types and the columns of a statement. given
// holds the parameter types that the client declared; empty ones are inferred.
func (e *Engine) Describe(tx *Tx, st sqlparse.Statement, given []sqlparse.Type) ([]sqlparse.Type, []ResultColumn, error) {
	d := &describer{params: append([]sqlparse.Type(nil), given...)}
	e.mu.Lock()
	columns, err := d.describe(e, tx, st)
	e.mu.Unlock()
	if err != nil {
		return nil, nil, err
	}
	for i, t := range d.params {
		if t == "" {
			d.params[i] = sqlparse.Text
		}
	}
	return d.params, columns, nil
}

type describer struct{ params []sqlparse.Type }

func (d *describer) describe(e *Engine, tx *Tx, st sqlparse.Statement) ([]ResultColumn, error) {
	switch st := st.(type) {
	case *sqlparse.Select:
		return d.describeSelect(e, tx, st)
	case *sqlparse.Show:
		return []ResultColumn{{Name: st.Name, Type: sqlparse.Text}}, nil
	case *sqlparse.Insert:
		return d.describeInsert(e, tx, st)
	case *sqlparse.Update:
		schema, err := e.schema(tx, st.Table)
		if err != nil {
			return nil, err
		}
		for _, a := range st.Set {
			i, err := schema.requireColumn(a.Column)
			if err != nil {
				return nil, err
			}
			d.infer(a.Expr, schema, schema.Columns[i].Type)
		}
		d.infer(st.Where, schema, sqlparse.Bool)
		return d.returning(st.Returning, schema)
	case *sqlparse.Delete:
		schema, err := e.schema(tx, st.Table)
		if err != nil {
			return nil, err
		}
		d.infer(st.Where, schema, sqlparse.Bool)
		return d.returning(st.Returning, schema)
	}
	return nil, nil
}

func (d *describer) returning(list []sqlparse.SelectItem, schema *Schema) ([]ResultColumn, error) {
	if list == nil {
		return nil, nil
	}
	items, err := expand(list, schema)
	if err != nil {
		return nil, err
	}
	for _, it := range items {
		d.infer(it.Expr, schema, "")
	}
	return columnsOf(items, schema, d.params), nil
}

func (d *describer) describeSelect(e *Engine, tx *Tx, st *sqlparse.Select) ([]ResultColumn, error) {
	schema, err := d.sourceSchema(e, tx, st.From)
	if err != nil {
		return nil, err
	}
	d.infer(st.Where, schema, sqlparse.Bool)
	d.infer(st.Limit, schema, sqlparse.Int8)
	d.infer(st.Offset, schema, sqlparse.Int8)
	for _, o := range st.OrderBy {
		d.infer(o.Expr, schema, "")
	}
	items, err := expand(st.Items, schema)
	if err != nil {
		return nil, err
	}
	for _, it := range items {
		d.infer(it.Expr, schema, "")
	}
	return columnsOf(items, schema, d.params), nil
}

func (d *describer) sourceSchema(e *Engine, tx *Tx, src *sqlparse.Source) (*Schema, error) {
	switch {
	case src == nil:
		return nil, nil
	case src.Func == nil:
		return e.schema(tx, src.Table)
	}
	schema, params, err := functionSchema(src)
	if err != nil {
		return nil, err
	}
	for i, a := range src.Func.Args {
		d.infer(a, nil, params[i])
	}
	return schema, nil
}

func (d *describer) describeInsert(e *Engine, tx *Tx, st *sqlparse.Insert) ([]ResultColumn, error) {
	schema, err := e.schema(tx, st.Table)
	if err != nil {
		return nil, err
	}
	targets, err := insertTargets(schema, st.Columns)
	if err != nil {
		return nil, err
	}
	for _, row := range st.Rows {
		for i, x := range row {
			if i < len(targets) {
				d.infer(x, nil, schema.Columns[targets[i]].Type)
			}
		}
	}
	if st.Select != nil {
		if _, err := d.describeSelect(e, tx, st.Select); err != nil {
			return nil, err
		}
	}
	return d.returning(st.Returning, schema)
}

// infer sets the unknown types of the parameters in x. want is the type that the
// context requires of x, empty if it requires none.
func (d *describer) infer(x sqlparse.Expr, schema *Schema, want sqlparse.Type) {
	switch x := x.(type) {
	case *sqlparse.Param:
		for len(d.params) < x.Number {
			d.params = append(d.params, "")
		}
		if d.params[x.Number-1] == "" {
			d.params[x.Number-1] = want
		}
	case *sqlparse.Cast:
		d.infer(x.X, schema, x.Type)
	case *sqlparse.Unary:
		d.infer(x.X, schema, want)
	case *sqlparse.IsNull:
		d.infer(x.X, schema, "")
	case *sqlparse.In:
		t := typeOf(x.X, schema, d.params)
		d.infer(x.X, schema, "")
		for _, m := range x.List {
			d.infer(m, schema, t)
		}
	case *sqlparse.Binary:
		d.inferBinary(x, schema, want)
	case *sqlparse.Call:
		f := functions[x.Name]
		for i, a := range x.Args {
			t := want
			if i < len(f.params) {
				t = f.params[i]
			}
			d.infer(a, schema, t)
		}
	}
}

func (d *describer) inferBinary(x *sqlparse.Binary, schema *Schema, want sqlparse.Type) {
	switch x.Op {
	case "and", "or":
		d.infer(x.Left, schema, sqlparse.Bool)
		d.infer(x.Right, schema, sqlparse.Bool)
		return
	case "||":
		d.infer(x.Left, schema, sqlparse.Text)
		d.infer(x.Right, schema, sqlparse.Text)
		return
	case "+", "-", "*", "/", "%":
	default:
		want = ""
	}
	left, right := typeOf(x.Left, schema, d.params), typeOf(x.Right, schema, d.params)
	d.infer(x.Left, schema, firstType(right, want))
	d.infer(x.Right, schema, firstType(left, want))
}

func firstType(a, b sqlparse.Type) sqlparse.Type {
	if a != "" {
		return a
	}
	return b
}

// typeOf returns the type of an expression, empty if it is unknown.
func typeOf(x sqlparse.Expr, schema *Schema, params []sqlparse.Type) sqlparse.Type {
	switch x := x.(type) {
	case *sqlparse.Literal:
		if x.Value == nil {
			return ""
		}
		return typeOfValue(x.Value)
	case *sqlparse.Param:
		if x.Number <= len(params) {
			return params[x.Number-1]
		}
	case *sqlparse.Column:
		if i := schema.column(x.Name); i >= 0 {
			return schema.Columns[i].Type
		}
	case *sqlparse.Cast:
		return x.Type
	case *sqlparse.IsNull, *sqlparse.In:
		return sqlparse.Bool
	case *sqlparse.Unary:
		return typeOf(x.X, schema, params)
	case *sqlparse.Binary:
		return typeOfBinary(x, schema, params)
	case *sqlparse.Call:
		return typeOfCall(x, schema, params)
	}
	return ""
}

func typeOfBinary(x *sqlparse.Binary, schema *Schema, params []sqlparse.Type) sqlparse.Type {
	switch x.Op {
	case "||":
		return sqlparse.Text
	case "+", "-", "*", "/", "%":
		l, r := typeOf(x.Left, schema, params), typeOf(x.Right, schema, params)
		for _, t := range []sqlparse.Type{sqlparse.Float8, sqlparse.Int8, sqlparse.Int4, sqlparse.Int2} {
			if l == t || r == t {
				return t
			}
		}
		return firstType(l, r)
	}
	return sqlparse.Bool
}

func typeOfCall(x *sqlparse.Call, schema *Schema, params []sqlparse.Type) sqlparse.Type {
	switch x.Name {
	case "count":
		return sqlparse.Int8
	case "avg":
		return sqlparse.Float8
	case "sum", "max", "min", "coalesce":
		var t sqlparse.Type
		for _, a := range x.Args {
			t = firstType(t, typeOf(a, schema, params))
		}
		if x.Name == "sum" && t != sqlparse.Float8 {
			return sqlparse.Int8
		}
		return t
	}
	return functions[x.Name].result
}

// expand replaces each * with the columns of the source.
func expand(items []sqlparse.SelectItem, schema *Schema) (out []sqlparse.SelectItem, err error) {
	for _, it := range items {
		if !it.Star {
			out = append(out, it)
			continue
		}
		if schema == nil {
			return nil, sqlparse.Errorf(codeSyntax, "SELECT * with no tables specified is not valid")
		}
		for _, c := range schema.Columns {
			out = append(out, sqlparse.SelectItem{Expr: &sqlparse.Column{Name: c.Name}})
		}
	}
	return out, nil
}

// columnsOf returns the names and types of the output columns.
func columnsOf(items []sqlparse.SelectItem, schema *Schema, params []sqlparse.Type) []ResultColumn {
	columns := make([]ResultColumn, len(items))
	for i, it := range items {
		t := typeOf(it.Expr, schema, params)
		columns[i] = ResultColumn{Name: itemName(it), Type: firstType(t, sqlparse.Text)}
	}
	return columns
}

func itemName(it sqlparse.SelectItem) string {
	if it.Alias != "" {
		return it.Alias
	}
	x := it.Expr
	for {
		c, ok := x.(*sqlparse.Cast)
		if !ok {
			break
		}
		x = c.X
	}
	switch x := x.(type) {
	case *sqlparse.Column:
		return x.Name
	case *sqlparse.Call:
		return x.Name
	}
	return "?column?"
}
