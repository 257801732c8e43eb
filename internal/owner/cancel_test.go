package owner_test

import (
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/emulate/group"
	"github.com/matryer/is"
)

// Guards against a cancellation that reaches the instance after its statement
// has ended and cancels a statement of another session on the same connection.
func TestCancelHitsNoOtherSession(t *testing.T) {
	is := is.New(t)
	f := start(t, []group.Option{group.WithSlots(1)})
	first := make(chan *answer, 1)
	go func() { first <- f.exec("a", gypsumyard.StatementWrite, "select pg_sleep(0.2)") }()
	time.Sleep(100 * time.Millisecond)
	cancel := f.service.BeginCancel("appraisal", "a")
	is.NoErr((<-first).err)
	second := make(chan *answer, 1)
	go func() { second <- f.exec("b", gypsumyard.StatementWrite, "select pg_sleep(0.3)") }()
	time.Sleep(100 * time.Millisecond)
	is.NoErr(cancel(t.Context()))
	a := <-second
	is.NoErr(a.err)
	is.True(a.text() != "57014")
}
