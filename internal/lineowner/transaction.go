package lineowner

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/line"
	"github.com/sirupsen/logrus"
)

const (
	// idleCheckInterval is the time between two checks for idle transactions.
	idleCheckInterval = 500 * time.Millisecond
	// rollbackTimeout bounds the rollback of an abandoned transaction.
	rollbackTimeout = time.Second
	// maxTransactionWaits is how many requests of one customer wait because it has too
	// many open transactions. Further ones are rejected.
	maxTransactionWaits = 32
	// transactionRetryAfter is the delay after which a caller that was rejected for
	// them may retry.
	transactionRetryAfter = 500 * time.Millisecond
)

// A transaction keeps a connection to an instance between its statements.
type transaction struct {
	handle   string
	session  gypsumyard.SessionID
	instance *instance
	conn     *conn
	readOnly bool
	// wrote indicates that a statement may have written. lock guards it.
	wrote bool

	// lock is held while a statement runs.
	lock sync.Mutex
	// lastUsed is when the last statement ended. The group's mutex guards it and
	// running.
	lastUsed time.Time
	running  bool
	ended    bool
}

var (
	errNoTransaction       = withoutRetry(gypsumyard.Errorf(gypsumyard.ClassNotRun, "the transaction has ended"))
	errTooManyTransactions = gypsumyard.Errorf(gypsumyard.ClassLoad, "too many transactions are open on the instance")
	// errCustomerTransactions rejects a request whose customer has too many open
	// transactions and too many requests that wait for one of them to end.
	errCustomerTransactions = &gypsumyard.Error{
		Class: gypsumyard.ClassLoad, Message: "the customer has too many open transactions", RetryAfter: transactionRetryAfter,
	}
)

// withoutRetry returns e as the error of a statement whose transaction has ended: no
// later attempt can run it.
func withoutRetry(e *gypsumyard.Error) *gypsumyard.Error {
	c := *e
	c.NoRetry = true
	return &c
}

// beginTransaction opens a transaction and runs its first statement.
func (g *group) beginTransaction(ctx context.Context, j *job, u *slotUse, p placement, sink gypsumyard.ResponseSink) (res gypsumyard.Result, retry bool, err error) {
	if !g.reserveTransaction(j, u.instance) {
		u.instance.pool.put(u.conn)
		j.excluded[u.instance.id] = true
		return res, true, errTooManyTransactions
	}
	keep := false
	defer func() {
		if !keep {
			g.releaseTransaction(u.instance, j.KeyHolder)
		}
	}()
	a, retry, err := g.runFirstStatement(ctx, j, u, p)
	if err != nil {
		return res, retry, err
	}
	res = gypsumyard.Result{Position: a.position, TxStatus: a.state, Instance: u.instance.id}
	if a.state == 'I' {
		g.returnConn(u, a)
		return res, false, writeAnswer(sink, a)
	}
	keep = true
	t := &transaction{
		handle:   strconv.FormatUint(g.service.lastHandle.Add(1), 36),
		session:  j.Session,
		instance: u.instance,
		conn:     u.conn,
		readOnly: j.Class == gypsumyard.StatementBeginRead,
		wrote:    j.writes(),
	}
	g.registerTransaction(t)
	res.Transaction, res.Owner = t.handle, g.service.self
	g.recordStatement(j, u, p.needed)
	return res, false, writeAnswer(sink, a)
}

