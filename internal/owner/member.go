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
	// ewmaWeight is the weight of a new sample in the moving averages of lag,
	// distance and run time.
	ewmaWeight = 0.2
	// failuresUntilUnreachable counts one failure on the open connection and
	// one on a fresh one.
	failuresUntilUnreachable = 2
	// A database without requests for idleAfter is polled at idlePollFactor
	// times the interval until a poll fails. At the target scale the polls of
	// idle databases would otherwise use up the bandwidth that control traffic
	// may use.
	idleAfter      = 5 * time.Second
	idlePollFactor = 4
	// maxPollInterval is the longest pause between two polls of an instance
	// whose status is kept up to date by requests. Only polls measure the
	// distance of the instance.
	maxPollInterval = time.Second
	// After slowPollAfterFailures failures, polls have slowPollTimeoutFactor
	// times the timeout.
	slowPollAfterFailures = 4
	slowPollTimeoutFactor = 2
)

// A member is one instance of a group. Its view and the fields below it are
// guarded by the mutex of the group.
type member struct {
	name          string
	pollConn      gypsumyard.Instance
	orderConn     gypsumyard.Instance
	pool          *upstream.Pool
	pollRequested chan struct{}
	cancel        context.CancelFunc
	// permits bounds the transactions on the instance.
	permits permits

	view gypsumyard.InstanceView
	// former indicates that the instance is not listed and counts only in the
	// majorities of former lists.
	former bool
	// lastSent and polledAt are when the last poll began and ended.
	lastSent time.Time
	polledAt time.Time
	failures int
	// refused indicates that the last poll failed because nothing listens at
	// the address.
	refused bool
	running int
	// overcommit is how many short statements may be sent beyond the slots.
	overcommit int
	// openTransactions counts the transactions open on the instance. available
	// is the availability that the admitter was given.
	openTransactions int
	available        bool
	// leavingSince is when the instance was first seen to be leaving.
	leavingSince time.Time
	// followOrderedAt is when the instance was last ordered to follow the
	// primary.
	followOrderedAt time.Time
}

// An addressSetter is an Instance whose credentials can be changed.
type addressSetter interface {
	SetAddress(a upstream.Address)
}

// setAddress changes the credentials of the connections to the instance.
func (m *member) setAddress(a upstream.Address) {
	m.pool.SetAddress(a)
	for _, c := range []gypsumyard.Instance{m.pollConn, m.orderConn} {
		if s, ok := c.(addressSetter); ok {
			s.SetAddress(a)
		}
	}
}

// requestPoll requests an immediate status poll of the instance.
func (m *member) requestPoll() {
	select {
	case m.pollRequested <- struct{}{}:
	default:
	}
}

// usable reports whether the instance may get new work.
func (m *member) usable() bool { return m.view.Reachable && !m.view.Leaving }

// holds reports whether the instance's log holds the record at p, is still in its
// term, and the instance is not fenced for a later one.
func (m *member) holds(p gypsumyard.Position) bool {
	s := &m.view.Status
	return s.Term() == p.Term && s.Fence <= p.Term && s.Contains(p)
}

// leavingGrace is how long a leaving primary accepts writes while its handover
// waits for a replica to catch up.
const leavingGrace = 2 * time.Second

// takesWrites reports whether the instance may get new writes, provided that
// it is the primary. The caller must hold g.mu.
func (g *group) takesWrites(m *member) bool {
	return m.view.Reachable && (!m.view.Leaving || g.clock.Since(m.leavingSince) < leavingGrace)
}

// pollLoop polls the instance until ctx is done.
func (g *group) pollLoop(ctx context.Context, m *member) {
	defer g.work.Done()
	for ctx.Err() == nil {
		sent := g.clock.Now()
		g.recordPollSent(m, sent)
		call, cancel := context.WithTimeout(ctx, g.nextPollTimeout(m))
		status, err := m.pollConn.Status(call)
		cancel()
		if ctx.Err() != nil {
			return
		}
		g.recordPollResult(m, sent, status, err)
		g.awaitNextPoll(ctx, m)
	}
}

