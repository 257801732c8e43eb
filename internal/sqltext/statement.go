package sqltext

import (
	"fmt"
	"strings"

	"github.com/gypsumyard/gypsumyard"
)

// A Kind tells who handles a statement.
type Kind uint8

// The kinds of statements.
const (
	// KindPlain runs upstream as it is. Its class says how.
	KindPlain Kind = iota
	// KindControl begins or ends a transaction. Its class says which.
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
	// KindRefused is not carried: Refusal says why.
	KindRefused
)

const (
	// maxTokens and maxStatements bound the memory that a query string of the
	// largest size takes while it is read.
	maxTokens     = 500_000
	maxStatements = 10_000
	// usualTokens holds most statements without growing.
	usualTokens = 64
)

// ProxyPrefix begins the names of the parameters that the proxy handles.
const ProxyPrefix = "gypsumyard."

// A Statement is one statement of a query string.
type Statement struct {
	// Text is the source without the terminating semicolon.
	Text string
	Kind Kind
	// Class tells how a statement that runs upstream is routed.
	Class gypsumyard.StatementClass
	// Name is the parameter, prepared statement or savepoint concerned.
	Name string
	// Value is the new value of the parameter, in the form that the function
	// set_config takes: names in a list are separated by commas and quoted
	// where necessary.
	Value   string
	Default bool
	// Reset indicates that KindSet is written as RESET.
	Reset bool
	// LocalText is the statement of KindSet as SET LOCAL, whose effect ends
	// with the transaction.
	LocalText string
	All       bool
	// Refusal is the reason for KindRefused.
	Refusal string
	// RefusalOutsideTransaction is the reason why the statement is refused
	// outside a transaction, or empty.
	RefusalOutsideTransaction string
	Shape                     uint64
	Marks                     Marks
	// MarkError is set if a mark could not be read.
	MarkError error
}

// IsProxyParameter reports whether the statement concerns a parameter of the
// proxy itself.
func (s *Statement) IsProxyParameter() bool { return strings.HasPrefix(s.Name, ProxyPrefix) }

// Split cuts a query string into its statements and classifies each. Empty
// statements are left out, unless there are no others: then one of KindEmpty
// is returned.
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

// nextStatement reads up to the next semicolon on the top level. The body of a
// BEGIN ATOMIC function holds semicolons of its own.
func nextStatement(l *lexer) Statement {
	start := l.pos
	l.comments = nil
	l.broken = false
	tokens := make([]token, 0, usualTokens)
	depth, atomic, tooLong := 0, 0, false
	for {
		t := l.next()
		switch {
		case t.kind == tokenEnd, t.punct(";") && depth <= 0 && atomic == 0:
			if tooLong {
				s := Statement{Text: l.src[start:t.start], Class: gypsumyard.StatementWrite}
				s.refuse(fmt.Sprintf("statement of more than %d tokens", maxTokens))
				return s
			}
			return build(l, start, t.start, tokens)
		case t.punct("("):
			depth++
		case t.punct(")"):
			depth--
		default:
			atomic = atomicDepth(atomic, tokens, t)
		}
		if tooLong = tooLong || len(tokens) == maxTokens; !tooLong {
			tokens = append(tokens, t)
		}
	}
}

// atomicDepth follows BEGIN ATOMIC, CASE and END in CREATE FUNCTION.
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

func build(l *lexer, start, end int, tokens []token) Statement {
	s := Statement{Text: l.src[start:end], Class: gypsumyard.StatementWrite}
	s.Marks, s.MarkError = parseMarks(l.comments)
	if len(tokens) == 0 && !l.broken {
		s.Kind = KindEmpty
		return s
	}
	s.Shape = shapeOf(tokens)
	for i := range tokens {
		tokens[i].start -= start
		tokens[i].end -= start
	}
	if l.broken {
		// The upstream refuses the text with its own error.
		return s
	}
	classify(&s, tokens)
	return s
}
