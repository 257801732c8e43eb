package line

import (
	"fmt"
	"strings"
)

// A Verb is the first word of a statement.
type Verb string

// The verbs.
const (
	Begin      Verb = "BEGIN"
	Commit     Verb = "COMMIT"
	Rollback   Verb = "ROLLBACK"
	Read       Verb = "READ"
	Write      Verb = "WRITE"
	Set        Verb = "SET"
	Prepare    Verb = "PREPARE"
	Execute    Verb = "EXECUTE"
	Deallocate Verb = "DEALLOCATE"
)

// A Prepared is a prepared statement.
type Prepared struct {
	// Verb is Read or Write.
	Verb  Verb
	Shape string
}

// A Statement is a parsed statement.
type Statement struct {
	Verb Verb
	// ReadOnly marks a BEGIN that opens a read-only transaction.
	ReadOnly bool
	// Name is the name of a setting or of a prepared statement.
	Name string
	// Value is the value in a SET.
	Value string
	// Prepared is the statement that PREPARE stores under the name.
	Prepared Prepared
	// Arguments is the text after the name in an EXECUTE.
	Arguments string
}

// Parse parses the text of a statement.
func Parse(text string) (s Statement, err error) {
	verb, rest, _ := strings.Cut(text, " ")
	s.Verb = Verb(verb)
	ok := true
	switch s.Verb {
	case Begin:
		s.ReadOnly = rest == "READ"
		ok = text == "BEGIN" || text == "BEGIN READ"
	case Commit, Rollback:
		ok = text == verb
	case Read:
		ok = isWord(rest)
	case Write:
		item, data, both := strings.Cut(rest, " ")
		ok = both && item != "" && data != ""
	case Set:
		s.Name, s.Value, ok = strings.Cut(rest, " ")
		ok = ok && s.Name != ""
	case Prepare:
		s, ok = parsePrepare(rest)
	case Execute:
		s.Name, s.Arguments, ok = strings.Cut(rest, " ")
		ok = ok && s.Name != "" && s.Arguments != ""
	case Deallocate:
		s.Name, ok = rest, isWord(rest)
	default:
		ok = false
	}
	if !ok {
		return Statement{}, fmt.Errorf("%w: statement %.40q", ErrMalformed, text)
	}
	return s, nil
}

func parsePrepare(rest string) (s Statement, ok bool) {
	f := strings.SplitN(rest, " ", 3)
	if len(f) != 3 || f[0] == "" || f[2] == "" {
		return s, false
	}
	s = Statement{Verb: Prepare, Name: f[0], Prepared: Prepared{Verb(f[1]), f[2]}}
	return s, s.Prepared.Verb == Read || s.Prepared.Verb == Write
}

// isWord reports whether s is a single field: not empty and without spaces.
func isWord(s string) bool { return s != "" && !strings.Contains(s, " ") }
