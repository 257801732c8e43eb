package peer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/peer/peerpb"
)

const (
	// fetchBudget bounds the size of the values that one FetchObjects call
	// accepts.
	fetchBudget = 64 << 20
	// maxFetchedObjects bounds the number of objects that one FetchObjects
	// call accepts.
	maxFetchedObjects = 64 << 10
)

// A gossipClient is the client's side of a Gossip stream.
type gossipClient struct {
	firstError
	service *Service
	stream  *stream
	done    chan struct{}
	cancel  func()

	mu       sync.Mutex
	lastID   uint64
	calls    map[uint64]*gossipCall
	lastUsed time.Time
}

// A gossipCall collects the replies to one call.
type gossipCall struct {
	replies []*peerpb.Reply
	bytes   int
	// progress receives when a reply has arrived, unless it is full.
	progress chan struct{}
	done     chan struct{}
}

func (g *gossipClient) fail(err error) {
	if g.set(err) {
		g.stream.fail(err)
		close(g.done)
	}
}

func (g *gossipClient) idleTime(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.calls) > 0 {
		return 0
	}
	return now.Sub(g.lastUsed)
}

// run serves the stream until it ends.
func (g *gossipClient) run() {
	var wg sync.WaitGroup
	wg.Go(g.stream.write)
	g.stream.read(g.handle)
	g.fail(g.stream.cause())
	wg.Wait()
	g.cancel()
}

func (g *gossipClient) handle(f *peerpb.Frame) error {
	switch b := f.Body.(type) {
	case *peerpb.Frame_Members:
		g.service.deliver(b.Members)
		return nil
	case *peerpb.Frame_Reply:
		return g.addReply(f.Id, b.Reply)
	}
	return fmt.Errorf("%w: %T", errMalformed, f.Body)
}

func (g *gossipClient) addReply(id uint64, r *peerpb.Reply) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	c, ok := g.calls[id]
	if !ok {
		if id > g.lastID {
			return fmt.Errorf("%w: reply to call %d, which was never sent", errMalformed, id)
		}
		return nil
	}
	c.bytes += len(r.GetObject().GetValue())
	if c.bytes > fetchBudget || len(c.replies) >= maxFetchedObjects {
		return fmt.Errorf("%w: reply over %d bytes", errMalformed, fetchBudget)
	}
	c.replies = append(c.replies, r)
	select {
	case c.progress <- struct{}{}:
	default:
	}
	if r.Last {
		delete(g.calls, id)
		close(c.done)
	}
	return nil
}

// errNoReply indicates that the next reply to a call has not arrived in time.
var errNoReply = errors.New("no reply in time")

// startCall queues a call for sending.
func (g *gossipClient) startCall(ctx context.Context, p *peerpb.Call) (id uint64, c *gossipCall, err error) {
	c = &gossipCall{progress: make(chan struct{}, 1), done: make(chan struct{})}
	g.mu.Lock()
	g.lastID++
	id = g.lastID
	g.calls[id] = c
	g.lastUsed = g.service.clock.Now()
	g.mu.Unlock()
	f := &peerpb.Frame{Id: id, Body: &peerpb.Frame_Call{Call: p}}
	select {
	case g.stream.data <- queuedFrame{frame: f}:
		return id, c, nil
	case <-g.done:
		return 0, nil, g.cause()
	case <-ctx.Done():
		g.removeCall(id)
		return 0, nil, context.Cause(ctx)
	}
}

func (g *gossipClient) removeCall(id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.calls, id)
}

// awaitReplies returns the replies to a call. It fails if no reply arrives for as long as
// t runs, which may be nil.
func (g *gossipClient) awaitReplies(ctx context.Context, id uint64, c *gossipCall, t gypsumyard.Timer) ([]*peerpb.Reply, error) {
	var silent <-chan time.Time
	if t != nil {
		silent = t.C()
	}
	for finished := false; !finished; {
		select {
		case <-c.done:
			finished = true
		case <-c.progress:
			if t != nil {
				t.Reset(queryTimeout)
			}
		case <-g.done:
			return nil, g.cause()
		case <-silent:
			g.removeCall(id)
			return nil, errNoReply
		case <-ctx.Done():
			g.removeCall(id)
			return nil, context.Cause(ctx)
		}
	}
	last := c.replies[len(c.replies)-1]
	if err := decodeError(last.Error); err != nil {
		return nil, err
	}
	return c.replies, nil
}

func (r *remote) currentGossip() *gossipClient {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gossip != nil && r.gossip.cause() != nil {
		r.gossip = nil
	}
	return r.gossip
}

// connectGossip returns the open Gossip stream, or dials one if there is none.
func (r *remote) connectGossip(ctx context.Context) (*gossipClient, error) {
	if g := r.currentGossip(); g != nil {
		return g, nil
	}
	if err := r.acquire(ctx, r.gossipDialSem); err != nil {
		return nil, err
	}
	defer func() { <-r.gossipDialSem }()
	return r.dialGossip(ctx)
}

// dialGossip dials the Gossip stream unless it is open. The caller must hold
// r.gossipDialSem.
func (r *remote) dialGossip(ctx context.Context) (*gossipClient, error) {
	if g := r.currentGossip(); g != nil {
		return g, nil
	}
	s := r.service
	st, closeStream, err := s.dial(ctx, r.to, kindGossip, "")
	if err != nil {
		return nil, fmt.Errorf("dial %s at %s: %w", r.to.Name, r.to.Addr, err)
	}
	g := &gossipClient{
		service:  s,
		stream:   st,
		done:     make(chan struct{}),
		cancel:   closeStream,
		calls:    map[uint64]*gossipCall{},
		lastUsed: s.clock.Now(),
	}
	if !s.serveGossip(g) {
		g.fail(errClosed)
		closeStream()
		return nil, errClosed
	}
	r.mu.Lock()
	r.gossip = g
	r.mu.Unlock()
	return g, nil
}

// HandleMembers sets the function that handles membership messages from other
// hosts. If it returns a message in answer to one received from a client, that
// message is sent back over the same stream. The function must not block.
func (s *Service) HandleMembers(handle func(m *peerpb.Members) *peerpb.Members) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.membersHandler = handle
}

func (s *Service) deliver(m *peerpb.Members) *peerpb.Members {
	s.mu.Lock()
	handle := s.membersHandler
	s.mu.Unlock()
	if handle == nil || m == nil {
		return nil
	}
	return handle(m)
}

// SendMembers sends a membership message to a host. It does not block; the
// message is lost if the host cannot be reached. A host without a name is
// identified by its address alone.
func (s *Service) SendMembers(to gypsumyard.Host, m *peerpb.Members) {
	r := s.remote(to)
	if g := r.currentGossip(); g != nil {
		g.send(m)
		return
	}
	select {
	case r.gossipDialSem <- struct{}{}:
	default:
		return // Another goroutine is dialing.
	}
	ok := s.spawn(func() {
		defer func() { <-r.gossipDialSem }()
		if g, err := r.dialGossip(s.stopping); err == nil {
			g.send(m)
		}
	})
	if !ok {
		<-r.gossipDialSem
	}
}

func (g *gossipClient) send(m *peerpb.Members) {
	g.mu.Lock()
	g.lastUsed = g.service.clock.Now()
	g.mu.Unlock()
	select {
	case g.stream.data <- queuedFrame{frame: &peerpb.Frame{Body: &peerpb.Frame_Members{Members: m}}}:
	default: // The stream is stuck. Late heartbeats are useless, so the message is dropped.
	}
}
