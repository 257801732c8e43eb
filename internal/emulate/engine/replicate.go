package engine

import (
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// A LogSnapshot is one reading of a primary's log, taken at one moment.
type LogSnapshot struct {
	Role gypsumyard.Role
	Log  []*Record
}

// Term returns the term of the snapshot.
func (s *LogSnapshot) Term() gypsumyard.Term { return s.Log[len(s.Log)-1].Position.Term }

// LogSnapshot reads the log for a replica.
func (e *Engine) LogSnapshot() LogSnapshot {
	e.mu.Lock()
	defer e.mu.Unlock()
	return LogSnapshot{Role: e.role, Log: e.log[:len(e.log):len(e.log)]}
}

// Source returns the instance that a replica follows, and a number that
// changes with every order that changes it. The name is empty on a primary.
func (e *Engine) Source() (name string, generation uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.source, e.generation
}

// A ReplicateResult tells what one call of Replicate did.
type ReplicateResult struct {
	// Accepted is false if the stream was refused, because its sender is not
	// a primary or its term is lower than the fence or the log.
	Accepted bool
	// Dropped is how many records of an older term were cut off.
	Dropped int
	// Next is when the next record is due. It is zero if there is none.
	Next time.Time
}

// Replicate applies those records of the stream that due reports to be due at
// now. The stream must come from the source of the given generation. Records
// past the fork are dropped first.
func (e *Engine) Replicate(s LogSnapshot, generation uint64, now time.Time, due func(*Record) time.Time) (p ReplicateResult) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.paused != nil || e.generation != generation || e.role != gypsumyard.RoleReplica || s.Role != gypsumyard.RolePrimary {
		return ReplicateResult{}
	}
	if s.Term() < e.fence || s.Term() < e.applied().Term {
		return ReplicateResult{}
	}
	p.Accepted = true
	common := e.commonPrefix(s.Log)
	if common < len(e.log) {
		if s.Term() == e.applied().Term {
			// The reading is older than the log: nothing is new.
			return p
		}
		p.Dropped = len(e.log) - common
		e.epoch.Add(1)
		e.reset(e.log[:common:common])
	}
	for _, r := range s.Log[common:] {
		at := due(r)
		if at.After(now) {
			p.Next = at
			return p
		}
		e.append(r)
	}
	return p
}

// commonPrefix returns how many records both logs share. Records of the same
// position are the same, since one instance writes in each term.
func (e *Engine) commonPrefix(log []*Record) int {
	n := min(len(e.log), len(log))
	for n > 0 && e.log[n-1].Position != log[n-1].Position {
		n--
	}
	return n
}
