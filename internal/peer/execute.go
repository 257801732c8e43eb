package peer

import (
	"context"
	"fmt"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/peer/peerpb"
)

// cancelGrace is how long a canceled request waits for the peer to report
// whether it ran. The peer answers at once if the request was still queued.
const cancelGrace = 100 * time.Millisecond

// abandonOrphaned abandons the transaction that the call has opened, if any. The
// caller does not know the transaction, because it gave up the request.
func (l *link) abandonOrphaned(c *call, f *peerpb.Final) {
	if c.openedTransaction(f) == "" {
		return
	}
	r := c.request
	r.Transaction, r.Owner = f.Result.Transaction, f.Result.Owner
	l.remote.service.spawn(func() {
		ctx, cancel := context.WithTimeout(l.remote.service.stopping, abandonTimeout)
		defer cancel()
		_ = executor{l.remote}.Abandon(ctx, &r) // The peer abandons it when the link breaks.
	})
}

// withdraw cancels the request locally if its last part has not been written. It
// reports whether it did so, and whether any part of the request may have been
// sent to the peer.
func (l *link) withdraw(c *call) (withdrawn, partSent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	partSent = c.state != callQueued
	if c.state == callSent {
		return false, partSent
	}
	c.state = callWithdrawn
	return true, partSent
}

// An executor implements gypsumyard.Executor by forwarding requests to one host.
type executor struct{ remote *remote }

// Execute runs the request at the host.
func (e executor) Execute(ctx context.Context, r *gypsumyard.Request, sink gypsumyard.ResponseSink) (gypsumyard.Result, error) {
	return e.do(ctx, peerpb.Operation_EXECUTE, r, sink)
}

// Abandon rolls back the session's open transaction at the host.
func (e executor) Abandon(ctx context.Context, r *gypsumyard.Request) error {
	_, err := e.do(ctx, peerpb.Operation_ABANDON, r, discardSink{})
	return err
}

// CancelStatement asks the host to cancel the statement that the session runs.
func (e executor) CancelStatement(ctx context.Context, r *gypsumyard.Request) error {
	_, err := e.do(ctx, peerpb.Operation_CANCEL_STATEMENT, r, discardSink{})
	return err
}

type discardSink struct{}

func (discardSink) Write(b []byte) (int, error) { return len(b), nil }

func (e executor) do(ctx context.Context, op peerpb.Operation, r *gypsumyard.Request, sink gypsumyard.ResponseSink) (gypsumyard.Result, error) {
	if len(r.Messages) > maxRequestBytes {
		return gypsumyard.Result{}, gypsumyard.Errorf(gypsumyard.ClassProtocol, "request of %d bytes is over %d", len(r.Messages), maxRequestBytes)
	}
	l, err := e.remote.liveLink(ctx)
	if err != nil {
		return gypsumyard.Result{}, notConnected(e.remote.to, err)
	}
	c := &call{operation: op, request: *r, size: len(r.Messages), notify: make(chan struct{}, 1)}
	c.request.Messages = nil
	if !l.register(c) {
		e := gypsumyard.Errorf(gypsumyard.ClassLoad, "too many requests to host %s", l.host)
		e.RetryAfter = cancelGrace
		return gypsumyard.Result{}, e
	}
	e.remote.service.sent.Inc(1)
	if err := l.submit(ctx, c, r); err != nil {
		return gypsumyard.Result{}, l.abort(c, err)
	}
	return l.awaitAnswer(ctx, c, sink)
}

