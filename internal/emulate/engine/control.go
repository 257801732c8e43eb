package engine

import (
	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/emulate/sqlparse"
)

// controlFunctions maps the control functions to the types of their arguments.
var controlFunctions = map[string][]sqlparse.Type{
	"group_status":  nil,
	"group_fence":   {sqlparse.Int8, sqlparse.Text},
	"group_promote": {sqlparse.Int8, sqlparse.Text},
	"group_follow":  {sqlparse.Int8, sqlparse.Text},
}

// statusSchema describes the row that control functions return.
var statusSchema = &Schema{Name: "group_status", Columns: []sqlparse.ColumnDef{
	{Name: "role", Type: sqlparse.Text},
	{Name: "term", Type: sqlparse.Int8},
	{Name: "log_offset", Type: sqlparse.Int8},
	{Name: "fence", Type: sqlparse.Int8},
	{Name: "fence_token", Type: sqlparse.Text},
	{Name: "history", Type: sqlparse.Text},
	{Name: "stream_age_ms", Type: sqlparse.Int8},
	{Name: "leaving", Type: sqlparse.Bool},
	{Name: "connections", Type: sqlparse.Int4},
}}

// IsControl reports whether a statement reads from a control function. Such
// statements take no execution slot.
func IsControl(st sqlparse.Statement) bool {
	s, ok := st.(*sqlparse.Select)
	if !ok || s.From == nil || s.From.Func == nil {
		return false
	}
	_, ok = controlFunctions[s.From.Func.Name]
	return ok
}

// functionSchema returns the columns and the parameter types of a function in
// FROM.
func functionSchema(src *sqlparse.Source) (*Schema, []sqlparse.Type, error) {
	f := src.Func
	if f.Name == "generate_series" && (len(f.Args) == 2 || len(f.Args) == 3) {
		name := src.Alias
		if name == "" {
			name = f.Name
		}
		t := sqlparse.Int4
		for _, a := range f.Args {
			if typeOf(a, nil, nil) != sqlparse.Int4 {
				t = sqlparse.Int8
			}
		}
		s := &Schema{Name: name, Columns: []sqlparse.ColumnDef{{Name: name, Type: t}}}
		return s, []sqlparse.Type{sqlparse.Int8, sqlparse.Int8, sqlparse.Int8}, nil
	}
	params, ok := controlFunctions[f.Name]
	if !ok || len(params) != len(f.Args) {
		return nil, nil, sqlparse.Errorf(codeUndefinedFunc, "function %s with %d arguments does not exist", f.Name, len(f.Args))
	}
	return statusSchema, params, nil
}

// control runs a control function.
func (s *scope) control(name string, args []Value) (rowFunc, error) {
	var st gypsumyard.InstanceStatus
	var err error
	if len(args) == 0 {
		st = s.engine.Status()
	} else {
		st, err = s.engine.executeOrder(name, args[0].(int64), args[1].(string))
	}
	if err != nil {
		return nil, err
	}
	s.session.FillStatus(&st)
	return sliceRows([][]Value{{
		string(st.Role),
		int64(st.Applied.Term),
		int64(st.Applied.Offset),
		int64(st.Fence),
		string(st.FenceToken),
		formatHistory(st.History),
		st.StreamAge.Milliseconds(),
		st.Leaving,
		int64(st.Connections),
	}}), nil
}

func (e *Engine) executeOrder(name string, term int64, text string) (gypsumyard.InstanceStatus, error) {
	if term < 1 {
		return gypsumyard.InstanceStatus{}, sqlparse.Errorf("22023", "term %d is not positive", term)
	}
	switch name {
	case "group_fence":
		return e.Fence(gypsumyard.Term(term), gypsumyard.Token(text))
	case "group_promote":
		return e.Promote(gypsumyard.Term(term), gypsumyard.Token(text))
	}
	return e.Follow(gypsumyard.Term(term), text)
}
