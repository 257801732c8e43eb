package engine

import (
	"context"
	"math"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/emulate/sqlparse"
)

// A Session gives expressions and statements access to the session that runs
// them.
type Session interface {
	// Setting returns the value of a session parameter.
	Setting(name string) (string, bool)
	// SetSetting changes a session parameter.
	SetSetting(name, value string, local bool)
	// User returns the session's user name.
	User() string
	// PID returns the process ID that identifies the session in cancel requests.
	PID() uint32
	// Now returns the current time.
	Now() time.Time
	// Sleep implements pg_sleep.
	Sleep(ctx context.Context, d time.Duration) error
	// FillStatus fills in the status fields that the engine does not know.
	FillStatus(status *gypsumyard.InstanceStatus)
	// BeginLockWait is called before a statement waits for a lock. The function
	// that it returns is called when the lock was released.
	BeginLockWait() (resume func(ctx context.Context) error)
}

// A scope is the context in which expressions are evaluated.
type scope struct {
	ctx     context.Context
	engine  *Engine
	session Session
	params  []Value
	schema  *Schema
	row     []Value
	// engineLocked indicates that the engine's mutex is held, so that functions
	// that block or lock it must not be called.
	engineLocked bool
}

func (s *scope) with(row []Value) *scope {
	c := *s
	c.row = row
	return &c
}

func (s *scope) eval(x sqlparse.Expr) (Value, error) {
	switch x := x.(type) {
	case *sqlparse.Literal:
		return x.Value, nil
	case *sqlparse.Param:
		if x.Number > len(s.params) {
			return nil, sqlparse.Errorf(codeUndefinedParam, "there is no parameter $%d", x.Number)
		}
		return s.params[x.Number-1], nil
	case *sqlparse.Column:
		i := s.schema.column(x.Name)
		if i < 0 || s.row == nil {
			return nil, sqlparse.Errorf(codeUndefinedColumn, "column %q does not exist", x.Name)
		}
		return s.row[i], nil
	case *sqlparse.Cast:
		v, err := s.eval(x.X)
		if err != nil {
			return nil, err
		}
		return coerce(v, x.Type)
	case *sqlparse.Unary:
		return s.evalUnary(x)
	case *sqlparse.Binary:
		return s.evalBinary(x)
	case *sqlparse.IsNull:
		v, err := s.eval(x.X)
		return (v == nil) != x.Not, err
	case *sqlparse.In:
		return s.evalIn(x)
	case *sqlparse.Call:
		return s.call(x)
	}
	return nil, sqlparse.Errorf(codeSyntax, "expression is not supported")
}

func (s *scope) evalAll(list []sqlparse.Expr) (values []Value, err error) {
	for _, x := range list {
		v, err := s.eval(x)
		if err != nil {
			return nil, err
		}
		values = append(values, v)
	}
	return values, nil
}

// evalCondition evaluates a condition. A missing condition is true.
func (s *scope) evalCondition(x sqlparse.Expr) (bool, error) {
	if x == nil {
		return true, nil
	}
	v, err := s.eval(x)
	if err != nil || v == nil {
		return false, err
	}
	b, ok := v.(bool)
	if !ok {
		return false, sqlparse.Errorf(codeTypeMismatch, "argument of WHERE must be type boolean")
	}
	return b, nil
}

func (s *scope) evalUnary(x *sqlparse.Unary) (Value, error) {
	v, err := s.eval(x.X)
	if err != nil || v == nil {
		return nil, err
	}
	switch v := v.(type) {
	case int64:
		if x.Op == "-" {
			return -v, nil
		}
	case float64:
		if x.Op == "-" {
			return -v, nil
		}
	case bool:
		if x.Op == "not" {
			return !v, nil
		}
	}
	return nil, sqlparse.Errorf(codeUndefinedFunc, "operator does not exist: %s", x.Op)
}

// evalIn evaluates IN. The result is null if no member is equal and one is null.
func (s *scope) evalIn(x *sqlparse.In) (Value, error) {
	v, err := s.eval(x.X)
	if err != nil || v == nil {
		return nil, err
	}
	list, err := s.evalAll(x.List)
	if err != nil {
		return nil, err
	}
	var none Value = false
	for _, m := range list {
		if m == nil {
			none = nil
			continue
		}
		c, err := compare(v, m)
		if err != nil {
			return nil, err
		}
		if c == 0 {
			return true, nil
		}
	}
	return none, nil
}

func (s *scope) evalBinary(x *sqlparse.Binary) (Value, error) {
	left, err := s.eval(x.Left)
	if err != nil {
		return nil, err
	}
	if x.Op == "and" && left == false || x.Op == "or" && left == true {
		return left, nil
	}
	right, err := s.eval(x.Right)
	if err != nil {
		return nil, err
	}
	switch x.Op {
	case "and", "or":
		return logical(x.Op, left, right)
	}
	if left == nil || right == nil {
		return nil, nil
	}
	switch x.Op {
	case "=", "<>", "<", ">", "<=", ">=":
		return compareOp(x.Op, left, right)
	case "||":
		return FormatText(left) + FormatText(right), nil
	}
	return arithmetic(x.Op, left, right)
}

// logical evaluates AND and OR if the left operand does not determine the result.
func logical(op string, left, right Value) (Value, error) {
	decides := op == "or"
	if right == decides {
		return decides, nil
	}
	if left == nil || right == nil {
		return nil, nil
	}
	if _, ok := right.(bool); !ok {
		return nil, sqlparse.Errorf(codeTypeMismatch, "argument of %s must be type boolean", op)
	}
	return right, nil
}

func compareOp(op string, left, right Value) (Value, error) {
	c, err := compare(left, right)
	if err != nil {
		return nil, err
	}
	switch op {
	case "=":
		return c == 0, nil
	case "<>":
		return c != 0, nil
	case "<":
		return c < 0, nil
	case ">":
		return c > 0, nil
	case "<=":
		return c <= 0, nil
	}
	return c >= 0, nil
}

func arithmetic(op string, left, right Value) (Value, error) {
	left, right, err := unify(left, right)
	if err != nil {
		return nil, err
	}
	switch l := left.(type) {
	case int64:
		return intArithmetic(op, l, right.(int64))
	case float64:
		return floatArithmetic(op, l, right.(float64))
	}
	return nil, sqlparse.Errorf(codeUndefinedFunc, "operator does not exist: %s on text", op)
}

func intArithmetic(op string, l, r int64) (Value, error) {
	if op == "%" && r != 0 {
		return l % r, nil
	}
	return basicArithmetic(op, l, r)
}

func floatArithmetic(op string, l, r float64) (Value, error) {
	if op == "%" && r != 0 {
		return math.Mod(l, r), nil
	}
	return basicArithmetic(op, l, r)
}

// basicArithmetic evaluates +, -, * and /. A remainder gets here only with a zero
// divisor, which is an error.
func basicArithmetic[T int64 | float64](op string, l, r T) (Value, error) {
	switch op {
	case "+":
		return l + r, nil
	case "-":
		return l - r, nil
	case "*":
		return l * r, nil
	}
	if r == 0 {
		return nil, sqlparse.Errorf(codeDivisionByZero, "division by zero")
	}
	return l / r, nil
}
