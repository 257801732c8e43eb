package caller

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/lesismal/nbio"
)

const (
	// maxPendingWrite is the maximum number of response bytes queued for the
	// client.
	maxPendingWrite = 128 * kib
	// maxWriteChunk is the maximum number of bytes passed to nbio in one write.
	maxWriteChunk = 32 * kib
	// maxIdleBuffer is the capacity of the largest input buffer that is kept
	// while it is empty.
	maxIdleBuffer = 16 * kib
	// inputSpaceTimeout limits how long the data callback waits for space in
	// the input buffer while the session reads. Meanwhile the other connections
	// of the same poller are blocked.
	inputSpaceTimeout = 100 * time.Millisecond
	// maxDiscarded is how many bytes are discarded after the input buffer has
	// overflowed before the connection is closed without an error message.
	maxDiscarded = 16 * mib
	// lingerTimeout is how long a connection stays open after the last message,
	// so that a TCP reset does not destroy the message before it is read.
	lingerTimeout = 250 * time.Millisecond
)

var (
	errInputOverflow  = errors.New("input buffer is full")
	errStartupTimeout = errors.New("startup took too long")
	errSlowClient     = errors.New("client did not read its response within the write timeout")
	errServerStopped  = errors.New("server is stopping")
)

// A budget limits the memory held for all connections, or for the connections
// of one customer. What is reserved from a customer's budget also counts
// against its parent.
type budget struct {
	used  atomic.Int64
	limit int64
	// parent is the budget that includes this one, or nil.
	parent *budget
}

func (b *budget) reserve(n int) bool {
	if b == nil {
		return true
	}
	if b.used.Add(int64(n)) > b.limit || !b.parent.reserve(n) {
		b.used.Add(int64(-n))
		return false
	}
	return true
}

func (b *budget) release(n int) {
	if b != nil {
		b.used.Add(int64(-n))
		b.parent.release(n)
	}
}

// A conn is a client connection. Its io.Reader and io.Writer methods are for
// the goroutine of its session.
type conn struct {
	socket     *nbio.Conn
	clock      gypsumyard.Clock
	budget     *budget
	inputLimit int
	// writeTimeout is how long the client may leave the response unread.
	writeTimeout time.Duration
	// stop is closed when the server stops. It ends all waits.
	stop <-chan struct{}

	mu           sync.Mutex
	input        []byte
	readOffset   int
	pendingWrite int
	discarded    int
	reading      bool
	overflow     bool
	closed       bool
	// onClose is called once, after the connection has been closed.
	onClose func()

	inputAdded chan struct{}
	inputRead  chan struct{}
	written    chan struct{}
	done       chan struct{}

	// deadline ends a Read with the error onDeadline. On interrupt, Read calls
	// onInterrupt, and continues if that returns nil. These fields are used by
	// the session's goroutine only.
	deadline    <-chan time.Time
	interrupt   <-chan struct{}
	onInterrupt func() error
	onDeadline  error
}

func newConn(socket *nbio.Conn, s *Server) *conn {
	return &conn{
		socket:       socket,
		clock:        s.clock,
		budget:       &s.budget,
		inputLimit:   min(startupBuffer, s.limits.ConnectionBuffer),
		writeTimeout: s.limits.WriteTimeout,
		stop:         s.stopping,
		inputAdded:   make(chan struct{}, 1),
		inputRead:    make(chan struct{}, 1),
		written:      make(chan struct{}, 1),
		done:         make(chan struct{}),
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// handleData is nbio's data callback.
func (c *conn) handleData(data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.awaitSpace(len(data)) || !c.budget.reserve(len(data)) {
		c.discard(len(data))
		return
	}
	if c.readOffset > 0 && len(c.input)+len(data) > cap(c.input) {
		c.input = c.input[:copy(c.input, c.input[c.readOffset:])]
		c.readOffset = 0
	}
	c.input = append(c.input, data...)
	signal(c.inputAdded)
}

// awaitSpace reports whether n more bytes fit into the input buffer. While the
// session is reading, it waits up to inputSpaceTimeout for space, since a long
// batch may arrive faster than it is read.
func (c *conn) awaitSpace(n int) bool {
	if c.overflow || c.closed {
		return false
	}
	if len(c.input)-c.readOffset+n <= c.inputLimit {
		return true
	}
	timeout := systemClock.NewTimer(inputSpaceTimeout)
	defer timeout.Stop()
	for c.reading && !c.closed && len(c.input)-c.readOffset+n > c.inputLimit {
		c.mu.Unlock()
		expired := false
		select {
		case <-c.inputRead:
		case <-timeout.C():
			expired = true
		}
		c.mu.Lock()
		if expired {
			break
		}
	}
	return !c.closed && len(c.input)-c.readOffset+n <= c.inputLimit
}

func (c *conn) discard(n int) {
	c.overflow = true
	c.discarded += n
	signal(c.inputAdded)
	if c.discarded > maxDiscarded {
		c.socket.Close()
	}
}

// Read blocks until there is input. It is called by the session's goroutine
// only.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.readBuffered(p)
		if n > 0 || err != nil {
			return n, err
		}
		select {
		case <-c.inputAdded:
		case <-c.done:
		case <-c.stop:
			return 0, errServerStopped
		case <-c.deadline:
			return 0, c.onDeadline
		case <-c.interrupt:
			if err := c.onInterrupt(); err != nil {
				return 0, err
			}
		}
	}
}

