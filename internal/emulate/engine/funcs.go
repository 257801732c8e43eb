package engine

import (
	"strings"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/emulate/sqlparse"
)

// A function is a scalar function of the SQL dialect.
type function struct {
	params []sqlparse.Type
	result sqlparse.Type
	// blocking marks a function that waits or locks the engine, and so must not
	// run while the engine is locked.
	blocking bool
	run      func(s *scope, args []Value) (Value, error)
}

var functions map[string]function

func init() {
	functions = map[string]function{
		"pg_sleep":          {params: []sqlparse.Type{sqlparse.Float8}, result: sqlparse.Void, blocking: true, run: sleep},
		"now":               {result: sqlparse.Timestamptz, run: now},
		"clock_timestamp":   {result: sqlparse.Timestamptz, run: now},
		"version":           {result: sqlparse.Text, run: constant("PostgreSQL 16.0 (emulated)")},
		"current_database":  {result: sqlparse.Text, run: database},
		"current_user":      {result: sqlparse.Text, run: user},
		"session_user":      {result: sqlparse.Text, run: user},
		"pg_backend_pid":    {result: sqlparse.Int4, run: pid},
		"pg_is_in_recovery": {result: sqlparse.Bool, blocking: true, run: inRecovery},
		"current_setting":   {params: []sqlparse.Type{sqlparse.Text}, result: sqlparse.Text, run: currentSetting},
		"set_config":        {params: []sqlparse.Type{sqlparse.Text, sqlparse.Text, sqlparse.Bool}, result: sqlparse.Text, run: setConfig},
		"lower":             {params: []sqlparse.Type{sqlparse.Text}, result: sqlparse.Text, run: lower},
		"length":            {params: []sqlparse.Type{sqlparse.Text}, result: sqlparse.Int4, run: length},
		"repeat":            {params: []sqlparse.Type{sqlparse.Text, sqlparse.Int4}, result: sqlparse.Text, run: repeat},
	}
}

// call evaluates a function call. It converts the arguments to the parameter
// types. The result is null if an argument is null.
func (s *scope) call(x *sqlparse.Call) (Value, error) {
	if x.Name == "coalesce" {
		return s.coalesce(x)
	}
	if isAggregate(x) {
		return nil, sqlparse.Errorf("42803", "aggregate function %s is not allowed here", x.Name)
	}
	f, ok := functions[x.Name]
	if !ok || len(x.Args) != len(f.params) {
		return nil, sqlparse.Errorf(codeUndefinedFunc, "function %s with %d arguments does not exist", x.Name, len(x.Args))
	}
	if f.blocking && s.engineLocked {
		return nil, sqlparse.Errorf(codeNotSupported, "function %s is not supported in WHERE, SET, DEFAULT and RETURNING", x.Name)
	}
	args, err := s.evalAll(x.Args)
	if err != nil {
		return nil, err
	}
	for i := range args {
		if args[i], err = coerce(args[i], f.params[i]); err != nil {
			return nil, err
		}
		if args[i] == nil {
			return nil, nil
		}
	}
	return f.run(s, args)
}

func (s *scope) coalesce(x *sqlparse.Call) (Value, error) {
	for _, a := range x.Args {
		v, err := s.eval(a)
		if err != nil || v != nil {
			return v, err
		}
	}
	return nil, nil
}

func sleep(s *scope, args []Value) (Value, error) {
	d := time.Duration(args[0].(float64) * float64(time.Second))
	return "", s.session.Sleep(s.ctx, d)
}

func now(s *scope, _ []Value) (Value, error) {
	return s.session.Now().UTC().Truncate(time.Microsecond), nil
}

func constant(v Value) func(*scope, []Value) (Value, error) {
	return func(*scope, []Value) (Value, error) { return v, nil }
}

func database(s *scope, _ []Value) (Value, error) { return s.engine.database, nil }

func user(s *scope, _ []Value) (Value, error) { return s.session.User(), nil }

func pid(s *scope, _ []Value) (Value, error) { return int64(int32(s.session.PID())), nil }

func inRecovery(s *scope, _ []Value) (Value, error) {
	st := s.engine.Status()
	return st.Role == gypsumyard.RoleReplica, nil
}

func currentSetting(s *scope, args []Value) (Value, error) {
	name := strings.ToLower(args[0].(string))
	v, ok := s.session.Setting(name)
	if !ok {
		return nil, sqlparse.Errorf(codeUndefinedObject, "unrecognized configuration parameter %q", name)
	}
	return v, nil
}

func setConfig(s *scope, args []Value) (Value, error) {
	s.session.SetSetting(strings.ToLower(args[0].(string)), args[1].(string), args[2].(bool))
	return args[1], nil
}

func lower(_ *scope, args []Value) (Value, error) { return strings.ToLower(args[0].(string)), nil }

func length(_ *scope, args []Value) (Value, error) {
	return int64(len([]rune(args[0].(string)))), nil
}

func repeat(_ *scope, args []Value) (Value, error) {
	n := args[1].(int64)
	const limit = 16 << 20
	if n < 0 || n*int64(len(args[0].(string))) > limit {
		return nil, sqlparse.Errorf("54000", "requested length too large")
	}
	return strings.Repeat(args[0].(string), int(n)), nil
}
