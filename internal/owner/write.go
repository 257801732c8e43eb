package owner

import (
	"context"
	"errors"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/upstream"
)

// write runs a write, or begins a transaction, on the primary. It is sent
// again only if it is certain that it did not run.
func (g *group) write(ctx, waitCtx context.Context, r *job, sink gypsumyard.ResponseSink) (res gypsumyard.Result, err error) {
	g.metrics.writes.Inc(1)
	var retry bool
	for range maxAttempts {
		res, retry, err = g.tryWrite(ctx, waitCtx, r, sink)
		if !retry {
			break
		}
	}
	if err != nil && gypsumyard.ClassOf(err) == gypsumyard.ClassUnknown {
		g.metrics.unknownOutcomes.Inc(1)
	}
	return res, err
}

// tryWrite makes one attempt. It reports whether the write may be retried.
func (g *group) tryWrite(ctx, waitCtx context.Context, r *job, sink gypsumyard.ResponseSink) (res gypsumyard.Result, retry bool, err error) {
	m, term, err := g.awaitPrimary(waitCtx, r)
	if err != nil {
		return res, false, notRun(err)
	}
	queued, done := g.whileValid(waitCtx, g.otherPrimary(m))
	a, err := g.admit(queued, r, nil, []gypsumyard.Target{{Instance: m.name, Reason: "primary"}})
	done()
	if err != nil {
		return res, errors.Is(err, errTargetsChanged), err
	}
	if !g.stillPrimary(m, term) {
		g.releaseSlot(r, &a, false)
		return res, true, gypsumyard.Errorf(gypsumyard.ClassNotRun, "the primary changed while the request was queued")
	}
	if err := g.connect(waitCtx, r, &a); err != nil {
		g.releaseSlot(r, &a, false)
		return res, g.pauseBeforeRetry(waitCtx, m), notRun(err)
	}
	out, err := g.runExchange(ctx, r, &a, &upstream.Exchange{
		Reset:        true,
		StatusBefore: true,
		// A status query inside a transaction would be its first query, after
		// which its isolation level cannot be set.
		StatusAfter:          r.Class != gypsumyard.StatementBegin,
		HoldCompletion:       true,
		FirstResponseTimeout: writeFirstAnswerTimeout,
	}, sink)
	g.logDecision(r, a.grant, r.Position, term)
	return g.concludeWrite(ctx, waitCtx, r, &a, &out, err, sink)
}

// awaitPrimary waits for the primary until the deadline of the request.
// Without a deadline the wait is limited by the plan's max-wait.
func (g *group) awaitPrimary(ctx context.Context, r *job) (m *member, term gypsumyard.Term, err error) {
	if r.Deadline.IsZero() {
		plan, err := g.service.plan(r.Customer)
		if err != nil {
			return nil, 0, err
		}
		if plan.MaxWait > 0 {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeoutCause(ctx, time.Duration(plan.MaxWait), errNoPrimary)
			defer cancel()
		}
	}
	err = g.await(ctx, func() bool {
		m = g.primary()
		if m == nil {
			return false
		}
		term = m.view.Status.Term()
		return true
	})
	return m, term, err
}

func (g *group) stillPrimary(m *member, term gypsumyard.Term) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.primary()
	return p == m && m.view.Status.Term() == term
}

// retryDelay prevents a request from using up its attempts before a poll has
// shown why the primary failed.
const retryDelay = 100 * time.Millisecond

// pauseBeforeRetry triggers a poll of the instance and waits for retryDelay if
// it is still considered the primary. It reports whether the request may be
// retried.
func (g *group) pauseBeforeRetry(ctx context.Context, m *member) bool {
	g.mu.Lock()
	changed := g.primary() != m
	g.mu.Unlock()
	if changed {
		return ctx.Err() == nil
	}
	m.requestPoll()
	return g.clock.Sleep(ctx, retryDelay) == nil
}