func (c *conn) readBuffered(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = true
	n := copy(p, c.input[c.readOffset:])
	c.readOffset += n
	c.budget.release(n)
	if c.readOffset == len(c.input) {
		c.readOffset = 0
		c.input = c.input[:0]
		if cap(c.input) > maxIdleBuffer {
			c.input = nil
		}
	}
	signal(c.inputRead)
	switch {
	case n > 0 || len(p) == 0:
		return n, nil
	case c.overflow:
		return 0, errInputOverflow
	case c.closed:
		return 0, io.EOF
	}
	return 0, nil
}

// setInputLimit changes the maximum number of unread input bytes, and moves the
// bytes buffered now to budget b.
func (c *conn) setInputLimit(limit int, b *budget) {
	c.mu.Lock()
	defer c.mu.Unlock()
	unread := len(c.input) - c.readOffset
	c.inputLimit = limit
	c.budget.release(unread)
	c.budget = b
	b.release(-unread)
}

// pauseReading tells the data callback that the session is not reading, so that
// the callback does not wait for space.
func (c *conn) pauseReading() {
	c.mu.Lock()
	c.reading = false
	c.mu.Unlock()
	signal(c.inputRead)
}

// Write sends p. It blocks while more than maxPendingWrite bytes are queued for
// the client. If that takes longer than the write timeout for one chunk, it
// closes the connection and fails.
func (c *conn) Write(p []byte) (n int, err error) {
	c.pauseReading()
	for len(p) > 0 {
		chunk := p[:min(len(p), maxWriteChunk)]
		c.mu.Lock()
		c.pendingWrite += len(chunk)
		c.mu.Unlock()
		if _, err := c.socket.Write(chunk); err != nil {
			return n, err
		}
		if err := c.awaitWritten(maxPendingWrite, c.writeTimeout); err != nil {
			c.socket.Close()
			return n, err
		}
		n += len(chunk)
		p = p[len(chunk):]
	}
	return n, nil
}

// awaitWritten waits until at most limit bytes are queued for the client, or
// the timeout has expired. Progress does not extend the timeout: a client that
// reads a byte now and then would block the goroutine indefinitely.
func (c *conn) awaitWritten(limit int, timeout time.Duration) error {
	var timer gypsumyard.Timer
	for {
		c.mu.Lock()
		pending := c.pendingWrite
		c.mu.Unlock()
		if pending <= limit {
			return nil
		}
		if timer == nil {
			timer = c.clock.NewTimer(timeout)
			defer timer.Stop()
		}
		select {
		case <-c.written:
		case <-c.done:
			return io.ErrClosedPipe
		case <-c.stop:
			return errServerStopped
		case <-timer.C():
			return errSlowClient
		}
	}
}

// handleWritten is nbio's callback after n bytes were written to the kernel.
func (c *conn) handleWritten(n int) {
	c.mu.Lock()
	c.pendingWrite -= n
	c.mu.Unlock()
	signal(c.written)
}

// handleClosed is nbio's callback for the end of the connection.
func (c *conn) handleClosed() {
	c.mu.Lock()
	closed := c.closed
	c.closed = true
	onClose := c.onClose
	c.mu.Unlock()
	if closed {
		return
	}
	close(c.done)
	signal(c.inputRead)
	if onClose != nil {
		onClose()
	}
}

// setOnClose sets the function to call after the connection has been closed. If
// it is closed already, the function is called at once.
func (c *conn) setOnClose(f func()) {
	c.mu.Lock()
	c.onClose = f
	closed := c.closed
	c.mu.Unlock()
	if closed {
		f()
	}
}

// close closes the connection after the queued output has been written. It
// first waits up to lingerTimeout for the client to close, for two reasons.
// Input that the client still sends would make the kernel reset the connection
// and drop the last message. And a file descriptor that this goroutine closes
// may be reused by a new connection before nbio's poller handles the end of the
// old one; the poller then closes the new connection. Without the wait, about
// one of 8000 short-lived connections was closed this way.
//
// Half-closing is not possible: nbio exposes the file descriptor of a
// connection even after it was closed, when another connection may already use
// it.
func (c *conn) close() {
	if c.awaitWritten(0, lingerTimeout) == nil {
		c.awaitClosed()
	}
	c.socket.Close()
	c.handleClosed()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget.release(len(c.input) - c.readOffset)
	c.input = nil
	c.readOffset = 0
}

func (c *conn) awaitClosed() {
	timer := systemClock.NewTimer(lingerTimeout)
	defer timer.Stop()
	select {
	case <-c.done:
	case <-c.stop:
	case <-timer.C():
	}
}