// runFirstStatement sends BEGIN and the first statement. If it fails, the connection has
// been returned to its pool or closed, and retry reports whether the transaction may be
// tried again from BEGIN.
func (g *group) runFirstStatement(ctx context.Context, j *job, u *slotUse, p placement) (a answer, retry bool, err error) {
	readOnly := j.Class == gypsumyard.StatementBeginRead
	begin := string(line.Begin)
	if readOnly {
		begin = p.prefix() + begin + " READ"
	}
	setup, _ := u.conn.setupStatements(j.Settings, line.Prepared{})
	a, sent, err := u.conn.run(ctx, exchange{setup: setup, id: proxyStatementID, text: begin})
	j.sent = j.sent || sent
	switch {
	case err != nil:
		u.instance.pool.discard(u.conn)
		retry, err = g.classifyBeginFailure(ctx, j, u, sent, err)
		return a, retry, err
	case a.failure != nil:
		g.returnConn(u, a)
		j.excluded[u.instance.id] = readOnly
		return a, true, notRun(a.failure)
	}
	a, sent, err = g.run(ctx, j, u, "", j.commits())
	switch {
	case err != nil && sent && j.commits():
		u.instance.pool.discard(u.conn)
		return a, false, outcomeUnknown(err)
	case err != nil:
		u.instance.pool.discard(u.conn)
		retry, err = g.classifyBeginFailure(ctx, j, u, sent, err)
		return a, retry, err
	case a.failure != nil && a.failure.Code.NotRun() && a.failure.Code != line.CodeUnknown:
		// Nothing of the transaction has run yet, so it is retried from BEGIN.
		u.conn.dirty = true
		g.rollBack(u.instance, u.conn)
		j.excluded[u.instance.id] = readOnly
		return a, true, notRun(a.failure)
	}
	return a, false, nil
}

// classifyBeginFailure classifies a connection failure at the start of a
// transaction. Nothing that was run can have been committed: the connection is
// closed, which rolls back.
func (g *group) classifyBeginFailure(ctx context.Context, j *job, u *slotUse, sent bool, err error) (retry bool, _ error) {
	j.excluded[u.instance.id] = j.reads()
	fields := g.fields(j)
	fields["instance"], fields["sent"] = u.instance.id, sent
	g.log.WithFields(fields).WithError(err).Warn("connection failed at the start of a transaction")
	return ctx.Err() == nil, notRun(err)
}

// writes reports whether the statement itself writes.
func (j *job) writes() bool {
	verb, _, _ := strings.Cut(j.Text, " ")
	return line.Verb(verb) == line.Write || line.Verb(verb) == line.Execute && j.Prepared.Verb == line.Write
}

// commits reports whether the statement commits a transaction.
func (j *job) commits() bool { return j.Text == string(line.Commit) }

// transactionLimit returns how many transactions may be open on an instance. The
// caller must hold g.mu.
func (g *group) transactionLimit() int {
	return max(g.settings.Connections-reservedConnections-reservedForStatements, 1)
}

// reserveTransaction counts a new transaction on the instance, unless the request has
// done so while it waited for room. It reports false if there are too many.
func (g *group) reserveTransaction(j *job, i *instance) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if j.reserved == i {
		j.reserved = nil
		return true
	}
	g.releaseRoom(j)
	if i.openTransactions >= g.transactionLimit() || !i.pool.beginTransaction(j.KeyHolder) {
		return false
	}
	i.openTransactions++
	return true
}

func (g *group) releaseTransaction(i *instance, customer string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	i.openTransactions--
	i.pool.endTransaction(customer)
	g.broadcast()
}

// awaitTransactionRoom restricts the placement of a request that opens a transaction
// to the instances at which its customer may open one. If it is a single one, the
// transaction is counted there, so that of many waiting requests only as many go on as
// there is room for. If there is none, it waits until there may be one and reports
// false. A customer with too many waiting requests is rejected at once.
func (g *group) awaitTransactionRoom(ctx context.Context, j *job, p *placement) (ok bool, err error) {
	if !opensTransaction(j.Class) {
		return true, nil
	}
	g.mu.Lock()
	if !g.keyed {
		g.mu.Unlock()
		return true, nil
	}
	waits, ok := g.transactionWaits[j.KeyHolder], g.reserveRoom(j, p)
	if !ok && waits < maxTransactionWaits {
		g.transactionWaits[j.KeyHolder]++
		defer g.endTransactionWait(j.KeyHolder)
	}
	primary := g.claimedPrimary()
	g.mu.Unlock()
	switch {
	case ok:
		return true, nil
	case waits >= maxTransactionWaits:
		return false, errCustomerTransactions
	}
	g.metrics.transactionWaits.Inc(1)
	return false, g.awaitTransactionEnd(ctx, j, p, primary)
}

