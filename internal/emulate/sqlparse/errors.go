package sqlparse

import "fmt"

// An Error is an SQL error as a database reports it. Code is the SQLSTATE.
type Error struct {
	Code    string
	Message string
}

// Errorf returns an Error with the given SQLSTATE and a formatted message.
func Errorf(code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// Error returns the message and the SQLSTATE.
func (e *Error) Error() string { return fmt.Sprintf("%s (SQLSTATE %s)", e.Message, e.Code) }

// SQLSTATE codes of the parser's errors.
const (
	syntaxError         = "42601"
	featureNotSupported = "0A000"
)
