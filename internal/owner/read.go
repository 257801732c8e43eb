package owner

import (
	"context"
	"errors"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/upstream"
)

// A readState is the state of a read that persists across its attempts.
type readState struct {
	request         *job
	needed          gypsumyard.Position
	advancesSession bool
	excluded        map[string]bool
	sink            gypsumyard.ResponseSink
	// flight is set while identical reads may join this one. joined are the
	// positions that the joined reads must see, and copy keeps the answer for
	// them.
	flight *flight
	joined []gypsumyard.Position
	copy   *teeSink
	// failed indicates that the instance answered with an error.
	failed bool
}

// read runs a read, or begins a read-only transaction, on an instance that
// covers the needed position. The waits before the request is sent end with
// waitCtx, the run itself with ctx.
func (g *group) read(ctx, waitCtx context.Context, r *job, sink gypsumyard.ResponseSink) (res gypsumyard.Result, err error) {
	s := &readState{request: r, excluded: map[string]bool{}, sink: sink}
	s.needed, s.advancesSession, err = g.neededPosition(waitCtx, r, g.clock.Now())
	if err != nil {
		return res, notRun(err)
	}
	res, answered, err := g.joinFlight(waitCtx, s)
	if answered {
		return res, err
	}
	if s.flight != nil {
		defer func() { g.flights.finish(s.flight, s, res, err) }()
	}
	var retry bool
	for range maxAttempts {
		res, retry, err = g.tryRead(ctx, waitCtx, s)
		if !retry {
			return res, err
		}
	}
	return res, err
}

// tryRead makes one attempt. It reports whether the read may be retried.
func (g *group) tryRead(ctx, waitCtx context.Context, s *readState) (res gypsumyard.Result, retry bool, err error) {
	r := s.request
	targets, err := g.readTargets(waitCtx, &s.needed, s.excluded)
	if err != nil {
		return res, false, notRun(err)
	}
	queued, done := g.whileValid(waitCtx, g.noneUsable(targets))
	a, err := g.admit(queued, r, nil, targets)
	done()
	if err != nil {
		return res, errors.Is(err, errTargetsChanged), err
	}
	if !g.stillUsable(a.member) {
		g.releaseSlot(r, &a, false)
		return res, true, errTargetsChanged
	}
	if err := g.connect(waitCtx, r, &a); err != nil {
		g.releaseSlot(r, &a, false)
		s.excluded[a.member.name] = true
		return res, waitCtx.Err() == nil, notRun(err)
	}
	g.endJoining(s)
	out, err := g.runExchange(ctx, r, &a, &upstream.Exchange{
		Reset:                true,
		StatusBefore:         true,
		Check:                s.covers,
		FirstResponseTimeout: readFirstAnswerTimeout,
	}, s.sink)
	s.failed = out.Failure != nil
	g.logRead(s, &a, &out)
	return g.concludeRead(ctx, waitCtx, s, &a, &out, err)
}

// stillUsable reports whether the instance may still get new work after the
// wait for its slot.
func (g *group) stillUsable(m *member) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return m.usable()
}

func (g *group) logRead(s *readState, a *attempt, out *upstream.Outcome) {
	var term gypsumyard.Term
	counter := g.metrics.readsPrimary
	if out.StatusBefore != nil {
		term = out.StatusBefore.Term()
		if out.StatusBefore.Role == gypsumyard.RoleReplica {
			counter = g.metrics.readsReplica
		}
	}
	if out.Rejected {
		counter = g.metrics.readsRejected
	}
	counter.Inc(1)
	g.logDecision(s.request, a.grant, s.needed, term)
}

// concludeRead turns the outcome of an attempt into the result of the read, or
// reports that the read may be retried.
func (g *group) concludeRead(ctx, waitCtx context.Context, s *readState, a *attempt, out *upstream.Outcome, err error) (res gypsumyard.Result, retry bool, _ error) {
	r := s.request
	switch {
	case err != nil:
		g.finishAttempt(r, a, out, err)
		s.excluded[a.member.name] = true
		retry, err = g.classifyReadFailure(ctx, r, out, err)
		return res, retry, err
	case out.SettingError != nil:
		g.finishAttempt(r, a, out, nil)
		return res, false, setupError(out.SettingError)
	case out.Rejected:
		g.discardRejected(r, a, out)
		s.excluded[a.member.name] = true
		return res, true, gypsumyard.Errorf(gypsumyard.ClassNotRun, "no instance covers position %v", s.needed)
	case refusedAsReadOnly(out):
		g.finishAttempt(r, a, out, nil)
		res, err = g.write(ctx, waitCtx, r, s.sink)
		return res, false, err
	}
	res.Instance = a.member.name
	if s.advancesSession {
		res.Position = s.needed
	}
	return g.finishRead(s, a, out, res)
}

// finishRead delivers the answer. A transaction that was left open keeps the
// connection.
func (g *group) finishRead(s *readState, a *attempt, out *upstream.Outcome, res gypsumyard.Result) (gypsumyard.Result, bool, error) {
	res.TxStatus = out.TxStatus
	if out.TxStatus == 'I' {
		g.finishAttempt(s.request, a, out, nil)
		return res, false, deliver(s.sink, out.Response)
	}
	replica := out.StatusBefore != nil && out.StatusBefore.Role == gypsumyard.RoleReplica
	g.keepTransaction(s.request, a, out, replica, &res)
	g.releaseSlot(s.request, a, true)
	return res, false, deliver(s.sink, out.Response)
}

// classifyReadFailure returns the error of a read whose connection failed, and
// whether the read may be sent again.
func (g *group) classifyReadFailure(ctx context.Context, r *job, out *upstream.Outcome, err error) (retry bool, _ error) {
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	if !out.Sent || out.NotRun {
		return ctx.Err() == nil, notRun(err)
	}
	if gypsumyard.ClassOf(err) == gypsumyard.ClassNotSupported {
		return false, err
	}
	retry = !out.Delivered && r.Repeatable && ctx.Err() == nil
	return retry, outcomeUnknown(err)
}

// discardRejected returns the connection of a rejected read. A transaction
// that the request has begun is rolled back by closing the connection.
func (g *group) discardRejected(r *job, a *attempt, out *upstream.Outcome) {
	if out.TxStatus == 'I' {
		g.finishAttempt(r, a, out, nil)
		return
	}
	a.member.pool.Discard(a.conn)
	g.releaseSlot(r, a, false)
}

// refusedAsReadOnly reports whether a replica refused the request because it
// writes.
func refusedAsReadOnly(out *upstream.Outcome) bool {
	return out.Failure != nil && out.Failure.ReadOnly() && !out.Completed && !out.Delivered &&
		out.TxStatus == 'I' && out.StatusBefore != nil && out.StatusBefore.Role == gypsumyard.RoleReplica
}
