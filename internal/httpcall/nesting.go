package httpcall

import (
	"encoding/json"
	"errors"
)

const (
	// maxNesting is the level of nesting up to which encoding/json decodes a value.
	maxNesting = 10_000
	// nestedTooDeeply stands for a value that is nested more deeply.
	nestedTooDeeply = `"nested too deeply"`
)

// decode decodes data into out. If it cannot be decoded as a whole, the values at the given
// level of nesting that are nested too deeply are replaced by a string, so that one of
// them does not make the others unreadable. Level zero replaces none.
func decode(data []byte, level int, out any) error {
	err := json.Unmarshal(data, out)
	if level > 0 && errors.As(err, new(*json.SyntaxError)) {
		return json.Unmarshal(withoutDeep(data, level), out)
	}
	return err
}

// withoutDeep returns data with the values replaced that begin at the level and are nested
// more deeply than maxNesting. A value within one array or object is at level 2.
func withoutDeep(data []byte, level int) (out []byte) {
	var s nestingScanner
	kept, start, deep := 0, 0, false
	for n, c := range data {
		opens, closes := s.next(c)
		switch {
		case opens && s.depth == level:
			start, deep = n, false
		case opens:
			deep = deep || s.depth > maxNesting
		case closes && s.depth == level-1 && deep:
			out = append(out, data[kept:start]...)
			out = append(out, nestedTooDeeply...)
			kept, deep = n+1, false
		}
	}
	return append(out, data[kept:]...)
}

// A nestingScanner follows the nesting of JSON text.
type nestingScanner struct {
	depth             int
	inString, escaped bool
}

// next reads the next byte and reports whether it opens or closes an array or object.
// depth counts one that has been opened, and no more one that has been closed.
func (s *nestingScanner) next(c byte) (opens, closes bool) {
	switch {
	case s.escaped:
		s.escaped = false
	case s.inString:
		s.escaped, s.inString = c == '\\', c != '"'
	case c == '"':
		s.inString = true
	case c == '{', c == '[':
		s.depth++
		return true, false
	case c == '}', c == ']':
		s.depth--
		return false, true
	}
	return false, false
}
