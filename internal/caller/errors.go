package caller

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/gypsumyard/gypsumyard"
	"github.com/jackc/pgx/v5/pgproto3"
)

// The SQLSTATEs of refusals that PostgreSQL itself would give.
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
	stateTooMuch            = "54000"
	stateIdleTransaction    = "57P01"
)

// errTerminate ends a session at the caller's wish.
var errTerminate = errors.New("terminated by the caller")

func refusal(state, format string, args ...any) *gypsumyard.Error {
	e := gypsumyard.Errorf(gypsumyard.ClassNotSupported, format, args...)
	e.State = state
	return e
}

func failedTransaction() *gypsumyard.Error {
	return refusal(stateFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block")
}

func shuttingDown() *gypsumyard.Error {
	return gypsumyard.Errorf(gypsumyard.ClassShutdown, "the host is shutting down")
}

// asError returns err as the error that the caller is told.
func asError(err error) *gypsumyard.Error {
	var e *gypsumyard.Error
	switch {
	case errors.As(err, &e):
		return e
	case errors.Is(err, errOverflow):
		return &gypsumyard.Error{Class: gypsumyard.ClassProtocol, State: stateTooMuch, Message: "more input than the host buffers"}
	case errors.Is(err, errStartup):
		return gypsumyard.Errorf(gypsumyard.ClassProtocol, "%v", err)
	case errors.Is(err, errServerStops):
		return shuttingDown()
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

// hasLeft reports whether err means that nobody is there to be told.
func hasLeft(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.ErrClosedPipe) ||
		errors.Is(err, errTerminate) || errors.Is(err, errSlowCaller) || errors.Is(err, errBroken)
}
