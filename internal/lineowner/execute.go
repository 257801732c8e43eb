package lineowner

import (
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"math"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/balance"
	"github.com/gypsumyard/gypsumyard/internal/line"
	"github.com/gypsumyard/gypsumyard/internal/quota"
	"github.com/sirupsen/logrus"
)

const (
	// retryDelay is the pause before a request that did not run, or a read that
	// failed, is attempted again.
	retryDelay = 15 * time.Millisecond
	// One in logEvery ordinary statements is logged, and each that took longer
	// than slowStatement or was sent more than once.
	logEvery      = 16
	slowStatement = 500 * time.Millisecond
	// unitShareRunTime is the run time of a statement of weight 1. A weight is
	// at most 2^maxShareExponent and at least the inverse.
	unitShareRunTime = 20 * time.Millisecond
	maxShareExponent = 4
	// queueBudgetDivisor divides a latency objective to give the time that a
	// request may spend in the queue. Its execution and the other statements of
	// the operation need the rest.
	queueBudgetDivisor = 2
	// maxQueue is the largest number of requests of one route, and of one customer
	// there, that wait for a slot.
	maxQueue = 1000
)

// A job is a request that is being executed.
type job struct {
	*gypsumyard.Request
	line.Payload
	// arrived is when the request reached this host.
	arrived time.Time
	// urgent indicates that the request's route has the highest priority,
	// avoidsPrimary that the request would delay urgent requests at the primary.
	urgent, avoidsPrimary bool
	// excluded holds the instances that are not to be tried again.
	excluded map[string]bool
	// reserved is the instance at which the transaction that the request is to open
	// has been counted, or nil.
	reserved *instance
	// attempts counts how often the statement was sent.
	attempts int
	// charge is the token of the customer's limit. It is nil if there is no limit.
	charge *quota.Charge
	// sent indicates that a byte of the operation may have reached an instance.
	sent bool
}

// execute runs one request.
func (g *group) execute(ctx context.Context, r *gypsumyard.Request, sink gypsumyard.ResponseSink) (gypsumyard.Result, error) {
	payload, err := line.UnmarshalPayload(r.Messages)
	if err != nil {
		return gypsumyard.Result{}, gypsumyard.Errorf(gypsumyard.ClassProtocol, "%w", err)
	}
	j := &job{Request: r, Payload: payload, arrived: g.clock.Now(), excluded: map[string]bool{}}
	if err := g.checkKey(j); err != nil {
		return gypsumyard.Result{}, err
	}
	if err := g.checkRoute(j); err != nil {
		return gypsumyard.Result{}, err
	}
	g.classifyUrgency(j)
	ctx, cancel := g.requestContext(ctx, r)
	defer cancel()
	if r.Transaction != "" {
		return g.continueTransaction(ctx, j, sink)
	}
	waitCtx, release := g.ownershipContext(ctx)
	defer release()
	if err := g.charge(waitCtx, j); err != nil {
		return gypsumyard.Result{}, err
	}
	defer g.refundUnsent(j)
	for {
		res, retry, err := g.attempt(ctx, waitCtx, j, sink)
		if !retry {
			return res, err
		}
		g.log.WithFields(g.fields(j)).WithError(err).Debug("retrying statement")
		if e := g.clock.Sleep(waitCtx, retryDelay); e != nil {
			return res, notRun(err)
		}
	}
}

// classifyUrgency sets whether the request is urgent, and whether it must leave
// the primary to urgent requests.
func (g *group) classifyUrgency(j *job) {
	run, _ := g.runTimes.Expected(j.runTimeKey())
	g.mu.Lock()
	defer g.mu.Unlock()
	j.urgent = j.RoutePriority == g.topPriority
	j.avoidsPrimary = g.topPriority >= 0 && !j.urgent && g.longRunThreshold > 0 && run > g.longRunThreshold
}

