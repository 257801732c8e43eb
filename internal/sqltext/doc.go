// Package sqltext analyzes SQL text as far as the proxy needs, without a full
// parser. It splits a query string into statements, classifies each one for
// routing or gives the reason why it is refused, reads marks in comments, and
// computes the statement's shape.
//
// The lexer assumes standard_conforming_strings = on and a client encoding in
// which no byte of a multibyte character is an ASCII character. The entry host
// refuses settings that break this.
package sqltext
