package caller

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"hash/fnv"
	"sync"
	"time"
)

const (
	secretLen = 4
	// cancelTime bounds a call to cancel a statement or to abandon a
	// transaction.
	cancelTime  = 10 * time.Second
	acceptPause = 50 * time.Millisecond
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
	return &keyRegistry{tag: HostTag(host), sessions: map[cancelKey]*session{}}
}

// HostTag returns the upper 16 bits of the process numbers that a host gives
// to its sessions, as the upper half of the result.
func HostTag(host string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(host))
	return h.Sum32() &^ 0xffff
}

func (r *keyRegistry) add(x *session) cancelKey {
	r.mu.Lock()
	defer r.mu.Unlock()
	for {
		var b [8]byte
		rand.Read(b[:])
		k := cancelKey{
			process: r.tag | binary.BigEndian.Uint32(b[:4])&0xffff,
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

// cancelStatement handles a CancelRequest. Callers get no answer to it.
func (s *Server) cancelStatement(process uint32, secret []byte) {
	if len(secret) != secretLen {
		return
	}
	k := cancelKey{process: process, secret: binary.BigEndian.Uint32(secret)}
	x := s.keys.find(k)
	if x == nil {
		s.log.WithField("here", process&^0xffff == s.keys.tag).Info("cancel request for no session of this host")
		return
	}
	r := x.inFlight()
	if r == nil {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, cancelTime)
	defer cancel()
	err := s.executor.CancelStatement(ctx, r)
	s.log.WithError(err).WithField("session", x.id).Info("statement canceled by the caller")
}
