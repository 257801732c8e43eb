package owner

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/upstream"
)

const (
	// maxAttempts bounds how often one request is tried on instances.
	maxAttempts = 5
	// readFirstAnswerTimeout and writeFirstAnswerTimeout limit the wait for the
	// status that the instance returns before the request's own answer. A read
	// can be sent again, so its timeout is short. For a write the timeout makes
	// the outcome unknown.
	readFirstAnswerTimeout  = time.Second
	writeFirstAnswerTimeout = 2 * time.Second
	// connectTimeout limits how long a granted slot may wait for a connection.
	connectTimeout = 2 * time.Second
)

// A job is a request that is being executed.
type job struct {
	*gypsumyard.Request
	batch upstream.Batch
	// attempts counts the exchanges with instances.
	attempts int
	// canceled indicates that the caller has canceled the request. It is
	// guarded by the mutex of the group.
	canceled bool
}

// execute runs one request: in its open transaction, as a read or as a write.
func (g *group) execute(ctx context.Context, request *gypsumyard.Request, sink gypsumyard.ResponseSink) (gypsumyard.Result, error) {
	batch, err := upstream.ParseBatch(request.Messages)
	if err != nil {
		return gypsumyard.Result{}, err
	}
	r := &job{Request: request, batch: batch}
	ctx, cancel := g.requestContext(ctx, r)
	defer cancel()
	defer g.register(r)()
	if r.Transaction != "" {
		return g.continueTransaction(ctx, r, sink)
	}
	waitCtx, release := g.ownershipContext(ctx)
	defer release()
	switch r.Class {
	case gypsumyard.StatementRead, gypsumyard.StatementBeginRead:
		return g.read(ctx, waitCtx, r, sink)
	default:
		return g.write(ctx, waitCtx, r, sink)
	}
}

// register lets CancelStatement find the request until unregister is called.
func (g *group) register(r *job) (unregister func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.jobs[r.Session] = r
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.jobs[r.Session] == r {
			delete(g.jobs, r.Session)
		}
	}
}

// requestContext returns a context that also ends at the request's deadline
// and at the end of the group.
func (g *group) requestContext(ctx context.Context, r *job) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	unlink := context.AfterFunc(g.ctx, func() { cancel(errStopped) })
	end := func() {
		unlink()
		cancel(nil)
	}
	if r.Deadline.IsZero() {
		return ctx, end
	}
	ctx, stop := context.WithTimeoutCause(ctx, r.Deadline.Sub(g.clock.Now()), errDeadline)
	return ctx, func() {
		stop()
		end()
	}
}

// ownershipContext returns a context for the waits before the request is sent.
// It ends when this host loses the ownership of the database.
func (g *group) ownershipContext(ctx context.Context) (context.Context, func()) {
	g.mu.Lock()
	owned := g.ownedCtx
	g.mu.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	unlink := context.AfterFunc(owned, func() { cancel(context.Cause(owned)) })
	return ctx, func() {
		unlink()
		cancel(nil)
	}
}

// An attempt is one run of a request on one instance.
type attempt struct {
	grant     gypsumyard.Grant
	member    *member
	conn      *upstream.Conn
	grantedAt time.Time
	// permit is that of the transaction that the request begins.
	permit *permit
}

// admit waits for a slot at one of the targets. pinned is the instance of the
// request's open transaction, or nil.
func (g *group) admit(ctx context.Context, r *job, pinned *member, targets []gypsumyard.Target) (a attempt, err error) {
	if pinned == nil {
		a.permit, targets, err = g.reservePermit(ctx, r, targets)
		if err != nil {
			return a, err
		}
	}
	defer func() {
		if err != nil && a.permit != nil {
			a.permit.release()
		}
	}()
	request, err := g.slotRequest(r, targets)
	if err != nil {
		return a, err
	}
	a.grant, err = g.admitter.Acquire(ctx, request)
	if err != nil {
		return a, notRun(err)
	}
	g.metrics.queueWait.Record(a.grant.Waited)
	a.grantedAt = g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	a.member = pinned
	if pinned == nil {
		a.member = g.findMember(a.grant.Target.Instance)
	}
	if a.member == nil {
		g.admitter.Release(a.grant, 0)
		return a, gypsumyard.Errorf(gypsumyard.ClassNotRun, "instance %s was removed", a.grant.Target.Instance)
	}
	a.member.running++
	return a, nil
}

