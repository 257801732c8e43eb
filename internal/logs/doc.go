// Package logs writes log lines without blocking the code that logs them, and
// finds the log lines that explain the outcome of a request.
package logs
