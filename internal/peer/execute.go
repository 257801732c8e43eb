package peer

import (
	"context"
	"fmt"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/peer/peerpb"
)

// cancelGrace is how long a cancelled request waits for the peer to say whether
// it ran. The peer answers at once if the request was still queued.
const cancelGrace = 100 * time.Millisecond

// abandonLost abandons a transaction of which the caller does not know, because
// it gave up the request that opened it.
func (l *link) abandonLost(c *call, f *peerpb.Final) {
	if c.opened(f) == "" {
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

// withdraw takes the request back if its last part has not been written. It
// reports whether it did so, and whether the peer has seen a part of it.
func (l *link) withdraw(c *call) (withdrawn, seen bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen = c.state != callQueued
	if c.state == callHanded {
		return false, seen
	}
	c.state = callWithdrawn
	return true, seen
}

// An executor runs requests at one host.
type executor struct{ remote *remote }

// Execute runs the request at the host.
func (e executor) Execute(ctx context.Context, r *gypsumyard.Request, sink gypsumyard.ResponseSink) (gypsumyard.Result, error) {
	return e.do(ctx, peerpb.Operation_EXECUTE, r, sink)
}

// Abandon rolls back the session's open transaction at the host.
func (e executor) Abandon(ctx context.Context, r *gypsumyard.Request) error {
	_, err := e.do(ctx, peerpb.Operation_ABANDON, r, discard{})
	return err
}

// CancelStatement asks the host to cancel what the session runs.
func (e executor) CancelStatement(ctx context.Context, r *gypsumyard.Request) error {
	_, err := e.do(ctx, peerpb.Operation_CANCEL_STATEMENT, r, discard{})
	return err
}

type discard struct{}

func (discard) Write(b []byte) (int, error) { return len(b), nil }

func (e executor) do(ctx context.Context, op peerpb.Operation, r *gypsumyard.Request, sink gypsumyard.ResponseSink) (gypsumyard.Result, error) {
	if len(r.Messages) > maxRequestBytes {
		return gypsumyard.Result{}, gypsumyard.Errorf(gypsumyard.ClassProtocol, "request of %d bytes is over %d", len(r.Messages), maxRequestBytes)
	}
	l, err := e.remote.checkedLink(ctx)
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
	return l.await(ctx, c, sink)
}

// submit queues the request in parts.
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
		case l.short.data <- outgoing{f, func() bool { return l.written(c, f, last) }}:
		case <-l.done:
			return l.cause()
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return nil
}

// written notes that the writer takes the frame f of a request. It returns
// false if the request was withdrawn.
func (l *link) written(c *call, f *peerpb.Frame, last bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.state == callWithdrawn {
		return false
	}
	if c.state == callQueued {
		l.next++
		c.id = l.next
		l.calls[c.id] = c
	}
	f.Id = c.id
	c.state = callStarted
	if last {
		c.state = callHanded
	}
	return true
}

// await passes the answer to sink until it ends.
func (l *link) await(ctx context.Context, c *call, sink gypsumyard.ResponseSink) (gypsumyard.Result, error) {
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
			return l.conclude(c, final, sink)
		}
		if len(chunks) > 0 {
			continue
		}
		select {
		case <-c.notify:
		case <-l.done:
			// What came before the link ended is still delivered.
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

// conclude turns the final message into the result.
func (l *link) conclude(c *call, f *peerpb.Final, sink gypsumyard.ResponseSink) (gypsumyard.Result, error) {
	r := decodeResult(f.Result)
	if err := decodeError(f.Error); err != nil {
		return r, err
	}
	if len(f.Data) == 0 {
		return r, nil
	}
	if _, err := sink.Write(f.Data); err != nil {
		l.abandonLost(c, f)
		return r, gypsumyard.Errorf(gypsumyard.ClassUnknown, "write answer: %w", err)
	}
	return r, nil
}

// abort gives up the call because of err and returns the error for its caller.
func (l *link) abort(c *call, err error) error {
	withdrawn, seen := l.withdraw(c)
	if !seen {
		l.remove(c)
	} else {
		l.short.post(&peerpb.Frame{Id: c.id, Body: &peerpb.Frame_Cancel{Cancel: &peerpb.Cancel{}}})
	}
	if withdrawn {
		c.forget()
		return gypsumyard.Errorf(gypsumyard.ClassNotRun, "request was not sent to host %s: %w", l.host, err)
	}
	if final := c.abandonAnswer(); final != nil {
		l.abandonLost(c, final)
	}
	final := l.awaitFinal(c)
	c.forget()
	if final != nil && final.Error != nil && final.Error.Class != string(gypsumyard.ClassUnknown) {
		return decodeError(final.Error)
	}
	return gypsumyard.Errorf(gypsumyard.ClassUnknown, "no answer from host %s: %w", l.host, err)
}

// awaitFinal waits up to cancelGrace for the end of a cancelled request. Chunks
// are dropped.
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
