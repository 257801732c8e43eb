package peer

import (
	"bytes"
	"context"
	"testing"

	"github.com/gypsumyard/gypsumyard"
	"github.com/matryer/is"
)

// Guards against one request of another host that ends the process, and against a
// request that is reported as not run although its work had begun.
func TestPanicEndsOnlyItsRequest(t *testing.T) {
	is := is.New(t)
	o := newFakeOwner(func(_ context.Context, r *gypsumyard.Request, sink gypsumyard.ResponseSink) (gypsumyard.Result, error) {
		if r.Database == "bad" {
			panic("unexpected")
		}
		_, err := sink.Write([]byte("ok"))
		return gypsumyard.Result{}, err
	})
	_, b := startHost(t, "b", o)
	a, _ := startHost(t, "a")
	for range 3 {
		var sink bytes.Buffer
		_, err := a.Executor(b).Execute(t.Context(), &gypsumyard.Request{Database: "bad"}, &sink)
		is.Equal(gypsumyard.ClassOf(err), gypsumyard.ClassUnknown)
		_, err = a.Executor(b).Execute(t.Context(), &gypsumyard.Request{Database: "good"}, &sink)
		is.NoErr(err)
		is.Equal(sink.String(), "ok")
	}
}
