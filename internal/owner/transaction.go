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
	// idleCheckInterval is the pause between two checks for idle transactions.
	idleCheckInterval = 250 * time.Millisecond
	// rollbackTimeout limits the ROLLBACK of an abandoned transaction. After
	// it the connection is closed, which rolls back as well.
	rollbackTimeout = time.Second
)

// A transaction holds a connection from its BEGIN to its end.
type transaction struct {
	handle  string
	session gypsumyard.SessionID
	member  *member
	conn    *upstream.Conn
	permit  *permit
	// replica indicates that the transaction runs on a replica and cannot
	// write.
	replica bool
	// term is the instance's term at the begin, zero if it is not known.
	term gypsumyard.Term
	// lock is held by the request that runs in the transaction.
	lock chan struct{}
	// abandoned is done when the transaction is abandoned or has ended. It
	// ends the running request.
	abandoned context.Context
	abandon   context.CancelCauseFunc
	// status is the transaction state after the last request. It is guarded by
	// lock.
	status byte
	// lastUsed and ended are guarded by the mutex of the group.
	lastUsed time.Time
	ended    bool
}

// keepTransaction registers the transaction that the request has left open. It
// keeps the attempt's connection.
func (g *group) keepTransaction(r *job, a *attempt, out *upstream.Outcome, replica bool, res *gypsumyard.Result) {
	if a.permit == nil {
		// The request was not known to begin a transaction.
		a.permit = a.member.permits.forceAcquire(r.Customer)
	}
	t := &transaction{
		permit:   a.permit,
		handle:   rand.Text(),
		session:  r.Session,
		member:   a.member,
		conn:     a.conn,
		replica:  replica,
		lock:     make(chan struct{}, 1),
		status:   res.TxStatus,
		lastUsed: g.clock.Now(),
	}
	if s := out.StatusBefore; s != nil {
		t.term = s.Term()
	}
	a.permit = nil
	t.abandoned, t.abandon = context.WithCancelCause(g.ctx)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.transactions[t.handle] = t
	t.member.openTransactions++
	g.metrics.transactions.Update(float64(len(g.transactions)))
	res.Transaction, res.Owner = t.handle, g.service.self
}

// lockTransaction waits for the lock of the request's transaction and returns
// the transaction.
func (g *group) lockTransaction(ctx context.Context, r *gypsumyard.Request) (*transaction, error) {
	g.mu.Lock()
	t := g.transactions[r.Transaction]
	g.mu.Unlock()
	if t == nil || t.session != r.Session {
		return nil, errNoTransaction
	}
	select {
	case t.lock <- struct{}{}:
	case <-ctx.Done():
		return nil, notRun(context.Cause(ctx))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.ended {
		<-t.lock
		return nil, errNoTransaction
	}
	return t, nil
}

// unlockTransaction releases the lock of the transaction.
func (g *group) unlockTransaction(t *transaction) {
	g.mu.Lock()
	t.lastUsed = g.clock.Now()
	g.mu.Unlock()
	<-t.lock
}

// endTransaction removes an ended transaction from the group. The caller must
// hold the lock of the transaction.
func (g *group) endTransaction(t *transaction) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t.ended = true
	delete(g.transactions, t.handle)
	t.member.openTransactions--
	g.updateAvailability(t.member)
	g.metrics.transactions.Update(float64(len(g.transactions)))
	t.abandon(nil)
	t.permit.release()
	g.checkDrained()
}

// continueTransaction runs a request in an open transaction.
func (g *group) continueTransaction(ctx context.Context, r *job, sink gypsumyard.ResponseSink) (res gypsumyard.Result, err error) {
	t, err := g.lockTransaction(ctx, r.Request)
	if err != nil {
		return res, err
	}
	defer g.unlockTransaction(t)
	running, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(t.abandoned, func() { cancel(errNoTransaction) })()
	a, err := g.admit(running, r, t.member, []gypsumyard.Target{{Instance: t.member.name, Reason: "open transaction"}})
	if err != nil {
		return g.openResult(t), err
	}
	a.conn = t.conn
	out, err := g.runExchange(running, r, &a, &upstream.Exchange{
		StatusAfter:          r.Class == gypsumyard.StatementCommit && !t.replica,
		HoldCompletion:       r.Class != gypsumyard.StatementRead && !t.replica,
		Probe:                true,
		FirstResponseTimeout: writeFirstAnswerTimeout,
	}, sink)
	g.logDecision(r, a.grant, r.Position, 0)
	return g.concludeStatement(ctx, t, r, &a, &out, err, sink)
}

// openResult returns the result of a request that did not run in its
// transaction, which stays open.
func (g *group) openResult(t *transaction) gypsumyard.Result {
	return gypsumyard.Result{TxStatus: t.status, Transaction: t.handle, Owner: g.service.self, Instance: t.member.name}
}