// submit queues the request in parts of up to partBytes.
func (l *link) submit(ctx context.Context, c *call, r *gypsumyard.Request) error {
	p := encodeRequest(c.operation, r, l.clock.Now())
	p.Size = uint64(len(r.Messages))
	p.Window = uint64(c.window)
	rest := r.Messages
	for first := true; first || len(rest) > 0; first = false {
		n := min(len(rest), partBytes)
		f := &peerpb.Frame{Body: &peerpb.Frame_Part{Part: &peerpb.Part{Messages: rest[:n]}}}
		if first {
			p.Messages = rest[:n]
			f.Body = &peerpb.Frame_Request{Request: p}
		}
		rest = rest[n:]
		last := len(rest) == 0
		select {
		case l.short.data <- queuedFrame{f, func() bool { return l.beforePartWrite(c, f, last) }}:
		case <-l.done:
			return l.cause()
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return nil
}

// beforePartWrite is called when the writer takes the frame f of a request. It
// assigns the request's ID and updates its state. It returns false if the request
// was withdrawn, so that the frame is not written.
func (l *link) beforePartWrite(c *call, f *peerpb.Frame, last bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.state == callWithdrawn {
		return false
	}
	if c.state == callQueued {
		l.lastID++
		c.id = l.lastID
		l.calls[c.id] = c
	}
	f.Id = c.id
	c.state = callPartlySent
	if last {
		c.state = callSent
	}
	return true
}

// awaitAnswer copies the chunks of the answer to sink and returns the result.
func (l *link) awaitAnswer(ctx context.Context, c *call, sink gypsumyard.ResponseSink) (gypsumyard.Result, error) {
	consumed := 0
	for {
		chunks, final := c.take()
		for _, b := range chunks {
			if _, err := sink.Write(b); err != nil {
				return gypsumyard.Result{}, l.abort(c, fmt.Errorf("write answer: %w", err))
			}
			consumed += len(b)
			if consumed >= min(creditBytes, c.window/2) {
				l.credit(c, consumed)
				consumed = 0
			}
		}
		if final != nil {
			return l.deliverFinal(c, final, sink)
		}
		if len(chunks) > 0 {
			continue
		}
		select {
		case <-c.notify:
		case <-l.done:
			// An answer received before the link ended is still delivered.
			if !c.finished() {
				return gypsumyard.Result{}, l.abort(c, l.cause())
			}
		case <-ctx.Done():
			return gypsumyard.Result{}, l.abort(c, context.Cause(ctx))
		}
	}
}

func (l *link) credit(c *call, n int) {
	c.grant(n)
	l.short.post(&peerpb.Frame{Id: c.id, Body: &peerpb.Frame_Credit{Credit: &peerpb.Credit{Bytes: uint64(n)}}})
}

// deliverFinal decodes the final message and writes its data to sink.
func (l *link) deliverFinal(c *call, f *peerpb.Final, sink gypsumyard.ResponseSink) (gypsumyard.Result, error) {
	r := decodeResult(f.Result)
	if err := decodeError(f.Error); err != nil {
		return r, err
	}
	if len(f.Data) == 0 {
		return r, nil
	}
	if _, err := sink.Write(f.Data); err != nil {
		l.abandonOrphaned(c, f)
		return r, gypsumyard.Errorf(gypsumyard.ClassUnknown, "write answer: %w", err)
	}
	return r, nil
}

// abort gives up the call because of err, cancels the request at the peer if a
// part of it was sent, and returns the error for the caller.
func (l *link) abort(c *call, err error) error {
	withdrawn, partSent := l.withdraw(c)
	if !partSent {
		l.remove(c)
	} else {
		l.short.post(&peerpb.Frame{Id: c.id, Body: &peerpb.Frame_Cancel{Cancel: &peerpb.Cancel{}}})
	}
	if withdrawn {
		c.discardAnswer()
		return gypsumyard.Errorf(gypsumyard.ClassNotRun, "request was not sent to host %s: %w", l.host, err)
	}
	if final := c.markAborted(); final != nil {
		l.abandonOrphaned(c, final)
	}
	final := l.awaitFinal(c)
	c.discardAnswer()
	if final != nil && final.Error != nil && final.Error.Class != string(gypsumyard.ClassUnknown) {
		return decodeError(final.Error)
	}
	return gypsumyard.Errorf(gypsumyard.ClassUnknown, "no answer from host %s: %w", l.host, err)
}

// awaitFinal waits up to cancelGrace for the final message of a canceled
// request and drops its chunks. It returns nil if none is received.
func (l *link) awaitFinal(c *call) *peerpb.Final {
	t := l.clock.NewTimer(cancelGrace)
	defer t.Stop()
	for {
		if _, final := c.take(); final != nil {
			return final
		}
		select {
		case <-c.notify:
		case <-l.done:
			_, final := c.take()
			return final
		case <-t.C():
			return nil
		}
	}
}