func (g *group) slotRequest(r *job, targets []gypsumyard.Target) (gypsumyard.SlotRequest, error) {
	plan, err := g.service.plan(r.Customer)
	if err != nil {
		return gypsumyard.SlotRequest{}, err
	}
	mean, long := g.runTimes.Expected(r.Shape)
	return gypsumyard.SlotRequest{
		Customer:      r.Customer,
		Plan:          plan,
		Priority:      r.Priority,
		Long:          r.Long || long,
		InTransaction: r.Transaction != "",
		Expected:      mean,
		Deadline:      r.Deadline,
		Targets:       targets,
	}, nil
}

// releaseSlot returns the slot and charges the time since the grant. The run
// time is recorded if the statement ran.
func (g *group) releaseSlot(r *job, a *attempt, ran bool) {
	used := g.slotTime(a)
	g.admitter.Release(a.grant, used)
	if ran {
		g.runTimes.Observe(r.Shape, used)
	}
	if a.permit != nil {
		a.permit.release()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	a.member.running--
	if ran && used < maxShortRunTime {
		g.meanShortRunTime = ewma(g.meanShortRunTime, used)
	}
}

// slotTime returns the time since the grant of the attempt, without the
// network round trip, during which the slot was idle.
func (g *group) slotTime(a *attempt) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(g.clock.Since(a.grantedAt)-2*a.member.view.Distance, 0)
}

// connect acquires a connection to the granted instance.
func (g *group) connect(ctx context.Context, r *job, a *attempt) (err error) {
	ctx, cancel := context.WithTimeoutCause(ctx, connectTimeout, errNoConnection)
	defer cancel()
	a.conn, err = a.member.pool.Get(ctx, !r.Repeatable)
	return err
}

// A runningRequest is a request that an instance is running.
type runningRequest struct {
	conn   *upstream.Conn
	member *member
	write  bool
}

// runExchange runs the request on the attempt's connection. CancelStatement
// and expireWrites can find it meanwhile.
func (g *group) runExchange(ctx context.Context, r *job, a *attempt, ex *upstream.Exchange, sink gypsumyard.ResponseSink) (upstream.Outcome, error) {
	expected, long := g.runTimes.Expected(r.Shape)
	ex.ReadTimeout = silenceTimeout(expected, long || r.Long, ex.Check != nil, r.attempts)
	r.attempts++
	ex.Batch, ex.Settings = r.batch, r.Settings
	sent := g.clock.Now()
	ex.InstanceResponsive = func() bool { return g.answeredSince(a.member, sent) }
	g.mu.Lock()
	if r.canceled {
		// The cancel request came while the request was queued, or between two
		// attempts.
		g.mu.Unlock()
		return upstream.Outcome{}, errCanceled
	}
	g.running[r.Session] = runningRequest{a.conn, a.member, ex.HoldCompletion}
	g.mu.Unlock()
	out, err := a.conn.Run(ctx, ex, sink)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running[r.Session].conn == a.conn {
		delete(g.running, r.Session)
	}
	if out.StatusBefore != nil {
		g.updateStatus(a.member, a.grantedAt, *out.StatusBefore)
		g.notifyWaiters()
	}
	return out, err
}

// answeredSince reports whether the instance has answered a poll that was sent
// after t.
func (g *group) answeredSince(m *member, t time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return m.view.Reachable && m.view.SampledAt.After(t)
}

// finishAttempt ends an exchange outside a transaction. It returns the
// connection to its pool, or closes it after an error, and returns the slot.
func (g *group) finishAttempt(r *job, a *attempt, out *upstream.Outcome, err error) {
	if errors.Is(err, upstream.ErrResponseTimeout) {
		a.member.pool.RevalidateIdle()
	}
	switch {
	case err == nil:
		a.member.pool.Put(a.conn)
	case out.Sent && !out.NotRun:
		a.member.pool.Abort(a.conn)
	default:
		a.member.pool.Discard(a.conn)
	}
	g.releaseSlot(r, a, err == nil && out.SettingError == nil)
}

// deliver writes the remainder of the answer to the sink.
func deliver(sink io.Writer, answer []byte) error {
	if len(answer) == 0 {
		return nil
	}
	_, err := sink.Write(answer)
	if err != nil {
		return outcomeUnknown(err)
	}
	return nil
}
