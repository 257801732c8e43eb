package owner

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/upstream"
)

const (
	// smoothing is the weight of a new sample in the averages of lag and
	// distance.
	smoothing = 0.2
	// failuresUntilUnreachable counts one failure on the open connection and
	// one on a fresh one.
	failuresUntilUnreachable = 2
	// A database without requests for quietAfter is polled less often by
	// quietFactor, until a poll fails. At the target scale the polls of idle
	// databases would otherwise use up the bytes that control may use.
	quietAfter  = 5 * time.Second
	quietFactor = 4
	// pollAtLeast is the longest pause between two polls of an instance that
	// requests keep up to date. Only polls measure its distance.
	pollAtLeast = time.Second
	// Polls after slowAfter failures have slowFactor times the timeout.
	slowAfter  = 4
	slowFactor = 2
)

// A member is one instance of a group. Its view is guarded by the lock of the
// group.
type member struct {
	name   string
	poll   gypsumyard.Instance
	order  gypsumyard.Instance
	pool   *upstream.Pool
	wake   chan struct{}
	cancel context.CancelFunc
	// permits are those of the transactions on the instance.
	permits permits

	view gypsumyard.InstanceView
	// lastSent and polledAt are when the last poll began and ended.
	lastSent time.Time
	polledAt time.Time
	failures int
	// refused indicates that nothing listened at the address at the last poll.
	refused bool
	running int
	// ahead is how many statements may be sent beyond the slots.
	ahead int
	// pinned counts the transactions open on the instance, and available is
	// what the admitter was told.
	pinned    int
	available bool
	// leavingFrom is when the instance was seen to be leaving.
	leavingFrom time.Time
	// followAt is when the instance was last told to follow the primary.
	followAt time.Time
}

// poke makes the poller ask at once.
func (m *member) poke() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// usable reports whether the instance may get new work.
func (m *member) usable() bool { return m.view.Reachable && !m.view.Leaving }

// leavingGrace is how long a leaving primary takes writes while its hand-over
// waits for a replica to catch up.
const leavingGrace = 2 * time.Second

// takesWrites reports whether the instance may get new writes, if it is the
// primary. It is called with the lock held.
func (g *group) takesWrites(m *member) bool {
	return m.view.Reachable && (!m.view.Leaving || g.clock.Since(m.leavingFrom) < leavingGrace)
}

// watch polls the instance until ctx is done.
func (g *group) watch(ctx context.Context, m *member) {
	defer g.work.Done()
	for ctx.Err() == nil {
		sent := g.clock.Now()
		g.noteSent(m, sent)
		call, cancel := context.WithTimeout(ctx, g.timeout(m))
		status, err := m.poll.Status(call)
		cancel()
		if ctx.Err() != nil {
			return
		}
		g.observe(m, sent, status, err)
		g.rest(ctx, m)
	}
}

// timeout returns how long a poll may take. The first polls are short, so that
// several fail before a silent primary counts as dead. Later ones give a slow
// instance time to answer.
func (g *group) timeout(m *member) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m.failures >= slowAfter {
		return slowFactor * g.pollTimeout
	}
	return g.pollTimeout
}

func (g *group) noteSent(m *member, sent time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m.lastSent = sent
}

// rest waits until the next poll is due.
func (g *group) rest(ctx context.Context, m *member) {
	for {
		d := g.pause(m)
		if d <= 0 {
			return
		}
		t := g.clock.NewTimer(d)
		select {
		case <-t.C():
		case <-m.wake:
			t.Stop()
			return
		case <-ctx.Done():
			t.Stop()
			return
		}
	}
}

// pause returns how long the next poll is not due. The status that comes with
// a request replaces a poll.
func (g *group) pause(m *member) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	every := g.pollEvery
	switch {
	case m.failures == 1:
		// The connection may be broken while a fresh one works.
		return 0
	case m.failures > 0:
	case !g.sampleAfter.Before(m.lastSent):
		return 0
	case g.urgent > 0:
		return m.polledAt.Add(g.pollUrgent).Sub(now)
	case now.Sub(g.lastRequest) > quietAfter:
		every *= quietFactor
	}
	seen := m.polledAt
	if m.view.SampledAt.After(seen) && now.Sub(seen) < pollAtLeast {
		seen = m.view.SampledAt
	}
	return seen.Add(every).Sub(now)
}

// observe takes over the result of a poll.
func (g *group) observe(m *member, sent time.Time, status gypsumyard.InstanceStatus, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m.polledAt = g.clock.Now()
	m.refused = errors.Is(err, syscall.ECONNREFUSED)
	if err != nil {
		m.failures++
		if m.failures >= failuresUntilUnreachable && m.view.Reachable {
			m.view.Reachable = false
			g.log.WithField("instance", m.name).WithError(err).Warn("instance does not answer")
		}
	} else {
		g.accept(m, sent, status)
	}
	g.checkAvailable(m)
	g.afterChange()
}

// accept takes over the result of a poll. It is called with the lock held.
func (g *group) accept(m *member, sent time.Time, status gypsumyard.InstanceStatus) {
	m.failures = 0
	if !m.view.Reachable {
		m.pool.ResetBackoff()
	}
	m.view.Reachable = true
	v := &m.view
	half := g.clock.Since(sent) / 2
	if v.SampledAt.IsZero() {
		v.Distance = half
	}
	v.Distance = smooth(v.Distance, half)
	g.checkAhead(m)
	g.takeStatus(m, sent, status)
}

// takeStatus takes over a status that was asked for at or after sent, unless a
// later one is known. It is called with the lock held.
func (g *group) takeStatus(m *member, sent time.Time, status gypsumyard.InstanceStatus) {
	v := &m.view
	if sent.Before(v.SampledAt) {
		return
	}
	leaving := status.Leaving || g.service.listedLeaving(m.name)
	if leaving && !v.Leaving {
		m.leavingFrom = g.clock.Now()
		g.log.WithField("instance", m.name).Info("instance is leaving")
	}
	v.Status, v.SampledAt, v.Leaving = status, sent, leaving
	g.updateBound()
	lag := time.Duration(0)
	if status.Role == gypsumyard.RoleReplica {
		lag = g.samples.lag(status, sent)
	}
	v.Lag = smooth(v.Lag, lag)
	g.checkAvailable(m)
}

func smooth(old, sample time.Duration) time.Duration {
	return old + time.Duration(smoothing*float64(sample-old))
}
