package line

import (
	"fmt"
	"strings"

	"github.com/gypsumyard/gypsumyard"
)

// A Code is the error code of an ERROR message.
type Code string

// The error codes.
const (
	// These codes guarantee that the attempt had no effect.
	CodeBusy      Code = "BUSY"
	CodeAborted   Code = "ABORTED"
	CodeLagging   Code = "LAGGING"
	CodeReadOnly  Code = "READONLY"
	CodeWrongNode Code = "WRONGNODE"
	CodeTooMany   Code = "TOOMANY"
	// CodeUnknown: there is no prepared statement of that name.
	CodeUnknown Code = "UNKNOWN"
	// CodeFailed: the statement ran and failed.
	CodeFailed Code = "FAILED"
	// CodeTimeout: the statement may have run.
	CodeTimeout Code = "TIMEOUT"
	// CodeInDoubt: a commit may have taken effect.
	CodeInDoubt Code = "INDOUBT"
	// CodeNoDatabase: there is no database of that name.
	CodeNoDatabase Code = "NODATABASE"
	// CodeDenied: the session's key is unknown or was withdrawn.
	CodeDenied Code = "DENIED"
	// CodeMalformed: the message violates the protocol.
	CodeMalformed Code = "MALFORMED"
)

// NotRun reports whether an error with the code from an instance means that the
// statement did not run.
func (c Code) NotRun() bool {
	switch c {
	case CodeBusy, CodeUnknown, CodeLagging, CodeReadOnly, CodeWrongNode, CodeTooMany:
		return true
	}
	return false
}

// An Error is a decoded ERROR message.
type Error struct {
	Code Code
	Text string
}

// Error returns the code and the text.
func (e *Error) Error() string { return string(e.Code) + " " + e.Text }

// ParseError decodes the fields of an ERROR message.
func ParseError(rest string) *Error {
	code, text, _ := strings.Cut(rest, " ")
	return &Error{Code(code), text}
}

// FormatPosition returns the position as encoded by the protocol.
func FormatPosition(p gypsumyard.Position) string {
	if p.IsZero() {
		return "-"
	}
	return fmt.Sprintf("%d.%d", p.Term, p.Offset)
}

// ParsePosition parses a position as formatted by FormatPosition.
func ParsePosition(s string) (gypsumyard.Position, error) {
	if s == "-" {
		return gypsumyard.Position{}, nil
	}
	return gypsumyard.ParsePosition(strings.Replace(s, ".", "/", 1))
}
