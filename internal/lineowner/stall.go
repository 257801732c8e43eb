package lineowner

import (
	"time"

	"github.com/gypsumyard/gypsumyard"
)

const (
	// stallTimeout is how long commits may wait while none is acknowledged
	// before further commits are rejected. On a primary that is partitioned
	// from its replicas each waiting commit occupies a slot that reads need.
	stallTimeout = 250 * time.Millisecond
	// stallRetryAfter is the delay after which a rejected caller may retry.
	stallRetryAfter = 500 * time.Millisecond
)

// A commitGate detects that the primary does not acknowledge commits. The group's
// mutex guards it.
type commitGate struct {
	waiting int
	// lastProgressAt is when commits began to wait, or when the last
	// acknowledgement arrived if that was later.
	lastProgressAt time.Time
	// failing indicates that the last commit ended without an acknowledgement
	// after a long wait.
	failing bool
}

// stalled reports whether commits are waiting and none has been acknowledged for
// stallTimeout. During a stall one commit at a time is let through once all others
// have ended, which detects the end of the stall.
func (c *commitGate) stalled(now time.Time) bool {
	return c.waiting > 0 && (c.failing || now.Sub(c.lastProgressAt) > stallTimeout)
}

func (c *commitGate) begin(now time.Time) {
	if c.waiting == 0 {
		c.lastProgressAt = now
	}
	c.waiting++
}

func (c *commitGate) end(now time.Time, acknowledged bool) {
	c.waiting--
	switch {
	case acknowledged:
		c.lastProgressAt, c.failing = now, false
	case now.Sub(c.lastProgressAt) > stallTimeout:
		c.failing = true
	}
}

// beginCommit registers a statement that commits a write. It fails if the primary
// is currently not acknowledging commits.
func (g *group) beginCommit() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	if g.commits.stalled(now) {
		e := gypsumyard.Errorf(gypsumyard.ClassNotRun, "the primary has acknowledged no commit for %v", now.Sub(g.commits.lastProgressAt))
		e.RetryAfter = stallRetryAfter
		return e
	}
	g.commits.begin(now)
	return nil
}

func (g *group) endCommit(acknowledged bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.commits.end(g.clock.Now(), acknowledged)
}
