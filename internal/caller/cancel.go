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
	// hostTagMask selects the part of a process number that names the host.
	hostTagMask = 0xffff0000
	// cancelTime bounds a call to cancel a statement or to abandon a
	// transaction.
	cancelTime = 10 * time.Second
)

// A cancelKey is what a caller gives to cancel a statement. The upper half of
// process is derived from the host's name, so that another host which receives
// the key can tell where it belongs.
type cancelKey struct {
	process uint32
	secret  uint32
}

// A keyRegistry finds the session of a cancel key.
type keyRegistry struct {
	tag      uint32
	mu       sync.Mutex
	sessions map[cancelKey]*session
}

func newKeyRegistry(host string) *keyRegistry {
	return &keyRegistry{tag: hostTag(host), sessions: map[cancelKey]*session{}}
}

// hostTag returns the upper 16 bits of the process numbers that a host gives
// to its sessions, as the upper half of the result.
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
			process: r.tag | binary.BigEndian.Uint32(b[:4])&^hostTagMask,
			secret:  binary.BigEndian.Uint32(b[4:]),
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

// A CancelForwarder takes a cancel key to the host that gave it, which calls
// [Server.Cancel].
type CancelForwarder interface {
	ForwardCancel(ctx context.Context, to gypsumyard.Host, process, secret uint32) error
}

// Cancel cancels what the session of the key runs. It reports whether this
// host has given the key.
func (s *Server) Cancel(ctx context.Context, process, secret uint32) (known bool, err error) {
	x := s.keys.find(cancelKey{process: process, secret: secret})
	if x == nil {
		return false, nil
	}
	r := x.inFlight()
	if r == nil {
		return true, nil
	}
	s.log.WithField("session", x.id).Info("caller cancels its statement")
	if err := s.executor.CancelStatement(ctx, r); err != nil {
		return true, fmt.Errorf("caller: cancel: %w", err)
	}
	return true, nil
}

// cancelStatement handles a CancelRequest. Callers get no answer to it.
func (s *Server) cancelStatement(process uint32, secret []byte) {
	if len(secret) != secretLen {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, cancelTime)
	defer cancel()
	key := binary.BigEndian.Uint32(secret)
	known, err := s.Cancel(ctx, process, key)
	if !known {
		err = s.forwardCancel(ctx, process, key)
	}
	if err != nil {
		s.log.WithError(err).Warn("cannot cancel a statement")
	}
}

// forwardCancel passes a key on to the hosts whose names fit it.
func (s *Server) forwardCancel(ctx context.Context, process, secret uint32) (err error) {
	if s.forwarder == nil {
		return errors.New("cancel key of another host")
	}
	self := s.membership.Self().Name
	for _, h := range s.membership.Hosts() {
		if h.Name != self && hostTag(h.Name) == process&hostTagMask {
			err = errors.Join(err, s.forwarder.ForwardCancel(ctx, h, process, secret))
		}
	}
	return err
}
