package peer

import (
	"context"
	"fmt"
	"sync"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/peer/peerpb"
)

// A window counts how many bytes of an answer the entry host still takes.
type window struct {
	mu   sync.Mutex
	left int
	more chan struct{}
}

func newWindow(n int) *window { return &window{left: n, more: make(chan struct{}, 1)} }

func (w *window) add(n int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.left+n > windowBytes {
		return fmt.Errorf("%w: credit over the window", errMalformed)
	}
	w.left += n
	select {
	case w.more <- struct{}{}:
	default:
	}
	return nil
}

// take waits until at least one byte may be sent and returns how many of the
// wanted bytes may.
func (w *window) take(ctx context.Context, want int) (int, error) {
	for {
		w.mu.Lock()
		n := min(want, w.left)
		w.left -= n
		w.mu.Unlock()
		if n > 0 {
			return n, nil
		}
		select {
		case <-w.more:
		case <-ctx.Done():
			return 0, context.Cause(ctx)
		}
	}
}

// An answer is the sink of one request. It keeps up to shortBytes; when more
// comes, all of the answer goes over the bulk stream.
type answer struct {
	in   *inbound
	run  *run
	kept []byte
	bulk bool
}

// Write takes a chunk of the answer. It blocks while the window is empty.
func (a *answer) Write(p []byte) (int, error) {
	if !a.bulk && len(a.kept)+len(p) <= shortBytes {
		a.kept = append(a.kept, p...)
		return len(p), nil
	}
	if !a.bulk {
		a.bulk = true
		if err := a.send(a.kept); err != nil {
			return 0, err
		}
		a.kept = nil
	}
	if err := a.send(p); err != nil {
		return 0, err
	}
	return len(p), nil
}

func (a *answer) send(p []byte) error {
	for len(p) > 0 {
		n, err := a.run.window.take(a.run.ctx, min(len(p), partBytes))
		if err != nil {
			return err
		}
		data := append([]byte(nil), p[:n]...)
		p = p[n:]
		f := &peerpb.Frame{Id: a.run.id, Body: &peerpb.Frame_Chunk{Chunk: &peerpb.Chunk{Data: data}}}
		if err := a.queue(a.run.ctx, f); err != nil {
			return err
		}
	}
	return nil
}

// queue hands a frame to the writer of the answer's stream. Chunks and the
// final message of one answer go through the same queue and keep their order.
func (a *answer) queue(ctx context.Context, f *peerpb.Frame) error {
	s := a.in.short
	if a.bulk {
		s = a.in.bulk
	}
	select {
	case s.data <- outgoing{frame: f}:
		return nil
	case <-s.done:
		return s.cause()
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// end sends the final message. What was kept of an answer that failed is
// dropped: the error is the whole answer.
func (a *answer) end(res gypsumyard.Result, err error) {
	if err != nil {
		a.kept = nil
	}
	_ = a.queue(context.Background(), finalFrame(a.run.id, res, err, a.kept)) // A broken stream needs no answer.
}

func finalFrame(id uint64, res gypsumyard.Result, err error, data []byte) *peerpb.Frame {
	f := &peerpb.Final{Data: data, Result: encodeResult(res), Error: encodeError(err)}
	return &peerpb.Frame{Id: id, Body: &peerpb.Frame_Final{Final: f}}
}
