package lineowner

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/line"
	"github.com/sirupsen/logrus"
)

const (
	// sweepInterval is the time between two looks for idle transactions.
	sweepInterval = 500 * time.Millisecond
	// rollbackTimeout bounds the rollback of an abandoned transaction.
	rollbackTimeout = time.Second
)

// A transaction holds a connection to an instance between its statements.
type transaction struct {
	handle   string
	session  gypsumyard.SessionID
	instance *instance
	conn     *conn
	readOnly bool
	// wrote indicates that a statement may have written. Only the holder of
	// the turn uses it.
	wrote bool

	// turn is held by the statement that runs.
	turn sync.Mutex
	// usedAt is when the last statement ended. The lock of the group guards it
	// and running.
	usedAt  time.Time
	running bool
	ended   bool
}

var (
	errNoTransaction = gypsumyard.Errorf(gypsumyard.ClassNotRun, "the transaction has ended")
	errNoPermit      = gypsumyard.Errorf(gypsumyard.ClassLoad, "too many transactions are open on the instance")
)

// beginTransaction opens a transaction and runs its first statement.
func (g *group) beginTransaction(ctx context.Context, j *job, u *use, p placement, sink gypsumyard.ResponseSink) (res gypsumyard.Result, again bool, err error) {
	if !g.permit(u.instance) {
		u.instance.pool.put(u.conn)
		j.refused[u.instance.id] = true
		return res, true, errNoPermit
	}
	keep := false
	defer func() {
		if !keep {
			g.unpin(u.instance)
		}
	}()
	readOnly := j.Class == gypsumyard.StatementBeginRead
	begin := string(line.Begin)
	if readOnly {
		begin = p.prefix() + begin + " READ"
	}
	setup, _ := u.conn.prepare(j.Settings, line.Prepared{})
	a, sent, err := u.conn.run(ctx, exchange{setup: setup, id: ownID, text: begin})
	switch {
	case err != nil:
		u.instance.pool.discard(u.conn)
		return g.beginFailed(ctx, j, u, sent, err)
	case a.failure != nil:
		g.giveBack(u, a)
		j.refused[u.instance.id] = readOnly
		return res, true, notRun(a.failure)
	}
	a, sent, err = g.run(ctx, j, u, "", j.commits())
	if err != nil {
		u.instance.pool.discard(u.conn)
		if sent && j.commits() {
			return res, false, unknown(err)
		}
		return g.beginFailed(ctx, j, u, sent, err)
	}
	if a.failure != nil && a.failure.Code.NotRun() && a.failure.Code != line.CodeUnknown {
		// Nothing of the transaction has run yet: it is begun anew.
		u.conn.dirty = true
		g.rollBack(u.instance, u.conn)
		j.refused[u.instance.id] = readOnly
		return res, true, notRun(a.failure)
	}
	res = gypsumyard.Result{Position: a.position, TxStatus: a.state, Instance: u.instance.id}
	if a.state == 'I' {
		g.giveBack(u, a)
		return res, false, deliver(sink, a)
	}
	keep = true
	t := &transaction{
		handle:   strconv.FormatUint(g.service.handles.Add(1), 36),
		session:  j.Session,
		instance: u.instance,
		conn:     u.conn,
		readOnly: readOnly,
		wrote:    j.writes(),
	}
	g.register(t)
	res.Transaction, res.Owner = t.handle, g.service.self
	g.noteRouted(j, u, p.needed)
	return res, false, deliver(sink, a)
}

// beginFailed judges the failure of a connection before anything that is kept
// can have run: the connection is closed, which rolls back.
func (g *group) beginFailed(ctx context.Context, j *job, u *use, sent bool, err error) (gypsumyard.Result, bool, error) {
	j.refused[u.instance.id] = j.reads()
	fields := g.fields(j)
	fields["instance"], fields["sent"] = u.instance.id, sent
	g.log.WithFields(fields).WithError(err).Warn("connection failed at the start of a transaction")
	return gypsumyard.Result{}, ctx.Err() == nil, notRun(err)
}

// writes reports whether the statement itself writes.
func (j *job) writes() bool {
	verb, _, _ := strings.Cut(j.Text, " ")
	return line.Verb(verb) == line.Write || line.Verb(verb) == line.Execute && j.Prepared.Verb == line.Write
}

// commits reports whether the statement ends a transaction and keeps its work.
func (j *job) commits() bool { return j.Text == string(line.Commit) }

// permit counts a transaction in unless the instance has too many.
func (g *group) permit(i *instance) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	limit := max(g.settings.Connections-reservedConnections-spareForStatements, 1)
	if i.pinned >= limit {
		return false
	}
	i.pinned++
	return true
}

