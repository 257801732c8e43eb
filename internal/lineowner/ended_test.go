package lineowner

import (
	"errors"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/emulate/linegroup"
	"github.com/matryer/is"
)

// Guards against a statement of a transaction that has ended, or that its own failure
// ends, which the host of its caller repeats until its deadline, although no attempt can
// find the transaction.
func TestEndedTransactionIsNotRetried(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 3, linegroup.WithSlots(1))
	h := f.addHost("host-1", nil)
	begin := func(item string) gypsumyard.Result {
		_, tx, err := f.run(h, statement{text: "WRITE " + item + " 1", class: gypsumyard.StatementBegin})
		is.NoErr(err)
		return tx
	}
	refused := func(s statement) {
		t.Helper()
		_, _, err := f.run(h, s)
		var e *gypsumyard.Error
		is.True(errors.As(err, &e))
		t.Logf("%s: %v", s.text, e)
		is.True(e.NotRun())
		is.True(e.NoRetry)
	}
	tx := begin("a")
	_, _, err := f.run(h, statement{text: "COMMIT", class: gypsumyard.StatementCommit, tx: tx})
	is.NoErr(err)
	refused(statement{text: "READ a", class: gypsumyard.StatementRead, tx: tx})

	g := f.groupOf(h)
	tx = begin("b")
	g.mu.Lock()
	g.commits = commitGate{waiting: 1, failing: true}
	g.mu.Unlock()
	refused(statement{text: "COMMIT", class: gypsumyard.StatementCommit, tx: tx}) // The primary acknowledges nothing.
	g.mu.Lock()
	g.commits = commitGate{}
	g.mu.Unlock()

	tx = begin("c")
	f.group.Primary().SetUnresponsive(true)
	refused(statement{text: "WRITE c 2", class: gypsumyard.StatementWrite, tx: tx, timeout: 200 * time.Millisecond})
}
