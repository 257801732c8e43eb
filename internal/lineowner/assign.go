package lineowner

import (
	"context"
	"sync"

	"github.com/gypsumyard/gypsumyard"
)

// An assigner is the service "members" as this service uses it.
type assigner interface {
	// Assign makes a host the owner of a database in this host's view.
	Assign(a gypsumyard.Assignment)
	// Assigned returns the assignment of a database in this host's view.
	Assigned(database string) (gypsumyard.Assignment, bool)
}

// others returns the other hosts that may own groups.
func (s *Service) others() (list []gypsumyard.Host) {
	for _, h := range s.members.Hosts() {
		if h.Name != s.self && h.State == gypsumyard.HostLive {
			list = append(list, h)
		}
	}
	return list
}

// tellAssignment tells the other hosts who owns a group, and waits for each for
// a moment. Hosts that are not reached learn it from the repetitions.
func (s *Service) tellAssignment(a gypsumyard.Assignment) {
	ctx, cancel := context.WithTimeout(s.ctx, assignTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, h := range s.others() {
		wg.Go(func() {
			if err := s.peers.AssignDatabase(ctx, h, a); err != nil {
				s.log.WithField("to", h.Name).WithError(err).Debug("assignment was not told")
			}
		})
	}
	wg.Wait()
}

// repeatAssignments tells the other hosts which groups are assigned to this
// one, so that hosts that were restarted or cut off learn it.
func (s *Service) repeatAssignments() {
	for s.clock.Sleep(s.ctx, assignEvery) == nil {
		s.mu.Lock()
		var mine []gypsumyard.Assignment
		for name := range s.groups {
			if a, ok := s.assigner.Assigned(name); ok && a.Host == s.self {
				mine = append(mine, a)
			}
		}
		s.mu.Unlock()
		for _, a := range mine {
			s.tellAssignment(a)
		}
	}
}
