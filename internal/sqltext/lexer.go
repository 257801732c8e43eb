package sqltext

import (
	"slices"
	"strings"
)

type tokenKind uint8

const (
	tokenEnd tokenKind = iota
	// tokenWord is an unquoted identifier or key word, in lower case.
	tokenWord
	// tokenQuoted is a quoted identifier, without its quotes.
	tokenQuoted
	tokenString
	tokenNumber
	// tokenParam is a parameter such as $1.
	tokenParam
	// tokenPunct is one character of an operator or of punctuation.
	tokenPunct
)

type token struct {
	kind tokenKind
	// text is the token's value: key words in lower case, strings and quoted
	// identifiers without quotes and escapes.
	text string
	// start and end delimit the token in the source.
	start, end int
}

func (t token) is(words ...string) bool {
	return t.kind == tokenWord && slices.Contains(words, t.text)
}

// isName reports whether the token is an identifier or a key word.
func (t token) isName() bool { return t.kind == tokenWord || t.kind == tokenQuoted }

func (t token) isPunct(c string) bool { return t.kind == tokenPunct && t.text == c }

// A lexer splits SQL text into tokens and collects the comments.
type lexer struct {
	src      string
	pos      int
	comments []string
	// malformed is set when a string, a quoted identifier or a comment is not
	// terminated, or at a zero byte.
	malformed bool
}

func (l *lexer) byteAt(i int) byte {
	if i < len(l.src) {
		return l.src[i]
	}
	return 0
}