// awaitTransactionEnd waits until the customer may open a transaction at one of the
// targets, or the group has another primary. Unlike await, it needs no poll: transactions
// end here.
func (g *group) awaitTransactionEnd(ctx context.Context, j *job, p *placement, primary *instance) error {
	for {
		g.mu.Lock()
		ready, changed := len(g.targetsWithRoom(j, p)) > 0 || g.claimedPrimary() != primary, g.changed
		g.mu.Unlock()
		if ready {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("wait for a transaction of the customer to end: %w", context.Cause(ctx))
		}
	}
}

// targetsWithRoom returns the targets at which the customer may open a transaction,
// and those that are gone. The caller must hold g.mu.
func (g *group) targetsWithRoom(j *job, p *placement) (targets []gypsumyard.Target) {
	for _, t := range p.targets {
		i := g.instanceByID(t.Instance)
		if i == nil || !i.usable() || i == j.reserved || i.pool.mayBegin(j.KeyHolder) {
			targets = append(targets, t)
		}
	}
	return targets
}

// reserveRoom restricts the placement to targets with room, and counts the transaction
// if that is a single one. It reports whether there is room. The caller must hold g.mu.
func (g *group) reserveRoom(j *job, p *placement) bool {
	targets := g.targetsWithRoom(j, p)
	if n := slices.IndexFunc(targets, func(t gypsumyard.Target) bool { return j.reserved != nil && t.Instance == j.reserved.id }); n >= 0 {
		p.targets = targets[n : n+1]
		return true
	}
	g.releaseRoom(j)
	if len(targets) == 0 {
		return false
	}
	p.targets = targets
	if i := g.instanceByID(targets[0].Instance); len(targets) == 1 && i != nil && i.pool.beginTransaction(j.KeyHolder) {
		i.openTransactions++
		j.reserved = i
	}
	return true
}

// releaseRoom gives back the room for a transaction that the request has not opened.
// The caller must hold g.mu.
func (g *group) releaseRoom(j *job) {
	if j.reserved == nil {
		return
	}
	j.reserved.openTransactions--
	j.reserved.pool.endTransaction(j.KeyHolder)
	j.reserved = nil
	g.broadcast()
}

// releaseUnusedRoom is releaseRoom for callers that do not hold g.mu.
func (g *group) releaseUnusedRoom(j *job) {
	if j.reserved == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.releaseRoom(j)
}

func (g *group) endTransactionWait(customer string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.transactionWaits[customer]--
	if g.transactionWaits[customer] == 0 {
		delete(g.transactionWaits, customer)
	}
}

func (g *group) registerTransaction(t *transaction) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t.lastUsed = g.clock.Now()
	g.transactions[t.handle] = t
}

// continueTransaction runs a statement of an open transaction.
func (g *group) continueTransaction(ctx context.Context, j *job, sink gypsumyard.ResponseSink) (res gypsumyard.Result, err error) {
	t := g.lockTransaction(j)
	if t == nil {
		return gypsumyard.Result{TxStatus: 'I'}, errNoTransaction
	}
	defer t.lock.Unlock()
	defer g.finishStatement(t)
	t.wrote = t.wrote || j.writes()
	if t.wrote && j.commits() {
		if err := g.beginCommit(); err != nil {
			// The commit was not sent. With the rollback it is true that nothing
			// has run, as the error says.
			g.endTransaction(t, false)
			return gypsumyard.Result{TxStatus: 'I'}, withoutRetry(notRun(err))
		}
		defer func() { g.endCommit(err == nil) }()
	}
	targets := []gypsumyard.Target{{Instance: t.instance.id, Reason: "transaction"}}
	u, err := g.admit(ctx, j, targets)
	if err != nil {
		// The transaction cannot continue in time, so it is rolled back.
		g.endTransaction(t, false)
		return gypsumyard.Result{TxStatus: 'I'}, withoutRetry(notRun(err))
	}
	defer u.release()
	u.conn = t.conn
	a, sent, err := g.run(ctx, j, u, "", j.commits())
	if err != nil {
		return gypsumyard.Result{TxStatus: 'I'}, g.breakTransaction(j, t, sent, err)
	}
	res = gypsumyard.Result{Position: a.position, TxStatus: a.state, Instance: t.instance.id}
	if a.failure != nil {
		g.log.WithFields(g.fields(j)).WithField("instance", t.instance.id).WithError(a.failure).Info("instance rejected statement")
	}
	if a.state != 'I' {
		res.Transaction, res.Owner = t.handle, g.service.self
		return res, writeAnswer(sink, a)
	}
	t.conn.dirty = a.failure != nil
	g.endTransaction(t, false)
	if t.wrote && j.commits() && a.failure == nil {
		if err := g.confirmCommit(ctx, t.instance, a.position); err != nil {
			return res, err
		}
	}
	return res, writeAnswer(sink, a)
}

