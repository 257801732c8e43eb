package slopes

import (
	"context"
	"errors"
	"fmt"
	"github.com/gypsumyard/gypsumyard/internal/metrics"
	"io"
	"net"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/admit"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/gypsumyard/gypsumyard/internal/owner"
	"github.com/gypsumyard/gypsumyard/internal/route"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
)

const (
	instancesPerDatabase = 3
	slotsPerInstance     = 5
	settle               = 1500 * time.Millisecond
	// touchEvery keeps a database from being polled at the slower rate of
	// databases without requests.
	touchEvery = time.Second
	// loadEvery gives at most 40 reads a second for each database, fewer the
	// longer a round through all databases takes.
	loadEvery = 25 * time.Millisecond
)

func databaseExperiments() []Experiment {
	sizes := []int{3, 12, 48}
	return []Experiment{
		{
			Name: "database-rest", Item: "databases", Sizes: sizes,
			About: "owned databases of 3 instances without requests, with admission, pools, polls and metrics; less the stand-ins",
			run:   func(ctx context.Context, e *env, n int) (Sample, error) { return ownDatabases(ctx, n, 0) },
		},
		{
			Name: "database-busy", Item: "databases", Sizes: sizes,
			About: "owned databases with one read a second each, which sets the faster rate of polls; less the stand-ins",
			run:   func(ctx context.Context, e *env, n int) (Sample, error) { return ownDatabases(ctx, n, touchEvery) },
		},
		{
			Name: "database-loaded", Item: "databases", Sizes: sizes,
			About: "owned databases with up to 40 reads a second each, whose status replaces polls; messages include the reads; less the stand-ins",
			run:   func(ctx context.Context, e *env, n int) (Sample, error) { return ownDatabases(ctx, n, loadEvery) },
		},
	}
}

// A cluster is the stand-ins of several databases.
type cluster struct {
	instances []*instance
	databases []gypsumyard.Database
}

func startCluster(n int) (c *cluster, err error) {
	c = &cluster{}
	for i := range n {
		d := gypsumyard.Database{Name: fmt.Sprintf("db-%05d", i), Slots: slotsPerInstance, Connections: 35, User: "gypsumyard"}
		for j := range instancesPerDatabase {
			role := gypsumyard.RoleReplica
			if j == 0 {
				role = gypsumyard.RolePrimary
			}
			in, err := startInstance(role)
			if err != nil {
				c.close()
				return nil, err
			}
			c.instances = append(c.instances, in)
			d.Instances = append(d.Instances, gypsumyard.Upstream{Name: fmt.Sprintf("%s-%d", d.Name, j), Addr: in.addr()})
		}
		c.databases = append(c.databases, d)
	}
	return c, nil
}

func (c *cluster) close() {
	for _, i := range c.instances {
		i.close()
	}
}

// traffic returns the bytes and the exchanges so far, and the connections.
func (c *cluster) traffic() (bytes, messages, conns float64) {
	for _, i := range c.instances {
		bytes += float64(i.bytes.Load())
		messages += float64(i.messages.Load())
		i.mu.Lock()
		conns += float64(len(i.conns))
		i.mu.Unlock()
	}
	return bytes, messages, conns
}

// hostMetrics returns a scope that reports as a host's does.
func hostMetrics() (tally.Scope, io.Closer) { return metrics.NewScope(prometheus.NewRegistry()) }

func startOwner(ctx context.Context, m tally.Scope, databases []gypsumyard.Database) (s *owner.Service, stop func() error, err error) {
	s = owner.New(
		owner.WithLogger(quiet()),
		owner.WithMetrics(m),
		owner.WithAdmitter(func(d gypsumyard.Database) gypsumyard.Admitter {
			return admit.New(d.Name, admit.WithLogger(quiet()), admit.WithMetrics(m.Tagged(map[string]string{"database": d.Name})))
		}),
		owner.WithRouter(func(gypsumyard.Database) gypsumyard.Router { return route.New() }),
	)
	k, err := kernel.New(s, newLists("", databases...), oneHost{"members"})
	if err != nil {
		return nil, nil, err
	}
	if err := k.Start(ctx); err != nil {
		return nil, nil, err
	}
	return s, func() error { return stopKernel(k) }, nil
}

