package listcheck

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strconv"

	"github.com/gypsumyard/gypsumyard/internal/statecheck"
)

// secret stands for the value of a secret field in the output.
const secret = "(secret)"

// isSecret reports whether the values of a field must not be shown.
func isSecret(field string) bool { return field == "password" || field == "verifier" }

// Compare returns what differs from the old lists, field by field, ordered by list and name.
// An entry that was added or removed is one difference.
func (l *Lists) Compare(old *Lists) (list []statecheck.Difference) {
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
	c, isList := from.([]any)
	if d, ok := to.([]any); ok && isList {
		for n := range max(len(c), len(d)) {
			list = appendDifferences(list, at+"["+strconv.Itoa(n)+"]", field, element(c, n), element(d, n))
		}
		return list
	}
	return append(list, statecheck.Difference{Path: at, From: format(field, from), To: format(field, to)})
}

// element returns an element of the list, or nil beyond its end.
func element(list []any, n int) any {
	if n < len(list) {
		return list[n]
	}
	return nil
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
