package lineowner

import (
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"math"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/line"
	"github.com/sirupsen/logrus"
)

const (
	// retryPause is the pause before a statement that an instance has refused
	// is sent again.
	retryPause = 15 * time.Millisecond
	// One of logEvery ordinary statements is logged, and each that took longer
	// than slowStatement or was sent twice.
	logEvery      = 16
	slowStatement = 500 * time.Millisecond
	// shareRun is the run time of a statement of weight 1. A weight is at most
	// 2^maxShareSteps and at least the inverse.
	shareRun      = 20 * time.Millisecond
	maxShareSteps = 4
	// queueShare is the part, one in so many, of a latency objective that a
	// request may spend in the queue. Its run and other statements of the
	// operation need the rest.
	queueShare = 2
	// maxQueue is how many requests of one route may wait for a slot.
	maxQueue = 1000
)

// A job is a request that is being executed.
type job struct {
	*gypsumyard.Request
	line.Payload
	// arrived is when the request reached this host.
	arrived time.Time
	// urgent indicates that the request's route has the highest priority,
	// yields that the request would hold up those of such routes at the primary.
	urgent, yields bool
	// refused holds the instances that are not to be tried again.
	refused map[string]bool
	// tried counts the statements sent.
	tried int
}

// execute runs one request.
func (g *group) execute(ctx context.Context, r *gypsumyard.Request, sink gypsumyard.ResponseSink) (gypsumyard.Result, error) {
	batch, err := line.UnmarshalPayload(r.Messages)
	if err != nil {
		return gypsumyard.Result{}, gypsumyard.Errorf(gypsumyard.ClassProtocol, "%w", err)
	}
	j := &job{Request: r, Payload: batch, arrived: g.clock.Now(), refused: map[string]bool{}}
	g.rank(j)
	ctx, cancel := g.bind(ctx, r)
	defer cancel()
	if r.Transaction != "" {
		return g.continueTransaction(ctx, j, sink)
	}
	waiting, release := g.whileOwned(ctx)
	defer release()
	for {
		res, again, err := g.attempt(ctx, waiting, j, sink)
		if !again {
			return res, err
		}
		g.log.WithFields(g.fields(j)).WithError(err).Debug("statement is tried again")
		if e := g.clock.Sleep(waiting, retryPause); e != nil {
			return res, notRun(err)
		}
	}
}

// rank compares the request with those of the highest priority.
func (g *group) rank(j *job) {
	run, _ := g.learner.Expected(j.shape())
	g.mu.Lock()
	defer g.mu.Unlock()
	j.urgent = j.RoutePriority == g.topPriority
	j.yields = g.topPriority >= 0 && !j.urgent && g.longFrom > 0 && run > g.longFrom
}

// bind adds the request's deadline and the end of the group to ctx.
func (g *group) bind(ctx context.Context, r *gypsumyard.Request) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	unlink := context.AfterFunc(g.ctx, func() { cancel(errStopped) })
	if r.Deadline.IsZero() {
		return ctx, func() { unlink(); cancel(nil) }
	}
	ctx, stop := context.WithTimeoutCause(ctx, r.Deadline.Sub(g.clock.Now()), errTimeout)
	return ctx, func() { stop(); unlink(); cancel(nil) }
}

// whileOwned returns a context for the waits before the request is sent. It
// ends with the ownership of the group.
func (g *group) whileOwned(ctx context.Context) (context.Context, func()) {
	g.mu.Lock()
	owned := g.owned
	g.mu.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	unlink := context.AfterFunc(owned, func() { cancel(context.Cause(owned)) })
	return ctx, func() { unlink(); cancel(nil) }
}

// attempt makes one attempt at a request outside a transaction. It reports
// whether the request did not run and may be tried again.
func (g *group) attempt(ctx, waiting context.Context, j *job, sink gypsumyard.ResponseSink) (res gypsumyard.Result, again bool, err error) {
	p, err := g.place(waiting, j)
	if err != nil {
		return res, false, notRun(err)
	}
	u, err := g.admit(waiting, j, p.targets)
	if err != nil {
		return res, false, notRun(err)
	}
	defer u.release()
	u.conn, err = u.instance.pool.get(waiting, j.Settings)
	if err != nil {
		j.refused[u.instance.id] = true
		return res, waiting.Err() == nil && !errors.Is(err, errNoMoreConns), notRun(err)
	}
	if opensTransaction(j.Class) {
		return g.beginTransaction(ctx, j, u, p, sink)
	}
	return g.runSingle(ctx, j, u, p, sink)
}

func opensTransaction(c gypsumyard.StatementClass) bool {
	return c == gypsumyard.StatementBegin || c == gypsumyard.StatementBeginRead
}

// reads reports whether the request changes nothing.
func (j *job) reads() bool {
	return j.Class == gypsumyard.StatementRead || j.Class == gypsumyard.StatementBeginRead
}

// A use is the use of a slot of an instance and of a connection to it.
type use struct {
	group    *group
	job      *job
	grant    gypsumyard.Grant
	instance *instance
	conn     *conn
	began    time.Time
	ran      bool
	released bool
}

