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
	// fetchBudget bounds the values that one FetchObjects call takes.
	fetchBudget = 64 << 20
	// maxFetched bounds the objects that one FetchObjects call takes.
	maxFetched = 64 << 10
)

// A gossip is the client's side of a Gossip stream.
type gossip struct {
	firstError
	service *Service
	stream  *stream
	done    chan struct{}
	cancel  func()

	mu    sync.Mutex
	next  uint64
	calls map[uint64]*gossipCall
	used  time.Time
}

// A gossipCall collects the replies to one call.
type gossipCall struct {
	replies []*peerpb.Reply
	bytes   int
	done    chan struct{}
}

func (g *gossip) fail(err error) {
	if g.set(err) {
		g.stream.fail(err)
		close(g.done)
	}
}

func (g *gossip) idle(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.calls) > 0 {
		return 0
	}
	return now.Sub(g.used)
}

// run serves the stream until it ends.
func (g *gossip) run() {
	var wg sync.WaitGroup
	wg.Go(g.stream.write)
	g.stream.read(g.handle)
	g.fail(g.stream.cause())
	wg.Wait()
	g.cancel()
}

func (g *gossip) handle(f *peerpb.Frame) error {
	switch b := f.Body.(type) {
	case *peerpb.Frame_Members:
		g.service.deliver(b.Members)
		return nil
	case *peerpb.Frame_Reply:
		return g.addReply(f.Id, b.Reply)
	}
	return fmt.Errorf("%w: %T", errMalformed, f.Body)
}

func (g *gossip) addReply(id uint64, r *peerpb.Reply) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	c, ok := g.calls[id]
	if !ok {
		if id > g.next {
			return fmt.Errorf("%w: reply to call %d, which was never sent", errMalformed, id)
		}
		return nil
	}
	c.bytes += len(r.GetObject().GetValue())
	if c.bytes > fetchBudget || len(c.replies) >= maxFetched {
		return fmt.Errorf("%w: reply over %d bytes", errMalformed, fetchBudget)
	}
	c.replies = append(c.replies, r)
	if r.Last {
		delete(g.calls, id)
		close(c.done)
	}
	return nil
}

// begin sends a call.
func (g *gossip) begin(ctx context.Context, p *peerpb.Call) (id uint64, c *gossipCall, err error) {
	c = &gossipCall{done: make(chan struct{})}
	g.mu.Lock()
	g.next++
	id = g.next
	g.calls[id] = c
	g.used = g.service.clock.Now()
	g.mu.Unlock()
	f := &peerpb.Frame{Id: id, Body: &peerpb.Frame_Call{Call: p}}
	select {
	case g.stream.data <- outgoing{frame: f}:
		return id, c, nil
	case <-g.done:
		return 0, nil, g.cause()
	case <-ctx.Done():
		g.drop(id)
		return 0, nil, context.Cause(ctx)
	}
}

func (g *gossip) drop(id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.calls, id)
}

// await returns the replies to a call.
func (g *gossip) await(ctx context.Context, id uint64, c *gossipCall) ([]*peerpb.Reply, error) {
	select {
	case <-c.done:
	case <-g.done:
		return nil, g.cause()
	case <-ctx.Done():
		g.drop(id)
		return nil, context.Cause(ctx)
	}
	last := c.replies[len(c.replies)-1]
	if err := decodeError(last.Error); err != nil {
		return nil, err
	}
	return c.replies, nil
}

func (r *remote) currentGossip() *gossip {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gossip != nil && r.gossip.cause() != nil {
		r.gossip = nil
	}
	return r.gossip
}

// connectGossip returns the open Gossip stream or dials one.
func (r *remote) connectGossip(ctx context.Context) (*gossip, error) {
	if g := r.currentGossip(); g != nil {
		return g, nil
	}
	if err := r.acquire(ctx, r.greeting); err != nil {
		return nil, err
	}
	defer func() { <-r.greeting }()
	return r.dialGossip(ctx)
}

// dialGossip dials the Gossip stream. The caller holds r.greeting.
func (r *remote) dialGossip(ctx context.Context) (*gossip, error) {
	if g := r.currentGossip(); g != nil {
		return g, nil
	}
	s := r.service
	st, closeStream, err := s.dial(ctx, r.to, kindGossip, "")
	if err != nil {
		return nil, fmt.Errorf("dial %s at %s: %w", r.to.Name, r.to.Addr, err)
	}
	g := &gossip{
		service: s,
		stream:  st,
		done:    make(chan struct{}),
		cancel:  closeStream,
		calls:   map[uint64]*gossipCall{},
		used:    s.clock.Now(),
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

// HandleMembers sets the function that takes the messages of other hosts'
// membership tables. Its result, if not nil, goes back over the same stream.
// It must not wait.
func (s *Service) HandleMembers(handle func(m *peerpb.Members) *peerpb.Members) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members = handle
}

func (s *Service) deliver(m *peerpb.Members) *peerpb.Members {
	s.mu.Lock()
	handle := s.members
	s.mu.Unlock()
	if handle == nil || m == nil {
		return nil
	}
	return handle(m)
}

// SendMembers sends a message to the membership table of a host. It does not
// wait; the message is lost if the host cannot be reached. A host without a
// name is known only by its address.
func (s *Service) SendMembers(to gypsumyard.Host, m *peerpb.Members) {
	r := s.remote(to)
	if g := r.currentGossip(); g != nil {
		g.send(m)
		return
	}
	select {
	case r.greeting <- struct{}{}:
	default:
		return // A dial is under way.
	}
	ok := s.spawn(func() {
		defer func() { <-r.greeting }()
		if g, err := r.dialGossip(s.stopping); err == nil {
			g.send(m)
		}
	})
	if !ok {
		<-r.greeting
	}
}

func (g *gossip) send(m *peerpb.Members) {
	g.mu.Lock()
	g.used = g.service.clock.Now()
	g.mu.Unlock()
	select {
	case g.stream.data <- outgoing{frame: &peerpb.Frame{Body: &peerpb.Frame_Members{Members: m}}}:
	default: // The stream is stuck. Heartbeats are worth nothing when late.
	}
}
