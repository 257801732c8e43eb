package linecaller

import (
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/line"
	"github.com/matryer/is"
)

// Guards against requests that do not tell the owner by which desired state they were
// routed. The statements of a transaction are routed by the state of its BEGIN.
func TestRequestTellsDesiredState(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.set(7, nil)
	s := f.dial("START logs")
	s.expect("READY I -")
	s.send("QUERY a1 READ a")
	s.expect("COMPLETE", "READY I")
	is.Equal(f.executor.last().DesiredNumber, int64(7))
	s.send("QUERY a2 BEGIN")
	s.expect("COMPLETE", "READY T")
	f.set(9, nil)
	for _, text := range []string{"READ a", "WRITE a 1", "COMMIT"} {
		s.send("QUERY a3 " + text)
		s.expect("COMPLETE", "READY")
		is.Equal(f.executor.last().DesiredNumber, int64(7))
	}
	s.send("QUERY a4 READ a")
	s.expect("COMPLETE", "READY I")
	is.Equal(f.executor.last().DesiredNumber, int64(9))
}

// Guards against a rejection of an outdated route that does not promise the caller that
// nothing ran, or does not say when to come back.
func TestOutdatedRouteIsRejected(t *testing.T) {
	f := newFixture(t)
	f.set(7, nil)
	f.executor.reply = func(*gypsumyard.Request, line.Payload) (string, gypsumyard.Result, error) {
		e := gypsumyard.Errorf(gypsumyard.ClassNotRun, "the host has an older desired state")
		e.RetryAfter, e.NoRetry = 500*time.Millisecond, true
		return "", gypsumyard.Result{}, e
	}
	s := f.dial("START logs")
	s.expect("READY I -")
	s.send("QUERY a1 WRITE a 1")
	s.expect("ERROR BUSY not-run: the host has an older desired state, retry after 500ms", "READY I")
	s.send("QUERY a2 BEGIN")
	s.expect("COMPLETE", "READY T")
	s.send("QUERY a3 WRITE a 1")
	s.expect("ERROR ABORTED", "READY E")
}
