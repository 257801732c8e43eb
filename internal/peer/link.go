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
	// windowBytes is how much of one answer the entry host buffers.
	windowBytes = 256 << 10
	// shortBytes is the longest answer that goes whole on the Short stream,
	// and the smallest window.
	shortBytes = 32 << 10
	// creditBytes is the consumed amount after which credit is returned. A
	// quarter of the window keeps the sender busy with few frames.
	creditBytes = windowBytes / 4
	// windowBudget is the sum of the windows of a link above which further
	// requests get the smallest window.
	windowBudget = 64 << 20
	// maxRequests is how many requests a host has at one peer at a time. It
	// covers the queue of a database at peak demand.
	maxRequests = 4096
	// maxRequestBytes bounds the messages of one request.
	maxRequestBytes = 16 << 20
	// requestBudget bounds the messages of all running requests of a link.
	requestBudget = 64 << 20
)

// A link is the client's side of a Short and a Bulk stream to one host. Both
// end together.
type link struct {
	firstError
	remote *remote
	host   string
	short  *stream
	bulk   *stream
	clock  gypsumyard.Clock
	done   chan struct{}
	cancel func()

	mu    sync.Mutex
	next  uint64
	calls map[uint64]*call
	// places counts the calls, those that have no number yet included.
	places  int
	open    map[gypsumyard.SessionID]string
	windows int
	bytes   int
	used    time.Time
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
	for _, s := range []*stream{l.short, l.bulk} {
		wg.Go(s.write)
		wg.Go(func() {
			s.read(func(f *peerpb.Frame) error { return l.handle(s, f) })
			l.fail(s.cause())
		})
	}
	wg.Wait()
	l.cancel()
}

// register gives the call a place and a window, or returns false when the
// peer has as much as it takes at a time.
func (l *link) register(c *call) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.places >= maxRequests || l.bytes+c.size > requestBudget {
		return false
	}
	c.window = windowBytes
	if l.windows+windowBytes > windowBudget {
		c.window = shortBytes
	}
	l.windows += c.window
	l.bytes += c.size
	c.allowed = c.window
	l.places++
	l.used = l.clock.Now()
	return true
}

// remove frees the call's place. The caller of a forgotten call is gone; its
// place stays taken until the peer has ended it too.
func (l *link) remove(c *call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.removed {
		return
	}
	c.removed = true
	delete(l.calls, c.id)
	l.places--
	l.windows -= c.window
	l.bytes -= c.size
	l.used = l.clock.Now()
}

// handle takes a frame of either stream to its call.
func (l *link) handle(s *stream, f *peerpb.Frame) error {
	l.mu.Lock()
	c, ok := l.calls[f.Id]
	issued := f.Id <= l.next
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
		l.noteTransaction(c, b.Final)
		l.remove(c)
		if aborted {
			l.abandonLost(c, b.Final)
		}
		return nil
	}
	return fmt.Errorf("%w: %T", errMalformed, f.Body)
}

// noteTransaction records the sessions' open transactions at the peer.
func (l *link) noteTransaction(c *call, f *peerpb.Final) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case c.operation == peerpb.Operation_ABANDON:
		if l.open[c.request.Session] == c.request.Transaction {
			delete(l.open, c.request.Session)
		}
	case c.operation != peerpb.Operation_EXECUTE:
	case f.GetResult().GetTransaction() != "":
		l.open[c.request.Session] = f.Result.Transaction
	case leavesNoTransaction(f.Error != nil, byte(f.GetResult().GetTxStatus())):
		delete(l.open, c.request.Session)
	}
}

// active reports whether the link must be kept under watch: it carries
// requests or open transactions, or it did a moment ago.
func (l *link) active(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.places > 0 || len(l.open) > 0 || now.Sub(l.used) < watchAfterUse
}

// idle returns for how long the link has carried nothing.
func (l *link) idle(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.places > 0 || len(l.open) > 0 {
		return 0
	}
	return now.Sub(l.used)
}

func (l *link) touch() {
	l.mu.Lock()
	l.used = l.clock.Now()
	l.mu.Unlock()
}

// check returns once both streams have carried something from the peer within
// the last silentAfter. Nothing of a request is sent over a stream that may
// have gone silent while it was idle.
func (l *link) check(ctx context.Context) error {
	for _, s := range []*stream{l.short, l.bulk} {
		for s.silence() > silentAfter {
			next := s.nextReceived()
			l.touch()
			s.ping()
			if s.silence() <= silentAfter {
				break
			}
			t := l.clock.NewTimer(silentAfter)
			select {
			case <-next:
			case <-t.C():
				l.fail(errSilent)
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