func (g *group) unpin(i *instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	i.pinned--
	g.broadcast()
}

func (g *group) register(t *transaction) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t.usedAt = g.clock.Now()
	g.transactions[t.handle] = t
}

// continueTransaction runs a statement of an open transaction.
func (g *group) continueTransaction(ctx context.Context, j *job, sink gypsumyard.ResponseSink) (res gypsumyard.Result, err error) {
	t := g.enterTransaction(j)
	if t == nil {
		return gypsumyard.Result{TxStatus: 'I'}, errNoTransaction
	}
	defer t.turn.Unlock()
	defer g.leaveTransaction(t)
	t.wrote = t.wrote || j.writes()
	if t.wrote && j.commits() {
		if err := g.enterCommit(); err != nil {
			// The commit was not sent: a rollback makes the promise true.
			g.end(t, false)
			return gypsumyard.Result{TxStatus: 'I'}, err
		}
		defer func() { g.leaveCommit(err == nil) }()
	}
	targets := []gypsumyard.Target{{Instance: t.instance.id, Reason: "transaction"}}
	u, err := g.admit(ctx, j, targets)
	if err != nil {
		// The transaction cannot go on in time, so it is given up.
		g.end(t, false)
		return gypsumyard.Result{TxStatus: 'I'}, notRun(err)
	}
	defer u.release()
	u.conn = t.conn
	a, sent, err := g.run(ctx, j, u, "", j.commits())
	if err != nil {
		g.end(t, true)
		fields := g.fields(j)
		fields["instance"], fields["sent"] = t.instance.id, sent
		g.log.WithFields(fields).WithError(err).Warn("connection failed in a transaction")
		if sent && j.commits() {
			return gypsumyard.Result{TxStatus: 'I'}, unknown(err)
		}
		return gypsumyard.Result{TxStatus: 'I'}, notRun(err)
	}
	res = gypsumyard.Result{Position: a.position, TxStatus: a.state, Instance: t.instance.id}
	if a.failure != nil {
		g.log.WithFields(g.fields(j)).WithField("instance", t.instance.id).WithError(a.failure).Info("instance refuses statement")
	}
	if a.state == 'I' {
		t.conn.dirty = a.failure != nil
		g.end(t, false)
		return res, deliver(sink, a)
	}
	res.Transaction, res.Owner = t.handle, g.service.self
	return res, deliver(sink, a)
}

// enterTransaction takes the transaction's turn, or returns nil if it has
// ended.
func (g *group) enterTransaction(j *job) *transaction {
	g.mu.Lock()
	t := g.transactions[j.Transaction]
	if t != nil {
		t.running = true
	}
	g.mu.Unlock()
	if t == nil || t.session != j.Session {
		return nil
	}
	t.turn.Lock()
	if t.ended {
		t.turn.Unlock()
		return nil
	}
	return t
}

func (g *group) leaveTransaction(t *transaction) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t.running = false
	t.usedAt = g.clock.Now()
}

// end forgets the transaction. Its connection is closed if it is broken, and
// else returned to the pool, after a rollback if the transaction is open.
func (g *group) end(t *transaction, broken bool) {
	g.mu.Lock()
	delete(g.transactions, t.handle)
	t.ended = true
	t.instance.pinned--
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
	g.work.Go(func() {
		ctx, cancel := context.WithTimeout(g.ctx, rollbackTimeout)
		defer cancel()
		a, _, err := c.run(ctx, exchange{id: ownID, text: string(line.Rollback)})
		if err != nil || a.state != 'I' {
			i.pool.discard(c)
			return
		}
		// The rollback may have taken back session values.
		c.dirty = true
		i.pool.put(c)
	})
}

// abandon rolls back the open transaction of a session that has ended or no
// longer wants it.
func (g *group) abandon(r *gypsumyard.Request) {
	t := g.enterTransaction(&job{Request: r})
	if t == nil {
		return
	}
	defer t.turn.Unlock()
	g.end(t, false)
}

// sweep ends the transactions that have been idle for too long.
func (g *group) sweep() {
	for g.clock.Sleep(g.ctx, sweepInterval) == nil {
		g.mu.Lock()
		var idle []*transaction
		for _, t := range g.transactions {
			if g.idleLimit > 0 && !t.running && g.clock.Since(t.usedAt) > g.idleLimit {
				idle = append(idle, t)
			}
		}
		g.mu.Unlock()
		for _, t := range idle {
			if !t.turn.TryLock() {
				continue
			}
			if !t.ended {
				g.log.WithFields(logrus.Fields{"session": t.session, "instance": t.instance.id, "idle": g.clock.Since(t.usedAt).String()}).
					Info("idle transaction is rolled back")
				g.end(t, false)
			}
			t.turn.Unlock()
		}
	}
}
