package lineowner

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/line"
	"github.com/sirupsen/logrus"
)

const (
	// pollInterval is the time between two status requests to an instance of a
	// group that is in use, idlePollInterval that of an idle group.
	pollInterval     = 240 * time.Millisecond
	idlePollInterval = 500 * time.Millisecond
	// idleAfter is how long a group must have had no requests to count as idle.
	idleAfter = 3 * time.Second
	// minPollInterval is the least time between two status requests, however
	// many requests are waiting for a new status.
	minPollInterval = 25 * time.Millisecond
	// pollTimeout bounds a status request. An instance that misses one on the
	// open connection and one on a new connection is unreachable.
	pollTimeout = 300 * time.Millisecond
	// roundTripWeight is the weight of a new sample in the moving average of
	// the round-trip time.
	roundTripWeight = 0.2
)

// errUnreachable is the cause with which work on an unresponsive instance is
// canceled.
var errUnreachable = errors.New("instance does not answer")

// An instance is one upstream of a group. The group's mutex guards all fields
// from listed on.
type instance struct {
	id   string
	pool *pool
	// control carries fencing and demotion commands.
	control       controlConn
	pollRequested chan struct{}
	cancel        context.CancelFunc

	// listed is the instance's list entry. Its address and start time do not
	// change.
	listed gypsumyard.ListedInstance
	// departure is nil while the instance is listed.
	departure *departure
	// successor is the listed instance that has the address of a departed one.
	successor *instance
	// retired indicates that the instance is not polled or used any more.
	retired bool
	// knownSince is a time by which the instance's process had started. storedAt is
	// when the stored replica set was first seen to hold it.
	knownSince time.Time
	storedAt   time.Time
	// storedVersion is the version of the latest stored set that was seen to hold it, or
	// zero. removed indicates that a host has removed it from the set since.
	storedVersion gypsumyard.Version
	removed       bool
	// covered indicates that its process has ended and others hold all commits that it
	// has helped to acknowledge.
	covered bool
	// afterEnd is the log of the first proven primary of the latest term as it was after
	// the process of the instance had ended, afterEndPrimary that primary.
	afterEnd        replicaState
	afterEndPrimary *instance
	// lossAccepted indicates that an operator has accepted its loss: it does not count
	// until it answers again.
	lossAccepted bool
	// lostSince is when an operator's acceptance of its loss took effect, or zero.
	lostSince time.Time
	// settled indicates that its status may prove who leads, see hasSettled.
	settled bool
	// statusKnown indicates that status has been read.
	statusKnown bool
	status      status
	// sampledAt is when the request that returned status was sent.
	sampledAt time.Time
	// applied is the highest log position that any answer has reported.
	applied   gypsumyard.Position
	reachable bool
	// reachableSince is when the instance last became reachable.
	reachableSince time.Time
	// silentSince is when the first of the current run of unanswered status
	// requests was sent, or zero if the last one was answered.
	silentSince time.Time
	// polledBriefly indicates that the last status request had the short time limit.
	polledBriefly bool
	// connRefused indicates that the last failed status request was refused
	// because nothing listens at the address, refusedSince since when that is so.
	connRefused  bool
	refusedSince time.Time
	// trailing indicates that a replica is too far behind even for the reads
	// that accept the oldest data.
	trailing         bool
	roundTrip        time.Duration
	running          int
	openTransactions int
	// reachableCtx is canceled when the instance becomes unreachable.
	reachableCtx    context.Context
	cancelReachable context.CancelCauseFunc
}

func (g *group) newInstance(l gypsumyard.ListedInstance) *instance {
	ctx, cancel := context.WithCancel(g.ctx)
	i := &instance{
		id:            l.ID,
		listed:        l,
		pool:          newPool(l, g.service.self, g.clock, g.log, g.metrics),
		control:       controlConn{instance: l, user: g.service.self},
		pollRequested: make(chan struct{}, 1),
		cancel:        cancel,
		knownSince:    g.clock.Now(),
	}
	i.reachableCtx, i.cancelReachable = context.WithCancelCause(context.Background())
	g.wg.Go(func() { g.pollLoop(ctx, i, l) })
	return i
}

// retire stops using the instance. The caller must hold the group's mutex.
func (i *instance) retire() {
	i.retired, i.reachable = true, false
	i.cancel()
	i.pool.close()
}

// pollLoop polls the status of the instance, whose list entry is l, until ctx is
// done.
func (g *group) pollLoop(ctx context.Context, i *instance, l gypsumyard.ListedInstance) {
	c := &controlConn{instance: l, user: g.service.self}
	defer c.close()
	defer i.control.close()
	for ctx.Err() == nil {
		sent := g.clock.Now()
		s, fresh, err := c.exec(ctx, statusCommand, g.pollTimeoutOf(i))
		if ctx.Err() != nil {
			return
		}
		g.recordPollResult(i, sent, s, fresh, err)
		if err != nil && !fresh && !c.connected() {
			continue // A new connection shows whether the instance is unresponsive.
		}
		g.awaitNextPoll(ctx, i)
	}
}

// awaitNextPoll waits until the next status request is due or requested.
func (g *group) awaitNextPoll(ctx context.Context, i *instance) {
	if g.clock.Sleep(ctx, minPollInterval) != nil {
		return
	}
	t := g.clock.NewTimer(g.currentPollInterval(i) - minPollInterval)
	defer t.Stop()
	select {
	case <-t.C():
	case <-i.pollRequested:
	case <-ctx.Done():
	}
}

