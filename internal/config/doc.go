// Package config reads the settings of one host from a file in JSON with
// comments. All errors of a file are reported at once, each with its line and
// column.
package config
