package owner

import (
	"context"

	"github.com/gypsumyard/gypsumyard"
)

// OverstateReplicas makes the owner believe, until it has polled them again,
// that the replicas hold the record at p.
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

// BeginCancel finds what the session runs, and returns the rest of its
// cancellation.
func (s *Service) BeginCancel(database string, session gypsumyard.SessionID) func(context.Context) error {
	return s.group(database).toCancel(session).Cancel
}