func (g *group) currentPollInterval(i *instance) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isAwaited(i) {
		return awaitedPollInterval
	}
	if g.clock.Since(g.lastRequest) > idleAfter {
		return idlePollInterval
	}
	return pollInterval
}

// requestPolls requests an immediate status poll of each instance. The caller
// must hold g.mu.
func (g *group) requestPolls() {
	for _, i := range g.instances {
		i.requestPoll()
	}
}

// requestPoll requests an immediate status poll of the instance.
func (i *instance) requestPoll() {
	select {
	case i.pollRequested <- struct{}{}:
	default:
	}
}

// recordPollResult records the outcome of a status request.
func (g *group) recordPollResult(i *instance, sent time.Time, s status, fresh bool, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var refusal *line.Error
	switch {
	case err == nil:
		if fresh && !i.silentSince.IsZero() {
			i.pool.invalidate()
		}
		g.recordAnswer(i)
		g.recordStatus(i, sent, s)
	case errors.As(err, &refusal) && (refusal.Code == line.CodeBusy || refusal.Code == line.CodeTooMany):
		g.recordAnswer(i) // It is alive but does not report its status.
	default:
		g.recordSilence(i, sent, fresh, err)
	}
	g.broadcast()
}

// recordStatus stores a status unless a newer one is known. The caller must
// hold g.mu.
func (g *group) recordStatus(i *instance, sent time.Time, s status) {
	if i.statusKnown && sent.Before(i.sampledAt) {
		return
	}
	g.noteAlive(i)
	trip := g.clock.Since(sent)
	if !i.statusKnown {
		i.roundTrip = trip
	}
	i.roundTrip += time.Duration(roundTripWeight * float64(trip-i.roundTrip))
	if !i.statusKnown || s.role != i.status.role || s.term != i.status.term || s.fencedTerm != i.status.fencedTerm {
		g.log.WithFields(logrus.Fields{
			"instance": i.id, "role": s.role, "term": s.term, "held": s.fencedTerm,
			"received": s.received.String(), "applied": s.applied.String(),
		}).Info("instance status changed")
		if i.statusKnown && s.term != i.status.term {
			// Records of the old term may have been truncated.
			i.applied = gypsumyard.Position{}
		}
	}
	if i.statusKnown && s.fencedTerm < i.status.fencedTerm && s.term == i.status.term {
		// Only a restart ends a fence without a promotion.
		g.log.WithField("instance", i.id).Info("instance restarted: its fence has ended")
		i.knownSince, i.settled = g.clock.Now(), false
	}
	i.statusKnown, i.status, i.sampledAt = true, s, sent
	i.recordApplied(s.applied)
	g.sampleLoad(i, s, sent.Add(trip/2))
	g.recordSample()
	g.noteCoverage()
	g.updateTrailing(i)
}

// updateTrailing logs when a replica falls too far behind to serve any read,
// and when it has caught up. The caller must hold g.mu.
func (g *group) updateTrailing(i *instance) {
	needed, ok := g.stalenessBound(g.maxStaleness, g.clock.Now())
	if !ok || i.status.role != gypsumyard.RoleReplica {
		return
	}
	trailing := i.applied.Compare(needed) < 0
	if trailing == i.trailing {
		return
	}
	i.trailing = trailing
	log := g.log.WithFields(logrus.Fields{
		"instance": i.id, "applied": i.applied.String(), "needed": needed.String(), "staleness": g.maxStaleness.String(),
	})
	if trailing {
		log.Warn("replica trails too far for reads")
		return
	}
	log.Info("replica can serve reads again")
}

// recordApplied advances the applied position to one that an answer reports.
func (i *instance) recordApplied(p gypsumyard.Position) {
	if p.Compare(i.applied) > 0 {
		i.applied = p
	}
}

// recordAnswer marks the instance as reachable. The caller must hold g.mu.
func (g *group) recordAnswer(i *instance) {
	i.silentSince, i.connRefused = time.Time{}, false
	g.noteAlive(i)
	if i.reachable {
		return
	}
	i.reachable, i.reachableSince = true, g.clock.Now()
	if i.reachableCtx.Err() != nil {
		i.reachableCtx, i.cancelReachable = context.WithCancelCause(context.Background())
		g.log.WithField("instance", i.id).Info("instance regained")
	}
	g.updateCapacities()
}

// recordSilence records an unanswered status request. The instance becomes
// unreachable if the request used a new connection. The caller must hold g.mu.
func (g *group) recordSilence(i *instance, sent time.Time, fresh bool, err error) {
	if i.silentSince.IsZero() {
		i.silentSince = sent
	}
	refused := errors.Is(err, syscall.ECONNREFUSED)
	if refused && !i.connRefused {
		i.refusedSince = sent
	}
	i.connRefused = refused
	if !fresh || i.reachableCtx.Err() != nil {
		return
	}
	i.reachable = false
	i.cancelReachable(errUnreachable)
	i.pool.invalidate()
	g.log.WithFields(logrus.Fields{"instance": i.id, "silent": g.clock.Since(i.silentSince).String()}).WithError(err).Warn("instance lost")
	g.updateCapacities()
}

// isListed reports whether the instance is listed. The caller must hold the mutex of the
// group.
func (i *instance) isListed() bool { return i.departure == nil }

// usable reports whether the instance may get new work. The caller must hold
// the mutex of the group.
func (i *instance) usable() bool {
	return i.statusKnown && i.reachable && !i.listed.Leaving && i.departure == nil
}
