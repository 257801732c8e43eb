package gypsumyard

import (
	"errors"
	"fmt"
	"time"
)

// An ErrorClass classifies failed requests by whether they may have run and by
// the reason of the failure.
type ErrorClass string

// The classes of errors. Logs and metrics use the string values.
const (
	// ClassNotRun: no byte of the request can have reached an upstream, or the
	// upstream's refusal proves that nothing ran. The request may be retried.
	ClassNotRun ErrorClass = "not-run"
	// ClassUnknown: the outcome is unknown; the request may have run.
	ClassUnknown ErrorClass = "outcome-unknown"
	// ClassPlan: the customer's plan does not allow the request. It did not run.
	ClassPlan ErrorClass = "refused-by-plan"
	// ClassLoad: the queue is full or the wait would be too long. The request
	// did not run.
	ClassLoad ErrorClass = "refused-by-load"
	// ClassShutdown: the host is draining. The request did not run.
	ClassShutdown ErrorClass = "shutting-down"
	// ClassNotSupported: the proxy does not support the feature. The request did
	// not run.
	ClassNotSupported ErrorClass = "not-supported"
	// ClassNotOwner: the host that received the request does not own the
	// database. The request did not run. Only hosts use this class, among
	// themselves.
	ClassNotOwner ErrorClass = "not-owner"
	// ClassProtocol: the caller violated the protocol. The request did not run.
	ClassProtocol ErrorClass = "protocol-violation"
	// ClassAuth: the credentials, the customer or the database are wrong. The
	// request did not run.
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

// An Error is the response to a request that the proxy itself, not the upstream,
// refused or whose outcome the proxy does not know.
type Error struct {
	Class ErrorClass
	// State is the SQLSTATE. If it is empty, the class determines the SQLSTATE.
	State   string
	Message string
	// RetryAfter is how long the caller should wait before it retries. Zero
	// gives no advice.
	RetryAfter time.Duration
	// NoRetry indicates that the request cannot be served soon by the hosts that
	// this one reaches, so they do not retry it. The caller may reach others.
	NoRetry bool
	// Err is the cause, nil if there is none.
	Err error
}

// Errorf returns an Error of the class with a formatted message. An argument of
// the verb %w becomes the cause.
func Errorf(class ErrorClass, format string, args ...any) *Error {
	err := fmt.Errorf(format, args...)
	return &Error{Class: class, Message: err.Error(), Err: errors.Unwrap(err)}
}

// Error returns the class and the message, separated by a colon.
func (e *Error) Error() string { return string(e.Class) + ": " + e.Message }

func (e *Error) Unwrap() error { return e.Err }

// SQLState returns the SQLSTATE that is sent to the caller.
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

// ClassOf returns the class of err, or ClassUnknown if err wraps no *Error:
// after an unclassified failure the request may have run.
func ClassOf(err error) ErrorClass {
	var e *Error
	if errors.As(err, &e) {
		return e.Class
	}
	return ClassUnknown
}

// Errors that the interfaces of this package return.
var (
	// ErrConflict: a conditional update found a version other than the expected
	// one.
	ErrConflict = errors.New("version conflict")
	// ErrNotFound: there is no object with that name.
	ErrNotFound = errors.New("not found")
	// ErrUnavailable: the store did not accept the call. Nothing was changed.
	ErrUnavailable = errors.New("store unavailable")
	// ErrHistoryGone: the store no longer holds the changes after the version
	// of a watch; the objects must be listed again.
	ErrHistoryGone = errors.New("history gone")
	// ErrOutcomeUnknown: the response to the call was lost; an update may have
	// taken effect.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrFenced: the instance was fenced for a later term or by another sender.
	ErrFenced = errors.New("fenced")
	// ErrNoMajority: too few instances answered to rule out the loss of an
	// acknowledged write.
	ErrNoMajority = errors.New("no majority of instances")
	// ErrListOutdated: the instances have a term that belongs to a later version
	// of the list of instances than this host has.
	ErrListOutdated = errors.New("list of instances is outdated")
)
