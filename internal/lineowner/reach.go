package lineowner

import (
	"math"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/sirupsen/logrus"
)

// A hostReach tracks the fraction of the hosts that this one reaches. Two hosts that do
// not reach each other may both own a group. Each side then has the fraction of the limits
// that corresponds to its hosts, so that the sum over both sides stays within them.
type hostReach struct {
	mu     sync.Mutex
	states map[string]gypsumyard.HostState
	lost   map[string]time.Time
	value  float64
}

// current returns the fraction as of the last update.
func (r *hostReach) current() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.value == 0 {
		return 1
	}
	return r.value
}

// update applies the membership. A host that vanishes without having announced that it
// leaves is lost.
func (r *hostReach) update(self string, hosts []gypsumyard.Host, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.states
	r.states = map[string]gypsumyard.HostState{self: gypsumyard.HostLive}
	if r.lost == nil {
		r.lost = map[string]time.Time{}
	}
	present := 1
	for _, h := range hosts {
		r.states[h.Name] = h.State
		switch {
		case h.State == gypsumyard.HostSuspect:
			r.lost[h.Name] = now
		case h.Name != self:
			present++
			delete(r.lost, h.Name)
		}
	}
	for name, state := range before {
		if _, ok := r.states[name]; !ok && state != gypsumyard.HostLeaving {
			r.lost[name] = now
		}
	}
	for name, at := range r.lost {
		if now.Sub(at) > lostRetention || name == self {
			delete(r.lost, name)
		}
	}
	r.value = float64(present) / float64(present+len(r.lost))
}

// updateReach applies the membership to the fraction of the limits of this host.
func (s *Service) updateReach(d *gypsumyard.DesiredState) {
	if len(d.Customers) == 0 {
		return
	}
	before := s.quota.reach.current()
	s.quota.reach.update(s.self, s.members.Hosts(), s.clock.Now())
	if now := s.quota.reach.current(); math.Abs(now-before) > 0.01 {
		s.log.WithFields(logrus.Fields{"fraction": now, "before": before}).Info("fraction of the customers' limits has changed with the hosts in reach")
	}
}
