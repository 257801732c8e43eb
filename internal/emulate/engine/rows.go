package engine

import (
	"context"
	"math"
	"slices"

	"github.com/gypsumyard/gypsumyard/internal/emulate/sqlparse"
)

func (s *scope) filtered(next rowFunc, where sqlparse.Expr) rowFunc {
	if where == nil {
		return next
	}
	return func() ([]Value, error) {
		for {
			row, err := next()
			if row == nil || err != nil {
				return nil, err
			}
			ok, err := s.with(row).evalCondition(where)
			if err != nil {
				return nil, err
			}
			if ok {
				return row, nil
			}
		}
	}
}

// evalLimits evaluates LIMIT and OFFSET.
func (s *scope) evalLimits(st *sqlparse.Select) (limit, offset int64, err error) {
	limit = math.MaxInt64
	if st.Limit != nil {
		if limit, err = s.evalRowCount(st.Limit, limit); err != nil {
			return 0, 0, err
		}
	}
	if st.Offset != nil {
		offset, err = s.evalRowCount(st.Offset, 0)
	}
	return limit, offset, err
}

func (s *scope) evalRowCount(x sqlparse.Expr, otherwise int64) (int64, error) {
	v, err := s.eval(x)
	if err != nil || v == nil {
		return otherwise, err
	}
	n, err := coerce(v, sqlparse.Int8)
	if err != nil {
		return 0, err
	}
	if n.(int64) < 0 {
		return 0, sqlparse.Errorf("2201W", "LIMIT and OFFSET must not be negative")
	}
	return n.(int64), nil
}

func limitRows(next rowFunc, limit, offset int64) rowFunc {
	return func() ([]Value, error) {
		for ; offset > 0; offset-- {
			row, err := next()
			if row == nil || err != nil {
				return nil, err
			}
		}
		if limit <= 0 {
			return nil, nil
		}
		limit--
		return next()
	}
}

func (s *scope) project(items []sqlparse.SelectItem, row []Value) ([]Value, error) {
	in := s.with(row)
	out := make([]Value, len(items))
	for i, it := range items {
		v, err := in.eval(it.Expr)
		if err != nil {
			return nil, err
		}
		out[i] = v
	}
	return out, nil
}

func collect(next rowFunc) (rows [][]Value, err error) {
	for {
		row, err := next()
		if row == nil || err != nil {
			return rows, err
		}
		rows = append(rows, row)
	}
}

func (s *scope) sorted(st *sqlparse.Select, next rowFunc) (rowFunc, error) {
	type entry struct{ row, keys []Value }
	rows, err := collect(next)
	if err != nil {
		return nil, err
	}
	entries := make([]entry, len(rows))
	for i, r := range rows {
		entries[i] = entry{row: r}
		for _, o := range st.OrderBy {
			k, err := s.with(r).eval(s.orderExpr(st, o.Expr))
			if err != nil {
				return nil, err
			}
			entries[i].keys = append(entries[i].keys, k)
		}
	}
	slices.SortStableFunc(entries, func(a, b entry) int {
		for i, o := range st.OrderBy {
			c, e := compareNulls(a.keys[i], b.keys[i])
			if e != nil {
				err = e
			}
			if c != 0 && o.Desc {
				return -c
			}
			if c != 0 {
				return c
			}
		}
		return 0
	})
	for i := range entries {
		rows[i] = entries[i].row
	}
	return sliceRows(rows), err
}

// orderExpr resolves an ORDER BY expression that is the alias or the number of an
// output column.
func (s *scope) orderExpr(st *sqlparse.Select, x sqlparse.Expr) sqlparse.Expr {
	switch x := x.(type) {
	case *sqlparse.Literal:
		if n, ok := x.Value.(int64); ok && n >= 1 && int(n) <= len(st.Items) && !st.Items[n-1].Star {
			return st.Items[n-1].Expr
		}
	case *sqlparse.Column:
		if s.schema.column(x.Name) >= 0 {
			return x
		}
		for _, it := range st.Items {
			if it.Alias == x.Name {
				return it.Expr
			}
		}
	}
	return x
}

// compareNulls compares two values. It orders nulls last.
func compareNulls(a, b Value) (int, error) {
	if a == nil || b == nil {
		return compareBool(a == nil, b == nil), nil
	}
	return compare(a, b)
}

// functionRows returns the rows of a function in FROM and sets the scope's
// schema.
func (s *scope) functionRows(src *sqlparse.Source) (rowFunc, error) {
	schema, params, err := functionSchema(src)
	if err != nil {
		return nil, err
	}
	s.schema = schema
	args, err := s.evalAll(src.Func.Args)
	if err != nil {
		return nil, err
	}
	for i := range args {
		if args[i], err = coerce(args[i], params[i]); err != nil {
			return nil, err
		}
		if args[i] == nil {
			return sliceRows(nil), nil
		}
	}
	if src.Func.Name == "generate_series" {
		return generateSeries(s.ctx, args), nil
	}
	return s.control(src.Func.Name, args)
}

