package peer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/peer/peerpb"
)

const (
	// windowBytes is the flow-control window of an answer: how many bytes of it
	// the entry host buffers.
	windowBytes = 256 << 10
	// shortBytes is the size of the largest answer that is sent on the Short
	// stream, and of the smallest window.
	shortBytes = 32 << 10
	// creditBytes is the number of consumed bytes after which credit is
	// returned. A quarter of the window keeps the sender busy with few credit
	// frames.
	creditBytes = windowBytes / 4
	// windowBudget is the total window size of a link above which further
	// requests get the smallest window.
	windowBudget = 64 << 20
	// maxRequests is the number of concurrent requests of a host at one peer.
	// It covers the queue of a database at peak demand.
	maxRequests = 4096
	// endTimeout is how long a link whose one stream has ended waits for the other one.
	endTimeout = 50 * time.Millisecond
	// maxRequestBytes bounds the messages of one request.
	maxRequestBytes = 16 << 20
	// requestBudget bounds the total size of the messages of all running
	// requests of a link.
	requestBudget = 64 << 20
)

// A link is the client's side of a Short and a Bulk stream to one host. The
// streams end together.
type link struct {
	firstError
	remote *remote
	host   string
	short  *stream
	bulk   *stream
	clock  gypsumyard.Clock
	done   chan struct{}
	cancel func()

	mu     sync.Mutex
	lastID uint64
	calls  map[uint64]*call
	// callCount is the number of registered calls, including those that have no
	// ID yet.
	callCount        int
	openTransactions map[gypsumyard.SessionID]string
	reservedWindow   int
	requestBytes     int
	lastUsed         time.Time
}

// fail ends the link and both of its streams.
func (l *link) fail(err error) {
	if !l.set(err) {
		return
	}
	l.short.fail(err)
	l.bulk.fail(err)
	close(l.done)
}

// run serves the link until one of its streams ends.
func (l *link) run() {
	var wg sync.WaitGroup
	serve := func(s, other *stream) {
		wg.Go(s.write)
		wg.Go(func() {
			s.read(func(f *peerpb.Frame) error { return l.handle(s, f) })
			l.awaitEnd(other)
			l.fail(s.cause())
		})
	}
	serve(l.short, l.bulk)
	serve(l.bulk, l.short)
	wg.Wait()
	l.cancel()
}

// awaitEnd waits up to endTimeout for the end of the stream, after the other one has
// ended. A peer that stops ends both, and what it has sent over this one is read first.
func (l *link) awaitEnd(s *stream) {
	t := l.clock.NewTimer(endTimeout)
	defer t.Stop()
	select {
	case <-s.done:
	case <-t.C():
	}
}

// register adds the call and reserves its window. It returns false if the call
// would exceed maxRequests or requestBudget.
func (l *link) register(c *call) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.callCount >= maxRequests || l.requestBytes+c.size > requestBudget {
		return false
	}
	c.window = windowBytes
	if l.reservedWindow+windowBytes > windowBudget {
		c.window = shortBytes
	}
	l.reservedWindow += c.window
	l.requestBytes += c.size
	c.allowed = c.window
	l.callCount++
	l.lastUsed = l.clock.Now()
	return true
}

// remove unregisters the call and releases its window. A call that was aborted
// after a part of it was sent stays registered until the peer has ended it too.
func (l *link) remove(c *call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.removed {
		return
	}
	c.removed = true
	delete(l.calls, c.id)
	l.callCount--
	l.reservedWindow -= c.window
	l.requestBytes -= c.size
	l.lastUsed = l.clock.Now()
}

// handle dispatches a frame of either stream to its call.
func (l *link) handle(s *stream, f *peerpb.Frame) error {
	l.mu.Lock()
	c, ok := l.calls[f.Id]
	issued := f.Id <= l.lastID
	l.mu.Unlock()
	if !issued {
		return fmt.Errorf("%w: answer to request %d, which was never sent", errMalformed, f.Id)
	}
	if !ok {
		return nil // A late frame of a request that has ended.
	}
	switch b := f.Body.(type) {
	case *peerpb.Frame_Chunk:
		if s != l.bulk {
			return fmt.Errorf("%w: chunk on the short stream", errMalformed)
		}
		return c.addChunk(b.Chunk.GetData())
	case *peerpb.Frame_Final:
		aborted, err := c.finish(b.Final)
		if err != nil {
			return err
		}
		l.trackTransaction(c, b.Final)
		l.remove(c)
		if aborted {
			l.abandonOrphaned(c, b.Final)
		}
		return nil
	}
	return fmt.Errorf("%w: %T", errMalformed, f.Body)
}

// trackTransaction records the sessions' open transactions at the peer.
func (l *link) trackTransaction(c *call, f *peerpb.Final) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case c.operation == peerpb.Operation_ABANDON:
		if l.openTransactions[c.request.Session] == c.request.Transaction {
			delete(l.openTransactions, c.request.Session)
		}
	case c.operation != peerpb.Operation_EXECUTE:
	case f.GetResult().GetTransaction() != "":
		l.openTransactions[c.request.Session] = f.Result.Transaction
	case leavesNoTransaction(f.Error != nil, byte(f.GetResult().GetTxStatus())):
		delete(l.openTransactions, c.request.Session)
	}
}

// needsKeepalive reports whether the link must be checked with pings, because it
// has requests or open transactions or was used within keepaliveAfterUse.
func (l *link) needsKeepalive(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.callCount > 0 || len(l.openTransactions) > 0 || now.Sub(l.lastUsed) < keepaliveAfterUse
}

// idleTime returns how long the link has had neither requests nor open
// transactions.
func (l *link) idleTime(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.callCount > 0 || len(l.openTransactions) > 0 {
		return 0
	}
	return now.Sub(l.lastUsed)
}

func (l *link) touch() {
	l.mu.Lock()
	l.lastUsed = l.clock.Now()
	l.mu.Unlock()
}

// ensureAlive returns once both streams have received something from the peer
// within the last keepaliveTimeout, and pings the peer if necessary. It is called
// before a request is sent, because a connection may have been silently lost while
// the link was idle.
func (l *link) ensureAlive(ctx context.Context) error {
	for _, s := range []*stream{l.short, l.bulk} {
		for s.sinceReceived() > keepaliveTimeout {
			next := s.nextReceived()
			l.touch()
			s.ping()
			if s.sinceReceived() <= keepaliveTimeout {
				break
			}
			t := l.clock.NewTimer(keepaliveTimeout)
			select {
			case <-next:
			case <-t.C():
				l.fail(errKeepaliveTimeout)
			case <-l.done:
			case <-ctx.Done():
			}
			t.Stop()
			if err := l.cause(); err != nil {
				return err
			}
			if ctx.Err() != nil {
				return context.Cause(ctx)
			}
		}
	}
	return nil
}