// requestContext derives a context that also ends at the request's deadline and
// when the group is closed.
func (g *group) requestContext(ctx context.Context, r *gypsumyard.Request) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	unlink := context.AfterFunc(g.ctx, func() { cancel(errStopped) })
	if r.Deadline.IsZero() {
		return ctx, func() { unlink(); cancel(nil) }
	}
	ctx, stop := context.WithTimeoutCause(ctx, r.Deadline.Sub(g.clock.Now()), errDeadline)
	return ctx, func() { stop(); unlink(); cancel(nil) }
}

// ownershipContext returns a context for waiting before the request is sent. It
// ends when the ownership of the group is lost.
func (g *group) ownershipContext(ctx context.Context) (context.Context, func()) {
	g.mu.Lock()
	owned := g.ownedCtx
	g.mu.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	unlink := context.AfterFunc(owned, func() { cancel(context.Cause(owned)) })
	return ctx, func() { unlink(); cancel(nil) }
}

// attempt makes one attempt at a request outside a transaction. It reports
// whether the request may be retried: nothing of it was kept, or it only reads.
func (g *group) attempt(ctx, waitCtx context.Context, j *job, sink gypsumyard.ResponseSink) (res gypsumyard.Result, retry bool, err error) {
	u, p, err := g.acquire(waitCtx, j)
	if err != nil {
		return res, waitCtx.Err() == nil && errors.Is(err, errNoConnection), notRun(err)
	}
	defer u.release()
	defer g.releaseUnusedRoom(j)
	if err := g.confirmCharge(j); err != nil {
		u.instance.pool.put(u.conn)
		return res, false, err
	}
	defer j.markUnsent()
	if opensTransaction(j.Class) {
		return g.beginTransaction(ctx, j, u, p, sink)
	}
	return g.runSingle(ctx, j, u, p, sink)
}

// errNoConnection indicates that the chosen instance gave no connection.
var errNoConnection = errors.New("cannot connect to the instance")

// acquire waits for a slot of an instance that may run the request and for a
// connection to it. It holds no slot while it waits for a connection: the open
// transactions that hold the connections need the slots to end.
func (g *group) acquire(ctx context.Context, j *job) (u *slotUse, p placement, err error) {
	var reserved *reservation
	defer func() {
		reserved.release()
		if err != nil {
			g.releaseUnusedRoom(j)
		}
	}()
	for {
		p, err = g.place(ctx, j)
		if err != nil {
			return nil, p, err
		}
		if room, err := g.awaitTransactionRoom(ctx, j, &p); err != nil {
			return nil, p, err
		} else if !room {
			continue
		}
		if !reserved.restrict(&p) {
			reserved.release()
			reserved = nil
		}
		u, err = g.admit(ctx, j, p.targets)
		if err != nil {
			return nil, p, err
		}
		if reserved != nil && reserved.pool != u.instance.pool {
			// The instance was listed anew, at another address, during the wait.
			reserved.release()
			reserved = nil
		}
		freed, err := u.connect(ctx, reserved)
		reserved = nil
		switch {
		case err == nil:
			return u, p, nil
		case !errors.Is(err, errNoMoreConns):
			j.excluded[u.instance.id] = true
			return nil, p, fmt.Errorf("%w: %w", errNoConnection, err)
		case len(p.targets) > 1:
			j.excluded[u.instance.id] = true
			continue
		}
		reserved, err = u.instance.pool.awaitFree(ctx, j.KeyHolder, freed)
		if err != nil {
			return nil, p, err
		}
	}
}

// connect gets a connection for the request, the reserved one if there is one. If it
// fails, the slot is released; freed is closed when another attempt may succeed.
func (u *slotUse) connect(ctx context.Context, reserved *reservation) (freed <-chan struct{}, err error) {
	if reserved != nil {
		u.conn, err = reserved.use(ctx)
	} else {
		u.conn, freed, err = u.instance.pool.get(ctx, u.job.KeyHolder, u.job.Settings)
	}
	if err != nil {
		u.outcome = dialOutcome(ctx, u.job, err)
		u.release()
	}
	return freed, err
}