// nextPollTimeout returns how long the next poll may take. The first polls are
// short, so that several fail before a silent primary is declared dead. Later
// ones give a slow instance time to answer.
func (g *group) nextPollTimeout(m *member) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m.failures >= slowPollAfterFailures {
		return slowPollTimeoutFactor * g.pollTimeout
	}
	return g.pollTimeout
}

func (g *group) recordPollSent(m *member, sent time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m.lastSent = sent
}

// awaitNextPoll waits until the next poll is due or requested.
func (g *group) awaitNextPoll(ctx context.Context, m *member) {
	for {
		d := g.nextPollDelay(m)
		if d <= 0 {
			return
		}
		t := g.clock.NewTimer(d)
		select {
		case <-t.C():
		case <-m.pollRequested:
			t.Stop()
			return
		case <-ctx.Done():
			t.Stop()
			return
		}
	}
}

// nextPollDelay returns the time until the next poll is due. The status that
// is returned with a request replaces a poll.
func (g *group) nextPollDelay(m *member) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	every := g.pollInterval
	switch {
	case m.failures == 1:
		// The connection may be broken while a fresh one works.
		return 0
	case m.failures > 0:
	case !g.pollAfter.Before(m.lastSent):
		return 0
	case g.urgentWaiters > 0:
		return m.polledAt.Add(g.urgentPollInterval).Sub(now)
	case now.Sub(g.lastRequest) > idleAfter:
		every *= idlePollFactor
	}
	seen := m.polledAt
	if m.view.SampledAt.After(seen) && now.Sub(seen) < maxPollInterval {
		seen = m.view.SampledAt
	}
	return seen.Add(every).Sub(now)
}

// recordPollResult records the result of a poll.
func (g *group) recordPollResult(m *member, sent time.Time, status gypsumyard.InstanceStatus, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m.polledAt = g.clock.Now()
	m.refused = errors.Is(err, syscall.ECONNREFUSED)
	if err != nil {
		m.failures++
		if m.failures >= failuresUntilUnreachable && m.view.Reachable {
			m.view.Reachable = false
			g.log.WithField("instance", m.name).WithError(err).Warn("instance unreachable")
		}
	} else {
		g.recordPollAnswer(m, sent, status)
	}
	g.updateAvailability(m)
	g.notifyWaiters()
}

// recordPollAnswer records the status that a poll has returned. The caller
// must hold g.mu.
func (g *group) recordPollAnswer(m *member, sent time.Time, status gypsumyard.InstanceStatus) {
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
	v.Distance = ewma(v.Distance, half)
	g.updateOvercommit(m)
	g.updateStatus(m, sent, status)
}

// updateStatus records a status that was requested at or after sent, unless a
// later one is known. The caller must hold g.mu.
func (g *group) updateStatus(m *member, sent time.Time, status gypsumyard.InstanceStatus) {
	v := &m.view
	if sent.Before(v.SampledAt) {
		return
	}
	leaving := status.Leaving || m.former || g.service.listedLeaving(m.name)
	if leaving && !v.Leaving {
		m.leavingSince = g.clock.Now()
		g.log.WithField("instance", m.name).Info("instance is leaving")
	}
	v.Status, v.SampledAt, v.Leaving = status, sent, leaving
	g.recordSample()
	lag := time.Duration(0)
	if status.Role == gypsumyard.RoleReplica {
		lag = g.samples.lag(status, sent)
	}
	v.Lag = ewma(v.Lag, lag)
	g.updateAvailability(m)
	g.dropFormer()
}

// ewma returns the exponentially weighted moving average after a new sample.
func ewma(old, sample time.Duration) time.Duration {
	return old + time.Duration(ewmaWeight*float64(sample-old))
}
