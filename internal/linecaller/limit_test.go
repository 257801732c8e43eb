package linecaller

import (
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/line"
)

// Guards against an operation over its customer's limit whose caller is not told that it
// did not run, or when to retry.
func TestOverLimitIsBusy(t *testing.T) {
	f := newFixture(t)
	over := gypsumyard.Errorf(gypsumyard.ClassPlan, "customer x is over its limit")
	over.RetryAfter, over.NoRetry = 1250*time.Millisecond, true
	f.executor.reply = func(*gypsumyard.Request, line.Payload) (string, gypsumyard.Result, error) {
		return "", gypsumyard.Result{}, over
	}
	s := f.dial("START orders u1")
	s.expect("READY")
	for _, text := range []string{"READ a", "WRITE a 1"} {
		s.send("QUERY a1 " + text)
		s.expect("ERROR BUSY refused-by-plan: customer x is over its limit, retry after 1.25s", "READY I")
	}
	s.send("QUERY a2 BEGIN")
	s.expect("COMPLETE -", "READY T")
	s.send("QUERY a3 WRITE a 1")
	s.expect("ERROR ABORTED refused-by-plan: customer x is over its limit, retry after 1.25s", "READY E")
}
