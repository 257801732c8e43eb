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
func (g *group) write(ctx, waiting context.Context, r *job, sink gypsumyard.ResponseSink) (res gypsumyard.Result, err error) {
	g.metrics.writes.Inc(1)
	var again bool
	for range maxAttempts {
		res, again, err = g.tryWrite(ctx, waiting, r, sink)
		if !again {
			break
		}
	}
	if err != nil && gypsumyard.ClassOf(err) == gypsumyard.ClassUnknown {
		g.metrics.unknown.Inc(1)
	}
	return res, err
}

// tryWrite makes one attempt. It reports whether another one may be made.
func (g *group) tryWrite(ctx, waiting context.Context, r *job, sink gypsumyard.ResponseSink) (res gypsumyard.Result, again bool, err error) {
	m, term, err := g.primaryFor(waiting, r)
	if err != nil {
		return res, false, notRun(err)
	}
	queued, done := g.whileValid(waiting, g.movedFrom(m))
	a, err := g.admit(queued, r, nil, []gypsumyard.Target{{Instance: m.name, Reason: "primary"}})
	done()
	if err != nil {
		return res, errors.Is(err, errMoved), err
	}
	if !g.stillPrimary(m, term) {
		g.release(r, &a, false)
		return res, true, gypsumyard.Errorf(gypsumyard.ClassNotRun, "the primary changed while the request was queued")
	}
	if err := g.connect(waiting, r, &a); err != nil {
		g.release(r, &a, false)
		return res, g.pauseBeforeRetry(waiting, m), notRun(err)
	}
	out, err := g.exchange(ctx, r, &a, &upstream.Exchange{
		Reset:        true,
		StatusBefore: true,
		// A status query inside a transaction would be its first query, after
		// which its isolation level cannot be set.
		StatusAfter:          r.Class != gypsumyard.StatementBegin,
		HoldCompletion:       true,
		FirstResponseTimeout: writeFirstBound,
	}, sink)
	g.logDecision(r, a.grant, r.Position, term)
	return g.concludeWrite(ctx, waiting, r, &a, &out, err, sink)
}

// primaryFor waits for the primary until the deadline of the request, or for
// as long as the plan allows if it has none.
func (g *group) primaryFor(ctx context.Context, r *job) (m *member, term gypsumyard.Term, err error) {
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

// retryPause keeps a request from using up its attempts before a poll has
// found out why the primary failed.
const retryPause = 100 * time.Millisecond

// pauseBeforeRetry has the instance polled and waits a little if it still
// counts as the primary. It reports whether the request may be tried again.
func (g *group) pauseBeforeRetry(ctx context.Context, m *member) bool {
	g.mu.Lock()
	changed := g.primary() != m
	g.mu.Unlock()
	if changed {
		return ctx.Err() == nil
	}
	m.poke()
	return g.clock.Sleep(ctx, retryPause) == nil
}

// concludeWrite turns the outcome of an attempt into an answer or asks for
// another attempt.
func (g *group) concludeWrite(ctx, waiting context.Context, r *job, a *attempt, out *upstream.Outcome, err error, sink gypsumyard.ResponseSink) (res gypsumyard.Result, again bool, _ error) {
	switch {
	case err != nil:
		g.end(r, a, out, err)
		err, again = judgeWriteFailure(ctx, out, err)
		return res, again && g.pauseBeforeRetry(waiting, a.member), err
	case out.SettingError != nil:
		g.end(r, a, out, nil)
		return res, false, setupError(out.SettingError)
	case refusedAsReplica(out):
		g.end(r, a, out, nil)
		return res, g.pauseBeforeRetry(waiting, a.member), notRun(out.Failure)
	}
	res.Instance, res.TxStatus = a.member.name, out.TxStatus
	if out.TxStatus != 'I' {
		g.pin(r, a, false, &res)
		g.release(r, a, true)
		return res, false, deliver(sink, out.Answer)
	}
	if !out.Completed {
		g.end(r, a, out, nil)
		return res, false, deliver(sink, out.Answer)
	}
	if out.StatusAfter == nil {
		out.StatusAfter = g.statusAfter(ctx, a)
	}
	g.end(r, a, out, lostStatus(out))
	res.Position, err = g.acknowledge(ctx, a.member.name, out)
	if err != nil {
		return res, false, unknown(err)
	}
	return res, false, deliver(sink, out.Answer)
}

// judgeWriteFailure tells how a write ended whose connection failed, and
// whether it may be sent again.
func judgeWriteFailure(ctx context.Context, out *upstream.Outcome, err error) (_ error, again bool) {
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	if !out.Sent || out.NotRun {
		return notRun(err), ctx.Err() == nil
	}
	if gypsumyard.ClassOf(err) == gypsumyard.ClassNotSupported && !out.Completed {
		return err, false
	}
	return unknown(err), false
}

// refusedAsReplica reports whether the instance did not run the request
// because it is no primary. A read-only error of a primary is an answer to the
// caller's own settings.
func refusedAsReplica(out *upstream.Outcome) bool {
	if out.Failure == nil || !out.Failure.ProvesNotRun() || out.Completed || out.TxStatus != 'I' {
		return false
	}
	return out.StatusBefore == nil || out.StatusAfter == nil || !out.StatusBefore.Writable() || !out.StatusAfter.Writable()
}

var errNoStatus = errors.New("no status after the write")

// lostStatus returns an error if the connection did not answer the status
// query after the write.
func lostStatus(out *upstream.Outcome) error {
	if out.StatusAfter == nil {
		return errNoStatus
	}
	return nil
}

// statusAfter reads the status on the attempt's connection.
func (g *group) statusAfter(ctx context.Context, a *attempt) *gypsumyard.InstanceStatus {
	ctx, cancel := context.WithTimeoutCause(ctx, writeFirstBound, upstream.ErrResponseTimeout)
	defer cancel()
	s, err := a.conn.Status(ctx)
	if err != nil {
		return nil
	}
	return &s
}

// acknowledge waits until what the exchange wrote is held by a majority, and
// returns the position up to which it is.
func (g *group) acknowledge(ctx context.Context, primary string, out *upstream.Outcome) (p gypsumyard.Position, err error) {
	if out.StatusAfter == nil {
		return p, errNoStatus
	}
	p = out.StatusAfter.Applied
	if !out.StatusAfter.Writable() || out.StatusBefore != nil && out.StatusBefore.Term() != p.Term {
		return gypsumyard.Position{}, errReplaced
	}
	if err := g.awaitConfirmed(ctx, p, primary); err != nil {
		return gypsumyard.Position{}, err
	}
	return p, nil
}
