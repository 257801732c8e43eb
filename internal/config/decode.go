package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// An Error is one error in a settings file, with its position.
type Error struct {
	File    string
	Line    int
	Column  int
	Message string
}

// Error returns the error in the form file:line:column: message.
func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Message)
}

// Errors holds all errors found in a settings file.
type Errors []*Error

// Error returns the errors, one per line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, x := range e {
		lines[i] = x.Error()
	}
	return strings.Join(lines, "\n")
}

// A decoder decodes a syntax tree into Go values and collects the errors.
type decoder struct {
	file   string
	source []byte
	errors Errors
	// offsets holds the source offset of each value by its dotted path.
	offsets map[string]int
}

func (d *decoder) errorf(offset int, format string, args ...any) {
	offset = min(offset, len(d.source))
	before := d.source[:offset]
	line := 1 + bytes.Count(before, []byte("\n"))
	column := offset - bytes.LastIndexByte(before, '\n')
	d.errors = append(d.errors, &Error{d.file, line, column, fmt.Sprintf(format, args...)})
}

// decode decodes the tree into v, a struct, slice or scalar.
func (d *decoder) decode(path string, tree hujson.Value, v reflect.Value) {
	d.offsets[path] = tree.StartOffset
	if _, custom := v.Addr().Interface().(json.Unmarshaler); !custom {
		switch v.Kind() {
		case reflect.Struct:
			if !isTextUnmarshaler(v) {
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
		d.errorf(d.offsets[path], "%s: %s", path, describeError(err, v, raw))
	}
}

func (d *decoder) decodeObject(path string, tree hujson.Value, v reflect.Value) {
	object, ok := tree.Value.(*hujson.Object)
	if !ok {
		d.errorf(tree.StartOffset, "%s: want an object", displayName(path))
		return
	}
	seen := map[string]bool{}
	for _, m := range object.Members {
		key := m.Name.Value.(hujson.Literal).String()
		child := joinPath(path, key)
		field, ok := fieldByTag(v, key)
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
		return // Marshaled settings have null for a nil slice.
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

func isTextUnmarshaler(v reflect.Value) bool {
	_, ok := v.Addr().Interface().(interface{ UnmarshalText([]byte) error })
	return ok
}

func fieldByTag(v reflect.Value, key string) (reflect.Value, bool) {
	for i := range v.NumField() {
		if v.Type().Field(i).Tag.Get("json") == key {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func displayName(path string) string {
	if path == "" {
		return "settings"
	}
	return path
}

// describeError returns the message for a value that cannot be decoded into v. If
// the value has the wrong type, the message names the expected one.
func describeError(err error, v reflect.Value, raw []byte) string {
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
