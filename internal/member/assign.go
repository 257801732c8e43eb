package member

import (
	"maps"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/sirupsen/logrus"
)

// maxAssignments bounds the number of assignments that a host keeps, and
// maxAssignmentDuration how long one may hold.
const (
	maxAssignments        = 65536
	maxAssignmentDuration = time.Minute
)

// An assignment makes the host the owner of one database until the given time.
type assignment struct {
	host  string
	until time.Time
}

// Assign makes a host the owner of a database for a limited time, in this host's
// view. A later assignment of the same database replaces an earlier one.
func (s *Service) Assign(a gypsumyard.Assignment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.assignments[a.Database]
	if !known && len(s.assignments) >= maxAssignments {
		return
	}
	until := s.clock.Now().Add(min(a.Remaining, maxAssignmentDuration))
	s.assignments[a.Database] = assignment{a.Host, until}
	if old.host == a.Host {
		return
	}
	s.log.WithFields(logrus.Fields{"database": a.Database, "owner": a.Host, "remaining": a.Remaining}).Info("database is assigned to a host")
	s.invalidate()
}

// maxRefutations is how often a process may raise its incarnation. A greater
// difference belongs to another process: the first incarnation is the start time in
// milliseconds.
const maxRefutations = 100

// dropAssignments removes the assignments to a host that is dead or has started again:
// the new process does not know them. An owner that lives sends its assignments again.
// The caller must hold s.mu.
func (s *Service) dropAssignments(host string) {
	for database, a := range s.assignments {
		if a.host != host {
			continue
		}
		delete(s.assignments, database)
		s.log.WithFields(logrus.Fields{"database": database, "owner": host}).Info("assignment ends, its owner is gone or has started again")
		s.invalidate()
	}
}

// Assigned returns the unexpired assignment of the database in this host's view.
func (s *Service) Assigned(database string) (gypsumyard.Assignment, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.assignments[database]
	left := a.until.Sub(s.clock.Now())
	if !ok || left <= 0 {
		return gypsumyard.Assignment{}, false
	}
	return gypsumyard.Assignment{Database: database, Host: a.host, Remaining: left}, true
}

// removeExpiredAssignments drops the assignments that no longer hold. The
// caller must hold s.mu.
func (s *Service) removeExpiredAssignments(now time.Time) {
	before := len(s.assignments)
	maps.DeleteFunc(s.assignments, func(_ string, a assignment) bool { return !now.Before(a.until) })
	if len(s.assignments) != before {
		s.invalidate()
	}
}
