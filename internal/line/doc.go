// Package line encodes and decodes the line protocol that callers and
// instances speak. A message is a line: a word, fields separated by blanks, and
// CR LF. The last field extends to the end of the line.
package line