func opensTransaction(c gypsumyard.StatementClass) bool {
	return c == gypsumyard.StatementBegin || c == gypsumyard.StatementBeginRead
}

// reads reports whether the request changes nothing.
func (j *job) reads() bool {
	return j.Class == gypsumyard.StatementRead || j.Class == gypsumyard.StatementBeginRead
}

// A slotUse holds a slot of an instance and a connection to it for one request.
type slotUse struct {
	group    *group
	job      *job
	grant    gypsumyard.Grant
	instance *instance
	conn     *conn
	began    time.Time
	expected time.Duration
	// outcome is what the statement tells of the instance.
	outcome  balance.Outcome
	ran      bool
	released bool
}

// admit waits for a slot at one of the targets.
func (g *group) admit(ctx context.Context, j *job, targets []gypsumyard.Target) (u *slotUse, err error) {
	mean, long := g.runTimes.Expected(j.runTimeKey())
	r := gypsumyard.SlotRequest{
		Customer:      j.queue(),
		Plan:          gypsumyard.Plan{Name: "route", Share: share(mean), Limit: 1, Priority: true, MaxQueue: maxQueue},
		Priority:      j.urgent,
		Long:          long,
		InTransaction: j.Transaction != "",
		Expected:      mean,
		LatestStart:   j.latestStart(),
		Deadline:      j.Deadline,
		Targets:       targets,
	}
	grant, err := g.admitter.Acquire(ctx, r)
	if err != nil {
		return nil, fmt.Errorf("wait for a slot: %w", err)
	}
	g.metrics.queueWait.Record(grant.Waited)
	u = &slotUse{group: g, job: j, grant: grant, began: g.clock.Now(), expected: mean}
	g.mu.Lock()
	u.instance = g.instanceByID(grant.Target.Instance)
	if u.instance != nil {
		u.instance.running++
		g.beginOn(u.instance)
	}
	g.mu.Unlock()
	if u.instance == nil {
		g.admitter.Release(grant, 0)
		return nil, gypsumyard.Errorf(gypsumyard.ClassNotRun, "instance %s is gone", grant.Target.Instance)
	}
	return u, nil
}

// queue returns the name under which the request is queued: its route, together with
// its customer, so that the backlog of a customer delays only itself. A blank is in
// neither of the two.
func (j *job) queue() string {
	if j.KeyHolder == "" {
		return j.Customer
	}
	return j.Customer + " " + j.KeyHolder
}

// latestStart returns when the request has spent its share of the latency
// objective in the queue, after which it will probably miss the objective. It
// returns zero if the route has no objective.
func (j *job) latestStart() (at time.Time) {
	if j.Objective <= 0 {
		return at
	}
	return j.arrived.Add(j.Objective / queueBudgetDivisor)
}

// share returns the weight of statements that run for the given time. Under
// overload, short statements get a larger share of the slots than their share of
// the requests, so that more callers are served and none starves. The weight is
// rounded to a power of two, so that it rarely changes.
func share(run time.Duration) float64 {
	if run <= 0 {
		return 1
	}
	steps := math.Round(math.Log2(float64(unitShareRunTime) / float64(run)))
	return math.Exp2(min(max(steps, -maxShareExponent), maxShareExponent))
}

// release returns the slot to the admitter.
func (u *slotUse) release() {
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
	g.endOn(u)
	g.mu.Unlock()
	g.admitter.Release(u.grant, used)
	if u.ran {
		g.runTimes.Observe(u.job.runTimeKey(), used)
		g.metrics.runTime.Record(used)
	}
}

// runTimeKey identifies statements of similar run time.
func (j *job) runTimeKey() uint64 {
	return maphash.String(runTimeKeySeed, j.Customer+" "+string(j.Class))
}

