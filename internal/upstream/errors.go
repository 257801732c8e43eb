package upstream

import (
	"errors"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
)

// SQLSTATEs that determine whether a request has run.
const (
	stateReadOnly           = "25006"
	stateTooManyConnections = "53300"
	stateCannotConnectNow   = "57P03"
)

var (
	// ErrRefused: the instance did not accept a connection, for example
	// because its connection limit is reached. No request was sent over it.
	ErrRefused = errors.New("connection refused by the instance")
	// ErrClosed: the pool is closed.
	ErrClosed = errors.New("pool closed")
	// ErrResponseTimeout: the instance sent nothing before the read timeout.
	ErrResponseTimeout = errors.New("connection silent")
)

// A ServerError is an ErrorResponse sent by an instance.
type ServerError struct {
	Severity string
	State    string
	Message  string
}

// Error returns the SQLSTATE and the message.
func (e *ServerError) Error() string { return e.State + ": " + e.Message }

func serverError(m *pgproto3.ErrorResponse) *ServerError {
	severity := m.SeverityUnlocalized
	if severity == "" {
		severity = m.Severity
	}
	return &ServerError{Severity: severity, State: m.Code, Message: m.Message}
}

// ReadOnly reports whether the instance refused to write because it is not a
// primary or the transaction is read-only.
func (e *ServerError) ReadOnly() bool { return e.State == stateReadOnly }

// ProvesNotRun reports whether the error proves that the statement did not run:
// instances send it only in place of running a statement.
func (e *ServerError) ProvesNotRun() bool {
	switch e.State {
	case stateReadOnly, stateTooManyConnections, stateCannotConnectNow:
		return true
	}
	return false
}

// fatal reports whether the instance closes the connection after the error.
func (e *ServerError) fatal() bool { return e.Severity == "FATAL" || e.Severity == "PANIC" }

// refusedError marks err as a rejected connection attempt.
func refusedError(err error) error { return fmt.Errorf("%w: %w", ErrRefused, err) }
