package peer

import (
	"bytes"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/peer/peerpb"
	"github.com/matryer/is"
)

// Guards against an answer that lacks its chunks although it counts as whole:
// the link ended after the last frame came and before the request took it.
func TestWholeAnswerBeforeLinkEnds(t *testing.T) {
	is := is.New(t)
	l := &link{done: make(chan struct{})}
	// Without a notify channel the end of the link is what wakes the request.
	c := &call{window: windowBytes, allowed: windowBytes}
	var sink bytes.Buffer
	ended := make(chan error, 1)
	go func() {
		_, err := l.await(t.Context(), c, &sink)
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
