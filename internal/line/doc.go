// Package line encodes and decodes the line protocol, which callers and
// instances speak. A message is one line: a word that gives its type, fields
// separated by spaces, and CR LF. The last field extends to the end of the
// line.
package line
