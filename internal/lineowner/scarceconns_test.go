package lineowner

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/admit"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/gypsumyard/gypsumyard/internal/era"
	"github.com/gypsumyard/gypsumyard/internal/line"
	"github.com/matryer/is"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/uber-go/tally/v4"
)

// stubRun is how long the stub of an instance runs a read, write or commit.
const stubRun = 8 * time.Millisecond

// serveStub answers the statements of one connection like an instance, until the
// connection ends.
func serveStub(c net.Conn) {
	in := line.NewReader(c, readBuffer)
	state := "I"
	for {
		m, err := in.Read()
		if err != nil {
			return
		}
		text := m.Fields(2)[1]
		switch {
		case strings.HasPrefix(text, string(line.Begin)):
			state = "T"
		case text == string(line.Commit):
			state = "I"
			time.Sleep(stubRun)
		default:
			time.Sleep(stubRun)
		}
		out := line.Append(nil, line.WordComplete, "digest")
		if _, err := c.Write(line.Append(out, line.WordReady, state, "1.1")); err != nil {
			return
		}
	}
}

// newStubGroup returns a group with one instance that has 3 slots and accepts only
// the given number of connections, which are open and idle. The group needs no
// network. It runs in the synctest bubble of t until the test ends.
func newStubGroup(t *testing.T, conns int) *group {
	clk := clock.System()
	log, _ := logtest.NewNullLogger()
	g := &group{
		service:      &Service{self: "host-1", eras: era.NewTracker()},
		clock:        clk,
		log:          log,
		metrics:      newMetrics(tally.NoopScope),
		admitter:     admit.New("test", admit.WithClock(clk)),
		runTimes:     admit.NewRunTimeEstimator(),
		settings:     gypsumyard.Group{Connections: 21},
		topPriority:  -1,
		transactions: map[string]*transaction{},
		changed:      make(chan struct{}),
	}
	g.ctx, g.cancel = context.WithCancelCause(context.Background())
	g.ownedCtx, g.cancelOwned = context.WithCancelCause(g.ctx)
	listed := gypsumyard.ListedInstance{ID: "i-1", Slots: 3}
	i := &instance{id: listed.ID, listed: listed, pool: newPool(listed, "host-1", clk, log, newMetrics(tally.NoopScope)), statusKnown: true, reachable: true}
	i.status = status{role: gypsumyard.RolePrimary, term: 1}
	i.sampledAt, g.evidenceAt = clk.Now(), clk.Now()
	i.reachableCtx, i.cancelReachable = context.WithCancelCause(g.ctx)
	i.pool.setLimits(conns, 11)
	for range conns {
		i.pool.share.Take("")
	}
	var servers []net.Conn
	for range conns {
		client, server := net.Pipe()
		servers = append(servers, server)
		go serveStub(server)
		i.pool.put(&conn{net: client, in: line.NewReader(client, readBuffer), settings: map[string]string{}})
	}
	g.instances = []*instance{i}
	g.updateCapacities()
	g.wg.Go(func() { g.confirmPrimary(i) })
	t.Cleanup(func() {
		g.cancel(errStopped)
		i.pool.close()
		for _, c := range servers {
			c.Close()
		}
		g.wg.Wait()
		g.admitter.Close()
	})
	return g
}

// confirmPrimary keeps the evidence fresh that the instance is the primary.
func (g *group) confirmPrimary(i *instance) {
	for {
		g.mu.Lock()
		i.sampledAt = g.clock.Now()
		g.evidenceAt = i.sampledAt
		g.broadcast()
		g.mu.Unlock()
		if g.clock.Sleep(g.ctx, evidenceTTL/4) != nil {
			return
		}
	}
}

// executeStub executes a statement for a caller that waits for a second.
func (g *group) executeStub(text string, class gypsumyard.StatementClass, tx gypsumyard.Result) (gypsumyard.Result, error) {
	b := line.Payload{Consistency: gypsumyard.ConsistencyPrimary, ID: "q", Text: text}
	r := &gypsumyard.Request{
		Session: "s", Customer: "orders", Class: class, Messages: b.Marshal(), Transaction: tx.Transaction, Owner: tx.Owner,
		Deadline: g.clock.Now().Add(time.Second),
	}
	return g.execute(context.Background(), r, io.Discard)
}

// Guards against requests that wait for a connection while they hold the slots that
// open transactions need to end and to return their connections. It occurs after a
// loss of all hosts, while the instances still count the connections of before.
func TestWaitForConnectionHoldsNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const conns = 4
		g := newStubGroup(t, conns)
		var open []gypsumyard.Result
		for range conns {
			res, err := g.executeStub("WRITE a 1", gypsumyard.StatementBegin, gypsumyard.Result{})
			is.NoErr(err)
			open = append(open, res)
		}
		var waiting sync.WaitGroup
		errs := make([]error, 8)
		for n := range errs {
			waiting.Go(func() {
				_, errs[n] = g.executeStub("READ a", gypsumyard.StatementRead, gypsumyard.Result{})
			})
		}
		synctest.Wait()
		began := time.Now()
		for _, tx := range open {
			_, err := g.executeStub("COMMIT", gypsumyard.StatementCommit, tx)
			is.NoErr(err)
		}
		waiting.Wait()
		is.NoErr(errors.Join(errs...))
		is.True(time.Since(began) < 100*time.Millisecond) // 12 statements of 8 ms in 3 slots
	})
}
