package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// An Error is one mistake in a settings file.
type Error struct {
	File    string
	Line    int
	Column  int
	Message string
}

// Error returns the mistake in the form file:line:column: message.
func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Message)
}

// Errors are all mistakes found in a settings file.
type Errors []*Error

// Error returns the mistakes, one a line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, x := range e {
		lines[i] = x.Error()
	}
	return strings.Join(lines, "\n")
}

// A decoder fills Go values from a syntax tree and collects the mistakes.
type decoder struct {
	file   string
	source []byte
	errors Errors
	// offsets holds where each member was found, by its dotted path.
	offsets map[string]int
}

func (d *decoder) errorf(offset int, format string, args ...any) {
	offset = min(offset, len(d.source))
	before := d.source[:offset]
	line := 1 + bytes.Count(before, []byte("\n"))
	column := offset - bytes.LastIndexByte(before, '\n')
	d.errors = append(d.errors, &Error{d.file, line, column, fmt.Sprintf(format, args...)})
}

// decode fills the struct, slice or scalar that v holds.
func (d *decoder) decode(path string, tree hujson.Value, v reflect.Value) {
	d.offsets[path] = tree.StartOffset
	if _, custom := v.Addr().Interface().(json.Unmarshaler); !custom {
		switch v.Kind() {
		case reflect.Struct:
			if !isText(v) {
				d.decodeObject(path, tree, v)
				return
			}
		case reflect.Slice:
			d.decodeArray(path, tree, v)
			return
		}
	}
	tree = tree.Clone()
	tree.Standardize()
	raw := bytes.TrimSpace(tree.Pack())
	if err := json.Unmarshal(raw, v.Addr().Interface()); err != nil {
		d.errorf(d.offsets[path], "%s: %s", path, describe(err, v, raw))
	}
}

func (d *decoder) decodeObject(path string, tree hujson.Value, v reflect.Value) {
	object, ok := tree.Value.(*hujson.Object)
	if !ok {
		d.errorf(tree.StartOffset, "%s: want an object", name(path))
		return
	}
	seen := map[string]bool{}
	for _, m := range object.Members {
		key := m.Name.Value.(hujson.Literal).String()
		child := join(path, key)
		field, ok := fieldOf(v, key)
		switch {
		case !ok:
			d.errorf(m.Name.StartOffset, "%s: unknown setting", child)
		case seen[key]:
			d.errorf(m.Name.StartOffset, "%s: set twice", child)
		default:
			seen[key] = true
			d.decode(child, m.Value, field)
		}
	}
}

func (d *decoder) decodeArray(path string, tree hujson.Value, v reflect.Value) {
	if l, ok := tree.Value.(hujson.Literal); ok && string(l) == "null" {
		return // as marshalled settings have it
	}
	array, ok := tree.Value.(*hujson.Array)
	if !ok {
		d.errorf(tree.StartOffset, "%s: want an array", path)
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(array.Elements), len(array.Elements)))
	for i, e := range array.Elements {
		d.decode(fmt.Sprintf("%s[%d]", path, i), e, v.Index(i))
	}
}

func isText(v reflect.Value) bool {
	_, ok := v.Addr().Interface().(interface{ UnmarshalText([]byte) error })
	return ok
}

func fieldOf(v reflect.Value, key string) (reflect.Value, bool) {
	for i := range v.NumField() {
		if v.Type().Field(i).Tag.Get("json") == key {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func name(path string) string {
	if path == "" {
		return "settings"
	}
	return path
}

// describe says what was wanted instead of the value that did not fit.
func describe(err error, v reflect.Value, raw []byte) string {
	if _, ok := err.(*json.UnmarshalTypeError); ok {
		return fmt.Sprintf("want a %s, not %s", kindName(v.Kind()), raw)
	}
	return err.Error()
}

func kindName(k reflect.Kind) string {
	switch k {
	case reflect.Bool:
		return "boolean"
	case reflect.Int, reflect.Int64, reflect.Float64:
		return "number"
	default:
		return "text"
	}
}
