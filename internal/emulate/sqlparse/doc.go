// Package sqlparse parses the subset of SQL that the emulated database supports.
// It covers what a typical application needs.
package sqlparse
