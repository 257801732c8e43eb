package group

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/emulate/engine"
)

// streamTick is how often a replica hears from its primary when there is
// nothing to replicate.
const streamTick = 10 * time.Millisecond

// replicate follows the primary until ctx is done.
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

// replicateOnce applies what is due. It returns how long to wait for the next
// record, and a channel that is closed when the primary has a new one.
func (in *Instance) replicateOnce() (wait time.Duration, changed <-chan struct{}) {
	name, generation := in.engine.Source()
	if name == "" {
		return streamTick, nil
	}
	source := in.group.Instance(name)
	if source == nil || source == in || !in.connected() || !source.connected() {
		return streamTick, nil
	}
	changed = source.engine.Changed()
	stream := source.engine.LogSnapshot()
	now := in.clock.Now()
	p := in.engine.Replicate(stream, generation, now, in.due)
	if !p.Accepted {
		return streamTick, nil
	}
	in.mu.Lock()
	in.heard = now
	in.mu.Unlock()
	if p.Dropped > 0 {
		in.terminate()
	}
	wait = streamTick
	if !p.Next.IsZero() {
		// The pending record decides; changes behind it can wait.
		wait, changed = min(wait, max(p.Next.Sub(now), 0)), nil
	}
	return wait, changed
}

// connected reports whether the instance takes part in replication.
func (in *Instance) connected() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.running && !in.frozen && !in.isolated
}

// due returns when a record may be applied. The jitter depends only on the
// record and the instance.
func (in *Instance) due(r *engine.Record) time.Time {
	in.mu.Lock()
	lag, jitter, port := in.lag, in.jitter, in.addr.Port()
	in.mu.Unlock()
	if jitter > 0 {
		seed := rand.New(rand.NewPCG(uint64(r.Position.Offset), uint64(port)))
		lag += time.Duration(seed.Int64N(int64(jitter)))
	}
	return r.Time.Add(lag)
}

// terminate ends the open connections with an error, since their log has gone
// back.
func (in *Instance) terminate() {
	for _, k := range in.openLinks() {
		k.cancel(errTerminated)
	}
}
