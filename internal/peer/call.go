package peer

import (
	"fmt"
	"sync"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/peer/peerpb"
)

// A callState is how much of a request the stream's writer has taken.
type callState int

const (
	// callQueued means that no part has been written.
	callQueued callState = iota
	// callPartlySent means that some parts but not the last one have been
	// written, so the peer cannot have run the request.
	callPartlySent
	// callSent means that the last part has been handed to the connection.
	callSent
	// callWithdrawn means that the request was given up before its last part
	// was written. No further part will be written.
	callWithdrawn
)

// A call is the client's side of one request to a peer.
type call struct {
	operation peerpb.Operation
	// request is a copy of the request without its messages.
	request gypsumyard.Request
	size    int
	window  int
	notify  chan struct{}

	// The link's lock guards id, state and removed. The writer assigns the ID
	// when it takes the first part, so that IDs only increase on the stream.
	id      uint64
	state   callState
	removed bool

	mu         sync.Mutex
	chunks     [][]byte
	allowed    int
	bulk       bool
	discarding bool
	// aborted indicates that the caller gets an error instead of the answer.
	aborted bool
	final   *peerpb.Final
}

// addChunk queues a chunk of the answer for the request's goroutine.
func (c *call) addChunk(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bulk = true
	if len(b) > c.allowed {
		return fmt.Errorf("%w: answer over its window", errMalformed)
	}
	c.allowed -= len(b)
	if c.discarding {
		return nil
	}
	c.chunks = append(c.chunks, b)
	c.signal()
	return nil
}

// finish stores the final message. It reports whether the call was aborted.
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

// take returns the chunks received since the last take, and the final message
// once it has been received.
func (c *call) take() (chunks [][]byte, final *peerpb.Final) {
	c.mu.Lock()
	defer c.mu.Unlock()
	chunks, c.chunks = c.chunks, nil
	return chunks, c.final
}

// finished reports whether the final message has been received.
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

// discardAnswer drops the received chunks and those that are still to come.
func (c *call) discardAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.discarding = true
	c.chunks = nil
}

// markAborted records that the caller will not get the answer. It returns the
// final message if it was received before.
func (c *call) markAborted() *peerpb.Final {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aborted = true
	return c.final
}

// openedTransaction returns the transaction that the request has opened, or "".
func (c *call) openedTransaction(f *peerpb.Final) string {
	if c.operation != peerpb.Operation_EXECUTE || c.request.Transaction != "" {
		return ""
	}
	return f.GetResult().GetTransaction()
}
