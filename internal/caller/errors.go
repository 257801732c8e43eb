package caller

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/gypsumyard/gypsumyard"
	"github.com/jackc/pgx/v5/pgproto3"
)

// SQLSTATEs with which the proxy rejects statements, as PostgreSQL would.
const (
	stateFailedTransaction  = "25P02"
	stateActiveTransaction  = "25001"
	stateNoTransaction      = "25P01"
	stateInvalidValue       = "22023"
	stateUnknownParameter   = "42704"
	stateReadOnlyParameter  = "55P02"
	stateUnknownStatement   = "26000"
	stateUnknownPortal      = "34000"
	stateDuplicateStatement = "42P05"
	stateSyntax             = "42601"
	stateLimitExceeded      = "54000"
	stateIdleTransaction    = "57P01"
)

// errTerminate ends a session after the client sent Terminate or a
// CancelRequest.
var errTerminate = errors.New("terminated by the client")

// stateErrorf returns a not-supported error with the given SQLSTATE.
func stateErrorf(state, format string, args ...any) *gypsumyard.Error {
	e := gypsumyard.Errorf(gypsumyard.ClassNotSupported, format, args...)
	e.State = state
	return e
}

func failedTransactionError() *gypsumyard.Error {
	return stateErrorf(stateFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block")
}

func shutdownError() *gypsumyard.Error {
	return gypsumyard.Errorf(gypsumyard.ClassShutdown, "the host is shutting down")
}

// clientError converts err to the error that is reported to the client.
func clientError(err error) *gypsumyard.Error {
	var e *gypsumyard.Error
	switch {
	case errors.As(err, &e):
		return e
	case errors.Is(err, errInputOverflow):
		return &gypsumyard.Error{Class: gypsumyard.ClassProtocol, State: stateLimitExceeded, Message: "more input than the host buffers"}
	case errors.Is(err, errStartupTimeout):
		return gypsumyard.Errorf(gypsumyard.ClassProtocol, "%v", err)
	case errors.Is(err, errServerStopped):
		return shutdownError()
	case errors.Is(err, context.Canceled):
		return gypsumyard.Errorf(gypsumyard.ClassUnknown, "request canceled: %w", err)
	}
	return gypsumyard.Errorf(gypsumyard.ClassUnknown, "%w", err)
}

func errorResponse(severity string, e *gypsumyard.Error) *pgproto3.ErrorResponse {
	r := &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                e.SQLState(),
		Message:             e.Message,
	}
	if e.RetryAfter > 0 {
		r.Hint = fmt.Sprintf("retry-after=%dms", max(1, e.RetryAfter.Milliseconds()))
	}
	return r
}

// isDisconnect reports whether err means that no error can be reported to the
// client: it has disconnected or asked to, does not read its response, or has
// got an incomplete message.
func isDisconnect(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.ErrClosedPipe) ||
		errors.Is(err, errTerminate) || errors.Is(err, errSlowClient) || errors.Is(err, errMalformedResponse)
}
