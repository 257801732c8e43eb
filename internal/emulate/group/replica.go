package group

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/emulate/engine"
)

// heartbeatInterval is how often a replica contacts its primary when there is
// nothing to replicate.
const heartbeatInterval = 10 * time.Millisecond

// replicate applies the log of the instance's source until ctx is done.
func (in *Instance) replicate(ctx context.Context) {
	for ctx.Err() == nil {
		wait, changed := in.replicateOnce()
		t := in.clock.NewTimer(wait)
		select {
		case <-t.C():
		case <-changed:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// replicateOnce applies the records whose lag has passed. It returns how long to
// wait before the next call, and a channel that is closed when the source's log
// changes. The channel is nil if such a change is no reason for a call.
func (in *Instance) replicateOnce() (wait time.Duration, changed <-chan struct{}) {
	name, sourceVersion := in.engine.Source()
	if name == "" {
		return heartbeatInterval, nil
	}
	source := in.group.Instance(name)
	if source == nil || source == in || !in.replicationConnected() || !source.replicationConnected() {
		return heartbeatInterval, nil
	}
	changed = source.engine.Changed()
	snapshot := source.engine.LogSnapshot()
	now := in.clock.Now()
	result := in.engine.Replicate(snapshot, sourceVersion, now, in.applyTime)
	if !result.Accepted {
		return heartbeatInterval, nil
	}
	in.mu.Lock()
	in.lastReceived = now
	in.mu.Unlock()
	if result.Dropped > 0 {
		in.terminateConns()
	}
	wait = heartbeatInterval
	if !result.Next.IsZero() {
		// Later records cannot be applied before the pending one, so changes of
		// the source's log need no wake-up.
		wait, changed = min(wait, max(result.Next.Sub(now), 0)), nil
	}
	return wait, changed
}

// replicationConnected reports whether the instance can send and receive the log.
func (in *Instance) replicationConnected() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.running && !in.frozen && !in.isolated
}

// applyTime returns when a record may be applied. The jitter depends only on the
// record's offset and the instance's port, so repeated calls return the same
// time.
func (in *Instance) applyTime(r *engine.Record) time.Time {
	in.mu.Lock()
	lag, jitter, port := in.lag, in.jitter, in.addr.Port()
	in.mu.Unlock()
	if jitter > 0 {
		seed := rand.New(rand.NewPCG(uint64(r.Position.Offset), uint64(port)))
		lag += time.Duration(seed.Int64N(int64(jitter)))
	}
	return r.Time.Add(lag)
}

// terminateConns terminates the open connections after a truncation of the log,
// since a client must not see committed records disappear.
func (in *Instance) terminateConns() {
	for _, k := range in.openConns() {
		k.cancel(errTerminated)
	}
}