var runTimeKeySeed = maphash.MakeSeed()

// run sends the statement over the connection of u. If the instance becomes
// unreachable, the statement fails with errUnreachable unless ignoreUnreachable
// is set.
func (g *group) run(ctx context.Context, j *job, u *slotUse, prefix string, ignoreUnreachable bool) (a answer, sent bool, err error) {
	if !ignoreUnreachable {
		g.mu.Lock()
		reachable := u.instance.reachableCtx
		g.mu.Unlock()
		runCtx, cancel := context.WithCancelCause(ctx)
		defer cancel(nil)
		defer context.AfterFunc(reachable, func() { cancel(errUnreachable) })()
		ctx = runCtx
	}
	setup, name := u.conn.setupStatements(j.Settings, j.Prepared)
	text := j.Text
	if name != "" {
		s, err := line.Parse(j.Text)
		if err != nil {
			return a, false, err
		}
		text = string(line.Execute) + " " + name + " " + s.Arguments
	}
	j.attempts++
	sentAt := g.clock.Now()
	a, sent, err = u.conn.run(ctx, exchange{setup: setup, id: j.ID, text: prefix + text})
	j.sent = j.sent || sent
	took := g.clock.Since(sentAt)
	u.outcome = statementOutcome(ctx, j, a, sent, err, took > timeoutFactor*u.expected && u.expected > 0)
	if err != nil {
		u.instance.requestPoll() // It may be down.
		return a, sent, err
	}
	u.ran = a.failure == nil
	g.mu.Lock()
	u.instance.recordApplied(a.position)
	// The time to open a connection is not the instance's slowness: where few reads go,
	// each may have to open one.
	u.outcome.Used = max(took-u.instance.roundTrip, time.Microsecond)
	g.mu.Unlock()
	return a, sent, nil
}

// recordStatement counts a statement that has run, and logs which instance ran it
// and why. Ordinary statements are sampled.
func (g *group) recordStatement(j *job, u *slotUse, needed gypsumyard.Position) {
	g.mu.Lock()
	role, term, age := u.instance.status.role, u.instance.status.term, g.clock.Since(u.instance.sampledAt)
	applied := u.instance.applied
	g.mu.Unlock()
	g.metrics.count(j, role)
	took := g.clock.Since(j.arrived)
	if j.attempts < 2 && took < slowStatement && g.statementCount.Add(1)%logEvery != 0 {
		return
	}
	g.log.WithFields(g.fields(j)).WithFields(logrus.Fields{
		"instance": u.instance.id, "why": u.grant.Target.Reason, "role": role, "term": term, "status-age": age.String(),
		"needed": needed.String(), "applied": applied.String(), "queued": u.grant.Waited.String(),
	}).Info("statement has run")
}

// fields returns the log fields that identify a request.
func (g *group) fields(j *job) logrus.Fields {
	return logrus.Fields{
		"request": j.ID, "session": j.Session, "route": j.Customer, "class": j.Class, "tried": j.attempts,
		"since": g.clock.Since(j.arrived).String(),
	}
}

// notRun classifies an error of a request that did not run. It keeps the class of
// an error that has one.
func notRun(err error) *gypsumyard.Error {
	var e *gypsumyard.Error
	if !errors.As(err, &e) {
		return gypsumyard.Errorf(gypsumyard.ClassNotRun, "%w", err)
	}
	return e
}

// outcomeUnknown classifies an error after which the statement may have run.
func outcomeUnknown(err error) error {
	return gypsumyard.Errorf(gypsumyard.ClassUnknown, "%w", err)
}

// writeAnswer writes the encoded answer to the caller.
func writeAnswer(sink gypsumyard.ResponseSink, a answer) error {
	if _, err := sink.Write(a.raw); err != nil {
		return outcomeUnknown(err)
	}
	return nil
}
