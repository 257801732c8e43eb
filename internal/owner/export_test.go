package owner

import (
	"context"

	"github.com/gypsumyard/gypsumyard"
)

// OverstateReplicas overwrites the owner's view of the replicas so that they
// seem to hold the record at p. The next poll of a replica corrects it.
func (s *Service) OverstateReplicas(database string, p gypsumyard.Position) {
	g := s.group(database)
	g.mu.Lock()
	defer g.mu.Unlock()
	var primary gypsumyard.InstanceStatus
	for _, m := range g.members {
		if st := m.view.Status; st.Role == gypsumyard.RolePrimary {
			primary = st
		}
	}
	for _, m := range g.members {
		st := m.view.Status
		if st.Role == gypsumyard.RolePrimary {
			continue
		}
		st.Applied, st.History = p, primary.History
		g.updateStatus(m, g.clock.Now(), st)
	}
}

// Released returns how many releases of databases that this host does not own
// are kept.
func (s *Service) Released() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.released)
}

// BeginCancel does the first part of CancelStatement, which finds and marks
// the connection, and returns the second part, which sends the cancellation.
func (s *Service) BeginCancel(database string, session gypsumyard.SessionID) func(context.Context) error {
	return s.group(database).toCancel(session).Cancel
}
