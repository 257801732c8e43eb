package group

import (
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// Kill ends the instance: its connections are reset, its port refuses, what
// was not committed is lost. It returns when nothing of it runs any more.
func (in *Instance) Kill() {
	in.mu.Lock()
	if in.running {
		in.running = false
		in.listener.Close()
	}
	in.mu.Unlock()
	in.engine.Pause()
	for _, k := range in.openLinks() {
		k.close(errKilled)
	}
	in.work.Wait()
}

// Restart starts a killed instance as it was, in its old role.
func (in *Instance) Restart() error {
	in.mu.Lock()
	frozen := in.frozen
	in.mu.Unlock()
	if !frozen {
		in.engine.Resume()
	}
	return in.listen()
}

// Freeze makes the instance like a paused process: connections are accepted,
// nothing is answered, nothing is committed or replicated.
func (in *Instance) Freeze() { in.setFrozen(true) }

// Thaw ends Freeze. What clients sent in between is then worked off.
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

// Partition cuts the instance off from clients, or ends that. Data is held up,
// not lost. Replication goes on.
func (in *Instance) Partition(cut bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.partitioned = cut
	in.updateGate()
}

// updateGate opens or closes the way to clients. The caller holds in.mu.
func (in *Instance) updateGate() {
	shut := in.frozen || in.partitioned
	switch {
	case shut && in.gate == nil:
		in.gate = make(chan struct{})
	case !shut && in.gate != nil:
		close(in.gate)
		in.gate = nil
	}
}

// Isolate cuts the instance off from replication, or ends that. Clients are
// still served.
func (in *Instance) Isolate(cut bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.isolated = cut
}

// HangConnections makes the open connections never answer again, while new ones work.
// They count against the cap until the client closes them.
func (in *Instance) HangConnections() {
	for _, k := range in.openLinks() {
		k.silenceForever()
	}
}

// SetLag sets the replication lag: a record is applied between lag and
// lag+jitter after its commit.
func (in *Instance) SetLag(lag, jitter time.Duration) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.lag, in.jitter = lag, jitter
}

// Follow orders the instance to replicate from source in term, like the control
// function group_follow, but also while clients cannot reach it.
func (in *Instance) Follow(term gypsumyard.Term, source string) error {
	_, err := in.engine.Follow(term, source)
	return err
}

// SetLeaving sets what the instance reports of its imminent shutdown.
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
