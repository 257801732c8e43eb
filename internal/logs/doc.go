// Package logs writes log lines without ever delaying the work that they tell
// of.
package logs
