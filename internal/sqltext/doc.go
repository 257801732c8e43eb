// Package sqltext reads as much of SQL as a proxy needs without a full parser:
// it splits a query string into statements, tells how each one is routed or
// why it is refused, reads marks in comments and computes the statement's
// shape.
//
// The lexer assumes standard_conforming_strings = on and a client encoding in
// which no byte of a multibyte character is an ASCII character. The entry host
// refuses settings that break this.
package sqltext
