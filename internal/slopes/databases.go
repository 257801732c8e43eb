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
	settleTime           = 1500 * time.Millisecond
	// busyReadInterval is short enough that a database is not polled at the
	// slower rate of databases without requests.
	busyReadInterval = time.Second
	// loadedReadInterval gives at most 40 reads a second for each database,
	// and fewer the longer a round through all databases takes.
	loadedReadInterval = 25 * time.Millisecond
)

func databaseExperiments() []Experiment {
	sizes := []int{3, 12, 48}
	return []Experiment{
		{
			Name: "database-rest", Item: "databases", Sizes: sizes,
			About: "owned databases of 3 instances without requests, with admission, pools, polls and metrics; less the stand-ins",
			run:   func(ctx context.Context, e *env, n int) (Sample, error) { return measureOwner(ctx, n, 0) },
		},
		{
			Name: "database-busy", Item: "databases", Sizes: sizes,
			About: "owned databases with one read a second each, which sets the faster rate of polls; less the stand-ins",
			run: func(ctx context.Context, e *env, n int) (Sample, error) {
				return measureOwner(ctx, n, busyReadInterval)
			},
		},
		{
			Name: "database-loaded", Item: "databases", Sizes: sizes,
			About: "owned databases with up to 40 reads a second each, whose status replaces polls; messages include the reads; less the stand-ins",
			run: func(ctx context.Context, e *env, n int) (Sample, error) {
				return measureOwner(ctx, n, loadedReadInterval)
			},
		},
	}
}

// A fakeCluster holds the fake instances of several databases.
type fakeCluster struct {
	instances []*fakeInstance
	databases []gypsumyard.Database
}

func startFakeCluster(n int) (c *fakeCluster, err error) {
	c = &fakeCluster{}
	for i := range n {
		d := gypsumyard.Database{Name: fmt.Sprintf("db-%05d", i), Slots: slotsPerInstance, Connections: 35, User: "gypsumyard"}
		for j := range instancesPerDatabase {
			role := gypsumyard.RoleReplica
			if j == 0 {
				role = gypsumyard.RolePrimary
			}
			in, err := startFakeInstance(role)
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

func (c *fakeCluster) close() {
	for _, i := range c.instances {
		i.close()
	}
}

// traffic returns the number of bytes and of exchanges so far, and the number of
// accepted connections.
func (c *fakeCluster) traffic() (bytes, messages, conns float64) {
	for _, i := range c.instances {
		bytes += float64(i.bytes.Load())
		messages += float64(i.messages.Load())
		i.mu.Lock()
		conns += float64(len(i.conns))
		i.mu.Unlock()
	}
	return bytes, messages, conns
}

// hostMetrics returns a metrics scope like that of a host.
func hostMetrics() (tally.Scope, io.Closer) { return metrics.NewScope(prometheus.NewRegistry()) }

func startOwner(ctx context.Context, m tally.Scope, databases []gypsumyard.Database) (s *owner.Service, stop func() error, err error) {
	s = owner.New(
		owner.WithLogger(discardLogger()),
		owner.WithMetrics(m),
		owner.WithAdmitter(func(d gypsumyard.Database) gypsumyard.Admitter {
			return admit.New(d.Name, admit.WithLogger(discardLogger()), admit.WithMetrics(m.Tagged(map[string]string{"database": d.Name})))
		}),
		owner.WithRouter(func(gypsumyard.Database) gypsumyard.Router { return route.New() }),
	)
	k, err := kernel.New(s, newFixedLists("", databases...), singleHost{"members"})
	if err != nil {
		return nil, nil, err
	}
	if err := k.Start(ctx); err != nil {
		return nil, nil, err
	}
	return s, func() error { return stopKernel(k) }, nil
}

// measureOwner measures an owner of n databases in steady state, which are read
// at the interval, or not at all if it is 0.
func measureOwner(ctx context.Context, n int, interval time.Duration) (sample Sample, err error) {
	c, err := startFakeCluster(n)
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
	if err := clock.System().Sleep(ctx, settleTime); err != nil {
		return nil, err
	}
	if interval > 0 {
		if err := readAll(ctx, s, c.databases); err != nil {
			return nil, err
		}
	}
	bytes, messages, _ := c.traffic()
	began := time.Now()
	used, err := cpuPerSecond(func() error { return readPeriodically(ctx, s, c.databases, interval) })
	if err != nil {
		return nil, err
	}
	moreBytes, moreMessages, conns := c.traffic()
	took := time.Since(began).Seconds()
	rate := (moreMessages - messages) / took
	fakeCPU, err := fakeInstanceCPU(rate, int(conns))
	if err != nil {
		return nil, err
	}
	held := readMemory().since(before)
	fakeMemory, err := fakeInstanceMemory(int(conns))
	if err != nil {
		return nil, err
	}
	return Sample{
		CPU: used - fakeCPU, Wire: (moreBytes - bytes) / took, Messages: rate,
		Heap: held.heap - fakeMemory.heap, Stack: held.stack - fakeMemory.stack, Goroutines: held.routines - conns,
	}, nil
}

// fakeInstanceCPU returns the CPU time, in microseconds per second, that the fake
// instances need for rate exchanges per second.
func fakeInstanceCPU(rate float64, conns int) (float64, error) {
	l := load{query: queryBytes("SELECT * FROM group_status()"), rate: rate, time: measurementWindow}
	pacing, both, err := l.echoCost(conns, rowAnswer)
	return (both - pacing) / 2, err
}

// fakeInstanceMemory returns the memory that a fake instance takes for n
// connections.
func fakeInstanceMemory(n int) (memory, error) {
	i, err := startFakeInstance(gypsumyard.RoleReplica)
	if err != nil {
		return memory{}, err
	}
	defer i.close()
	before := readMemory()
	startup := []byte{0, 0, 0, 8, 0, 3, 0, 0}
	conns, err := dialAll(n, func(int) (net.Conn, error) {
		c, err := net.Dial("tcp", i.addr().String())
		if err != nil {
			return nil, err
		}
		return c, errors.Join(roundTrip(c, startup, make([]byte, 1<<10)), roundTrip(c, queryBytes("SELECT group_status"), make([]byte, 1<<10)))
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

// readPeriodically waits for the length of the measurement window and, unless
// the interval is 0, reads from each database at the interval.
func readPeriodically(ctx context.Context, s *owner.Service, databases []gypsumyard.Database, interval time.Duration) error {
	end := time.Now().Add(measurementWindow)
	for interval > 0 && time.Until(end) > interval {
		if err := readAll(ctx, s, databases); err != nil {
			return err
		}
		if err := clock.System().Sleep(ctx, interval); err != nil {
			return err
		}
	}
	return clock.System().Sleep(ctx, time.Until(end))
}

func readAll(ctx context.Context, s *owner.Service, databases []gypsumyard.Database) error {
	for _, d := range databases {
		r := &gypsumyard.Request{
			Session: "s", Customer: customerName, Database: d.Name, Class: gypsumyard.StatementRead,
			Messages: queryBytes(lookupSQL), Repeatable: true, PositionKnown: true,
		}
		if _, err := s.Execute(ctx, r, discardSink{}); err != nil {
			return err
		}
	}
	return nil
}

// discardSink is a sink that discards the response.
type discardSink struct{}

func (discardSink) Write(p []byte) (int, error) { return len(p), nil }
