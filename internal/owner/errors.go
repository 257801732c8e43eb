package owner

import (
	"errors"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/upstream"
)

var (
	errNotConfirmed    = errors.New("no majority of instances confirmed the write in time")
	errPrimaryReplaced = errors.New("the primary was replaced before the write was confirmed")
	errDeadline        = gypsumyard.Errorf(gypsumyard.ClassNotRun, "the deadline passed before the request ran")
	errNoPrimary       = gypsumyard.Errorf(gypsumyard.ClassNotRun, "no primary within the allowed wait")
	errNoConnection    = gypsumyard.Errorf(gypsumyard.ClassLoad, "no connection to the instance became free")
	errNotOwner        = gypsumyard.Errorf(gypsumyard.ClassNotOwner, "this host does not own the database")
	errStopped         = gypsumyard.Errorf(gypsumyard.ClassShutdown, "the host is shutting down")
	// errCanceled is the error of a request that was canceled before it was
	// sent. Its class is not ClassNotRun, since the request must not be sent
	// again.
	errCanceled = &gypsumyard.Error{
		Class:   gypsumyard.ClassProtocol,
		State:   "57014",
		Message: "canceled before it ran",
	}
	// errNoTransaction carries the SQLSTATE for "no active transaction", since
	// sending the request again cannot succeed.
	errNoTransaction = &gypsumyard.Error{
		Class:   gypsumyard.ClassNotRun,
		State:   "25P01",
		Message: "the transaction has ended: it was rolled back",
		NoRetry: true,
	}
	// errTransactionReplaced is the error of a statement or a commit that the
	// primary refused because it was replaced.
	errTransactionReplaced = &gypsumyard.Error{
		Class:   gypsumyard.ClassNotRun,
		State:   errNoTransaction.State,
		Message: "the primary was replaced: the transaction was rolled back",
		NoRetry: true,
	}
)

// notRun returns err as the error of a request that did not run. If err wraps
// an Error whose class already proves that, notRun returns that Error.
func notRun(err error) error {
	var e *gypsumyard.Error
	if errors.As(err, &e) && e.NotRun() {
		return e
	}
	return gypsumyard.Errorf(gypsumyard.ClassNotRun, "not run: %w", err)
}

// outcomeUnknown returns err as the error of a request that may have run.
func outcomeUnknown(err error) error {
	return gypsumyard.Errorf(gypsumyard.ClassUnknown, "outcome unknown: %w", err)
}

// setupError returns the error of a request that was not sent because the
// instance refused a session setting. Its class is not ClassNotRun, because
// sending the request again cannot succeed.
func setupError(e *upstream.ServerError) error {
	return &gypsumyard.Error{Class: gypsumyard.ClassProtocol, State: e.State, Message: "setting refused: " + e.Message, Err: e}
}
