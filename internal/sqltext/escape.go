package sqltext

import (
	"regexp"
	"strconv"
	"strings"
	"unicode/utf8"
)

// The numbers of digits of the numeric escapes in a string with backslash escapes.
const (
	maxOctalDigits   = 3
	maxHexDigits     = 2
	shortUnicodeSize = 4
	longUnicodeSize  = 8
)

var controlEscapes = map[byte]byte{'b': '\b', 'f': '\f', 'n': '\n', 'r': '\r', 't': '\t'}

// scanEscape reads an escape after its backslash and writes the character that it
// stands for. A character without a meaning stands for itself.
func (l *lexer) scanEscape(b *strings.Builder) {
	c := l.src[l.pos]
	control, isControl := controlEscapes[c]
	switch {
	case isControl:
		l.pos++
		b.WriteByte(control)
	case c >= '0' && c <= '7':
		n, _ := strconv.ParseUint(l.takeDigits(isOctal, maxOctalDigits), 8, 16)
		b.WriteByte(byte(n)) // The server drops higher bits, too.
	case c == 'x' && isHex(l.byteAt(l.pos+1)):
		l.pos++
		n, _ := strconv.ParseUint(l.takeDigits(isHex, maxHexDigits), 16, 8)
		b.WriteByte(byte(n))
	case c == 'u' && isHex(l.byteAt(l.pos+1)):
		l.pos++
		writeRune(b, l.takeDigits(isHex, shortUnicodeSize))
	case c == 'U' && isHex(l.byteAt(l.pos+1)):
		l.pos++
		writeRune(b, l.takeDigits(isHex, longUnicodeSize))
	default:
		l.pos++
		b.WriteByte(c)
	}
}

// takeDigits reads up to most characters for which digit holds.
func (l *lexer) takeDigits(digit func(byte) bool, most int) string {
	start := l.pos
	for l.pos < len(l.src) && l.pos-start < most && digit(l.src[l.pos]) {
		l.pos++
	}
	return l.src[start:l.pos]
}

func isOctal(c byte) bool { return c >= '0' && c <= '7' }

func isHex(c byte) bool { return isDigit(c) || c|0x20 >= 'a' && c|0x20 <= 'f' }

// writeRune writes the character with the code point in hexadecimal digits.
func writeRune(b *strings.Builder, digits string) {
	n, err := strconv.ParseUint(digits, 16, 32)
	if err != nil || n > utf8.MaxRune {
		n = utf8.RuneError
	}
	b.WriteRune(rune(n))
}

// unicodeEscape matches an escape in U&'...' with the default escape character.
var unicodeEscape = regexp.MustCompile(`\\\\|\\[0-9a-fA-F]{4}|\\\+[0-9a-fA-F]{6}`)

// decodeUnicodeEscapes decodes the text of U&'...'.
func decodeUnicodeEscapes(text string) string {
	return unicodeEscape.ReplaceAllStringFunc(text, func(e string) string {
		if e == `\\` {
			return `\`
		}
		var b strings.Builder
		writeRune(&b, strings.TrimLeft(e, `\+`))
		return b.String()
	})
}
