package lineowner

import (
	"context"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/line"
)

// runSingle runs a statement outside a transaction.
func (g *group) runSingle(ctx context.Context, j *job, u *slotUse, p placement, sink gypsumyard.ResponseSink) (res gypsumyard.Result, retry bool, err error) {
	reads := j.reads()
	prefix := ""
	if reads {
		prefix = p.prefix()
	}
	if !reads {
		if err := g.beginCommit(); err != nil {
			u.instance.pool.put(u.conn)
			return res, false, err
		}
	}
	a, sent, err := g.run(ctx, j, u, prefix, !reads)
	if !reads {
		g.endCommit(err == nil)
	}
	if err != nil {
		u.instance.pool.discard(u.conn)
		return g.classifySingleFailure(ctx, j, u, sent, err)
	}
	g.returnConn(u, a)
	res = gypsumyard.Result{Position: a.position, TxStatus: 'I', Instance: u.instance.id}
	if a.failure == nil && !reads {
		if err := g.confirmCommit(ctx, u.instance, a.position); err != nil {
			return res, false, err
		}
	}
	if a.failure == nil {
		g.recordStatement(j, u, p.needed)
		return res, false, writeAnswer(sink, a)
	}
	if retryable, err := g.classifyRefusal(j, u, a.failure); retryable {
		return res, true, err
	}
	g.log.WithFields(g.fields(j)).WithField("instance", u.instance.id).WithError(a.failure).Info("instance rejected statement")
	return res, false, writeAnswer(sink, a)
}

// returnConn returns the connection to its pool, or closes it if it is inside a
// transaction.
func (g *group) returnConn(u *slotUse, a answer) {
	if a.state != 'I' {
		u.instance.pool.discard(u.conn)
		return
	}
	u.instance.pool.put(u.conn)
}

// classifySingleFailure classifies a statement whose connection has failed, and
// reports whether it may be retried.
func (g *group) classifySingleFailure(ctx context.Context, j *job, u *slotUse, sent bool, err error) (res gypsumyard.Result, retry bool, _ error) {
	fields := g.fields(j)
	fields["instance"], fields["sent"] = u.instance.id, sent
	g.log.WithFields(fields).WithError(err).Warn("connection failed during a statement")
	j.excluded[u.instance.id] = true
	switch {
	case !sent:
		return res, ctx.Err() == nil, notRun(err)
	case j.reads() && ctx.Err() == nil:
		return res, true, outcomeUnknown(err)
	}
	return res, false, outcomeUnknown(err)
}

// maxReadRetries is how often a read that has failed on an instance is retried on
// another one.
const maxReadRetries = 2

// classifyRefusal reports whether a statement that the instance has answered with
// an error may be retried.
func (g *group) classifyRefusal(j *job, u *slotUse, failure *line.Error) (retry bool, err error) {
	switch {
	case failure.Code == line.CodeReadOnly, failure.Code == line.CodeBusy, failure.Code == line.CodeLagging:
		if j.reads() {
			j.excluded[u.instance.id] = true
		}
		return true, notRun(failure)
	case failure.Code == line.CodeFailed && j.reads() && j.attempts <= maxReadRetries:
		j.excluded[u.instance.id] = true
		return true, outcomeUnknown(failure)
	}
	return false, nil
}