// concludeStatement turns the outcome of a request in a transaction into its
// result.
func (g *group) concludeStatement(ctx context.Context, t *transaction, r *job, a *attempt, out *upstream.Outcome, err error, sink gypsumyard.ResponseSink) (res gypsumyard.Result, _ error) {
	res.Instance, res.TxStatus = t.member.name, 'I'
	if err != nil {
		if ctx.Err() == nil && t.abandoned.Err() != nil {
			err = context.Cause(t.abandoned)
		}
		g.endTransaction(t)
		g.finishAttempt(r, a, out, err)
		err, _ = classifyWriteFailure(ctx, out, err)
		return res, err
	}
	if g.refusedAsReplaced(ctx, t, out) {
		g.endTransaction(t)
		g.discardRejected(r, a, out)
		return res, errTransactionReplaced
	}
	res.TxStatus = out.TxStatus
	if out.TxStatus != 'I' {
		t.status = out.TxStatus
		res.Transaction, res.Owner = t.handle, g.service.self
		g.releaseSlot(r, a, true)
		return res, deliver(sink, out.Response)
	}
	if t.replica || out.Tag == "ROLLBACK" {
		g.endTransaction(t)
		g.finishAttempt(r, a, out, nil)
		return res, deliver(sink, out.Response)
	}
	if out.StatusAfter == nil {
		out.StatusAfter = g.statusAfterWrite(ctx, a)
	}
	g.endTransaction(t)
	g.finishAttempt(r, a, out, missingStatus(out))
	res.Position, err = g.acknowledge(ctx, t.member, out)
	if err != nil {
		g.metrics.unknownOutcomes.Inc(1)
		return res, outcomeUnknown(err)
	}
	return res, deliver(sink, out.Response)
}

// refusedAsReplaced reports whether the instance refused a write or the commit
// because it was fenced, or promoted anew, since the transaction began. Otherwise a
// read-only error answers to the caller's own settings.
func (g *group) refusedAsReplaced(ctx context.Context, t *transaction, out *upstream.Outcome) bool {
	if t.replica || out.Failure == nil || !out.Failure.ReadOnly() || out.Completed || out.Delivered {
		return false
	}
	s := out.StatusAfter
	if s == nil {
		// The connection cannot be asked: its transaction has failed.
		ctx, cancel := context.WithTimeout(ctx, slowPollTimeoutFactor*g.pollTimeout)
		defer cancel()
		polled, err := t.member.pollConn.Status(ctx)
		if err != nil {
			return false
		}
		s = &polled
	}
	return !s.Writable() || t.term != 0 && s.Term() != t.term
}

// abandonTransaction rolls back the transaction of a session that has ended. A
// statement that runs in it is canceled.
func (g *group) abandonTransaction(ctx context.Context, r *gypsumyard.Request) error {
	g.mu.Lock()
	t := g.transactions[r.Transaction]
	g.mu.Unlock()
	if t == nil || t.session != r.Session {
		return nil
	}
	t.abandon(errNoTransaction)
	t, err := g.lockTransaction(ctx, r)
	if errors.Is(err, errNoTransaction) {
		return nil
	}
	if err != nil {
		return err
	}
	if err := g.rollBack(t); err != nil {
		g.log.WithField("session", t.session).WithError(err).Warn("abandoned transaction not rolled back, connection closed")
	}
	return nil
}

// rollBack rolls back a transaction in which nothing runs, and ends it. If the
// instance does not confirm the rollback, it fails and closes the connection. The
// caller must hold the lock of the transaction, which rollBack releases.
func (g *group) rollBack(t *transaction) error {
	ctx, cancel := context.WithTimeout(g.ctx, rollbackTimeout)
	defer cancel()
	err := t.conn.Rollback(ctx)
	if err != nil {
		t.member.pool.Discard(t.conn)
	} else {
		t.member.pool.Put(t.conn)
	}
	g.endTransaction(t)
	g.unlockTransaction(t)
	return err
}

// rollBackIdleTransactions rolls back idle transactions until the group ends.
func (g *group) rollBackIdleTransactions() {
	defer g.work.Done()
	for g.clock.Sleep(g.ctx, idleCheckInterval) == nil {
		for _, t := range g.idleTransactions() {
			g.rollBackIdle(t)
		}
	}
}

func (g *group) rollBackIdle(t *transaction) {
	log := g.log.WithField("session", t.session)
	if err := g.rollBack(t); err != nil {
		log.WithError(err).Warn("idle transaction not rolled back, connection closed")
		return
	}
	log.Warn("idle transaction rolled back")
	g.metrics.idleRolledBack.Inc(1)
}

// idleTransactions returns the transactions that have reached the idle
// timeout, with their locks held. It skips those in which a request runs.
func (g *group) idleTransactions() (idle []*transaction) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range g.transactions {
		if g.clock.Since(t.lastUsed) < g.idleTransactionTimeout {
			continue
		}
		select {
		case t.lock <- struct{}{}:
			idle = append(idle, t)
		default:
		}
	}
	return idle
}
