package lineowner

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/emulate/linegroup"
	"github.com/matryer/is"
)

// keyedFixture returns a fixture with customers whose instances accept the given number
// of connections, and a host that owns the group. It fails the test if a statement runs
// on the connection of another customer. The ID of a statement sent by runConcurrently
// is the customer's name.
func keyedFixture(t *testing.T, instances, connections int, customers []string, options ...linegroup.Option) (*fixture, *hostFixture) {
	t.Helper()
	f := newFixture(t, instances, append(options, linegroup.WithConnections(connections))...)
	f.customers, f.connections = unlimited(customers...), connections
	f.group.CheckUsers(func(id string) string {
		if id == "parallel" {
			return "host-1"
		}
		if strings.HasPrefix(id, "customer-") {
			return id
		}
		return ""
	}, t.Errorf)
	h := f.addHost("host-1", nil)
	f.eventually("the first write", func() bool {
		_, err := f.write(h, "WRITE a 1")
		return err == nil
	})
	return f, h
}

func customerNames(n int) (names []string) {
	for i := range n {
		names = append(names, fmt.Sprintf("customer-%d", i))
	}
	return names
}

// primaryPool returns the pool of connections to the primary.
func primaryPool(h *hostFixture) *pool {
	g := h.groups[groupName]
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.claimedPrimary().pool
}

// Guards against a statement on the connection of another customer, and against more
// connections than the limit, when customers and anonymous sessions outnumber them.
func TestCustomersOutnumberConnections(t *testing.T) {
	is := is.New(t)
	names := customerNames(30)
	f, h := keyedFixture(t, 2, 16, names, linegroup.WithServiceTime(time.Millisecond))
	var wg sync.WaitGroup
	var failed atomic.Int32
	for n := range 12 {
		r := rand.New(rand.NewPCG(1, uint64(n)))
		wg.Go(func() {
			for range 40 {
				s := statement{text: "READ a", class: gypsumyard.StatementRead, timeout: 3 * time.Second}
				if r.IntN(8) > 0 {
					s.customer = names[int(float64(len(names))*r.Float64()*r.Float64())]
				}
				if r.IntN(4) == 0 {
					s.text, s.class = "WRITE a 2", gypsumyard.StatementWrite
				}
				if _, _, err := f.runConcurrently(h, s); err != nil {
					failed.Add(1)
					t.Log(err)
				}
			}
		})
	}
	wg.Wait()
	is.Equal(failed.Load(), int32(0))
	g := h.groups[groupName]
	for _, i := range g.instances {
		is.True(i.pool.share.OpenConnections() <= 10) // 16 less those reserved
	}
}

// Guards against idle transactions of one customer that hold all connections, and
// against a waiter that is not served when one of them ends.
func TestIdleTransactionsOfOneCustomer(t *testing.T) {
	is := is.New(t)
	f, h := keyedFixture(t, 2, 16, customerNames(3))
	begin := func(customer string, timeout time.Duration) (gypsumyard.Result, error) {
		_, res, err := f.runConcurrently(h, statement{
			customer: customer, text: "READ a", class: gypsumyard.StatementBegin, timeout: timeout,
		})
		return res, err
	}
	var open []gypsumyard.Result
	var err error
	for range 6 {
		var res gypsumyard.Result
		if res, err = begin("customer-0", 100*time.Millisecond); err != nil {
			break
		}
		open = append(open, res)
	}
	is.Equal(len(open), 3) // half of the 6 that may be open
	is.Equal(gypsumyard.ClassOf(err), gypsumyard.ClassNotRun)
	began := time.Now()
	_, err = begin("customer-1", time.Second)
	is.NoErr(err)
	is.True(time.Since(began) < 500*time.Millisecond)
	waited := make(chan error, 1)
	go func() {
		_, err := begin("customer-0", 3*time.Second)
		waited <- err
	}()
	for _, tx := range open[:2] {
		_, _, err = f.runConcurrently(h, statement{
			customer: "customer-0", text: "COMMIT", class: gypsumyard.StatementCommit, tx: tx, timeout: time.Second,
		})
		is.NoErr(err)
	}
	is.NoErr(<-waited)
}

// Guards against an unbounded number of requests that wait for transactions of their
// own customer to end.
func TestManyWaitForTransactionsOfTheirCustomer(t *testing.T) {
	is := is.New(t)
	f, h := keyedFixture(t, 2, 16, customerNames(1))
	var wg sync.WaitGroup
	var rejected atomic.Int32
	for range maxTransactionWaits + 20 {
		wg.Go(func() {
			_, _, err := f.runConcurrently(h, statement{
				customer: "customer-0", text: "READ a", class: gypsumyard.StatementBegin, timeout: 500 * time.Millisecond,
			})
			var e *gypsumyard.Error
			if errors.As(err, &e) && e.Class == gypsumyard.ClassLoad && e.RetryAfter > 0 {
				rejected.Add(1)
			}
		})
	}
	wg.Wait()
	is.Equal(rejected.Load(), int32(17)) // 3 run, 32 wait
	g := h.groups[groupName]
	g.mu.Lock()
	defer g.mu.Unlock()
	is.Equal(len(g.transactionWaits), 0)
	is.Equal(g.claimedPrimary().openTransactions, 3)
}

