package slopes

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/caller"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/gypsumyard/gypsumyard/internal/config"
	"github.com/gypsumyard/gypsumyard/internal/host"
	"github.com/gypsumyard/gypsumyard/internal/planlist"
	"github.com/gypsumyard/gypsumyard/internal/platform"
	"github.com/gypsumyard/gypsumyard/internal/site"
	"github.com/sirupsen/logrus"
)

// pathConns is the number of callers among which the load is distributed.
const pathConns = 64

func pathExperiments() []Experiment {
	rates := []int{500, 1500, 4500}
	about := "reads through whole hosts to a stand-in, less the same reads sent to it directly; "
	return []Experiment{
		{
			Name: "path-local", Item: "statements/s", Sizes: rates, About: about + "the entry host owns the database",
			run: func(ctx context.Context, _ *env, n int) (Sample, error) {
				return measurePath(ctx, n, false, logrus.ErrorLevel)
			},
		},
		{
			Name: "path-remote", Item: "statements/s", Sizes: rates, About: about + "another host owns the database; both hosts together",
			run: func(ctx context.Context, _ *env, n int) (Sample, error) {
				return measurePath(ctx, n, true, logrus.ErrorLevel)
			},
		},
		{
			Name: "path-logged", Item: "statements/s", Sizes: rates, About: about + "another host owns the database; each decision is logged, to nowhere",
			run: func(ctx context.Context, _ *env, n int) (Sample, error) {
				return measurePath(ctx, n, true, logrus.InfoLevel)
			},
		},
	}
}

func measurePath(ctx context.Context, rate int, remote bool, level logrus.Level) (sample Sample, err error) {
	c, err := startFakeCluster(1)
	if err != nil {
		return nil, err
	}
	defer c.close()
	l := load{query: queryBytes(lookupSQL), rate: float64(rate), time: measurementWindow}
	direct, err := l.directCPU(c.instances[0])
	if err != nil {
		return nil, err
	}
	logger := discardLogger()
	logger.SetLevel(level)
	s, err := site.Start(ctx, emptyDeployment(), site.WithHosts(2), site.WithLog(config.Log{Level: level.String(), Format: "json"}),
		site.WithHostOptions(host.WithLogger(logger)))
	if err != nil {
		return nil, err
	}
	defer func() {
		stop, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		err = errors.Join(err, s.Close(stop))
	}()
	if err := addDatabase(ctx, s, c.databases[0]); err != nil {
		return nil, err
	}
	addr, err := callersAddr(s, c.databases[0].Name, remote)
	if err != nil {
		return nil, err
	}
	conns, err := connectCallers(ctx, addr, c.databases[0].Name, pathConns)
	if err != nil {
		return nil, err
	}
	defer closeAll(conns)
	time.Sleep(settleTime)
	heap := allocated()
	used, err := cpuPerSecond(func() error { return l.run(conns) })
	return Sample{CPU: used - direct, Allocated: (allocated() - heap) / l.time.Seconds()}, err
}

// directCPU measures the CPU time, in microseconds per second, of the load when
// its clients are connected to the fake instance directly.
func (l load) directCPU(i *fakeInstance) (float64, error) {
	startup := []byte{0, 0, 0, 8, 0, 3, 0, 0}
	conns, err := dialAll(pathConns, func(int) (net.Conn, error) {
		c, err := net.Dial("tcp", i.addr().String())
		if err != nil {
			return nil, err
		}
		return c, roundTrip(c, startup, make([]byte, 1<<10))
	})
	if err != nil {
		return 0, err
	}
	defer closeAll(conns)
	return cpuPerSecond(func() error { return l.run(conns) })
}

// emptyDeployment returns a deployment without databases. They are added later.
func emptyDeployment() site.Deployment {
	return site.Deployment{
		Name: "slopes", Region: "pilbara", FailureDomains: []string{"pilbara-a", "pilbara-b"},
		Plans: []gypsumyard.Plan{{
			Name: planName, Share: 1, Limit: 1, MaxWait: gypsumyard.Duration(2 * time.Second), MaxQueue: 1000, MaxSessions: 1000,
		}},
	}
}

// addDatabase adds the database and its customer to the lists and waits until
// all hosts know them.
func addDatabase(ctx context.Context, s *site.Site, d gypsumyard.Database) error {
	const unlimited = 1e6
	store := platform.New(s.Environment.Store().Addr(), platform.WithRateLimit(unlimited, unlimited))
	defer store.Close()
	editor := planlist.NewEditor(store, clock.System())
	verifier, err := caller.Verifier(password)
	if err != nil {
		return err
	}
	d.Region = "pilbara"
	d.Instances = append([]gypsumyard.Upstream{}, d.Instances...)
	for i := range d.Instances {
		d.Instances[i].FailureDomain = "pilbara-a"
	}
	c := gypsumyard.Customer{Name: customerName, Plan: planName, Databases: []string{d.Name}, Logins: []gypsumyard.Login{{Name: loginName, Verifier: verifier}}}
	if err := putEntry(ctx, editor, planlist.Databases, d.Name, d); err != nil {
		return err
	}
	if err := putEntry(ctx, editor, planlist.Customers, c.Name, c); err != nil {
		return err
	}
	for _, h := range s.Hosts() {
		for {
			_, known := h.Lists().Customer(customerName)
			if _, ok := h.Lists().Database(d.Name); ok && known {
				break
			}
			if err := clock.System().Sleep(ctx, 10*time.Millisecond); err != nil {
				return err
			}
		}
	}
	return nil
}

func putEntry(ctx context.Context, e *planlist.Editor, k planlist.Kind, name string, v any) error {
	value, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = e.Apply(ctx, planlist.Edit{Kind: k, Name: name, Value: value, Expected: planlist.AnyVersion})
	return err
}

// callersAddr returns the callers' address of a host that owns the database or,
// if remote is true, of one that does not.
func callersAddr(s *site.Site, database string, remote bool) (netip.AddrPort, error) {
	for _, h := range s.Hosts() {
		owner, ok := h.Members().Owner(database)
		if ok && (owner.Name != h.Settings().Host.Name) == remote {
			return h.Settings().Listen.Callers, nil
		}
	}
	return netip.AddrPort{}, fmt.Errorf("no such entry host for %s", database)
}
