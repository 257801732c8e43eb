package linegroup

import (
	"errors"
	"net"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// An Instance is one member of a Group. The lock of the group guards its
// fields.
type Instance struct {
	group    *Group
	id       string
	role     gypsumyard.Role
	term     gypsumyard.Term
	held     gypsumyard.Term
	log      []Record
	applied  int
	listener net.Listener
	sessions map[*session]bool
	// running holds an element for each statement that runs.
	running chan struct{}
	started time.Time
	down    bool
	leaving bool
	// deaf instances receive nothing, and as primaries send nothing.
	deaf bool
	// silent instances accept connections and answer nothing.
	silent bool
	// busy instances refuse all statements.
	busy bool
	// loseAnswers is how many answers are lost after the statement has run.
	loseAnswers int
	// refuseStart is the code with which new sessions are refused.
	refuseStart string
}

// Listed returns the instance's entry.
func (i *Instance) Listed() gypsumyard.ListedInstance {
	i.group.mu.Lock()
	defer i.group.mu.Unlock()
	return gypsumyard.ListedInstance{
		ID: i.id, Group: i.group.name, Addr: i.addrLocked(), Slots: i.group.slots, Leaving: i.leaving, Role: i.role, Started: i.started,
	}
}

// ID returns the name of the instance.
func (i *Instance) ID() string { return i.id }

// set changes the instance under the group's lock.
func (i *Instance) set(f func()) {
	i.group.mu.Lock()
	defer i.group.mu.Unlock()
	f()
	i.group.changed.Broadcast()
}

// SetIsolated makes the instance receive, and as a primary send, nothing.
func (i *Instance) SetIsolated(on bool) {
	i.set(func() {
		i.deaf = on
		if p := i.group.primaryLocked(); !on && p != nil && p != i && !p.deaf {
			i.follow(p)
		}
	})
}

// SetUnresponsive makes the instance answer nothing.
func (i *Instance) SetUnresponsive(on bool) { i.set(func() { i.silent = on }) }

// SetBusy makes the instance refuse all statements.
func (i *Instance) SetBusy(on bool) { i.set(func() { i.busy = on }) }

// SetLeaving makes the instance announce that it leaves.
func (i *Instance) SetLeaving() { i.set(func() { i.leaving = true }) }

// DropResponses makes the instance run the next n statements and close the
// connection in place of an answer.
func (i *Instance) DropResponses(n int) { i.set(func() { i.loseAnswers = n }) }

// RejectSessions makes the instance refuse new sessions with the code.
func (i *Instance) RejectSessions(code string) { i.set(func() { i.refuseStart = code }) }

// Crash ends the instance. Its connections are reset.
func (i *Instance) Crash() {
	var open []*session
	i.set(func() {
		i.down = true
		for s := range i.sessions {
			open = append(open, s)
		}
	})
	_ = i.listener.Close()
	for _, s := range open {
		_ = s.net.Close()
	}
}

// Role returns what the instance believes to be.
func (i *Instance) Role() gypsumyard.Role {
	i.group.mu.Lock()
	defer i.group.mu.Unlock()
	return i.role
}

// Position returns the last record of the instance's log.
func (i *Instance) Position() gypsumyard.Position {
	i.group.mu.Lock()
	defer i.group.mu.Unlock()
	return i.received()
}

func (i *Instance) received() gypsumyard.Position { return i.at(len(i.log)) }

func (i *Instance) at(n int) gypsumyard.Position {
	if n == 0 {
		return gypsumyard.Position{Term: i.term}
	}
	return i.log[n-1].Position
}

// applyLater makes what was received visible to reads after the lag.
func (i *Instance) applyLater() {
	n := len(i.log)
	if i.group.lag == 0 {
		i.applied = n
		return
	}
	time.AfterFunc(i.group.lag, func() {
		i.set(func() { i.applied = max(i.applied, min(n, len(i.log))) })
	})
}

// Holds reports whether the instance's log holds the record at p.
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
		i.set(func() { i.sessions[s] = true })
		go func() {
			s.serve()
			i.set(func() { delete(i.sessions, s) })
		}()
	}
}

// Log returns the records of the instance's log.
func (i *Instance) Log() []Record {
	i.group.mu.Lock()
	defer i.group.mu.Unlock()
	return append([]Record(nil), i.log...)
}
