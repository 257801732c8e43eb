package engine

import (
	"cmp"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/emulate/sqlparse"
)

// SQLSTATE codes of the engine's errors.
const (
	codeUndefinedColumn = "42703"
	codeUndefinedTable  = "42P01"
	codeDuplicateTable  = "42P07"
	codeUndefinedFunc   = "42883"
	codeTypeMismatch    = "42804"
	codeInvalidText     = "22P02"
	codeOutOfRange      = "22003"
	codeDivisionByZero  = "22012"
	codeNotNull         = "23502"
	codeUnique          = "23505"
	codeReadOnly        = "25006"
	codeDeadlock        = "40P01"
	codeFenced          = "55000"
	codeNotSupported    = "0A000"
	codeSyntax          = "42601"
	codeUndefinedParam  = "42P02"
	codeUndefinedObject = "42704"
)

// A Value is nil, int64, float64, string, bool or time.Time.
type Value = any

// coerce converts v to the type t.
func coerce(v Value, t sqlparse.Type) (Value, error) {
	if v == nil {
		return nil, nil
	}
	switch t {
	case sqlparse.Int2:
		return toInt(v, math.MinInt16, math.MaxInt16)
	case sqlparse.Int4:
		return toInt(v, math.MinInt32, math.MaxInt32)
	case sqlparse.Int8:
		return toInt(v, math.MinInt64, math.MaxInt64)
	case sqlparse.Float8:
		return toFloat(v)
	case sqlparse.Bool:
		return toBool(v)
	case sqlparse.Timestamptz:
		return toTime(v)
	case sqlparse.Text:
		return FormatText(v), nil
	}
	return v, nil
}

func toInt(v Value, low, high int64) (Value, error) {
	var n int64
	switch v := v.(type) {
	case int64:
		n = v
	case float64:
		n = int64(math.RoundToEven(v))
	case string:
		p, err := strconv.ParseInt(strings.TrimSpace(v), 10, 64)
		if err != nil {
			return nil, sqlparse.Errorf(codeInvalidText, "invalid input syntax for type integer: %q", v)
		}
		n = p
	default:
		return nil, mismatch(v, "integer")
	}
	if n < low || n > high {
		return nil, sqlparse.Errorf(codeOutOfRange, "integer out of range")
	}
	return n, nil
}

func toFloat(v Value) (Value, error) {
	switch v := v.(type) {
	case int64:
		return float64(v), nil
	case float64:
		return v, nil
	case string:
		f, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
		if err != nil {
			return nil, sqlparse.Errorf(codeInvalidText, "invalid input syntax for type double precision: %q", v)
		}
		return f, nil
	}
	return nil, mismatch(v, "double precision")
}

func toBool(v Value) (Value, error) {
	switch v := v.(type) {
	case bool:
		return v, nil
	case string:
		switch strings.ToLower(strings.TrimSpace(v)) {
		case "t", "true", "on", "yes", "1":
			return true, nil
		case "f", "false", "off", "no", "0":
			return false, nil
		}
		return nil, sqlparse.Errorf(codeInvalidText, "invalid input syntax for type boolean: %q", v)
	}
	return nil, mismatch(v, "boolean")
}

// timeLayouts are the accepted formats of a timestamp.
var timeLayouts = []string{
	"2006-01-02 15:04:05.999999999Z07:00",
	"2006-01-02 15:04:05.999999999Z07",
	time.RFC3339Nano,
	"2006-01-02 15:04:05.999999999",
	"2006-01-02",
}

func toTime(v Value) (Value, error) {
	switch v := v.(type) {
	case time.Time:
		return v.Truncate(time.Microsecond).UTC(), nil
	case string:
		for _, l := range timeLayouts {
			if t, err := time.Parse(l, v); err == nil {
				return t.UTC(), nil
			}
		}
		return nil, sqlparse.Errorf("22007", "invalid input syntax for type timestamp with time zone: %q", v)
	}
	return nil, mismatch(v, "timestamp with time zone")
}

func mismatch(v Value, to string) error {
	return sqlparse.Errorf(codeTypeMismatch, "cannot convert %s to %s", FormatText(v), to)
}

// FormatText returns the text representation of a value.
func FormatText(v Value) string {
	switch v := v.(type) {
	case string:
		return v
	case bool:
		if v {
			return "t"
		}
		return "f"
	case float64:
		return strconv.FormatFloat(v, 'g', -1, 64)
	case time.Time:
		return v.UTC().Format("2006-01-02 15:04:05.999999-07")
	}
	return fmt.Sprint(v)
}

// typeOfValue returns the type of a value without regard to its context.
func typeOfValue(v Value) sqlparse.Type {
	switch v := v.(type) {
	case int64:
		if v == int64(int32(v)) {
			return sqlparse.Int4
		}
		return sqlparse.Int8
	case float64:
		return sqlparse.Float8
	case bool:
		return sqlparse.Bool
	case time.Time:
		return sqlparse.Timestamptz
	}
	return sqlparse.Text
}

// compare compares two values that are not null. If one is text, it is converted
// to the type of the other.
func compare(a, b Value) (int, error) {
	a, b, err := unify(a, b)
	if err != nil {
		return 0, err
	}
	switch a := a.(type) {
	case int64:
		return cmp.Compare(a, b.(int64)), nil
	case float64:
		return cmp.Compare(a, b.(float64)), nil
	case string:
		return cmp.Compare(a, b.(string)), nil
	case time.Time:
		return a.Compare(b.(time.Time)), nil
	case bool:
		return compareBool(a, b.(bool)), nil
	}
	return 0, sqlparse.Errorf(codeTypeMismatch, "cannot compare values")
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// unify converts two values to a common type.
func unify(a, b Value) (Value, Value, error) {
	ta, tb := kindOf(a), kindOf(b)
	switch {
	case ta == tb:
		return a, b, nil
	case ta == sqlparse.Text:
		c, err := coerce(a, tb)
		return c, b, err
	case tb == sqlparse.Text:
		c, err := coerce(b, ta)
		return a, c, err
	case ta == sqlparse.Float8 && tb == sqlparse.Int8:
		return a, float64(b.(int64)), nil
	case ta == sqlparse.Int8 && tb == sqlparse.Float8:
		return float64(a.(int64)), b, nil
	}
	return nil, nil, sqlparse.Errorf(codeTypeMismatch, "operator does not exist: %s and %s", ta, tb)
}

// kindOf returns the type of a value. It returns the same type for all integers.
func kindOf(v Value) sqlparse.Type {
	if _, ok := v.(int64); ok {
		return sqlparse.Int8
	}
	return typeOfValue(v)
}

// Convert converts a value to a type.
func Convert(v Value, t sqlparse.Type) (Value, error) { return coerce(v, t) }
