package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/peer/peerpb"
	"storj.io/drpc"
)

const (
	// dataQueueLength is the number of frames of up to partBytes that may wait
	// for the writer. Further senders block, which bounds the memory of a
	// stream to 1 MB.
	dataQueueLength = 32
	// partBytes is the maximum size of the parts that requests and answers are
	// split into, so that several of them interleave on the connection.
	partBytes = 32 << 10
	// maxControlFrames bounds the queue of control frames, which are queued
	// without blocking. It overflows only if the peer does not read.
	maxControlFrames = 16 << 10
)

var (
	errOverflow         = errors.New("peer does not read")
	errKeepaliveTimeout = errors.New("connection is silent")
	errClosed           = errors.New("closed")
)

// A firstError holds the error that ended a connection. Later errors are
// consequences of it and are ignored.
type firstError struct {
	mu  sync.Mutex
	err error
}

// set stores err if it is the first error, and reports whether it is.
func (f *firstError) set(err error) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil {
		return false
	}
	f.err = err
	return true
}

// cause returns the first error, or nil while there is none.
func (f *firstError) cause() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}

// A frameStream is a generated drpc stream of the client or the server.
type frameStream interface {
	drpc.Stream
	Send(*peerpb.Frame) error
	Recv() (*peerpb.Frame, error)
}

// A stream is one drpc stream with its connection, its reader and its writer.
type stream struct {
	firstError
	frames  frameStream
	conn    net.Conn
	clock   gypsumyard.Clock
	data    chan queuedFrame
	wake    chan struct{}
	done    chan struct{}
	started time.Time
	// received is when the last frame was received, in nanoseconds since
	// started.
	received atomic.Int64
	// quietChecks is the number of checks since then that found the stream
	// quiet.
	quietChecks atomic.Int32

	mu             sync.Mutex
	control        []*peerpb.Frame
	receivedSignal chan struct{}
}

// A queuedFrame is a frame that waits for the writer. The writer calls
// beforeWrite, if not nil, when it takes the frame, and skips the frame if
// beforeWrite returns false.
type queuedFrame struct {
	frame       *peerpb.Frame
	beforeWrite func() bool
}

func newStream(w frameStream, conn net.Conn, c gypsumyard.Clock) *stream {
	return &stream{
		frames:  w,
		conn:    conn,
		clock:   c,
		data:    make(chan queuedFrame, dataQueueLength),
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
		started: c.Now(),
	}
}

// fail ends the stream with err and closes its connection. Later calls do nothing.
func (s *stream) fail(err error) {
	if s.set(err) {
		close(s.done)
		_ = s.conn.Close()
	}
}

// post queues a control frame without blocking. Control frames are sent before
// queued data frames.
func (s *stream) post(f *peerpb.Frame) {
	s.mu.Lock()
	full := len(s.control) >= maxControlFrames
	if !full {
		s.control = append(s.control, f)
	}
	s.mu.Unlock()
	if full {
		s.fail(errOverflow)
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *stream) takeControl() []*peerpb.Frame {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.control
	s.control = nil
	return c
}

// write runs the stream's writer until the stream ends.
func (s *stream) write() {
	for {
		select {
		case <-s.done:
			return
		case <-s.wake:
		case o := <-s.data:
			if err := s.send(o); err != nil {
				s.fail(err)
				return
			}
		}
		if err := s.writeQueued(); err != nil {
			s.fail(err)
			return
		}
	}
}

// writeQueued writes all queued frames and flushes once, so that frames that are
// ready at the same time share a system call.
func (s *stream) writeQueued() error {
	for {
		for _, f := range s.takeControl() {
			if err := s.frames.Send(f); err != nil {
				return fmt.Errorf("send: %w", err)
			}
		}
		select {
		case o := <-s.data:
			if err := s.send(o); err != nil {
				return err
			}
		default:
			return flush(s.frames)
		}
	}
}

func (s *stream) send(o queuedFrame) error {
	if o.beforeWrite != nil && !o.beforeWrite() {
		return nil
	}
	if err := s.frames.Send(o.frame); err != nil {
		return fmt.Errorf("send: %w", err)
	}
	return nil
}

// flush sends what drpc has buffered. It is needed because the streams are
// configured with ManualFlush.
func flush(w frameStream) error {
	type flusher interface{ RawFlush() error }
	var s any = w
	if g, ok := w.(interface{ GetStream() drpc.Stream }); ok {
		s = g.GetStream()
	}
	f, ok := s.(flusher)
	if !ok {
		return fmt.Errorf("flush: %T cannot", s)
	}
	return f.RawFlush()
}

// read runs the stream's reader until the stream ends or handle returns an error.
// handle must not block.
func (s *stream) read(handle func(*peerpb.Frame) error) {
	for {
		f, err := s.frames.Recv()
		if err != nil {
			s.fail(fmt.Errorf("receive: %w", err))
			return
		}
		s.recordReceived()
		switch f.Body.(type) {
		case *peerpb.Frame_Ping:
			s.post(&peerpb.Frame{Body: &peerpb.Frame_Pong{Pong: &peerpb.Pong{}}})
			continue
		case *peerpb.Frame_Pong:
			continue
		}
		if err := handle(f); err != nil {
			s.fail(err)
			return
		}
	}
}

// awaitSent waits until the frames that are queued now have been sent, the stream has
// ended or ctx is done.
func (s *stream) awaitSent(ctx context.Context) {
	sent := make(chan struct{})
	last := queuedFrame{beforeWrite: func() bool {
		_ = flush(s.frames) // An error ends the stream at its next use.
		close(sent)
		return false
	}}
	select {
	case s.data <- last:
	case <-s.done:
		return
	case <-ctx.Done():
		return
	}
	select {
	case <-sent:
	case <-s.done:
	case <-ctx.Done():
	}
}

func (s *stream) recordReceived() {
	s.received.Store(int64(s.clock.Since(s.started)))
	s.quietChecks.Store(0)
	s.mu.Lock()
	if s.receivedSignal != nil {
		close(s.receivedSignal)
		s.receivedSignal = nil
	}
	s.mu.Unlock()
}

// sinceReceived returns the time since the last frame was received, or since the
// stream was opened.
func (s *stream) sinceReceived() time.Duration {
	return s.clock.Since(s.started) - time.Duration(s.received.Load())
}

// nextReceived returns a channel that is closed when the next frame is received.
func (s *stream) nextReceived() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.receivedSignal == nil {
		s.receivedSignal = make(chan struct{})
	}
	return s.receivedSignal
}

func (s *stream) ping() {
	s.post(&peerpb.Frame{Body: &peerpb.Frame_Ping{Ping: &peerpb.Ping{}}})
}
