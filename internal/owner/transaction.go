package owner

import (
	"context"
	"crypto/rand"
	"errors"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/upstream"
)

const (
	// sweepInterval is the pause between two looks for idle transactions.
	sweepInterval = 250 * time.Millisecond
	// rollbackBound limits the ROLLBACK of an abandoned transaction. After it
	// the connection is closed, which rolls back as well.
	rollbackBound = time.Second
)

// A transaction holds a connection from its BEGIN to its end.
type transaction struct {
	handle  string
	session gypsumyard.SessionID
	member  *member
	conn    *upstream.Conn
	permit  *permit
	// replica indicates that the transaction runs on a replica and cannot write.
	replica bool
	// turn is held by the request that runs in the transaction.
	turn chan struct{}
	// abandoned ends the request that runs.
	abandoned context.Context
	abandon   context.CancelCauseFunc
	// status is the state after the last request. It belongs to the turn.
	status byte
	// lastUsed and ended are guarded by the lock of the group.
	lastUsed time.Time
	ended    bool
}

// pin keeps the attempt's connection for the transaction that the request has
// left open.
func (g *group) pin(r *job, a *attempt, replica bool, res *gypsumyard.Result) {
	if a.permit == nil {
		// The request was not known to begin a transaction.
		a.permit = a.member.permits.force(r.Customer)
	}
	t := &transaction{
		permit:   a.permit,
		handle:   rand.Text(),
		session:  r.Session,
		member:   a.member,
		conn:     a.conn,
		replica:  replica,
		turn:     make(chan struct{}, 1),
		status:   res.TxStatus,
		lastUsed: g.clock.Now(),
	}
	a.permit = nil
	t.abandoned, t.abandon = context.WithCancelCause(g.ctx)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.transactions[t.handle] = t
	t.member.pinned++
	g.metrics.transactions.Update(float64(len(g.transactions)))
	res.Transaction, res.Owner = t.handle, g.service.self
}

// enter waits for the turn in the transaction of the request.
func (g *group) enter(ctx context.Context, r *gypsumyard.Request) (*transaction, error) {
	g.mu.Lock()
	t := g.transactions[r.Transaction]
	g.mu.Unlock()
	if t == nil || t.session != r.Session {
		return nil, errNoTransaction
	}
	select {
	case t.turn <- struct{}{}:
	case <-ctx.Done():
		return nil, notRun(context.Cause(ctx))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.ended {
		<-t.turn
		return nil, errNoTransaction
	}
	return t, nil
}

// leave ends the turn.
func (g *group) leave(t *transaction) {
	g.mu.Lock()
	t.lastUsed = g.clock.Now()
	g.mu.Unlock()
	<-t.turn
}

// forget ends the transaction. It is called by the holder of the turn.
func (g *group) forget(t *transaction) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t.ended = true
	delete(g.transactions, t.handle)
	t.member.pinned--
	g.checkAvailable(t.member)
	g.metrics.transactions.Update(float64(len(g.transactions)))
	t.abandon(nil)
	t.permit.release()
	g.checkDrained()
}

// continueTransaction runs a request in an open transaction.
func (g *group) continueTransaction(ctx context.Context, r *job, sink gypsumyard.ResponseSink) (res gypsumyard.Result, err error) {
	t, err := g.enter(ctx, r.Request)
	if err != nil {
		return res, err
	}
	defer g.leave(t)
	running, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(t.abandoned, func() { cancel(errNoTransaction) })()
	a, err := g.admit(running, r, t.member, []gypsumyard.Target{{Instance: t.member.name, Reason: "open transaction"}})
	if err != nil {
		return g.stillOpen(t), err
	}
	a.conn = t.conn
	out, err := g.exchange(running, r, &a, &upstream.Exchange{
		StatusAfter:          r.Class == gypsumyard.StatementCommit && !t.replica,
		HoldCompletion:       r.Class != gypsumyard.StatementRead && !t.replica,
		Probe:                true,
		FirstResponseTimeout: writeFirstBound,
	}, sink)
	g.logDecision(r, a.grant, r.Position, 0)
	return g.concludeStatement(ctx, t, r, &a, &out, err, sink)
}

// stillOpen describes a transaction in which a request did not run.
func (g *group) stillOpen(t *transaction) gypsumyard.Result {
	return gypsumyard.Result{TxStatus: t.status, Transaction: t.handle, Owner: g.service.self, Instance: t.member.name}
}

// concludeStatement turns the outcome of a request in a transaction into an
// answer.
func (g *group) concludeStatement(ctx context.Context, t *transaction, r *job, a *attempt, out *upstream.Outcome, err error, sink gypsumyard.ResponseSink) (res gypsumyard.Result, _ error) {
	res.Instance, res.TxStatus = t.member.name, 'I'
	if err != nil {
		if ctx.Err() == nil && t.abandoned.Err() != nil {
			err = context.Cause(t.abandoned)
		}
		g.forget(t)
		g.end(r, a, out, err)
		err, _ = judgeWriteFailure(ctx, out, err)
		return res, err
	}
	res.TxStatus = out.TxStatus
	if out.TxStatus != 'I' {
		t.status = out.TxStatus
		res.Transaction, res.Owner = t.handle, g.service.self
		g.release(r, a, true)
		return res, deliver(sink, out.Answer)
	}
	if t.replica || out.Tag == "ROLLBACK" {
		g.forget(t)
		g.end(r, a, out, nil)
		return res, deliver(sink, out.Answer)
	}
	if out.StatusAfter == nil {
		out.StatusAfter = g.statusAfter(ctx, a)
	}
	g.forget(t)
	g.end(r, a, out, lostStatus(out))
	res.Position, err = g.acknowledge(ctx, t.member.name, out)
	if err != nil {
		g.metrics.unknown.Inc(1)
		return res, unknown(err)
	}
	return res, deliver(sink, out.Answer)
}

// abandonTransaction rolls back the transaction of a session that has ended. A
// statement that runs in it is cancelled.
func (g *group) abandonTransaction(ctx context.Context, r *gypsumyard.Request) error {
	g.mu.Lock()
	t := g.transactions[r.Transaction]
	g.mu.Unlock()
	if t == nil || t.session != r.Session {
		return nil
	}
	t.abandon(errNoTransaction)
	t, err := g.enter(ctx, r)
	if errors.Is(err, errNoTransaction) {
		return nil
	}
	if err != nil {
		return err
	}
	g.rollBack(t)
	return nil
}

// rollBack ends a transaction in which nothing runs. The caller holds the
// turn.
func (g *group) rollBack(t *transaction) {
	ctx, cancel := context.WithTimeout(g.ctx, rollbackBound)
	defer cancel()
	if err := t.conn.Rollback(ctx); err != nil {
		t.member.pool.Discard(t.conn)
	} else {
		t.member.pool.Put(t.conn)
	}
	g.forget(t)
	g.leave(t)
}

// sweep rolls back idle transactions until the group ends.
func (g *group) sweep() {
	defer g.work.Done()
	for g.clock.Sleep(g.ctx, sweepInterval) == nil {
		for _, t := range g.idleTransactions() {
			g.log.WithField("session", t.session).Warn("idle transaction rolled back")
			g.metrics.idleRolledBack.Inc(1)
			g.rollBack(t)
		}
	}
}

// idleTransactions returns the transactions past the limit with their turns
// taken.
func (g *group) idleTransactions() (idle []*transaction) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range g.transactions {
		if g.clock.Since(t.lastUsed) < g.idleLimit {
			continue
		}
		select {
		case t.turn <- struct{}{}:
			idle = append(idle, t)
		default:
		}
	}
	return idle
}