// admit waits for a slot at one of the targets.
func (g *group) admit(ctx context.Context, j *job, targets []gypsumyard.Target) (u *use, err error) {
	mean, long := g.learner.Expected(j.shape())
	t := gypsumyard.Ticket{
		Customer:      j.Customer,
		Plan:          gypsumyard.Plan{Name: "route", Share: share(mean), Limit: 1, Priority: true, MaxQueue: maxQueue},
		Priority:      j.urgent,
		Long:          long,
		InTransaction: j.Transaction != "",
		Expected:      mean,
		Due:           j.due(),
		Deadline:      j.Deadline,
		Targets:       targets,
	}
	grant, err := g.admitter.Acquire(ctx, t)
	if err != nil {
		return nil, fmt.Errorf("wait for a slot: %w", err)
	}
	g.metrics.queueWait.Record(grant.Waited)
	u = &use{group: g, job: j, grant: grant, began: g.clock.Now()}
	g.mu.Lock()
	u.instance = g.find(grant.Target.Instance)
	if u.instance != nil {
		u.instance.running++
	}
	g.mu.Unlock()
	if u.instance == nil {
		g.admitter.Release(grant, 0)
		return nil, gypsumyard.Errorf(gypsumyard.ClassNotRun, "instance %s is gone", grant.Target.Instance)
	}
	return u, nil
}

// due returns when the request has spent a part of its latency objective that
// leaves little hope to meet it, or zero if its route has no objective.
func (j *job) due() (at time.Time) {
	if j.Objective <= 0 {
		return at
	}
	return j.arrived.Add(j.Objective / queueShare)
}

// share returns the weight of statements that run for the given time. Under
// overload short statements get more of the slots than their number: more callers
// are served, and none starves. It has few steps, so that it rarely changes.
func share(run time.Duration) float64 {
	if run <= 0 {
		return 1
	}
	steps := math.Round(math.Log2(float64(shareRun) / float64(run)))
	return math.Exp2(min(max(steps, -maxShareSteps), maxShareSteps))
}

// release gives back the slot.
func (u *use) release() {
	if u.released {
		return
	}
	u.released = true
	g := u.group
	used := time.Duration(0)
	g.mu.Lock()
	u.instance.running--
	if u.ran {
		used = max(g.clock.Since(u.began)-u.instance.roundTrip, time.Microsecond)
	}
	g.mu.Unlock()
	g.admitter.Release(u.grant, used)
	if u.ran {
		g.learner.Observe(u.job.shape(), used)
		g.metrics.runTime.Record(used)
	}
}

// shape identifies statements that run about equally long.
func (j *job) shape() uint64 {
	return maphash.String(shapeSeed, j.Customer+" "+string(j.Class))
}

var shapeSeed = maphash.MakeSeed()

// run sends the statement over the connection of the use. The statement ends
// early with errUnreachable if patient is false and the instance becomes
// unreachable.
func (g *group) run(ctx context.Context, j *job, u *use, prefix string, patient bool) (a answer, sent bool, err error) {
	if !patient {
		g.mu.Lock()
		alive := u.instance.alive
		g.mu.Unlock()
		bound, cancel := context.WithCancelCause(ctx)
		defer cancel(nil)
		defer context.AfterFunc(alive, func() { cancel(errUnreachable) })()
		ctx = bound
	}
	setup, name := u.conn.prepare(j.Settings, j.Prepared)
	text := j.Text
	if name != "" {
		s, err := line.Parse(j.Text)
		if err != nil {
			return a, false, err
		}
		text = string(line.Execute) + " " + name + " " + s.Arguments
	}
	j.tried++
	a, sent, err = u.conn.run(ctx, exchange{setup: setup, id: j.ID, text: prefix + text})
	if err != nil {
		u.instance.kickPoll() // It may be down.
		return a, sent, err
	}
	u.ran = a.failure == nil
	g.mu.Lock()
	u.instance.noteApplied(a.position)
	g.mu.Unlock()
	return a, sent, nil
}

// noteRouted counts a statement that has run and logs where, and why there.
// Ordinary ones are sampled.
func (g *group) noteRouted(j *job, u *use, needed gypsumyard.Position) {
	g.mu.Lock()
	role, term, age := u.instance.status.role, u.instance.status.term, g.clock.Since(u.instance.sampledAt)
	applied := u.instance.applied
	g.mu.Unlock()
	g.metrics.count(j, role)
	took := g.clock.Since(j.arrived)
	if j.tried < 2 && took < slowStatement && g.routed.Add(1)%logEvery != 0 {
		return
	}
	g.log.WithFields(g.fields(j)).WithFields(logrus.Fields{
		"instance": u.instance.id, "why": u.grant.Target.Reason, "role": role, "term": term, "status-age": age.String(),
		"needed": needed.String(), "applied": applied.String(), "queued": u.grant.Waited.String(),
	}).Info("statement has run")
}

// fields are those that lines about a request carry.
func (g *group) fields(j *job) logrus.Fields {
	return logrus.Fields{
		"request": j.ID, "session": j.Session, "route": j.Customer, "class": j.Class, "tried": j.tried,
		"since": g.clock.Since(j.arrived).String(),
	}
}

// notRun classifies an error before which nothing was sent.
func notRun(err error) error {
	var e *gypsumyard.Error
	if !errors.As(err, &e) {
		return gypsumyard.Errorf(gypsumyard.ClassNotRun, "%w", err)
	}
	return e
}

// unknown classifies an error after which the statement may have run.
func unknown(err error) error {
	return gypsumyard.Errorf(gypsumyard.ClassUnknown, "%w", err)
}

// deliver writes the answer.
func deliver(sink gypsumyard.ResponseSink, a answer) error {
	if _, err := sink.Write(a.raw); err != nil {
		return unknown(err)
	}
	return nil
}
