package member

import (
	"maps"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/sirupsen/logrus"
)

// maxAssignments bounds the assignments that a host keeps, and maxAssigned how
// long one may hold.
const (
	maxAssignments = 65536
	maxAssigned    = time.Minute
)

// An assigned database is owned by the host until a time.
type assigned struct {
	host  string
	until time.Time
}

// Assign makes a host the owner of a database for a time, in this host's view.
// The latest assignment of a database counts.
func (s *Service) Assign(a gypsumyard.Assignment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.assigned[a.Database]
	if !known && len(s.assigned) >= maxAssignments {
		return
	}
	until := s.clock.Now().Add(min(a.Remaining, maxAssigned))
	s.assigned[a.Database] = assigned{a.Host, until}
	if old.host == a.Host {
		return
	}
	s.log.WithFields(logrus.Fields{"database": a.Database, "owner": a.Host, "remaining": a.Remaining}).Info("database is assigned to a host")
	s.invalidate()
}

// Assigned returns the assignment of the database that is in force in this
// host's view.
func (s *Service) Assigned(database string) (gypsumyard.Assignment, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.assigned[database]
	left := a.until.Sub(s.clock.Now())
	if !ok || left <= 0 {
		return gypsumyard.Assignment{}, false
	}
	return gypsumyard.Assignment{Database: database, Host: a.host, Remaining: left}, true
}

// expireAssigned drops the assignments whose time is over. It is called with
// the lock held.
func (s *Service) expireAssigned(now time.Time) {
	before := len(s.assigned)
	maps.DeleteFunc(s.assigned, func(_ string, a assigned) bool { return !now.Before(a.until) })
	if len(s.assigned) != before {
		s.invalidate()
	}
}
