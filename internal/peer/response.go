package peer

import (
	"context"
	"fmt"
	"sync"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/peer/peerpb"
)

// A sendWindow is the sender's side of the flow control of an answer. It holds the
// number of bytes that the entry host still accepts.
type sendWindow struct {
	mu          sync.Mutex
	available   int
	replenished chan struct{}
}

func newSendWindow(n int) *sendWindow {
	return &sendWindow{available: n, replenished: make(chan struct{}, 1)}
}

func (w *sendWindow) add(n int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.available+n > windowBytes {
		return fmt.Errorf("%w: credit over the window", errMalformed)
	}
	w.available += n
	select {
	case w.replenished <- struct{}{}:
	default:
	}
	return nil
}

// reserve waits until at least one byte may be sent and returns how many of the
// wanted bytes may be sent.
func (w *sendWindow) reserve(ctx context.Context, want int) (int, error) {
	for {
		w.mu.Lock()
		n := min(want, w.available)
		w.available -= n
		w.mu.Unlock()
		if n > 0 {
			return n, nil
		}
		select {
		case <-w.replenished:
		case <-ctx.Done():
			return 0, context.Cause(ctx)
		}
	}
}

// A responseSink is the sink of one request. It buffers up to shortBytes, which
// the final message carries. A longer answer is sent completely over the bulk
// stream.
type responseSink struct {
	in       *inboundLink
	request  *inboundRequest
	buffered []byte
	bulk     bool
}

// Write sends or buffers a chunk of the answer. It blocks while the window is
// exhausted.
func (s *responseSink) Write(p []byte) (int, error) {
	if !s.bulk && len(s.buffered)+len(p) <= shortBytes {
		s.buffered = append(s.buffered, p...)
		return len(p), nil
	}
	if !s.bulk {
		s.bulk = true
		if err := s.send(s.buffered); err != nil {
			return 0, err
		}
		s.buffered = nil
	}
	if err := s.send(p); err != nil {
		return 0, err
	}
	return len(p), nil
}

func (s *responseSink) send(p []byte) error {
	for len(p) > 0 {
		n, err := s.request.window.reserve(s.request.ctx, min(len(p), partBytes))
		if err != nil {
			return err
		}
		data := append([]byte(nil), p[:n]...)
		p = p[n:]
		f := &peerpb.Frame{Id: s.request.id, Body: &peerpb.Frame_Chunk{Chunk: &peerpb.Chunk{Data: data}}}
		if err := s.enqueue(s.request.ctx, f); err != nil {
			return err
		}
	}
	return nil
}

// enqueue queues a frame for the writer of the answer's stream. The chunks and the
// final message of an answer go through the same queue and keep their order.
func (s *responseSink) enqueue(ctx context.Context, f *peerpb.Frame) error {
	st := s.in.short
	if s.bulk {
		st = s.in.bulk
	}
	select {
	case st.data <- queuedFrame{frame: f}:
		return nil
	case <-st.done:
		return st.cause()
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// sendFinal sends the final message. If the request failed, buffered data is
// dropped and the error is the whole answer.
func (s *responseSink) sendFinal(res gypsumyard.Result, err error) {
	if err != nil {
		s.buffered = nil
	}
	_ = s.enqueue(context.Background(), finalFrame(s.request.id, res, err, s.buffered)) // An answer cannot be sent over a broken stream.
}

func finalFrame(id uint64, res gypsumyard.Result, err error, data []byte) *peerpb.Frame {
	f := &peerpb.Final{Data: data, Result: encodeResult(res), Error: encodeError(err)}
	return &peerpb.Frame{Id: id, Body: &peerpb.Frame_Final{Final: f}}
}
