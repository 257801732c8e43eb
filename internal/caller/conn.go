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
	// outBound is how many bytes of the answer may wait for the caller.
	outBound = 128 * kib
	// outChunk is the largest piece handed to nbio at a time.
	outChunk = 32 * kib
	// keepBuffer is the largest input buffer that an idle connection keeps.
	keepBuffer = 16 * kib
	// appendWait bounds how long the data callback waits for a session that
	// is reading; it holds up the other connections of the same poller.
	appendWait = 100 * time.Millisecond
	// discardBound is how much a connection over its bound may still send
	// before it is closed without a message.
	discardBound = 16 * mib
	// lingerTime is how long a connection stays open after the last message,
	// so that a reset does not overtake it.
	lingerTime = 250 * time.Millisecond
)

var (
	errOverflow    = errors.New("input buffer is full")
	errStartup     = errors.New("startup took too long")
	errSlowCaller  = errors.New("caller does not read its answer")
	errServerStops = errors.New("server stops")
)

// A budget bounds the bytes held for all connections, or for those of one
// customer as a part of them.
type budget struct {
	used  atomic.Int64
	limit int64
	// whole is the budget that this one is part of, or nil.
	whole *budget
}

func (b *budget) take(n int) bool {
	if b == nil {
		return true
	}
	if b.used.Add(int64(n)) > b.limit || !b.whole.take(n) {
		b.used.Add(int64(-n))
		return false
	}
	return true
}

func (b *budget) give(n int) {
	if b != nil {
		b.used.Add(int64(-n))
		b.whole.give(n)
	}
}

// A conn is a caller's connection: an io.Reader and an io.Writer for the
// goroutine of its session.
type conn struct {
	socket *nbio.Conn
	clock  gypsumyard.Clock
	budget *budget
	bound  int
	// writeTime is how long the caller may leave the answer unread.
	writeTime time.Duration
	// stop ends all waits.
	stop <-chan struct{}

	mu        sync.Mutex
	in        []byte
	off       int
	pending   int
	discarded int
	reading   bool
	overflow  bool
	closed    bool
	// onClose is called once when the connection has ended.
	onClose func()

	arrived chan struct{}
	taken   chan struct{}
	written chan struct{}
	done    chan struct{}

	// deadline and interrupt end a Read, used by the session's goroutine
	// only. onInterrupt decides whether the Read goes on.
	deadline    <-chan time.Time
	interrupt   <-chan struct{}
	onInterrupt func() error
	onDeadline  error
}

func newConn(socket *nbio.Conn, s *Server) *conn {
	return &conn{
		socket:    socket,
		clock:     s.clock,
		budget:    &s.budget,
		bound:     min(startupBuffer, s.limits.ConnectionBuffer),
		writeTime: s.limits.WriteTimeout,
		stop:      s.stopping,
		arrived:   make(chan struct{}, 1),
		taken:     make(chan struct{}, 1),
		written:   make(chan struct{}, 1),
		done:      make(chan struct{}),
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// append is nbio's data callback.
func (c *conn) append(data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.fits(len(data)) || !c.budget.take(len(data)) {
		c.discard(len(data))
		return
	}
	if c.off > 0 && len(c.in)+len(data) > cap(c.in) {
		c.in = c.in[:copy(c.in, c.in[c.off:])]
		c.off = 0
	}
	c.in = append(c.in, data...)
	signal(c.arrived)
}

// fits reports whether n more bytes fit. While the session is reading, it is
// given a moment to make room: a long batch may arrive faster than it is read.
func (c *conn) fits(n int) bool {
	if c.overflow || c.closed {
		return false
	}
	if len(c.in)-c.off+n <= c.bound {
		return true
	}
	timeout := systemClock.NewTimer(appendWait)
	defer timeout.Stop()
	for c.reading && !c.closed && len(c.in)-c.off+n > c.bound {
		c.mu.Unlock()
		expired := false
		select {
		case <-c.taken:
		case <-timeout.C():
			expired = true
		}
		c.mu.Lock()
		if expired {
			break
		}
	}
	return !c.closed && len(c.in)-c.off+n <= c.bound
}

func (c *conn) discard(n int) {
	c.overflow = true
	c.discarded += n
	signal(c.arrived)
	if c.discarded > discardBound {
		c.socket.Close()
	}
}

// Read waits for input. It is called by the session's goroutine only.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.take(p)
		if n > 0 || err != nil {
			return n, err
		}
		select {
		case <-c.arrived:
		case <-c.done:
		case <-c.stop:
			return 0, errServerStops
		case <-c.deadline:
			return 0, c.onDeadline
		case <-c.interrupt:
			if err := c.onInterrupt(); err != nil {
				return 0, err
			}
		}
	}
}