// breakTransaction ends a transaction whose connection has failed, and returns the error
// for its caller.
func (g *group) breakTransaction(j *job, t *transaction, sent bool, err error) error {
	g.endTransaction(t, true)
	fields := g.fields(j)
	fields["instance"], fields["sent"] = t.instance.id, sent
	g.log.WithFields(fields).WithError(err).Warn("connection failed in a transaction")
	if sent && j.commits() {
		return outcomeUnknown(err)
	}
	return withoutRetry(notRun(err))
}

// lockTransaction returns the open transaction with its lock held, or nil if it
// has ended or belongs to another session.
func (g *group) lockTransaction(j *job) *transaction {
	g.mu.Lock()
	t := g.transactions[j.Transaction]
	if t == nil || t.session != j.Session {
		g.mu.Unlock()
		return nil
	}
	t.running = true
	g.mu.Unlock()
	t.lock.Lock()
	if t.ended {
		t.lock.Unlock()
		return nil
	}
	return t
}

func (g *group) finishStatement(t *transaction) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t.running = false
	t.lastUsed = g.clock.Now()
}

// endTransaction removes the transaction. Its connection is closed if it is
// broken. Otherwise it is returned to the pool, after a rollback if the
// transaction is open.
func (g *group) endTransaction(t *transaction, broken bool) {
	g.mu.Lock()
	delete(g.transactions, t.handle)
	t.ended = true
	t.instance.openTransactions--
	t.instance.pool.endTransaction(t.conn.customer)
	g.broadcast()
	g.mu.Unlock()
	if broken {
		t.instance.pool.discard(t.conn)
		return
	}
	g.rollBack(t.instance, t.conn)
}

// rollBack returns a connection to its pool, after a rollback in the background
// if a transaction is open on it.
func (g *group) rollBack(i *instance, c *conn) {
	switch {
	case !c.inTransaction:
		i.pool.put(c)
		return
	case g.ctx.Err() != nil:
		i.pool.discard(c)
		return
	}
	g.wg.Go(func() {
		ctx, cancel := context.WithTimeout(g.ctx, rollbackTimeout)
		defer cancel()
		a, _, err := c.run(ctx, exchange{id: proxyStatementID, text: string(line.Rollback)})
		if err != nil || a.state != 'I' {
			i.pool.discard(c)
			return
		}
		// The rollback may have reverted session settings.
		c.dirty = true
		i.pool.put(c)
	})
}

// abandonTransaction rolls back the open transaction of a session that has
// ended or has abandoned it.
func (g *group) abandonTransaction(r *gypsumyard.Request) {
	t := g.lockTransaction(&job{Request: r})
	if t == nil {
		return
	}
	defer t.lock.Unlock()
	g.endTransaction(t, false)
}

// rollBackIdleTransactions rolls back transactions that have been idle longer than
// the limit.
func (g *group) rollBackIdleTransactions() {
	for g.clock.Sleep(g.ctx, idleCheckInterval) == nil {
		g.mu.Lock()
		var idle []*transaction
		for _, t := range g.transactions {
			if g.idleTransactionTimeout > 0 && !t.running && g.clock.Since(t.lastUsed) > g.idleTransactionTimeout {
				idle = append(idle, t)
			}
		}
		g.mu.Unlock()
		for _, t := range idle {
			if !t.lock.TryLock() {
				continue
			}
			if !t.ended {
				g.log.WithFields(logrus.Fields{"session": t.session, "instance": t.instance.id, "idle": g.clock.Since(t.lastUsed).String()}).
					Info("rolling back idle transaction")
				g.endTransaction(t, false)
			}
			t.lock.Unlock()
		}
	}
}
