package soak

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/emulate/lineclient"
	"github.com/gypsumyard/gypsumyard/internal/emulate/objects"
)

const (
	// revokeTimeout is the value of the hosts' setting bounds.revokeTimeoutMs.
	revokeTimeout = 2500 * time.Millisecond
	// revokedClient is the client whose key is withdrawn.
	revokedClient = "c0"
)

// keyOf returns the key of a client, which is a customer of its own.
func keyOf(client string) string { return "key-of-" + client }

// tenants returns the customers, without the withdrawn key.
func tenants(withdrawn bool) *[]objects.Tenant {
	list := []objects.Tenant{}
	for n := range clients {
		t := objects.Tenant{Name: clientName(n), APIKeys: []string{keyOf(clientName(n))}}
		if withdrawn && t.Name == revokedClient {
			t.APIKeys = nil
		}
		if t.Name == limitedClient {
			t.RatePerS, t.Burst = limitOfClient.Rate, limitOfClient.Burst
		}
		list = append(list, t)
	}
	return &list
}

// withdrawKey withdraws the key of revokedClient at a time during the faults.
func (cl *cluster) withdrawKey(r *rand.Rand) {
	time.Sleep(time.Duration(r.Int64N(int64(*faultDuration / 2))))
	cl.writing.Lock()
	cl.withdrawn = true
	cl.writing.Unlock()
	cl.setDesiredState()
	cl.t.Logf("key of %s was withdrawn", revokedClient)
}

// noteRevoked records that the store has acknowledged the state without the key: the first
// one, or the one that is written again after a restore, which may have lost the first.
func (h *history) noteRevoked(restored bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.revokedAt[revokedClient].IsZero() || restored {
		h.revokedAt[revokedClient] = time.Now()
	}
}

// mayNotRun reports whether what the client sends now must not run.
func (h *history) mayNotRun(client string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, ok := h.revokedAt[client]
	return ok && time.Since(at) > revokeTimeout
}

// Query is that of the connection. It counts the statement, and records one that was
// served although its key was withdrawn.
func (s *session) Query(text string) (lineclient.Reply, bool) {
	late := s.history.mayNotRun(s.name)
	if late && (strings.HasPrefix(text, "WRITE ") || text == "COMMIT") {
		s.history.mu.Lock()
		s.history.late[s.lastData()] = true
		s.history.mu.Unlock()
	}
	sent := time.Now()
	r, ok := s.Session.Query(text)
	s.history.recordStatement(text, ok, time.Since(sent))
	if late && ok && r.Code == "" && text != "ROLLBACK" {
		s.history.addViolation("%s was served to %s, whose key was withdrawn", text, s.name)
	}
	return r, ok
}
