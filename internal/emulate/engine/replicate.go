package engine

import (
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// A LogSnapshot is the role and the log of an instance at one moment.
type LogSnapshot struct {
	Role gypsumyard.Role
	Log  []*Record
}

// Term returns the term of the last record in the snapshot.
func (s *LogSnapshot) Term() gypsumyard.Term { return s.Log[len(s.Log)-1].Position.Term }

// LogSnapshot returns a snapshot of the log, for a replica.
func (e *Engine) LogSnapshot() LogSnapshot {
	e.mu.Lock()
	defer e.mu.Unlock()
	return LogSnapshot{Role: e.role, Log: e.log[:len(e.log):len(e.log)]}
}

// Source returns the name of the instance that a replica follows, and a version
// number that changes with every order that changes the source. The name is empty
// on a primary.
func (e *Engine) Source() (name string, sourceVersion uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.source, e.sourceVersion
}

// A ReplicateResult describes the effect of one call of Replicate.
type ReplicateResult struct {
	// Accepted is false if the snapshot was rejected: its sender is not a
	// primary, its term is lower than the fence or the log, or the receiver is
	// paused, is not a replica or has another source.
	Accepted bool
	// Dropped is the number of records that were truncated because they are not
	// in the source's log.
	Dropped int
	// Next is when the next record can be applied. It is zero if there is none.
	Next time.Time
}

// Replicate applies the records of the snapshot whose apply time is not after
// now. The snapshot must come from the source with the given version. Records
// after the point where the logs diverge are truncated first.
func (e *Engine) Replicate(s LogSnapshot, sourceVersion uint64, now time.Time, applyTime func(*Record) time.Time) (p ReplicateResult) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.paused != nil || e.sourceVersion != sourceVersion || e.role != gypsumyard.RoleReplica || s.Role != gypsumyard.RolePrimary {
		return ReplicateResult{}
	}
	if s.Term() < e.fence || s.Term() < e.applied().Term {
		return ReplicateResult{}
	}
	p.Accepted = true
	common := e.commonPrefix(s.Log)
	if common < len(e.log) {
		if s.Term() == e.applied().Term {
			// The snapshot is older than the log, so it has no new records.
			return p
		}
		p.Dropped = len(e.log) - common
		e.truncations.Add(1)
		e.replay(e.log[:common:common])
	}
	for _, r := range s.Log[common:] {
		at := applyTime(r)
		if at.After(now) {
			p.Next = at
			return p
		}
		e.append(r)
	}
	return p
}

// commonPrefix returns the length of the logs' common prefix. Records with the
// same position are equal, since only one instance writes in each term.
func (e *Engine) commonPrefix(log []*Record) int {
	n := min(len(e.log), len(log))
	for n > 0 && e.log[n-1].Position != log[n-1].Position {
		n--
	}
	return n
}
