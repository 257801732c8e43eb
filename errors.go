package gypsumyard

import (
	"errors"
	"fmt"
	"time"
)

// An ErrorClass tells a caller what became of its request.
type ErrorClass string

// The classes of errors, in the words that logs and metrics use.
const (
	// ClassNotRun: no byte can have reached an upstream, or the upstream's
	// refusal proves that nothing ran. The request may be sent again.
	ClassNotRun ErrorClass = "not-run"
	// ClassUnknown: the request may have run.
	ClassUnknown ErrorClass = "outcome-unknown"
	// ClassPlan: the customer's plan does not allow the request. Not run.
	ClassPlan ErrorClass = "refused-by-plan"
	// ClassLoad: the queue is full or the wait would be too long. Not run.
	ClassLoad ErrorClass = "refused-by-load"
	// ClassShutdown: the host is draining. Not run.
	ClassShutdown ErrorClass = "shutting-down"
	// ClassNotSupported: the proxy does not carry the feature. Not run.
	ClassNotSupported ErrorClass = "not-supported"
	// ClassNotOwner: the host that received the request does not own the
	// database. Not run. It is used between hosts only.
	ClassNotOwner ErrorClass = "not-owner"
	// ClassProtocol: the caller broke the protocol. Not run.
	ClassProtocol ErrorClass = "protocol-violation"
	// ClassAuth: credentials, customer or database are wrong. Not run.
	ClassAuth ErrorClass = "not-authorized"
)

var sqlStates = map[ErrorClass]string{
	ClassNotRun:       "GY001",
	ClassUnknown:      "GY002",
	ClassPlan:         "53400",
	ClassLoad:         "53300",
	ClassShutdown:     "57P01",
	ClassNotSupported: "0A000",
	ClassNotOwner:     "GY003",
	ClassProtocol:     "08P01",
	ClassAuth:         "28000",
}

// An Error is a request's final answer when the proxy, not the upstream,
// refused it or lost sight of it.
type Error struct {
	Class ErrorClass
	// State is the SQLSTATE. Empty means that of the class.
	State   string
	Message string
	// RetryAfter tells the caller when to come back. Zero says nothing.
	RetryAfter time.Duration
	// Err is the cause, if there is one.
	Err error
}

// Errorf returns an Error of the class with a formatted message. The verb %w
// records a cause.
func Errorf(class ErrorClass, format string, args ...any) *Error {
	err := fmt.Errorf(format, args...)
	return &Error{Class: class, Message: err.Error(), Err: errors.Unwrap(err)}
}

// Error returns the class and the message.
func (e *Error) Error() string { return string(e.Class) + ": " + e.Message }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// SQLState returns the five characters that callers see.
func (e *Error) SQLState() string {
	if e.State != "" {
		return e.State
	}
	if s, ok := sqlStates[e.Class]; ok {
		return s
	}
	return "XX000"
}

// NotRun reports whether the class proves that the request did not run.
func (e *Error) NotRun() bool { return e.Class != ClassUnknown }

// ClassOf returns the class of err, or ClassUnknown if err carries none: an
// unclassified failure proves nothing about the request.
func ClassOf(err error) ErrorClass {
	var e *Error
	if errors.As(err, &e) {
		return e.Class
	}
	return ClassUnknown
}

// Errors that the interfaces of this package return.
var (
	// ErrConflict: a conditional update found another version.
	ErrConflict = errors.New("version conflict")
	// ErrNotFound: there is no object of that name.
	ErrNotFound = errors.New("not found")
	// ErrUnavailable: the store did not take the call. Nothing was changed.
	ErrUnavailable = errors.New("store unavailable")
	// ErrHistoryGone: the store no longer holds the changes after the version
	// of a watch; the objects must be listed again.
	ErrHistoryGone = errors.New("history gone")
	// ErrOutcomeUnknown: the call's answer was lost; an update may have taken
	// effect.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrFenced: the instance is fenced by a later term or another sender.
	ErrFenced = errors.New("fenced")
	// ErrNoMajority: too few instances answered to be sure that no
	// acknowledged write is lost.
	ErrNoMajority = errors.New("no majority of instances")
)
