package sqlparse

import (
	"strings"
	"unicode"
)

type tokenKind int

const (
	tokenEnd tokenKind = iota
	tokenWord
	tokenQuoted
	tokenNumber
	tokenString
	tokenParam
	tokenOperator
)

type token struct {
	kind tokenKind
	text string
	// start and end are byte offsets in the source.
	start, end int
}

type lexer struct {
	source   string
	pos      int
	comments []token
}

// tokenize splits the source into tokens. It returns the comments separately.
func tokenize(source string) (tokens, comments []token, err error) {
	l := &lexer{source: source}
	for {
		t, err := l.next()
		if err != nil {
			return nil, nil, err
		}
		tokens = append(tokens, t)
		if t.kind == tokenEnd {
			return tokens, l.comments, nil
		}
	}
}

func (l *lexer) next() (t token, err error) {
	if err := l.skipSpace(); err != nil {
		return token{}, err
	}
	start := l.pos
	if start == len(l.source) {
		return token{kind: tokenEnd, start: start, end: start}, nil
	}
	c := l.source[start]
	switch {
	case isWordStart(c):
		l.advanceWhile(isWordPart)
		return l.token(tokenWord, start, strings.ToLower(l.source[start:l.pos])), nil
	case isDigit(c), c == '.' && start+1 < len(l.source) && isDigit(l.source[start+1]):
		l.number()
		return l.token(tokenNumber, start, l.source[start:l.pos]), nil
	case c == '$' && start+1 < len(l.source) && isDigit(l.source[start+1]):
		l.pos++
		l.advanceWhile(isDigit)
		return l.token(tokenParam, start, l.source[start+1:l.pos]), nil
	case c == '\'' || c == '"':
		text, err := l.quoted(c)
		if err != nil {
			return token{}, err
		}
		kind := tokenString
		if c == '"' {
			kind = tokenQuoted
		}
		return l.token(kind, start, text), nil
	}
	return l.operator(start)
}

func (l *lexer) token(kind tokenKind, start int, text string) token {
	return token{kind: kind, text: text, start: start, end: l.pos}
}

func (l *lexer) advanceWhile(accept func(byte) bool) {
	for l.pos < len(l.source) && accept(l.source[l.pos]) {
		l.pos++
	}
}

func (l *lexer) number() {
	l.advanceWhile(func(c byte) bool { return isDigit(c) || c == '.' })
	if l.pos == len(l.source) || (l.source[l.pos] != 'e' && l.source[l.pos] != 'E') {
		return
	}
	l.pos++
	if l.pos < len(l.source) && (l.source[l.pos] == '-' || l.source[l.pos] == '+') {
		l.pos++
	}
	l.advanceWhile(isDigit)
}

// quoted reads a string or a quoted identifier, in which a doubled quote stands
// for one quote.
func (l *lexer) quoted(quote byte) (string, error) {
	var b strings.Builder
	for l.pos++; l.pos < len(l.source); l.pos++ {
		c := l.source[l.pos]
		if c != quote {
			b.WriteByte(c)
			continue
		}
		l.pos++
		if l.pos == len(l.source) || l.source[l.pos] != quote {
			return b.String(), nil
		}
		b.WriteByte(c)
	}
	return "", Errorf(syntaxError, "unterminated quoted text")
}

var longOperators = []string{"<=", ">=", "<>", "!=", "::", "||"}

func (l *lexer) operator(start int) (token, error) {
	for _, o := range longOperators {
		if strings.HasPrefix(l.source[start:], o) {
			l.pos += len(o)
			return l.token(tokenOperator, start, o), nil
		}
	}
	if !strings.ContainsRune("=<>+-*/%(),.;:", rune(l.source[start])) {
		return token{}, Errorf(syntaxError, "syntax error at or near %q", l.source[start:start+1])
	}
	l.pos++
	return l.token(tokenOperator, start, l.source[start:l.pos]), nil
}

// skipSpace skips white space and comments. It records the comments.
func (l *lexer) skipSpace() error {
	for l.pos < len(l.source) {
		rest := l.source[l.pos:]
		switch {
		case unicode.IsSpace(rune(rest[0])):
			l.pos++
		case strings.HasPrefix(rest, "--"):
			n := strings.IndexByte(rest, '\n')
			if n < 0 {
				n = len(rest)
			}
			l.comment(n)
		case strings.HasPrefix(rest, "/*"):
			n := strings.Index(rest, "*/")
			if n < 0 {
				return Errorf(syntaxError, "unterminated comment")
			}
			l.comment(n + len("*/"))
		default:
			return nil
		}
	}
	return nil
}

func (l *lexer) comment(n int) {
	start := l.pos
	l.pos += n
	l.comments = append(l.comments, l.token(tokenEnd, start, l.source[start:l.pos]))
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isWordStart(c byte) bool {
	return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}

func isWordPart(c byte) bool { return isWordStart(c) || isDigit(c) || c == '$' }
