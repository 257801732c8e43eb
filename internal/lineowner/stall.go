package lineowner

import (
	"time"

	"github.com/gypsumyard/gypsumyard"
)

const (
	// stalledAfter is how long a commit may wait for its acknowledgement while
	// none arrives before no other commit is sent. A primary that is cut from
	// its replicas holds a slot for each commit, which reads then lack.
	stalledAfter = 250 * time.Millisecond
	// stallRetry is when a caller may come back.
	stallRetry = 500 * time.Millisecond
)

// A commitGate notices that the primary does not acknowledge commits. The lock
// of the group guards it.
type commitGate struct {
	waiting int
	// since is when the oldest of the waiting commits was sent, or the last
	// acknowledgement arrived if that was later.
	since time.Time
	// failing indicates that the last commit ended without an acknowledgement
	// after a long wait.
	failing bool
}

// stalled reports whether commits wait and none has been acknowledged for a
// while. One commit at a time goes through when all others have ended, which
// tells when the stall is over.
func (c *commitGate) stalled(now time.Time) bool {
	return c.waiting > 0 && (c.failing || now.Sub(c.since) > stalledAfter)
}

func (c *commitGate) begin(now time.Time) {
	if c.waiting == 0 {
		c.since = now
	}
	c.waiting++
}

func (c *commitGate) end(now time.Time, acknowledged bool) {
	c.waiting--
	switch {
	case acknowledged:
		c.since, c.failing = now, false
	case now.Sub(c.since) > stalledAfter:
		c.failing = true
	}
}

// enterCommit counts a statement in that commits a write. It fails if the
// primary does not acknowledge commits at the moment.
func (g *group) enterCommit() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	if g.commits.stalled(now) {
		e := gypsumyard.Errorf(gypsumyard.ClassNotRun, "the primary has acknowledged no commit for %v", now.Sub(g.commits.since))
		e.RetryAfter = stallRetry
		return e
	}
	g.commits.begin(now)
	return nil
}

func (g *group) leaveCommit(acknowledged bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.commits.end(g.clock.Now(), acknowledged)
}