// concludeWrite turns the outcome of an attempt into the result of the write,
// or reports that the write may be retried.
func (g *group) concludeWrite(ctx, waitCtx context.Context, r *job, a *attempt, out *upstream.Outcome, err error, sink gypsumyard.ResponseSink) (res gypsumyard.Result, retry bool, _ error) {
	switch {
	case err != nil:
		g.finishAttempt(r, a, out, err)
		err, retry = classifyWriteFailure(ctx, out, err)
		return res, retry && g.pauseBeforeRetry(waitCtx, a.member), err
	case out.SettingError != nil:
		g.finishAttempt(r, a, out, nil)
		return res, false, setupError(out.SettingError)
	case refusedAsNotPrimary(out):
		g.finishAttempt(r, a, out, nil)
		return res, g.pauseBeforeRetry(waitCtx, a.member), notRun(out.Failure)
	}
	res.Instance, res.TxStatus = a.member.name, out.TxStatus
	if out.TxStatus != 'I' {
		g.keepTransaction(r, a, out, false, &res)
		g.releaseSlot(r, a, true)
		return res, false, deliver(sink, out.Response)
	}
	if !out.Completed {
		g.finishAttempt(r, a, out, nil)
		return res, false, deliver(sink, out.Response)
	}
	if out.StatusAfter == nil {
		out.StatusAfter = g.statusAfterWrite(ctx, a)
	}
	g.finishAttempt(r, a, out, missingStatus(out))
	res.Position, err = g.acknowledge(ctx, a.member, out)
	if err != nil {
		return res, false, outcomeUnknown(err)
	}
	return res, false, deliver(sink, out.Response)
}

// classifyWriteFailure returns the error of a write whose connection failed,
// and whether the write may be sent again.
func classifyWriteFailure(ctx context.Context, out *upstream.Outcome, err error) (_ error, retry bool) {
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	if !out.Sent || out.NotRun {
		return notRun(err), ctx.Err() == nil
	}
	if gypsumyard.ClassOf(err) == gypsumyard.ClassNotSupported && !out.Completed {
		return err, false
	}
	return outcomeUnknown(err), false
}

// refusedAsNotPrimary reports whether the instance did not run the request
// because it is not the primary. A read-only error of the primary is an answer
// to the caller's own settings.
func refusedAsNotPrimary(out *upstream.Outcome) bool {
	if out.Failure == nil || !out.Failure.ProvesNotRun() || out.Completed || out.TxStatus != 'I' {
		return false
	}
	return out.StatusBefore == nil || out.StatusAfter == nil || !out.StatusBefore.Writable() || !out.StatusAfter.Writable()
}

var errNoStatus = errors.New("no status after the write")

// missingStatus returns an error if the connection did not answer the status
// query after the write.
func missingStatus(out *upstream.Outcome) error {
	if out.StatusAfter == nil {
		return errNoStatus
	}
	return nil
}

// statusAfterWrite reads the status on the attempt's connection.
func (g *group) statusAfterWrite(ctx context.Context, a *attempt) *gypsumyard.InstanceStatus {
	ctx, cancel := context.WithTimeoutCause(ctx, writeFirstAnswerTimeout, upstream.ErrResponseTimeout)
	defer cancel()
	s, err := a.conn.Status(ctx)
	if err != nil {
		return nil
	}
	return &s
}

// acknowledge waits until a majority holds what the exchange wrote, and
// returns the position up to which it holds the log.
func (g *group) acknowledge(ctx context.Context, primary *member, out *upstream.Outcome) (p gypsumyard.Position, err error) {
	if out.StatusAfter == nil {
		return p, errNoStatus
	}
	p = out.StatusAfter.Applied
	if !out.StatusAfter.Writable() || out.StatusBefore != nil && out.StatusBefore.Term() != p.Term {
		return gypsumyard.Position{}, errPrimaryReplaced
	}
	if err := g.awaitConfirmed(ctx, p, primary); err != nil {
		return gypsumyard.Position{}, err
	}
	return p, nil
}