// Guards against requests that fail, or wait for long, while another host uses a part of
// the connections to an instance, so that the instance refuses some of this host's.
func TestInstanceRefusesConnections(t *testing.T) {
	is := is.New(t)
	names := customerNames(30)
	f, h := keyedFixture(t, 2, 14, names)
	h.lists.mu.Lock()
	d := *h.lists.desired
	d.Groups = map[string]gypsumyard.Group{groupName: {Name: groupName, Connections: 30, SyncReplicas: 1}}
	h.lists.desired = &d
	h.lists.mu.Unlock()
	h.lists.change()
	for range 3 {
		for _, c := range names {
			_, _, err := f.runConcurrently(h, statement{customer: c, text: "READ a", class: gypsumyard.StatementRead, timeout: time.Second})
			is.NoErr(err)
		}
	}
	lines := 0
	for _, e := range h.logHook.AllEntries() {
		if strings.HasPrefix(e.Message, "instance refuses connections") {
			lines++
		}
	}
	is.True(lines > 0)
	is.True(lines < 5)
	p := primaryPool(h)
	p.mu.Lock()
	defer p.mu.Unlock()
	is.True(p.share.OpenConnections() <= 14)
}

// Guards against connections of a customer that is no longer in the desired state.
func TestConnectionsOfRemovedCustomerClose(t *testing.T) {
	is := is.New(t)
	f, h := keyedFixture(t, 2, 16, customerNames(2))
	for _, c := range f.customers {
		_, _, err := f.run(h, statement{customer: c.Name, text: "READ a", class: gypsumyard.StatementRead})
		is.NoErr(err)
	}
	h.lists.mu.Lock()
	d := *h.lists.desired
	setCustomers(&d, f.customers[:1])
	h.lists.desired = &d
	h.lists.mu.Unlock()
	h.lists.change()
	p := primaryPool(h)
	f.eventually("the connection is closed", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.idle["customer-1"]) == 0
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	is.Equal(len(p.idle["customer-0"]), 1)
	is.Equal(p.share.OpenConnections(), 2) // and that of the fixture
}

// Guards against reads that open a connection at an instance that is slightly less busy,
// so that a small customer has connections everywhere.
func TestReadsSettleOnFewInstances(t *testing.T) {
	is := is.New(t)
	f, h := keyedFixture(t, 3, 30, customerNames(1))
	read := func() string {
		_, res, err := f.run(h, statement{
			customer: "customer-0", text: "READ a", class: gypsumyard.StatementRead,
			consistency: gypsumyard.ConsistencyBounded, staleness: readStaleness,
		})
		is.NoErr(err)
		return res.Instance
	}
	g, first := h.groups[groupName], read()
	setRunning := func(n int) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.instanceByID(first).running += n
	}
	setRunning(3) // costs 4.8 ms
	is.Equal(read(), first)
	setRunning(7) // costs 16 ms, more than a connection
	is.True(read() != first)
	setRunning(-10)
}

// Guards against a waiter that loses each connection that becomes free to callers of
// another customer, and against connections that withdrawn waiters keep.
func TestWaitersOfCustomersTakeTurns(t *testing.T) {
	is := is.New(t)
	f, h := keyedFixture(t, 2, 8, customerNames(3), linegroup.WithSlots(8), linegroup.WithServiceTime(5*time.Millisecond))
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			for ctx.Err() == nil {
				_, _, _ = f.runConcurrently(h, statement{
					customer: "customer-0", text: "READ a", class: gypsumyard.StatementRead, timeout: 50 * time.Millisecond,
				})
			}
		})
	}
	var slowest time.Duration
	for n := range 20 {
		began := time.Now()
		_, _, err := f.runConcurrently(h, statement{
			customer: f.customers[1+n%2].Name, text: "READ a", class: gypsumyard.StatementRead, timeout: time.Second,
		})
		is.NoErr(err)
		slowest = max(slowest, time.Since(began))
	}
	cancel()
	wg.Wait()
	t.Logf("slowest of the others: %v", slowest)
	is.True(slowest < 300*time.Millisecond)
	p := primaryPool(h)
	f.eventually("all connections are idle", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		idle := 0
		for _, c := range p.idle {
			idle += len(c)
		}
		return idle == p.share.OpenConnections()
	})
}

// Guards against one queue for the customers of a route, and against another queue than
// before for anonymous sessions.
func TestQueueOfCustomer(t *testing.T) {
	is := is.New(t)
	j := &job{Request: &gypsumyard.Request{Customer: "readings"}}
	is.Equal(j.queue(), "readings")
	j.KeyHolder = "customer-1"
	is.Equal(j.queue(), "readings customer-1")
}

// Guards against a session that marks the transaction of another one as running, so that it
// is never rolled back as idle.
func TestHandleOfAnotherSession(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 3)
	h := f.addHost("host-1", nil)
	f.eventually("the group", func() bool { _, err := f.write(h, "WRITE rug-1 a"); return err == nil })
	h.mu.Lock()
	g := h.groups[groupName]
	h.mu.Unlock()
	open := &transaction{handle: "1", session: "s1"}
	g.mu.Lock()
	g.transactions[open.handle] = open
	g.mu.Unlock()
	is.True(g.lockTransaction(&job{Request: &gypsumyard.Request{Session: "s2", Transaction: "1"}}) == nil)
	g.mu.Lock()
	defer g.mu.Unlock()
	is.True(!open.running)
	delete(g.transactions, open.handle)
}
