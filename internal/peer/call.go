package peer

import (
	"fmt"
	"sync"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/peer/peerpb"
)

// A callState tells how much of a request the writer has taken.
type callState int

const (
	// callQueued: nothing was written.
	callQueued callState = iota
	// callStarted: some parts were written, but not the last one, so that the
	// peer cannot have run the request.
	callStarted
	// callHanded: the last part was given to the connection.
	callHanded
	// callWithdrawn: the request was given up before its last part was
	// written, and will not be.
	callWithdrawn
)

// A call is one request at a peer, on the entry host's side.
type call struct {
	operation peerpb.Operation
	// request is a copy without messages.
	request gypsumyard.Request
	size    int
	window  int
	notify  chan struct{}

	// The link's lock guards id, state and removed. The writer numbers the
	// call when it takes the first part, so that numbers only grow on the
	// stream.
	id      uint64
	state   callState
	removed bool

	mu        sync.Mutex
	chunks    [][]byte
	allowed   int
	bulk      bool
	forgotten bool
	// aborted indicates that the caller has got an error instead of the answer.
	aborted bool
	final   *peerpb.Final
}

// addChunk queues a chunk of the answer for the goroutine of the request.
func (c *call) addChunk(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bulk = true
	if len(b) > c.allowed {
		return fmt.Errorf("%w: answer over its window", errMalformed)
	}
	c.allowed -= len(b)
	if c.forgotten {
		return nil
	}
	c.chunks = append(c.chunks, b)
	c.signal()
	return nil
}

// finish takes the final message. It reports whether the caller is gone.
func (c *call) finish(f *peerpb.Final) (aborted bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(f.GetData()) > shortBytes || (c.bulk && len(f.GetData()) > 0) {
		return false, fmt.Errorf("%w: final message with %d bytes", errMalformed, len(f.GetData()))
	}
	if f.Result == nil && f.Error == nil {
		return false, fmt.Errorf("%w: final message without result", errMalformed)
	}
	c.final = f
	c.signal()
	return c.aborted, nil
}

func (c *call) signal() {
	select {
	case c.notify <- struct{}{}:
	default:
	}
}

// take returns what has come since the last take.
func (c *call) take() (chunks [][]byte, final *peerpb.Final) {
	c.mu.Lock()
	defer c.mu.Unlock()
	chunks, c.chunks = c.chunks, nil
	return chunks, c.final
}

// finished reports whether the final message has come.
func (c *call) finished() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.final != nil
}

// grant allows the peer to send n more bytes.
func (c *call) grant(n int) {
	c.mu.Lock()
	c.allowed += n
	c.mu.Unlock()
}

// forget drops what has come and will come.
func (c *call) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forgotten = true
	c.chunks = nil
}

// abandonAnswer notes that the caller will not get the answer. It returns the
// final message if that came before.
func (c *call) abandonAnswer() *peerpb.Final {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aborted = true
	return c.final
}

// opened returns the transaction that the request has opened, or "".
func (c *call) opened(f *peerpb.Final) string {
	if c.operation != peerpb.Operation_EXECUTE || c.request.Transaction != "" {
		return ""
	}
	return f.GetResult().GetTransaction()
}
