package owner

import (
	"sync/atomic"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/upstream"
)

const (
	// earlyAtMost is the longest expected run time of requests whose slot is
	// given on early.
	earlyAtMost = 50 * time.Millisecond
	// earlyPerSlot bounds how many requests of an instance may run without a
	// slot, for each of its slots.
	earlyPerSlot = 2
)

// A slot is a grant that is released once.
type slot struct {
	released atomic.Bool
	// early tells that it was released before the request ended.
	early atomic.Bool
}

// releaseEarly gives on the slot when the instance is expected to have run the
// request, one round trip before the answer can be complete, so that the next
// request arrives when this one ends. Without it a slot stands idle for the
// round trip of each request. Long requests and those of unknown run time keep
// their slots to the end. The returned function ends the wait.
func (g *group) releaseEarly(a *attempt, expected time.Duration, long bool) (stop func()) {
	g.mu.Lock()
	trip := 2 * a.member.view.Distance
	g.mu.Unlock()
	if !g.early || long || expected == 0 || expected > earlyAtMost || trip == 0 {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		t := g.clock.NewTimer(max(expected-trip, trip/4))
		defer t.Stop()
		select {
		case <-t.C():
			g.giveOn(a, trip, expected)
		case <-done:
		}
	}()
	return func() { close(done) }
}

// giveOn releases the slot unless too many requests run without one. Those on
// the way are as many as the slots serve in one round trip; requests that run
// longer than expected use up the allowance.
func (g *group) giveOn(a *attempt, trip, expected time.Duration) {
	g.mu.Lock()
	run := max(expected-trip, trip/4)
	allowed := min(1+int(trip/run), earlyPerSlot) * g.database.Slots
	connections := upstream.Limit(g.database) - a.member.pinned
	ok := a.member.early < allowed && a.member.running < connections && a.slot.released.CompareAndSwap(false, true)
	if ok {
		a.slot.early.Store(true)
		a.member.early++
	}
	g.mu.Unlock()
	if ok {
		g.admitter.Release(a.grant, g.clock.Since(a.began))
	}
}
