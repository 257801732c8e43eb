package owner_test

import (
	"errors"
	"testing"

	"github.com/gypsumyard/gypsumyard"
	"github.com/matryer/is"
)

// Guards against a statement of a transaction that has ended, which the host of its
// caller repeats until its deadline, although no attempt can find the transaction.
func TestEndedTransactionIsNotRetried(t *testing.T) {
	is := is.New(t)
	f := start(t, nil)
	tx := f.must("s", gypsumyard.StatementBegin, "begin")
	f.runIn(tx, "s", gypsumyard.StatementCommit, "commit")
	a := f.runIn(tx, "s", gypsumyard.StatementRead, "select 1")
	var e *gypsumyard.Error
	is.True(errors.As(a.err, &e))
	is.True(e.NotRun())
	is.True(e.NoRetry)
}
