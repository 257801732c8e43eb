package lineowner

import (
	"context"
	"sync"

	"github.com/gypsumyard/gypsumyard"
)

// An assigner is the part of the service "members" that this service uses for
// assignments.
type assigner interface {
	// Assign makes a host the owner of a database in this host's view.
	Assign(a gypsumyard.Assignment)
	// Assigned returns the assignment of a database in this host's view.
	Assigned(database string) (gypsumyard.Assignment, bool)
}

// otherHosts returns the other hosts that may own groups.
func (s *Service) otherHosts() (list []gypsumyard.Host) {
	for _, h := range s.members.Hosts() {
		if h.Name != s.self && h.State == gypsumyard.HostLive {
			list = append(list, h)
		}
	}
	return list
}

// sendAssignment sends an assignment to the other hosts and waits up to
// assignTimeout for them. Hosts that it does not reach get it from
// resendAssignments.
func (s *Service) sendAssignment(a gypsumyard.Assignment) {
	ctx, cancel := context.WithTimeout(s.ctx, assignTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, h := range s.otherHosts() {
		wg.Go(func() {
			if err := s.peers.AssignDatabase(ctx, h, a); err != nil {
				s.log.WithField("to", h.Name).WithError(err).Debug("could not send assignment to host")
			}
		})
	}
	wg.Wait()
}

// resendAssignments periodically sends the other hosts the groups that are
// assigned to this one, for hosts that were restarted or partitioned.
func (s *Service) resendAssignments() {
	for s.clock.Sleep(s.ctx, assignmentInterval) == nil {
		s.mu.Lock()
		var own []gypsumyard.Assignment
		for name := range s.groups {
			if a, ok := s.assigner.Assigned(name); ok && a.Host == s.self {
				own = append(own, a)
			}
		}
		s.mu.Unlock()
		for _, a := range own {
			s.sendAssignment(a)
		}
	}
}
