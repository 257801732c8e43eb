package group

import (
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// Kill emulates a crash of the instance: its connections are reset, its port
// refuses connections, and uncommitted work is lost. It returns after all of
// the instance's goroutines that serve connections have ended.
func (in *Instance) Kill() {
	in.mu.Lock()
	if in.running {
		in.running = false
		in.listener.Close()
	}
	in.mu.Unlock()
	in.engine.Pause()
	for _, k := range in.openConns() {
		k.close(errKilled)
	}
	in.work.Wait()
}

// Restart starts a killed instance with its committed data, in its old role.
func (in *Instance) Restart() error {
	in.mu.Lock()
	frozen := in.frozen
	in.mu.Unlock()
	if !frozen {
		in.engine.Resume()
	}
	return in.listen()
}

// Freeze emulates a paused process: the instance accepts connections, but sends
// no responses, commits nothing and takes no part in replication.
func (in *Instance) Freeze() { in.setFrozen(true) }

// Thaw ends Freeze. The instance then processes what clients sent in between.
func (in *Instance) Thaw() { in.setFrozen(false) }

func (in *Instance) setFrozen(frozen bool) {
	in.mu.Lock()
	in.frozen = frozen
	running := in.running
	in.updateGate()
	in.mu.Unlock()
	if frozen {
		in.engine.Pause()
	} else if running {
		in.engine.Resume()
	}
}

// Partition starts or ends a network partition between the instance and its
// clients. Data is delayed, not lost. Replication continues.
func (in *Instance) Partition(cut bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.partitioned = cut
	in.updateGate()
}

// updateGate blocks or unblocks the traffic with clients, as the faults in
// effect require. The caller must hold in.mu.
func (in *Instance) updateGate() {
	blocked := in.frozen || in.partitioned
	switch {
	case blocked && in.gate == nil:
		in.gate = make(chan struct{})
	case !blocked && in.gate != nil:
		close(in.gate)
		in.gate = nil
	}
}

// Isolate starts or ends a network partition between the instance and the rest
// of its group: it neither sends nor receives the log. It still serves clients.
func (in *Instance) Isolate(cut bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.isolated = cut
}

// HangConnections makes the open connections never respond again. New ones
// work. The hung connections count against the connection limit until their
// clients close them.
func (in *Instance) HangConnections() {
	for _, k := range in.openConns() {
		k.hang()
	}
}

// SetLag sets the replication lag: a record is applied between lag and
// lag+jitter after its commit.
func (in *Instance) SetLag(lag, jitter time.Duration) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.lag, in.jitter = lag, jitter
}

// Follow orders the instance to replicate from source in term, as the control
// function group_follow does. It also works while clients cannot reach the
// instance.
func (in *Instance) Follow(term gypsumyard.Term, source string) error {
	_, err := in.engine.Follow(term, source)
	return err
}

// SetLeaving sets whether the instance reports that it is about to be shut down.
func (in *Instance) SetLeaving(leaving bool) { in.engine.SetLeaving(leaving) }

// Heal ends all faults and restarts the instance if it was killed.
func (in *Instance) Heal() error {
	in.Partition(false)
	in.Isolate(false)
	in.Thaw()
	in.SetLeaving(false)
	in.SetLag(in.group.config.lag, in.group.config.jitter)
	return in.Restart()
}
