package peer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// remoteIdleTimeout is how long a remote is kept without being used.
const remoteIdleTimeout = 10 * time.Minute

// A remote holds the client connections to the host at one address.
type remote struct {
	service *Service
	to      gypsumyard.Host
	// linkDialSem and gossipDialSem are semaphores that are held by the goroutine
	// that dials the link or the Gossip stream.
	linkDialSem   chan struct{}
	gossipDialSem chan struct{}

	// lastUsed is when the remote was last looked up. The service's lock guards
	// it.
	lastUsed time.Time

	mu     sync.Mutex
	link   *link
	gossip *gossipClient
}

// connect returns the open link, or dials one if there is none.
func (r *remote) connect(ctx context.Context) (l *link, err error) {
	if l := r.currentLink(); l != nil {
		return l, nil
	}
	if err := r.acquire(ctx, r.linkDialSem); err != nil {
		return nil, err
	}
	defer func() { <-r.linkDialSem }()
	if l := r.currentLink(); l != nil {
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

// acquire acquires a dial semaphore. The holder releases it by receiving from it.
func (r *remote) acquire(ctx context.Context, sem chan<- struct{}) error {
	select {
	case sem <- struct{}{}:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-r.service.stopping.Done():
		return errClosed
	}
}

// liveLink returns a link that ensureAlive has checked. If an existing link turns
// out to be broken, nothing of the request has been sent, so it is safe to dial
// another link.
func (r *remote) liveLink(ctx context.Context) (l *link, err error) {
	for range 2 {
		l, err = r.connect(ctx)
		if err != nil {
			return nil, err
		}
		if err = l.ensureAlive(ctx); err == nil {
			return l, nil
		}
		if ctx.Err() != nil {
			return nil, err
		}
	}
	return nil, err
}

func (r *remote) currentLink() *link {
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
		remote:           r,
		host:             to.Name,
		short:            short,
		bulk:             bulk,
		clock:            s.clock,
		done:             make(chan struct{}),
		cancel:           func() { closeShort(); closeBulk() },
		calls:            map[uint64]*call{},
		openTransactions: map[gypsumyard.SessionID]string{},
		lastUsed:         s.clock.Now(),
	}
	if !s.serveLink(l) {
		l.fail(errClosed)
		l.cancel()
		return nil, errClosed
	}
	return l, nil
}

// remote returns the remote of the host's address and creates it if necessary. A
// host of another name at a known address replaces the previous one.
func (s *Service) remote(host gypsumyard.Host) *remote {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.remotes[host.Addr]
	if ok && (r.to.Name == host.Name || host.Name == "") {
		r.lastUsed = s.clock.Now()
		return r
	}
	r = &remote{service: s, to: host, linkDialSem: make(chan struct{}, 1), gossipDialSem: make(chan struct{}, 1)}
	r.lastUsed = s.clock.Now()
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
		s.reportBroken(l)
		s.mu.Lock()
		delete(s.links, l)
		s.mu.Unlock()
	})
}

func (s *Service) serveGossip(g *gossipClient) bool {
	return s.spawn(func() {
		s.mu.Lock()
		s.gossipClients[g] = true
		s.mu.Unlock()
		g.run()
		s.mu.Lock()
		delete(s.gossipClients, g)
		s.mu.Unlock()
	})
}

// reportBroken counts and logs a link that ended because of an error.
func (s *Service) reportBroken(l *link) {
	err := l.cause()
	if errors.Is(err, errClosed) {
		return
	}
	s.metrics.Counter("peer_links_broken").Inc(1)
	s.log.WithFields(map[string]any{"member": l.host, "address": l.remote.to.Addr}).WithError(err).Info("link to host is broken")
}
