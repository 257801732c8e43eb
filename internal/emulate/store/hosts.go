package store

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// hosts is the list of hosts. It shows changes after a lag.
type hosts struct {
	mu      sync.Mutex
	lag     time.Duration
	shown   map[string]gypsumyard.Host
	pending []hostChange
}

type hostChange struct {
	due    time.Time
	name   string
	host   gypsumyard.Host
	remove bool
}

func (h *hosts) change(c hostChange, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c.due = now.Add(h.lag)
	h.pending = append(h.pending, c)
}

// list applies the changes that are due and returns the hosts ordered by name.
func (h *hosts) list(now time.Time) []gypsumyard.Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pending = slices.DeleteFunc(h.pending, func(c hostChange) bool {
		if c.due.After(now) {
			return false
		}
		if c.remove {
			delete(h.shown, c.name)
		} else {
			h.shown[c.name] = c.host
		}
		return true
	})
	list := make([]gypsumyard.Host, 0, len(h.shown))
	for _, name := range slices.Sorted(maps.Keys(h.shown)) {
		list = append(list, h.shown[name])
	}
	return list
}

// SetHost adds or updates a host in the list, after the lag. The state must be
// live or leaving.
func (s *Server) SetHost(host gypsumyard.Host) error {
	if host.State != gypsumyard.HostLive && host.State != gypsumyard.HostLeaving {
		return fmt.Errorf("host %s: the list has no state %q", host.Name, host.State)
	}
	s.hosts.change(hostChange{name: host.Name, host: host}, s.clock.Now())
	return nil
}

// RemoveHost removes a host from the list, after the lag.
func (s *Server) RemoveHost(name string) {
	s.hosts.change(hostChange{name: name, remove: true}, s.clock.Now())
}

// SetHostLag sets the lag of later changes to the list of hosts.
func (s *Server) SetHostLag(lag time.Duration) {
	s.hosts.mu.Lock()
	defer s.hosts.mu.Unlock()
	s.hosts.lag = lag
}

// Hosts returns the list that clients currently see.
func (s *Server) Hosts() []gypsumyard.Host { return s.hosts.list(s.clock.Now()) }
