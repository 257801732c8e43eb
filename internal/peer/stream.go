package peer

import (
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
	// dataQueue is how many frames of up to partBytes wait for the writer. A
	// sender beyond that blocks, which bounds the memory of a stream to 1 MB.
	dataQueue = 32
	// partBytes is the size of the pieces of requests and answers, so that
	// the pieces of several requests take turns on the connection.
	partBytes = 32 << 10
	// maxControl bounds the small frames that are queued without waiting. A
	// peer that makes this host queue more does not read its answers.
	maxControl = 16 << 10
)

var (
	errOverflow = errors.New("peer does not read")
	errSilent   = errors.New("connection is silent")
	errClosed   = errors.New("closed")
)

// A firstError keeps why a connection ended. Later errors are consequences.
type firstError struct {
	mu  sync.Mutex
	err error
}

// set reports whether err is the first error.
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

// A wire is a generated stream of either side.
type wire interface {
	drpc.Stream
	Send(*peerpb.Frame) error
	Recv() (*peerpb.Frame, error)
}

// A stream is one drpc stream with its connection, its reader and its writer.
type stream struct {
	firstError
	wire    wire
	conn    net.Conn
	clock   gypsumyard.Clock
	data    chan outgoing
	wake    chan struct{}
	done    chan struct{}
	started time.Time
	// received is when the last frame came, in time since started.
	received atomic.Int64
	// quietChecks counts the checks since then that found the stream quiet.
	quietChecks atomic.Int32

	mu      sync.Mutex
	control []*peerpb.Frame
	heard   chan struct{}
}

// An outgoing frame is written unless before says that it is not wanted any
// more. The writer calls before at the moment it takes the frame.
type outgoing struct {
	frame  *peerpb.Frame
	before func() bool
}

func newStream(w wire, conn net.Conn, c gypsumyard.Clock) *stream {
	return &stream{
		wire:    w,
		conn:    conn,
		clock:   c,
		data:    make(chan outgoing, dataQueue),
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
		started: c.Now(),
	}
}

// fail ends the stream.
func (s *stream) fail(err error) {
	if s.set(err) {
		close(s.done)
		_ = s.conn.Close()
	}
}

// post queues a small frame without waiting, ahead of all data.
func (s *stream) post(f *peerpb.Frame) {
	s.mu.Lock()
	full := len(s.control) >= maxControl
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

// write is the stream's writer. It ends with the stream.
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
		if err := s.drain(); err != nil {
			s.fail(err)
			return
		}
	}
}

// drain writes what is queued and flushes once, so that frames that are ready
// together share a system call.
func (s *stream) drain() error {
	for {
		for _, f := range s.takeControl() {
			if err := s.wire.Send(f); err != nil {
				return fmt.Errorf("send: %w", err)
			}
		}
		select {
		case o := <-s.data:
			if err := s.send(o); err != nil {
				return err
			}
		default:
			return flush(s.wire)
		}
	}
}

func (s *stream) send(o outgoing) error {
	if o.before != nil && !o.before() {
		return nil
	}
	if err := s.wire.Send(o.frame); err != nil {
		return fmt.Errorf("send: %w", err)
	}
	return nil
}

// flush sends what drpc has buffered. Streams are set to flush by hand.
func flush(w wire) error {
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

// read is the stream's reader. It returns when the stream ends or when handle
// refuses a frame. handle must not wait.
func (s *stream) read(handle func(*peerpb.Frame) error) {
	for {
		f, err := s.wire.Recv()
		if err != nil {
			s.fail(fmt.Errorf("receive: %w", err))
			return
		}
		s.noteReceived()
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

func (s *stream) noteReceived() {
	s.received.Store(int64(s.clock.Since(s.started)))
	s.quietChecks.Store(0)
	s.mu.Lock()
	if s.heard != nil {
		close(s.heard)
		s.heard = nil
	}
	s.mu.Unlock()
}

// silence returns for how long nothing has been received.
func (s *stream) silence() time.Duration {
	return s.clock.Since(s.started) - time.Duration(s.received.Load())
}

// nextReceived returns a channel that is closed when the next frame comes.
func (s *stream) nextReceived() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heard == nil {
		s.heard = make(chan struct{})
	}
	return s.heard
}

func (s *stream) ping() {
	s.post(&peerpb.Frame{Body: &peerpb.Frame_Ping{Ping: &peerpb.Ping{}}})
}
