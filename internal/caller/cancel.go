package caller

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

const (
	// secretLen is the length of a cancel key's secret in bytes.
	secretLen = 4
	// hostTagMask selects the part of a process ID that identifies the host.
	hostTagMask = 0xffff0000
	// cancelTimeout limits a call that cancels a statement or abandons a
	// transaction.
	cancelTimeout = 10 * time.Second
)

// A cancelKey identifies a session in a CancelRequest. The upper half of
// processID is derived from the host's name, so that another host that receives
// the key can tell which hosts may have issued it.
type cancelKey struct {
	processID uint32
	secret    uint32
}

// A keyRegistry maps the cancel keys of this host to their sessions.
type keyRegistry struct {
	tag      uint32
	mu       sync.Mutex
	sessions map[cancelKey]*session
}

func newKeyRegistry(host string) *keyRegistry {
	return &keyRegistry{tag: hostTag(host), sessions: map[cancelKey]*session{}}
}

// hostTag returns the upper 16 bits of the process IDs that a host assigns to
// its sessions, in the upper half of the result.
func hostTag(host string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(host))
	return h.Sum32() & hostTagMask
}

func (r *keyRegistry) add(x *session) cancelKey {
	r.mu.Lock()
	defer r.mu.Unlock()
	for {
		var b [8]byte
		rand.Read(b[:])
		k := cancelKey{
			processID: r.tag | binary.BigEndian.Uint32(b[:4])&^hostTagMask,
			secret:    binary.BigEndian.Uint32(b[4:]),
		}
		if _, taken := r.sessions[k]; !taken {
			r.sessions[k] = x
			return k
		}
	}
}

func (r *keyRegistry) remove(k cancelKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.sessions, k)
}

func (r *keyRegistry) find(k cancelKey) *session {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sessions[k]
}

// A CancelForwarder forwards a cancel key to a host that may have issued it,
// which calls [Server.Cancel].
type CancelForwarder interface {
	ForwardCancel(ctx context.Context, to gypsumyard.Host, processID, secret uint32) error
}

// Cancel cancels the request that the session of the key runs, if any. It
// reports whether this host issued the key.
func (s *Server) Cancel(ctx context.Context, processID, secret uint32) (known bool, err error) {
	x := s.keys.find(cancelKey{processID: processID, secret: secret})
	if x == nil {
		return false, nil
	}
	r := x.inFlight()
	if r == nil {
		return true, nil
	}
	s.log.WithField("session", x.id).Info("canceling the current statement of the session")
	if err := s.executor.CancelStatement(ctx, r); err != nil {
		return true, fmt.Errorf("caller: cancel: %w", err)
	}
	return true, nil
}

// cancelStatement handles a CancelRequest, to which the protocol has no
// response.
func (s *Server) cancelStatement(processID uint32, secret []byte) {
	if len(secret) != secretLen {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, cancelTimeout)
	defer cancel()
	key := binary.BigEndian.Uint32(secret)
	known, err := s.Cancel(ctx, processID, key)
	if !known {
		err = s.forwardCancel(ctx, processID, key)
	}
	if err != nil {
		s.log.WithError(err).Warn("cannot cancel a statement")
	}
}

// forwardCancel forwards a key to the other hosts whose host tag matches it.
func (s *Server) forwardCancel(ctx context.Context, processID, secret uint32) (err error) {
	if s.forwarder == nil {
		return errors.New("unknown cancel key, and forwarding to other hosts is not configured")
	}
	self := s.membership.Self().Name
	for _, h := range s.membership.Hosts() {
		if h.Name != self && hostTag(h.Name) == processID&hostTagMask {
			err = errors.Join(err, s.forwarder.ForwardCancel(ctx, h, processID, secret))
		}
	}
	return err
}
