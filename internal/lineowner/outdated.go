package lineowner

import (
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

const (
	// outdatedAfter is how long a desired state has been in force on this host when
	// requests that were routed by an older one are checked: hosts learn of it at
	// different times, and transactions go on by the state in which they began.
	outdatedAfter = 1500 * time.Millisecond
	// outdatedRetryAfter is when a caller of an outdated host may try again.
	outdatedRetryAfter = 500 * time.Millisecond
)

// A stateHistory records since when the latest desired states have been in force on this
// host.
type stateHistory struct {
	mu sync.Mutex
	// entries begin with the latest state that has been in force for outdatedAfter, if
	// there is one.
	entries []stateEntry
}

// A stateEntry is a desired state and when it came into force.
type stateEntry struct {
	number int64
	since  time.Time
}

// note records the state that is in force.
func (h *stateHistory) note(number int64, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := len(h.entries)
	if n > 0 && h.entries[n-1].number == number {
		return
	}
	h.entries = append(h.entries, stateEntry{number, now})
	h.trim(now)
}

// trim drops the entries before the latest one that is older than outdatedAfter. The caller
// must hold h.mu.
func (h *stateHistory) trim(now time.Time) {
	for len(h.entries) > 1 && now.Sub(h.entries[1].since) >= outdatedAfter {
		h.entries = h.entries[1:]
	}
}

// isOutdated reports whether a host that still uses the state is late: this host has had a
// later one for outdatedAfter. Zero stands for a host that does not tell its state.
func (h *stateHistory) isOutdated(number int64, now time.Time) bool {
	if number == 0 {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.trim(now)
	return len(h.entries) > 0 && now.Sub(h.entries[0].since) >= outdatedAfter && number < h.entries[0].number
}

// checkRoute rejects a request whose host has routed it by an outdated desired state if
// the present one does not route it to this group. The request did not run. A request of
// an open transaction goes on by the route with which it began.
func (g *group) checkRoute(j *job) error {
	if j.Transaction != "" || !g.service.states.isOutdated(j.DesiredNumber, g.clock.Now()) {
		return nil
	}
	d := g.service.lists.Desired()
	if r, ok := d.Routes[j.Customer]; ok && r.Group == g.name {
		return nil
	}
	g.metrics.outdatedRoutes.Inc(1)
	if g.service.routeLog.Allow() {
		g.log.WithFields(g.fields(j)).WithField("desired", d.Number).WithField("routed-by", j.DesiredNumber).
			Warn("request was routed by an outdated desired state, the present one does not route it here")
	}
	e := gypsumyard.Errorf(gypsumyard.ClassNotRun, "desired state %d does not route %s to this database, the host has an older one", d.Number, j.Customer)
	e.RetryAfter, e.NoRetry = outdatedRetryAfter, true
	return e
}
