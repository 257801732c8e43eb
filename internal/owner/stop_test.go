package owner_test

import (
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/matryer/is"
)

// Guards against a handover that begins while Stop waits for the service's work, or
// after it: a request that outlasts the drain ends only when Stop aborts it.
func TestNoHandoverAfterStop(t *testing.T) {
	is := is.New(t)
	var f *fixture
	ended := make(chan *answer, 1)
	t.Run("stopped", func(t *testing.T) { // the fixture allows 1 s to drain
		f = start(t, nil)
		go func() { ended <- f.exec("s", gypsumyard.StatementWrite, "select pg_sleep(10)") }()
		time.Sleep(50 * time.Millisecond)
		f.members.setOwner("host-2")
	})
	is.True((<-ended).err != nil)
	select {
	case r := <-f.peers.released:
		t.Fatalf("handed over after Stop: %s", r)
	case <-time.After(100 * time.Millisecond):
	}
}
