package lineowner

import (
	"context"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/line"
)

// runSingle runs a statement outside a transaction.
func (g *group) runSingle(ctx context.Context, j *job, u *use, p placement, sink gypsumyard.ResponseSink) (res gypsumyard.Result, again bool, err error) {
	reads := j.reads()
	prefix := ""
	if reads {
		prefix = p.prefix()
	}
	if !reads {
		if err := g.enterCommit(); err != nil {
			u.instance.pool.put(u.conn)
			return res, false, err
		}
	}
	a, sent, err := g.run(ctx, j, u, prefix, !reads)
	if !reads {
		g.leaveCommit(err == nil)
	}
	if err != nil {
		u.instance.pool.discard(u.conn)
		return g.singleFailed(ctx, j, u, sent, err)
	}
	g.giveBack(u, a)
	res = gypsumyard.Result{Position: a.position, TxStatus: 'I', Instance: u.instance.id}
	if a.failure == nil {
		g.noteRouted(j, u, p.needed)
		return res, false, deliver(sink, a)
	}
	if again, err := g.judgeRefusal(j, u, a.failure); again {
		return res, true, err
	}
	g.log.WithFields(g.fields(j)).WithField("instance", u.instance.id).WithError(a.failure).Info("instance refuses statement")
	return res, false, deliver(sink, a)
}

// giveBack returns a connection that is outside a transaction to its pool.
func (g *group) giveBack(u *use, a answer) {
	if a.state != 'I' {
		u.instance.pool.discard(u.conn)
		return
	}
	u.instance.pool.put(u.conn)
}

// singleFailed judges a statement whose connection has failed.
func (g *group) singleFailed(ctx context.Context, j *job, u *use, sent bool, err error) (res gypsumyard.Result, again bool, _ error) {
	fields := g.fields(j)
	fields["instance"], fields["sent"] = u.instance.id, sent
	g.log.WithFields(fields).WithError(err).Warn("connection failed during a statement")
	j.refused[u.instance.id] = true
	switch {
	case !sent:
		return res, ctx.Err() == nil, notRun(err)
	case j.reads() && ctx.Err() == nil:
		return res, true, unknown(err)
	}
	return res, false, unknown(err)
}

// maxReadRetries is how often a read that has failed on an instance is sent to
// another one.
const maxReadRetries = 2

// judgeRefusal reports whether a statement that the instance has answered with
// an error is tried again.
func (g *group) judgeRefusal(j *job, u *use, failure *line.Error) (again bool, err error) {
	switch {
	case failure.Code == line.CodeReadOnly, failure.Code == line.CodeBusy, failure.Code == line.CodeLagging:
		if j.reads() {
			j.refused[u.instance.id] = true
		}
		return true, notRun(failure)
	case failure.Code == line.CodeFailed && j.reads() && j.tried <= maxReadRetries:
		j.refused[u.instance.id] = true
		return true, unknown(failure)
	}
	return false, nil
}