func generateSeries(ctx context.Context, args []Value) rowFunc {
	next, last, step := args[0].(int64), args[1].(int64), int64(1)
	if len(args) > 2 {
		step = args[2].(int64)
	}
	done := step == 0
	return func() ([]Value, error) {
		if done || step > 0 && next > last || step < 0 && next < last {
			return nil, nil
		}
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
		v := next
		next += step
		done = (next > v) != (step > 0)
		return []Value{v}, nil
	}
}

func isAggregate(x sqlparse.Expr) bool {
	c, ok := x.(*sqlparse.Call)
	if !ok {
		return false
	}
	switch c.Name {
	case "count", "max", "min", "sum", "avg":
		return true
	}
	return false
}

func hasAggregate(items []sqlparse.SelectItem) bool {
	found := false
	for _, it := range items {
		sqlparse.Walk(it.Expr, func(x sqlparse.Expr) { found = found || isAggregate(x) })
	}
	return found
}

// An accumulator computes one aggregate.
type accumulator struct {
	call  *sqlparse.Call
	count int64
	value Value
}

func (a *accumulator) add(s *scope) error {
	if a.call.Star {
		a.count++
		return nil
	}
	if len(a.call.Args) != 1 {
		return sqlparse.Errorf(codeUndefinedFunc, "function %s takes one argument", a.call.Name)
	}
	v, err := s.eval(a.call.Args[0])
	if err != nil || v == nil {
		return err
	}
	a.count++
	if a.value == nil {
		a.value = v
		return nil
	}
	switch a.call.Name {
	case "sum", "avg":
		a.value, err = arithmetic("+", a.value, v)
		return err
	case "max", "min":
		c, err := compare(v, a.value)
		if err == nil && (c > 0) == (a.call.Name == "max") {
			a.value = v
		}
		return err
	}
	return nil
}

func (a *accumulator) result() (Value, error) {
	switch a.call.Name {
	case "count":
		return a.count, nil
	case "avg":
		if a.count == 0 {
			return nil, nil
		}
		sum, err := toFloat(a.value)
		if err != nil {
			return nil, err
		}
		return sum.(float64) / float64(a.count), nil
	}
	return a.value, nil
}

// aggregate computes the single row of a Select with aggregates.
func (s *scope) aggregate(items []sqlparse.SelectItem, next rowFunc) ([]Value, error) {
	var list []*accumulator
	for _, it := range items {
		sqlparse.Walk(it.Expr, func(x sqlparse.Expr) {
			if isAggregate(x) {
				list = append(list, &accumulator{call: x.(*sqlparse.Call)})
			}
		})
	}
	for {
		row, err := next()
		if err != nil {
			return nil, err
		}
		if row == nil {
			break
		}
		in := s.with(row)
		for _, a := range list {
			if err := a.add(in); err != nil {
				return nil, err
			}
		}
	}
	values := map[*sqlparse.Call]Value{}
	for _, a := range list {
		v, err := a.result()
		if err != nil {
			return nil, err
		}
		values[a.call] = v
	}
	out := make([]Value, len(items))
	for i, it := range items {
		v, err := s.eval(replaceAggregates(it.Expr, values))
		if err != nil {
			return nil, err
		}
		out[i] = v
	}
	return out, nil
}

// replaceAggregates returns x with the aggregate calls replaced by their results.
// It descends only into operators, casts and the arguments of calls.
func replaceAggregates(x sqlparse.Expr, values map[*sqlparse.Call]Value) sqlparse.Expr {
	switch x := x.(type) {
	case *sqlparse.Call:
		if v, ok := values[x]; ok {
			return &sqlparse.Literal{Value: v}
		}
		c := *x
		c.Args = make([]sqlparse.Expr, len(x.Args))
		for i := range x.Args {
			c.Args[i] = replaceAggregates(x.Args[i], values)
		}
		return &c
	case *sqlparse.Binary:
		return &sqlparse.Binary{Op: x.Op, Left: replaceAggregates(x.Left, values), Right: replaceAggregates(x.Right, values)}
	case *sqlparse.Cast:
		return &sqlparse.Cast{X: replaceAggregates(x.X, values), Type: x.Type}
	case *sqlparse.Unary:
		return &sqlparse.Unary{Op: x.Op, X: replaceAggregates(x.X, values)}
	}
	return x
}
