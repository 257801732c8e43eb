package httpcall

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

const (
	// maxTransfer bounds the time for which a response arrives.
	maxTransfer = 30 * time.Second
	// maxReadBytes bounds one read of a body. A read of a chunked body returns only when
	// the buffer is full or the chunk has ended, which would look like a pause.
	maxReadBytes = 16 << 10
)

// errStalled ends a transfer in which nothing arrives. It counts as a timeout.
var errStalled = fmt.Errorf("response has stalled: %w", context.DeadlineExceeded)

// A transfer is a call whose context has a deadline for the beginning of the response.
// The response may arrive for longer, as long as no pause in it exceeds the bound: how
// long it takes depends on its size and on the link.
type transfer struct {
	// ctx is that of the call.
	ctx    context.Context
	cancel context.CancelCauseFunc
	unlink func() bool
	pause  time.Duration

	mu    sync.Mutex
	timer *time.Timer // Of the present pause; nil until the response begins.
	limit *time.Timer
}

func newTransfer(ctx context.Context, pause time.Duration) *transfer {
	t := &transfer{pause: pause}
	t.ctx, t.cancel = context.WithCancelCause(context.WithoutCancel(ctx))
	t.unlink = context.AfterFunc(ctx, func() {
		if !errors.Is(ctx.Err(), context.DeadlineExceeded) || !t.begun() {
			t.cancel(context.Cause(ctx))
		}
	})
	return t
}

func (t *transfer) begun() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.timer != nil
}

// begin records that the response has begun.
func (t *transfer) begin() {
	t.mu.Lock()
	defer t.mu.Unlock()
	stall := func() { t.cancel(errStalled) }
	t.timer, t.limit = time.AfterFunc(t.pause, stall), time.AfterFunc(maxTransfer, stall)
}

// extend begins the next pause.
func (t *transfer) extend() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer.Reset(t.pause)
}

// close releases the resources of the transfer.
func (t *transfer) close() {
	t.unlink()
	t.cancel(nil)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer != nil {
		t.timer.Stop()
		t.limit.Stop()
	}
}

// A body is a response body that reports what arrives.
type body struct {
	io.Reader
	call *transfer // Nil if the context bounds the whole response.
	ctx  context.Context
	// size is the length of the body, or negative if it is not known.
	size    int64
	arrived int64
}

// Read reads the next piece of the body.
func (b *body) Read(p []byte) (n int, err error) {
	n, err = b.Reader.Read(p[:min(len(p), maxReadBytes)])
	if n > 0 {
		b.arrived += int64(n)
		if b.call != nil {
			b.call.extend()
		}
		gypsumyard.ReportProgress(b.ctx, gypsumyard.Progress{Arrived: b.arrived, Size: max(b.size, 0)})
	}
	return n, err
}
