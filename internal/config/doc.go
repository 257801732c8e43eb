// Package config parses and validates the settings of one host, a file in JSON
// with comments. All errors in a file are reported at once, each with its line
// and column.
package config