func (c *conn) take(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = true
	n := copy(p, c.in[c.off:])
	c.off += n
	c.budget.give(n)
	if c.off == len(c.in) {
		c.off = 0
		c.in = c.in[:0]
		if cap(c.in) > keepBuffer {
			c.in = nil
		}
	}
	signal(c.taken)
	switch {
	case n > 0 || len(p) == 0:
		return n, nil
	case c.overflow:
		return 0, errOverflow
	case c.closed:
		return 0, io.EOF
	}
	return 0, nil
}

// setLimits changes how much the caller may send ahead and what it counts
// against.
func (c *conn) setLimits(bound int, b *budget) {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting := len(c.in) - c.off
	c.bound = bound
	c.budget.give(waiting)
	c.budget = b
	b.give(-waiting)
}

// pauseReading tells the data callback that the session does not read now.
func (c *conn) pauseReading() {
	c.mu.Lock()
	c.reading = false
	c.mu.Unlock()
	signal(c.taken)
}

// Write sends p and blocks while too much waits for the caller. It fails and
// closes the connection if the caller does not take a chunk in the write time.
func (c *conn) Write(p []byte) (n int, err error) {
	c.pauseReading()
	for len(p) > 0 {
		chunk := p[:min(len(p), outChunk)]
		c.mu.Lock()
		c.pending += len(chunk)
		c.mu.Unlock()
		if _, err := c.socket.Write(chunk); err != nil {
			return n, err
		}
		if err := c.awaitWritten(outBound, c.writeTime); err != nil {
			c.socket.Close()
			return n, err
		}
		n += len(chunk)
		p = p[len(chunk):]
	}
	return n, nil
}

// awaitWritten waits for at most the given time until at most limit bytes wait
// for the caller. Progress does not extend the time: a caller that takes a byte
// now and then would hold the goroutine for ever.
func (c *conn) awaitWritten(limit int, patience time.Duration) error {
	var timer gypsumyard.Timer
	for {
		c.mu.Lock()
		pending := c.pending
		c.mu.Unlock()
		if pending <= limit {
			return nil
		}
		if timer == nil {
			timer = c.clock.NewTimer(patience)
			defer timer.Stop()
		}
		select {
		case <-c.written:
		case <-c.done:
			return io.ErrClosedPipe
		case <-c.stop:
			return errServerStops
		case <-timer.C():
			return errSlowCaller
		}
	}
}

// noteWritten is nbio's callback after n bytes went to the kernel.
func (c *conn) noteWritten(n int) {
	c.mu.Lock()
	c.pending -= n
	c.mu.Unlock()
	signal(c.written)
}

// noteClosed is nbio's callback for the end of the connection.
func (c *conn) noteClosed() {
	c.mu.Lock()
	closed := c.closed
	c.closed = true
	onClose := c.onClose
	c.mu.Unlock()
	if closed {
		return
	}
	close(c.done)
	signal(c.taken)
	if onClose != nil {
		onClose()
	}
}

// setOnClose sets what is called when the connection has ended.
func (c *conn) setOnClose(f func()) {
	c.mu.Lock()
	c.onClose = f
	closed := c.closed
	c.mu.Unlock()
	if closed {
		f()
	}
}

// close ends the connection after what was written has reached the caller. It
// gives the caller a moment to close first, for two reasons. Input that the
// caller still sends would make the kernel reset the connection and drop the
// last message. And a descriptor that this goroutine closes may belong to a new
// connection by the time nbio's poller handles the end of the old one, which
// then closes the new one: without the wait that was the end of about one of
// 8000 connections that came and went quickly.
//
// Half-closing is not possible: nbio hands out the descriptor of a closed
// connection, which another one may use by then.
func (c *conn) close() {
	if c.awaitWritten(0, lingerTime) == nil {
		c.awaitClosed()
	}
	c.socket.Close()
	c.noteClosed()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget.give(len(c.in) - c.off)
	c.in = nil
	c.off = 0
}

func (c *conn) awaitClosed() {
	timer := systemClock.NewTimer(lingerTime)
	defer timer.Stop()
	select {
	case <-c.done:
	case <-c.stop:
	case <-timer.C():
	}
}
