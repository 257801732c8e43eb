package owner_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/gypsumyard/gypsumyard/internal/emulate/group"
	"github.com/gypsumyard/gypsumyard/internal/owner"
	"github.com/gypsumyard/gypsumyard/internal/upstream"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
)

// Guards against statements of two transactions on one connection, and against
// more connections than an owner's part of the limit.
func TestTransactionsDoNotMix(t *testing.T) {
	f := start(t, []group.Option{group.WithSlots(2), group.WithConnections(30)})
	f.must("s", gypsumyard.StatementWrite, "insert into rugs values (0, 0)")
	var wg sync.WaitGroup
	for c := range 24 {
		wg.Go(func() {
			session := fmt.Sprint("s", c)
			for i := range 5 {
				id := 1 + c*10 + i
				tx := f.must(session, gypsumyard.StatementBegin, "begin")
				f.runIn(tx, session, gypsumyard.StatementWrite, insert(id))
				if a := f.runIn(tx, session, gypsumyard.StatementRead, fmt.Sprintf("select count(*) from rugs where id = %d", id)); a.text() != "1;SELECT 1" {
					t.Errorf("session %s reads %q", session, a.text())
				}
				end, class := "commit", gypsumyard.StatementCommit
				if i%2 == 1 {
					end, class = "rollback", gypsumyard.StatementRollback
				}
				if a := f.runIn(tx, session, class, end); a.err != nil || a.result.TxStatus != 'I' {
					t.Errorf("%s: %v", end, a.err)
				}
			}
		})
	}
	wg.Wait()
	is := is.New(t)
	is.Equal(len(f.group.Primary().Rows("rugs")), 1+24*3)
	for _, in := range f.group.Instances() {
		_, peak := in.Connections()
		is.True(peak <= 13)
	}
	owners := map[string]string{}
	for _, e := range f.group.Journal(0) {
		if e.Transaction == 0 {
			continue
		}
		key := fmt.Sprint(e.Instance, "/", e.Transaction)
		if s := fmt.Sprint(e.Session); owners[key] == "" {
			owners[key] = s
		} else {
			is.Equal(owners[key], s)
		}
	}
}

// Guards against settings, prepared statements and open transactions that leak
// into another session.
func TestSettingsDoNotLeak(t *testing.T) {
	is := is.New(t)
	f := start(t, []group.Option{group.WithConnections(8), group.WithSlots(2)})
	for i := range 40 {
		r := request(fmt.Sprint("s", i%5), gypsumyard.StatementWrite, "show work_mem")
		want := "4MB"
		switch i % 5 {
		case 1:
			want = "7MB"
			r.Settings = []gypsumyard.Setting{{Name: "work_mem", Value: want}}
		case 2:
			f.must("leaky", gypsumyard.StatementWrite, "set work_mem = '9MB'")
		case 3:
			f.must("leaky", gypsumyard.StatementWrite, "begin; set work_mem = '9MB'; commit")
		}
		a := f.run(r)
		is.NoErr(a.err)
		is.Equal(a.text(), want+";SHOW")
	}
	bad := request("s", gypsumyard.StatementWrite, "show work_mem")
	bad.Settings = []gypsumyard.Setting{{Name: "no_such_parameter", Value: "1"}}
	is.Equal(gypsumyard.ClassOf(f.run(bad).err), gypsumyard.ClassProtocol)
}

// Guards against a transaction that keeps its connection after its session has
// ended or gone idle.
func TestAbandonAndIdleLimit(t *testing.T) {
	is := is.New(t)
	f := start(t, nil, owner.WithIdleTransactionTimeout(300*time.Millisecond))
	tx := f.must("s", gypsumyard.StatementBegin, "begin")
	is.NoErr(f.runIn(tx, "s", gypsumyard.StatementWrite, insert(1)).err)
	r := request("s", gypsumyard.StatementCommit, "commit")
	r.Transaction, r.Owner = tx.result.Transaction, tx.result.Owner
	is.NoErr(f.service.Abandon(context.Background(), r))
	is.Equal(gypsumyard.ClassOf(f.run(r).err), gypsumyard.ClassNotRun)
	idle := f.must("s", gypsumyard.StatementBegin, "begin")
	is.NoErr(f.runIn(idle, "s", gypsumyard.StatementWrite, insert(1)).err)
	time.Sleep(700 * time.Millisecond)
	is.Equal(gypsumyard.ClassOf(f.runIn(idle, "s", gypsumyard.StatementCommit, "commit").err), gypsumyard.ClassNotRun)
	is.Equal(len(f.group.Primary().Rows("rugs")), 0)
}

// Guards against a rollback that is counted although the instance has not made it:
// it ends with the connection then.
func TestFailedRollbackIsNotCounted(t *testing.T) {
	is := is.New(t)
	scope := tally.NewTestScope("", nil)
	f := start(t, nil, owner.WithIdleTransactionTimeout(300*time.Millisecond), owner.WithMetrics(scope))
	rolledBack := func() (n int64) {
		for _, c := range scope.Snapshot().Counters() {
			if c.Name() == "idle-transactions-rolled-back" {
				n += c.Value()
			}
		}
		return n
	}
	open := func() int {
		d, _ := f.service.Describe("appraisal")
		return d.(owner.Description).OpenTransactions
	}
	f.must("s", gypsumyard.StatementBegin, "begin")
	f.group.Primary().HangConnections()
	eventually(t, "end of the transaction", func() bool { return open() == 0 })
	is.Equal(rolledBack(), int64(0))
	f.must("s", gypsumyard.StatementBegin, "begin")
	eventually(t, "rollback", func() bool { return open() == 0 && rolledBack() == 1 })
}

