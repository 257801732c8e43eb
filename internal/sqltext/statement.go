package sqltext

import (
	"fmt"
	"strings"

	"github.com/gypsumyard/gypsumyard"
)

// A Kind determines how the proxy handles a statement.
type Kind uint8

// The kinds of statements.
const (
	// KindPlain runs upstream unchanged, and is routed by its class.
	KindPlain Kind = iota
	// KindControl begins or ends a transaction, as its class specifies.
	KindControl
	// KindEmpty has no tokens.
	KindEmpty
	// KindSet sets or resets a session parameter: Name and Value, or Default.
	KindSet
	// KindResetAll resets all session parameters.
	KindResetAll
	// KindShow shows a parameter of the proxy itself: Name.
	KindShow
	// KindDeallocate drops the prepared statement Name, or all if All is set.
	KindDeallocate
	// KindDiscard drops session state: Name is all, plans, sequences or temp.
	KindDiscard
	// KindSavepoint, KindRelease and KindRollbackTo concern savepoint Name and
	// run upstream.
	KindSavepoint
	KindRelease
	KindRollbackTo
	// KindRefused is not supported. Refusal is the reason.
	KindRefused
)

const (
	// maxTokens and maxStatements limit the memory that a query string of the
	// maximum size needs while it is analyzed.
	maxTokens     = 500_000
	maxStatements = 10_000
	// initialTokenCap is enough for most statements without reallocation.
	initialTokenCap = 64
)

// ProxyPrefix is the prefix of the names of parameters that the proxy handles
// itself.
const ProxyPrefix = "gypsumyard."

// A Statement is one statement of a query string.
type Statement struct {
	// Text is the source without the terminating semicolon.
	Text string
	Kind Kind
	// Class tells how a statement that runs upstream is routed.
	Class gypsumyard.StatementClass
	// Name is the parameter, prepared statement or savepoint that the statement
	// refers to.
	Name string
	// Value is the new value of the parameter, in the form that the function
	// set_config expects: names in a list are separated by commas and quoted
	// where necessary.
	Value   string
	Default bool
	// Reset indicates that a statement of KindSet is written as RESET.
	Reset bool
	// LocalText is a statement of KindSet rewritten as SET LOCAL, whose effect
	// ends with the transaction.
	LocalText string
	All       bool
	// Refusal is the reason for KindRefused.
	Refusal string
	// RefusalOutsideTransaction is the reason why the statement is refused
	// outside a transaction, or empty.
	RefusalOutsideTransaction string
	Shape                     uint64
	Marks                     Marks
	// MarkError is set if a mark could not be parsed.
	MarkError error
}

// IsProxyParameter reports whether the statement concerns a parameter of the
// proxy itself.
func (s *Statement) IsProxyParameter() bool { return strings.HasPrefix(s.Name, ProxyPrefix) }

// Split splits a query string into its statements and classifies each. Empty
// statements are omitted, unless there are no others: then one statement of
// KindEmpty is returned.
func Split(sql string) []Statement {
	var statements []Statement
	l := lexer{src: sql}
	for l.pos < len(sql) {
		s := nextStatement(&l)
		if s.Kind != KindEmpty {
			statements = append(statements, s)
		}
		if len(statements) > maxStatements {
			s.refuse(fmt.Sprintf("query string of more than %d statements", maxStatements))
			return []Statement{s}
		}
	}
	if len(statements) == 0 {
		return []Statement{{Text: sql, Kind: KindEmpty, Class: gypsumyard.StatementRead}}
	}
	return statements
}

// nextStatement reads up to the next semicolon that ends a statement, which is
// not in parentheses and not in the body of a BEGIN ATOMIC function.
func nextStatement(l *lexer) Statement {
	start := l.pos
	l.comments = nil
	l.malformed = false
	tokens := make([]token, 0, initialTokenCap)
	depth, atomic, tooLong := 0, 0, false
	for {
		t := l.next()
		switch {
		case t.kind == tokenEnd, t.isPunct(";") && depth <= 0 && atomic == 0:
			if tooLong {
				s := Statement{Text: l.src[start:t.start], Class: gypsumyard.StatementWrite}
				s.refuse(fmt.Sprintf("statement of more than %d tokens", maxTokens))
				return s
			}
			return newStatement(l, start, t.start, tokens)
		case t.isPunct("("):
			depth++
		case t.isPunct(")"):
			depth--
		default:
			atomic = atomicDepth(atomic, tokens, t)
		}
		if tooLong = tooLong || len(tokens) == maxTokens; !tooLong {
			tokens = append(tokens, t)
		}
	}
}

// atomicDepth returns the nesting depth of BEGIN ATOMIC and CASE blocks in a
// CREATE statement after the token t.
func atomicDepth(depth int, tokens []token, t token) int {
	if len(tokens) == 0 || !tokens[0].is("create") {
		return 0
	}
	switch {
	case depth == 0 && t.is("atomic") && tokens[len(tokens)-1].is("begin"):
		return 1
	case depth > 0 && t.is("case"):
		return depth + 1
	case depth > 0 && t.is("end"):
		return depth - 1
	}
	return depth
}

func newStatement(l *lexer, start, end int, tokens []token) Statement {
	s := Statement{Text: l.src[start:end], Class: gypsumyard.StatementWrite}
	s.Marks, s.MarkError = parseMarks(l.comments)
	if len(tokens) == 0 && !l.malformed {
		s.Kind = KindEmpty
		return s
	}
	s.Shape = shapeOf(tokens)
	for i := range tokens {
		tokens[i].start -= start
		tokens[i].end -= start
	}
	if l.malformed {
		// The upstream rejects the text with its own error.
		return s
	}
	classify(&s, tokens)
	return s
}