// ownDatabases measures an owner of n databases in steady state.
func ownDatabases(ctx context.Context, n int, touch time.Duration) (sample Sample, err error) {
	c, err := startCluster(n)
	if err != nil {
		return nil, err
	}
	defer c.close()
	scope, closer := hostMetrics()
	defer closer.Close()
	before := readMemory()
	s, stop, err := startOwner(ctx, scope, c.databases)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, stop()) }()
	if err := clock.System().Sleep(ctx, settle); err != nil {
		return nil, err
	}
	if touch > 0 {
		if err := touchAll(ctx, s, c.databases); err != nil {
			return nil, err
		}
	}
	bytes, messages, _ := c.traffic()
	began := time.Now()
	used, err := perSecond(func() error { return keepTouching(ctx, s, c.databases, touch) })
	if err != nil {
		return nil, err
	}
	moreBytes, moreMessages, conns := c.traffic()
	took := time.Since(began).Seconds()
	rate := (moreMessages - messages) / took
	standIn, err := exchangeCost(rate, int(conns))
	if err != nil {
		return nil, err
	}
	held := readMemory().since(before)
	sockets, err := standInMemory(int(conns))
	if err != nil {
		return nil, err
	}
	return Sample{
		CPU: used - standIn, Wire: (moreBytes - bytes) / took, Packets: rate,
		Heap: held.heap - sockets.heap, Stack: held.stack - sockets.stack, Routines: held.routines - conns,
	}, nil
}

// exchangeCost returns what a stand-in uses for that many exchanges a second.
func exchangeCost(rate float64, conns int) (float64, error) {
	l := load{query: queryBytes("SELECT * FROM group_status()"), rate: rate, time: window}
	pacing, both, err := l.echoCost(conns, rowAnswer)
	return (both - pacing) / 2, err
}

// standInMemory returns what the far ends of n connections take.
func standInMemory(n int) (memory, error) {
	i, err := startInstance(gypsumyard.RoleReplica)
	if err != nil {
		return memory{}, err
	}
	defer i.close()
	before := readMemory()
	startup := []byte{0, 0, 0, 8, 0, 3, 0, 0}
	conns, err := open(n, func(int) (net.Conn, error) {
		c, err := net.Dial("tcp", i.addr().String())
		if err != nil {
			return nil, err
		}
		return c, errors.Join(ask(c, startup, make([]byte, 1<<10)), ask(c, queryBytes("SELECT group_status"), make([]byte, 1<<10)))
	})
	if err != nil {
		return memory{}, err
	}
	defer closeAll(conns)
	all := readMemory().since(before)
	ends, err := socketMemory(n)
	all.heap -= ends
	return all, err
}

// keepTouching waits for the window and reads from each database now and then.
func keepTouching(ctx context.Context, s *owner.Service, databases []gypsumyard.Database, touch time.Duration) error {
	end := time.Now().Add(window)
	for touch > 0 && time.Until(end) > touch {
		if err := touchAll(ctx, s, databases); err != nil {
			return err
		}
		if err := clock.System().Sleep(ctx, touch); err != nil {
			return err
		}
	}
	return clock.System().Sleep(ctx, time.Until(end))
}

func touchAll(ctx context.Context, s *owner.Service, databases []gypsumyard.Database) error {
	for _, d := range databases {
		r := &gypsumyard.Request{
			Session: "s", Customer: customerName, Database: d.Name, Class: gypsumyard.StatementRead,
			Messages: queryBytes(lookup), Repeatable: true, PositionKnown: true,
		}
		if _, err := s.Execute(ctx, r, discard{}); err != nil {
			return err
		}
	}
	return nil
}

// discard is a sink that drops the answer.
type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }
