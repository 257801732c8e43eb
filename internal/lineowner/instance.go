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
	// group that is in use, quietInterval that of one that is not.
	pollInterval  = 240 * time.Millisecond
	quietInterval = 500 * time.Millisecond
	// quietAfter is how long a group has had no requests when it counts as not
	// in use.
	quietAfter = 3 * time.Second
	// minPollGap is the least time between two status requests, however many
	// requests wait for news.
	minPollGap = 25 * time.Millisecond
	// pollTimeout bounds a status request. An instance that misses one on the
	// open connection and one on a fresh connection is unreachable.
	pollTimeout = 300 * time.Millisecond
	// smoothing is the weight of a new sample in the average round trip.
	smoothing = 0.2
)

// errUnreachable is the cause with which work on a silent instance is given up.
var errUnreachable = errors.New("instance does not answer")

// An instance is one upstream of a group. The lock of the group guards all
// fields from listed on.
type instance struct {
	id   string
	pool *pool
	// orders carries the orders of promotions. Only the election uses it.
	orders control
	kick   chan struct{}
	cancel context.CancelFunc

	// listed is the instance's entry. Its address and start do not change.
	listed gypsumyard.ListedInstance
	// known indicates that status has been read.
	known  bool
	status status
	// sampledAt is when the request was sent that returned status.
	sampledAt time.Time
	// applied is the highest position that any answer has shown in the log.
	applied   gypsumyard.Position
	reachable bool
	// answersSince is since when it has been reachable.
	answersSince time.Time
	// silentSince is when the first of the unanswered requests was sent.
	silentSince time.Time
	// refused indicates that nothing listened at the address.
	refused bool
	// trails indicates that a replica lacks what even the reads that accept
	// the oldest data need.
	trails    bool
	roundTrip time.Duration
	running   int
	pinned    int
	// alive ends when the instance becomes unreachable.
	alive  context.Context
	giveUp context.CancelCauseFunc
}

func (g *group) newInstance(l gypsumyard.ListedInstance) *instance {
	ctx, cancel := context.WithCancel(g.ctx)
	i := &instance{
		id:     l.ID,
		listed: l,
		pool:   newPool(l, g.service.self, g.clock),
		orders: control{instance: l, user: g.service.self},
		kick:   make(chan struct{}, 1),
		cancel: cancel,
	}
	i.alive, i.giveUp = context.WithCancelCause(context.Background())
	g.work.Go(func() { g.watch(ctx, i, l) })
	return i
}

// retire ends the use of an instance that is no longer listed.
func (i *instance) retire() {
	i.cancel()
	i.pool.close()
}

// watch polls the status of the instance, which l names, until ctx is done.
func (g *group) watch(ctx context.Context, i *instance, l gypsumyard.ListedInstance) {
	c := &control{instance: l, user: g.service.self}
	defer c.close()
	for ctx.Err() == nil {
		sent := g.clock.Now()
		s, fresh, err := c.order(ctx, statusOrder, pollTimeout)
		if ctx.Err() != nil {
			return
		}
		g.takePoll(i, sent, s, fresh, err)
		if err != nil && !fresh && !c.connected() {
			continue // A fresh connection tells whether the instance is silent.
		}
		g.pausePolls(ctx, i)
	}
}

// pausePolls waits until the next status request is due or was asked for.
func (g *group) pausePolls(ctx context.Context, i *instance) {
	if g.clock.Sleep(ctx, minPollGap) != nil {
		return
	}
	t := g.clock.NewTimer(g.pollPause() - minPollGap)
	defer t.Stop()
	select {
	case <-t.C():
	case <-i.kick:
	case <-ctx.Done():
	}
}

func (g *group) pollPause() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.clock.Since(g.lastRequest) > quietAfter {
		return quietInterval
	}
	return pollInterval
}

// kickPolls asks for a status of each instance at once.
func (g *group) kickPolls() {
	for _, i := range g.instances {
		i.kickPoll()
	}
}

// kickPoll asks for a status of the instance at once.
func (i *instance) kickPoll() {
	select {
	case i.kick <- struct{}{}:
	default:
	}
}

// takePoll takes over the result of a status request.
func (g *group) takePoll(i *instance, sent time.Time, s status, fresh bool, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var refusal *line.Error
	switch {
	case err == nil:
		if fresh && !i.silentSince.IsZero() {
			i.pool.suspect()
		}
		g.noteAnswer(i)
		g.takeStatus(i, sent, s)
	case errors.As(err, &refusal) && (refusal.Code == line.CodeBusy || refusal.Code == line.CodeTooMany):
		g.noteAnswer(i) // It is alive but tells nothing.
	default:
		g.noteSilence(i, sent, fresh, err)
	}
	g.broadcast()
}

// takeStatus is called with the lock held.
func (g *group) takeStatus(i *instance, sent time.Time, s status) {
	if i.known && sent.Before(i.sampledAt) {
		return
	}
	trip := g.clock.Since(sent)
	if !i.known {
		i.roundTrip = trip
	}
	i.roundTrip += time.Duration(smoothing * float64(trip-i.roundTrip))
	if !i.known || s.role != i.status.role || s.term != i.status.term || s.held != i.status.held {
		g.log.WithFields(logrus.Fields{
			"instance": i.id, "role": s.role, "term": s.term, "held": s.held,
			"received": s.received.String(), "applied": s.applied.String(),
		}).Info("status of instance")
		if i.known && s.term != i.status.term {
			// Records of the old term may have been cut off.
			i.applied = gypsumyard.Position{}
		}
	}
	i.known, i.status, i.sampledAt = true, s, sent
	i.noteApplied(s.applied)
	g.updateSamples()
	g.noteTrailing(i)
}

// noteTrailing logs when a replica can no longer serve any read and when it can
// again. It is called with the lock held.
func (g *group) noteTrailing(i *instance) {
	needed, ok := g.floor(g.staleness, g.clock.Now())
	if !ok || i.status.role != gypsumyard.RoleReplica {
		return
	}
	trails := i.applied.Compare(needed) < 0
	if trails == i.trails {
		return
	}
	i.trails = trails
	log := g.log.WithFields(logrus.Fields{
		"instance": i.id, "applied": i.applied.String(), "needed": needed.String(), "staleness": g.staleness.String(),
	})
	if trails {
		log.Warn("replica trails too far for reads")
		return
	}
	log.Info("replica can serve reads again")
}

// noteApplied takes over a position that an answer has shown.
func (i *instance) noteApplied(p gypsumyard.Position) {
	if p.Compare(i.applied) > 0 {
		i.applied = p
	}
}

// noteAnswer is called with the lock held.
func (g *group) noteAnswer(i *instance) {
	i.silentSince, i.refused = time.Time{}, false
	if i.reachable {
		return
	}
	i.reachable, i.answersSince = true, g.clock.Now()
	if i.alive.Err() != nil {
		i.alive, i.giveUp = context.WithCancelCause(context.Background())
		g.log.WithField("instance", i.id).Info("instance regained")
	}
	g.setCapacity()
}

// noteSilence is called with the lock held.
func (g *group) noteSilence(i *instance, sent time.Time, fresh bool, err error) {
	if i.silentSince.IsZero() {
		i.silentSince = sent
	}
	i.refused = errors.Is(err, syscall.ECONNREFUSED)
	if !fresh || i.alive.Err() != nil {
		return
	}
	i.reachable = false
	i.giveUp(errUnreachable)
	i.pool.suspect()
	g.log.WithFields(logrus.Fields{"instance": i.id, "silent": g.clock.Since(i.silentSince).String()}).WithError(err).Warn("instance lost")
	g.setCapacity()
}

// usable reports whether the instance may get new work. It is called with the
// lock held.
func (i *instance) usable() bool {
	return i.known && i.reachable && !i.listed.Leaving
}
