package linegroup

import (
	"errors"
	"net"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// An Instance is one member of a Group. The group's mutex guards its fields.
type Instance struct {
	group      *Group
	id         string
	role       gypsumyard.Role
	term       gypsumyard.Term
	fencedTerm gypsumyard.Term
	log        []Record
	applied    int
	listener   net.Listener
	sessions   map[*session]bool
	// slots is a semaphore that holds one element per running statement.
	slots   chan struct{}
	started time.Time
	down    bool
	leaving bool
	// leavingSince is when leaving was set.
	leavingSince time.Time
	// isolated instances receive no records and, as primaries, send none.
	isolated bool
	// unresponsive instances accept connections and send no responses.
	unresponsive bool
	// busy instances reject all statements.
	busy bool
	// dropResponses is how many further responses are dropped after the
	// statement has run.
	dropResponses int
	// rejectCode is the error code with which new sessions are rejected. Empty
	// means that they are accepted.
	rejectCode string
}

// Listed returns the instance's list entry.
func (i *Instance) Listed() gypsumyard.ListedInstance {
	i.group.mu.Lock()
	defer i.group.mu.Unlock()
	return gypsumyard.ListedInstance{
		ID: i.id, Group: i.group.name, Addr: i.addrLocked(), Slots: i.group.slots, Leaving: i.leaving, LeavingSince: i.leavingSince, Role: i.role, Started: i.started,
	}
}

// ID returns the name of the instance.
func (i *Instance) ID() string { return i.id }

// update calls f while it holds the group's mutex and wakes the waiting commits.
func (i *Instance) update(f func()) {
	i.group.mu.Lock()
	defer i.group.mu.Unlock()
	f()
	i.group.changed.Broadcast()
}

// SetIsolated starts or ends the isolation of the instance from replication: it
// receives no records and, as a primary, sends none. When the isolation ends, the
// instance follows the primary.
func (i *Instance) SetIsolated(on bool) {
	i.update(func() {
		i.isolated = on
		if p := i.group.primaryLocked(); !on && p != nil && p != i && !p.isolated {
			i.follow(p)
		}
	})
}

// SetUnresponsive makes the instance send no responses, or ends that.
func (i *Instance) SetUnresponsive(on bool) { i.update(func() { i.unresponsive = on }) }

// SetBusy makes the instance reject all statements, or ends that.
func (i *Instance) SetBusy(on bool) { i.update(func() { i.busy = on }) }

// SetLeaving marks the instance as about to be shut down in its list entry.
func (i *Instance) SetLeaving() {
	i.update(func() {
		i.leaving = true
		i.leavingSince = time.Now()
	})
}

// DropResponses makes the instance run the next n statements but close the
// connection instead of responding.
func (i *Instance) DropResponses(n int) { i.update(func() { i.dropResponses = n }) }

// RejectSessions makes the instance reject new sessions with the error code. An
// empty code ends that.
func (i *Instance) RejectSessions(code string) { i.update(func() { i.rejectCode = code }) }

// Running reports whether the instance has not crashed.
func (i *Instance) Running() bool {
	i.group.mu.Lock()
	defer i.group.mu.Unlock()
	return !i.down
}

// Crash stops the instance and closes its connections.
func (i *Instance) Crash() {
	i.update(func() { i.down = true })
	_ = i.listener.Close()
	i.closeSessions()
}

// Restart does what a restart of the instance's process at the same address does: it
// closes the connections and ends a fence. The log is kept.
func (i *Instance) Restart() {
	i.update(func() {
		i.fencedTerm = 0
		i.started = time.Now()
	})
	i.closeSessions()
}

// RestartEmpty is Restart for an instance that has lost its log.
func (i *Instance) RestartEmpty() {
	i.update(func() { i.log, i.applied = nil, 0 })
	i.Restart()
}

func (i *Instance) closeSessions() {
	var open []*session
	i.update(func() {
		for s := range i.sessions {
			open = append(open, s)
		}
	})
	for _, s := range open {
		_ = s.net.Close()
	}
}

// Role returns the role that the instance assumes it has.
func (i *Instance) Role() gypsumyard.Role {
	i.group.mu.Lock()
	defer i.group.mu.Unlock()
	return i.role
}

// Position returns the position of the last record in the instance's log.
func (i *Instance) Position() gypsumyard.Position {
	i.group.mu.Lock()
	defer i.group.mu.Unlock()
	return i.received()
}

func (i *Instance) received() gypsumyard.Position { return i.positionAt(len(i.log)) }

func (i *Instance) positionAt(n int) gypsumyard.Position {
	if n == 0 {
		return gypsumyard.Position{Term: i.term}
	}
	return i.log[n-1].Position
}

// applyLater makes the received records visible to reads after the lag. The
// caller must hold i.group.mu.
func (i *Instance) applyLater() {
	n := len(i.log)
	if i.group.lag == 0 {
		i.applied = n
		return
	}
	time.AfterFunc(i.group.lag, func() {
		i.update(func() { i.applied = max(i.applied, min(n, len(i.log))) })
	})
}

// Contains reports whether the instance's log contains the record at p.
func (i *Instance) Contains(p gypsumyard.Position) bool {
	i.group.mu.Lock()
	defer i.group.mu.Unlock()
	return p.Offset == 0 || len(i.log) >= int(p.Offset) && i.log[p.Offset-1].Position == p
}

func (i *Instance) accept(l net.Listener) {
	for {
		n, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		s := newSession(i, n)
		i.update(func() { i.sessions[s] = true })
		go func() {
			s.serve()
			i.update(func() { delete(i.sessions, s) })
		}()
	}
}

// Log returns the records of the instance's log.
func (i *Instance) Log() []Record {
	i.group.mu.Lock()
	defer i.group.mu.Unlock()
	return append([]Record(nil), i.log...)
}