// Guards against an instance's own error 25006 at the caller of a transaction whose
// primary was replaced: it says that the caller asked for a read-only transaction.
func TestTransactionOnFencedPrimary(t *testing.T) {
	for _, sql := range []string{insert(2), "commit"} {
		t.Run(sql, func(t *testing.T) {
			is := is.New(t)
			f := start(t, nil)
			tx := f.must("s", gypsumyard.StatementBegin, "begin")
			is.NoErr(f.runIn(tx, "s", gypsumyard.StatementWrite, insert(1)).err)
			p := f.group.Primary()
			_, err := upstream.NewControl(clock.System(), f.group.Database("north"), p.Upstream()).Fence(t.Context(), 2, "other")
			is.NoErr(err)
			class := gypsumyard.StatementWrite
			if sql == "commit" {
				class = gypsumyard.StatementCommit
			}
			a := f.runIn(tx, "s", class, sql)
			is.Equal(a.text(), "")
			is.Equal(gypsumyard.ClassOf(a.err), gypsumyard.ClassNotRun)
			is.Equal(a.result.Transaction, "")
			again := f.runIn(tx, "s", gypsumyard.StatementRead, "select 1")
			is.True(gypsumyard.ClassOf(again.err) == gypsumyard.ClassNotRun)
			is.Equal(len(p.Rows("rugs")), 0)
		})
	}
}

// Guards against a read-only transaction on the primary that ends at a write: the
// instance's error is the answer to what the caller asked for.
func TestReadOnlyTransactionOnPrimary(t *testing.T) {
	is := is.New(t)
	f := start(t, nil)
	tx := f.must("s", gypsumyard.StatementBegin, "begin read only")
	a := f.runIn(tx, "s", gypsumyard.StatementWrite, insert(1))
	is.NoErr(a.err)
	is.Equal(a.text(), "25006")
	is.Equal(a.result.TxStatus, byte('E'))
	is.Equal(f.runIn(tx, "s", gypsumyard.StatementRollback, "rollback").text(), "ROLLBACK")
}

// Guards against a failed transaction that ends early or is reported as open.
func TestFailedTransaction(t *testing.T) {
	is := is.New(t)
	f := start(t, nil)
	tx := f.must("s", gypsumyard.StatementBegin, "begin")
	a := f.runIn(tx, "s", gypsumyard.StatementWrite, "insert into nothing values (1)")
	is.NoErr(a.err)
	is.Equal(a.result.TxStatus, byte('E'))
	is.Equal(f.runIn(tx, "s", gypsumyard.StatementRead, "select 1").text(), "25P02")
	c := f.runIn(tx, "s", gypsumyard.StatementCommit, "commit")
	is.Equal(c.text(), "ROLLBACK")
	is.Equal(c.result.TxStatus, byte('I'))
}

// Guards against a read-only transaction that misses the session's writes, and
// against one that can write on a replica.
func TestReadOnlyTransaction(t *testing.T) {
	is := is.New(t)
	f := start(t, []group.Option{group.WithLag(20*time.Millisecond, 0)})
	w := f.must("s", gypsumyard.StatementWrite, insert(1))
	r := request("s", gypsumyard.StatementBeginRead, "begin read only")
	r.Position, r.PositionKnown = w.result.Position, true
	tx := f.run(r)
	is.NoErr(tx.err)
	is.Equal(f.runIn(tx, "s", gypsumyard.StatementRead, "select id from rugs").text(), "1;SELECT 1")
	is.Equal(f.runIn(tx, "s", gypsumyard.StatementWrite, insert(2)).text(), "25006")
	is.NoErr(f.runIn(tx, "s", gypsumyard.StatementRollback, "rollback").err)
}

// Guards against a loss of ownership that aborts running work, leaves queued
// work waiting, or is not reported to the next owner.
func TestOwnershipLost(t *testing.T) {
	is := is.New(t)
	f := start(t, []group.Option{group.WithSlots(1)})
	tx := f.must("s", gypsumyard.StatementBegin, "begin")
	running, queued := make(chan *answer, 1), make(chan *answer, 1)
	go func() { running <- f.exec("a", gypsumyard.StatementWrite, "select pg_sleep(0.4)") }()
	time.Sleep(100 * time.Millisecond)
	go func() { queued <- f.exec("b", gypsumyard.StatementWrite, insert(1)) }()
	time.Sleep(50 * time.Millisecond)
	f.members.setOwner("host-2")
	is.Equal(gypsumyard.ClassOf((<-queued).err), gypsumyard.ClassNotOwner)
	is.NoErr((<-running).err)
	is.Equal(gypsumyard.ClassOf(f.exec("c", gypsumyard.StatementWrite, insert(2)).err), gypsumyard.ClassNotOwner)
	is.NoErr(f.runIn(tx, "s", gypsumyard.StatementWrite, insert(3)).err)
	is.Equal(len(f.peers.released), 0)
	is.NoErr(f.runIn(tx, "s", gypsumyard.StatementCommit, "commit").err)
	is.Equal(<-f.peers.released, "host-2 appraisal")
	eventually(t, "connections closed", func() bool {
		n, _ := f.group.Primary().Connections()
		return n == 0
	})
	f.members.setOwner("host-1")
	eventually(t, "ownership regained", func() bool {
		return f.exec("c", gypsumyard.StatementWrite, insert(4)).err == nil
	})
}