func isSpace(c byte) bool {
	return c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f' || c == '\v'
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isIdentStart(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c >= 0x80
}

func isIdentPart(c byte) bool { return isIdentStart(c) || isDigit(c) || c == '$' }

// skipSpace skips white space and collects the comments.
func (l *lexer) skipSpace() {
	for l.pos < len(l.src) {
		switch c := l.src[l.pos]; {
		case isSpace(c):
			l.pos++
		case c == '-' && l.byteAt(l.pos+1) == '-':
			l.scanLineComment()
		case c == '/' && l.byteAt(l.pos+1) == '*':
			l.scanBlockComment()
		default:
			return
		}
	}
}

func (l *lexer) scanLineComment() {
	rest := l.src[l.pos+2:]
	if i := strings.IndexAny(rest, "\r\n"); i >= 0 {
		rest = rest[:i]
	}
	l.comments = append(l.comments, rest)
	l.pos += 2 + len(rest)
}

// scanBlockComment reads a block comment, which may contain others.
func (l *lexer) scanBlockComment() {
	start := l.pos + 2
	l.pos = start
	for depth := 1; depth > 0; {
		switch {
		case l.pos >= len(l.src):
			l.malformed = true
			return
		case l.src[l.pos] == '/' && l.byteAt(l.pos+1) == '*':
			depth++
			l.pos += 2
		case l.src[l.pos] == '*' && l.byteAt(l.pos+1) == '/':
			depth--
			l.pos += 2
		default:
			l.pos++
		}
	}
	l.comments = append(l.comments, l.src[start:l.pos-2])
}

// next returns the next token, or one of kind tokenEnd.
func (l *lexer) next() token {
	l.skipSpace()
	t := token{start: l.pos}
	if l.pos < len(l.src) {
		t.kind, t.text = l.scan(l.src[l.pos])
	}
	t.end = l.pos
	return t
}

func (l *lexer) scan(c byte) (tokenKind, string) {
	n := l.byteAt(l.pos + 1)
	switch {
	case c == 0:
		l.malformed = true
		l.pos++
		return tokenPunct, "\x00"
	case c == '\'':
		return l.scanString(false)
	case c == '"':
		return tokenQuoted, l.scanQuotedName()
	case (c == 'e' || c == 'E') && n == '\'':
		l.pos++
		return l.scanString(true)
	case strings.IndexByte("bBxXnN", c) >= 0 && n == '\'':
		l.pos++
		return l.scanString(false)
	case (c == 'u' || c == 'U') && n == '&' && (l.byteAt(l.pos+2) == '\'' || l.byteAt(l.pos+2) == '"'):
		return l.scanUnicode()
	case isIdentStart(c):
		return tokenWord, strings.ToLower(l.takeWhile(isIdentPart))
	case isDigit(c) || c == '.' && isDigit(n):
		return tokenNumber, l.scanNumber()
	case c == '$' && isDigit(n):
		l.pos++
		return tokenParam, "$" + l.takeWhile(isDigit)
	case c == '$':
		if tag, ok := l.dollarTag(); ok {
			return tokenString, l.scanDollarQuoted(tag)
		}
	}
	l.pos++
	return tokenPunct, l.src[l.pos-1 : l.pos]
}

func (l *lexer) takeWhile(f func(byte) bool) string {
	start := l.pos
	for l.pos < len(l.src) && f(l.src[l.pos]) {
		l.pos++
	}
	return l.src[start:l.pos]
}

func (l *lexer) scanNumber() string {
	start := l.pos
	hex := l.src[start] == '0' && l.byteAt(start+1)|0x20 == 'x'
	for l.pos < len(l.src) {
		c := l.src[l.pos]
		exponent := !hex && (c == '+' || c == '-') && l.src[l.pos-1]|0x20 == 'e' && isDigit(l.byteAt(l.pos+1))
		if !isIdentPart(c) && c != '.' && !exponent {
			break
		}
		l.pos++
	}
	return l.src[start:l.pos]
}

// scanDelimited reads text up to the delimiter. A doubled delimiter stands for
// the character itself; backslashes are ordinary characters.
func (l *lexer) scanDelimited(b *strings.Builder, delim byte) {
	l.pos++
	for l.pos < len(l.src) {
		c := l.src[l.pos]
		l.pos++
		if c == delim {
			if l.byteAt(l.pos) != delim {
				return
			}
			l.pos++
		}
		b.WriteByte(c)
	}
	l.malformed = true
}

func (l *lexer) scanQuotedName() string {
	var b strings.Builder
	l.scanDelimited(&b, '"')
	return b.String()
}

// scanString reads a string constant with its continuations on later lines.
func (l *lexer) scanString(escapes bool) (tokenKind, string) {
	var b strings.Builder
	for {
		if escapes {
			l.scanEscapedPart(&b)
		} else {
			l.scanDelimited(&b, '\'')
		}
		if !l.nextPart() {
			return tokenString, b.String()
		}
	}
}

// scanEscapedPart reads one part of a string constant with backslash escapes.
func (l *lexer) scanEscapedPart(b *strings.Builder) {
	l.pos++
	for l.pos < len(l.src) {
		c := l.src[l.pos]
		l.pos++
		switch {
		case c == '\\' && l.pos < len(l.src):
			l.scanEscape(b)
		case c == '\'' && l.byteAt(l.pos) != '\'':
			return
		case c == '\'':
			b.WriteByte(c)
			l.pos++
		default:
			b.WriteByte(c)
		}
	}
	l.malformed = true
}

// nextPart moves to the next part of a string constant, if white space with a
// line break and a quote follow. Such a part is read like the first one.
func (l *lexer) nextPart() bool {
	newline := false
	for i := l.pos; i < len(l.src); i++ {
		switch c := l.src[i]; {
		case c == '\n' || c == '\r':
			newline = true
		case isSpace(c):
		case newline && c == '-' && l.byteAt(i+1) == '-':
			for i+1 < len(l.src) && l.src[i+1] != '\n' && l.src[i+1] != '\r' {
				i++
			}
		case newline && c == '\'':
			l.pos = i
			return true
		default:
			return false
		}
	}
	return false
}

// scanUnicode reads U&'...' or U&"...". Escapes of an identifier are not decoded, so
// the classifier treats it as unknown. Those of a string are, with the default escape
// character.
func (l *lexer) scanUnicode() (tokenKind, string) {
	l.pos += 2
	if l.src[l.pos] == '"' {
		return tokenQuoted, "U&" + l.scanQuotedName()
	}
	kind, text := l.scanString(false)
	return kind, decodeUnicodeEscapes(text)
}

// dollarTag returns the delimiter of a dollar-quoted string that starts here.
func (l *lexer) dollarTag() (string, bool) {
	i := l.pos + 1
	for i < len(l.src) && isIdentPart(l.src[i]) && l.src[i] != '$' {
		i++
	}
	if l.byteAt(i) != '$' || isDigit(l.byteAt(l.pos+1)) {
		return "", false
	}
	return l.src[l.pos : i+1], true
}

func (l *lexer) scanDollarQuoted(tag string) string {
	l.pos += len(tag)
	body, _, found := strings.Cut(l.src[l.pos:], tag)
	l.pos += len(body)
	if found {
		l.pos += len(tag)
	} else {
		l.malformed = true
	}
	return body
}
