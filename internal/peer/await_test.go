package peer

import (
	"bytes"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/peer/peerpb"
	"github.com/matryer/is"
)

// Guards against an answer that is reported as complete without its chunks. The
// link ends after the final frame has arrived and before the request's goroutine
// has read it.
func TestWholeAnswerBeforeLinkEnds(t *testing.T) {
	is := is.New(t)
	l := &link{done: make(chan struct{})}
	// Without a notify channel, only the end of the link wakes the request.
	c := &call{window: windowBytes, allowed: windowBytes}
	var sink bytes.Buffer
	ended := make(chan error, 1)
	go func() {
		_, err := l.awaitAnswer(t.Context(), c, &sink)
		ended <- err
	}()
	time.Sleep(20 * time.Millisecond)
	is.NoErr(c.addChunk([]byte("answer")))
	_, err := c.finish(&peerpb.Final{Result: encodeResult(gypsumyard.Result{})})
	is.NoErr(err)
	close(l.done)
	is.NoErr(<-ended)
	is.Equal(sink.String(), "answer")
}
