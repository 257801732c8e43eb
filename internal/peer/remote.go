package peer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// forgetAfter is how long the way to a host is remembered without use.
const forgetAfter = 10 * time.Minute

// A remote is what this host knows of the way to one address.
type remote struct {
	service *Service
	to      gypsumyard.Host
	// dialling and greeting hold one element while a goroutine dials the link
	// and the Gossip stream.
	dialling chan struct{}
	greeting chan struct{}

	// used is when the way was last asked for. The service's lock guards it.
	used time.Time

	mu     sync.Mutex
	link   *link
	gossip *gossip
}

// connect returns the open link or dials one.
func (r *remote) connect(ctx context.Context) (l *link, err error) {
	if l := r.current(); l != nil {
		return l, nil
	}
	if err := r.acquire(ctx, r.dialling); err != nil {
		return nil, err
	}
	defer func() { <-r.dialling }()
	if l := r.current(); l != nil {
		return l, nil
	}
	l, err = r.dialLink(ctx)
	if err != nil {
		return nil, fmt.Errorf("dial %s at %s: %w", r.to.Name, r.to.Addr, err)
	}
	r.mu.Lock()
	r.link = l
	r.mu.Unlock()
	return l, nil
}

// acquire waits for the turn to dial. The holder frees it by receiving from it.
func (r *remote) acquire(ctx context.Context, turn chan<- struct{}) error {
	select {
	case turn <- struct{}{}:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-r.service.stopping.Done():
		return errClosed
	}
}

// checkedLink returns a link that is known to work. Nothing has been sent when
// an old link turns out to be broken, so another one is dialled.
func (r *remote) checkedLink(ctx context.Context) (l *link, err error) {
	for range 2 {
		l, err = r.connect(ctx)
		if err != nil {
			return nil, err
		}
		if err = l.check(ctx); err == nil {
			return l, nil
		}
		if ctx.Err() != nil {
			return nil, err
		}
	}
	return nil, err
}

func (r *remote) current() *link {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.link != nil && r.link.cause() != nil {
		r.link = nil
	}
	return r.link
}

func (r *remote) dialLink(ctx context.Context) (l *link, err error) {
	s, to := r.service, r.to
	id := string(newNonce())
	short, closeShort, err := s.dial(ctx, to, kindShort, id)
	if err != nil {
		return nil, err
	}
	bulk, closeBulk, err := s.dial(ctx, to, kindBulk, id)
	if err != nil {
		closeShort()
		return nil, err
	}
	l = &link{
		remote: r,
		host:   to.Name,
		short:  short,
		bulk:   bulk,
		clock:  s.clock,
		done:   make(chan struct{}),
		cancel: func() { closeShort(); closeBulk() },
		calls:  map[uint64]*call{},
		open:   map[gypsumyard.SessionID]string{},
		used:   s.clock.Now(),
	}
	if !s.serveLink(l) {
		l.fail(errClosed)
		l.cancel()
		return nil, errClosed
	}
	return l, nil
}

// remote returns what is known of the way to the host. A host of another name
// at a known address replaces the one before.
func (s *Service) remote(host gypsumyard.Host) *remote {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.remotes[host.Addr]
	if ok && (r.to.Name == host.Name || host.Name == "") {
		r.used = s.clock.Now()
		return r
	}
	r = &remote{service: s, to: host, dialling: make(chan struct{}, 1), greeting: make(chan struct{}, 1)}
	r.used = s.clock.Now()
	s.remotes[host.Addr] = r
	return r
}

// serveLink runs the link in a goroutine. It returns false after Stop.
func (s *Service) serveLink(l *link) bool {
	return s.spawn(func() {
		s.mu.Lock()
		s.links[l] = true
		s.mu.Unlock()
		l.run()
		s.noteBroken(l)
		s.mu.Lock()
		delete(s.links, l)
		s.mu.Unlock()
	})
}

func (s *Service) serveGossip(g *gossip) bool {
	return s.spawn(func() {
		s.mu.Lock()
		s.gossips[g] = true
		s.mu.Unlock()
		g.run()
		s.mu.Lock()
		delete(s.gossips, g)
		s.mu.Unlock()
	})
}

// noteBroken reports a link that ended while it was in use.
func (s *Service) noteBroken(l *link) {
	err := l.cause()
	if errors.Is(err, errClosed) {
		return
	}
	s.metrics.Counter("peer_links_broken").Inc(1)
	s.log.WithFields(map[string]any{"member": l.host, "address": l.remote.to.Addr}).WithError(err).Info("link to host is broken")
}
