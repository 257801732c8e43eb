package listcheck

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/gypsumyard/gypsumyard/internal/statecheck"
)

// secret stands for the value of a secret field in the output.
const secret = "(secret)"

// isSecret reports whether the values of a field must not be shown.
// The decoder ignores the case of names.
func isSecret(field string) bool {
	return strings.EqualFold(field, "password") || strings.EqualFold(field, "verifier")
}

// Compare returns what differs from the old lists, field by field, ordered by list and name.
// An entry that was added or removed is one difference.
func (l *Lists) Compare(old *Lists) (list []statecheck.Difference) {
	list = []statecheck.Difference{}
	for _, k := range kinds {
		names := slices.AppendSeq(slices.Collect(maps.Keys(old.raw[k])), maps.Keys(l.raw[k]))
		slices.Sort(names)
		for _, name := range slices.Compact(names) {
			from, inOld := old.raw[k][name]
			to, inNew := l.raw[k][name]
			at := path(k, name)
			switch {
			case !inOld:
				list = append(list, statecheck.Difference{Path: at, To: statecheck.Present})
			case !inNew:
				list = append(list, statecheck.Difference{Path: at, From: statecheck.Present})
			default:
				list = appendDifferences(list, at, "", value(from), value(to))
			}
		}
	}
	return list
}

// value decodes an entry. What is no JSON was rejected before.
func value(text json.RawMessage) (v any) {
	_ = json.Unmarshal(text, &v)
	return v
}

// appendDifferences appends the differences between two decoded values at the path. field is
// the name of the innermost field.
func appendDifferences(list []statecheck.Difference, at, field string, from, to any) []statecheck.Difference {
	if reflect.DeepEqual(from, to) {
		return list
	}
	a, isObject := from.(map[string]any)
	if b, ok := to.(map[string]any); ok && isObject {
		names := slices.AppendSeq(slices.Collect(maps.Keys(a)), maps.Keys(b))
		slices.Sort(names)
		for _, n := range slices.Compact(names) {
			list = appendDifferences(list, at+"."+n, n, a[n], b[n])
		}
		return list
	}
	c, isNamed := byName(from)
	if d, ok := byName(to); ok && isNamed {
		names := slices.AppendSeq(slices.Collect(maps.Keys(c)), maps.Keys(d))
		slices.Sort(names)
		for _, n := range slices.Compact(names) {
			list = appendDifferences(list, at+"["+strconv.Quote(n)+"]", field, c[n], d[n])
		}
		return list
	}
	return append(list, statecheck.Difference{Path: at, From: format(field, from), To: format(field, to)})
}

// byName returns the elements of a list of names, or of objects with names, by name. It
// reports false for other values, and if two elements have the same name.
func byName(v any) (elements map[string]any, ok bool) {
	list, ok := v.([]any)
	elements = map[string]any{}
	for _, e := range list {
		name, isName := e.(string)
		if o, isObject := e.(map[string]any); isObject {
			name, isName = o["name"].(string)
		}
		if _, repeated := elements[name]; !isName || repeated {
			return nil, false
		}
		elements[name] = e
	}
	return elements, ok
}

// format returns a value as JSON, or "" if it is missing. Secrets within are not shown.
func format(field string, v any) string {
	if v == nil {
		return ""
	}
	text, _ := json.Marshal(masked(field, v)) // Decoded JSON can always be encoded.
	return string(text)
}

// masked returns the value with all secrets in it replaced.
func masked(field string, v any) any {
	if isSecret(field) {
		return secret
	}
	switch v := v.(type) {
	case map[string]any:
		out := map[string]any{}
		for name, e := range v {
			out[name] = masked(name, e)
		}
		return out
	case []any:
		out := make([]any, len(v))
		for n, e := range v {
			out[n] = masked(field, e)
		}
		return out
	}
	return v
}
