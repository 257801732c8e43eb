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

// pathConns is how many callers share the load.
const pathConns = 64

func pathExperiments() []Experiment {
	rates := []int{500, 1500, 4500}
	about := "reads through whole hosts to a stand-in, less the same reads sent to it directly; "
	return []Experiment{
		{
			Name: "path-local", Item: "statements/s", Sizes: rates, About: about + "the entry host owns the database",
			run: func(ctx context.Context, _ *env, n int) (Sample, error) {
				return path(ctx, n, false, logrus.ErrorLevel)
			},
		},
		{
			Name: "path-remote", Item: "statements/s", Sizes: rates, About: about + "another host owns the database; both hosts together",
			run: func(ctx context.Context, _ *env, n int) (Sample, error) { return path(ctx, n, true, logrus.ErrorLevel) },
		},
		{
			Name: "path-logged", Item: "statements/s", Sizes: rates, About: about + "another host owns the database; each decision is logged, to nowhere",
			run: func(ctx context.Context, _ *env, n int) (Sample, error) { return path(ctx, n, true, logrus.InfoLevel) },
		},
	}
}

func path(ctx context.Context, rate int, remote bool, level logrus.Level) (sample Sample, err error) {
	c, err := startCluster(1)
	if err != nil {
		return nil, err
	}
	defer c.close()
	l := load{query: queryBytes(lookup), rate: float64(rate), time: window}
	direct, err := l.direct(c.instances[0])
	if err != nil {
		return nil, err
	}
	logger := quiet()
	logger.SetLevel(level)
	s, err := site.Start(ctx, emptySite(), site.WithHosts(2), site.WithLog(config.Log{Level: level.String(), Format: "json"}),
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
	addr, err := entryOf(s, c.databases[0].Name, remote)
	if err != nil {
		return nil, err
	}
	conns, err := logIn(ctx, addr, c.databases[0].Name, pathConns)
	if err != nil {
		return nil, err
	}
	defer closeAll(conns)
	time.Sleep(settle)
	heap := allocated()
	used, err := perSecond(func() error { return l.run(conns) })
	return Sample{CPU: used - direct, Allocated: (allocated() - heap) / l.time.Seconds()}, err
}

// direct measures the load on the stand-in alone, with its clients.
func (l load) direct(i *instance) (float64, error) {
	startup := []byte{0, 0, 0, 8, 0, 3, 0, 0}
	conns, err := open(pathConns, func(int) (net.Conn, error) {
		c, err := net.Dial("tcp", i.addr().String())
		if err != nil {
			return nil, err
		}
		return c, ask(c, startup, make([]byte, 1<<10))
	})
	if err != nil {
		return 0, err
	}
	defer closeAll(conns)
	return perSecond(func() error { return l.run(conns) })
}

// emptySite is a deployment whose database is added later.
func emptySite() site.Deployment {
	return site.Deployment{
		Name: "slopes", Region: "pilbara", FailureDomains: []string{"pilbara-a", "pilbara-b"},
		Plans: []gypsumyard.Plan{{
			Name: planName, Share: 1, Limit: 1, MaxWait: gypsumyard.Duration(2 * time.Second), MaxQueue: 1000, MaxSessions: 1000,
		}},
	}
}

// addDatabase writes the database and its customer and waits until the hosts
// know them.
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
	if err := edit(ctx, editor, planlist.Databases, d.Name, d); err != nil {
		return err
	}
	if err := edit(ctx, editor, planlist.Customers, c.Name, c); err != nil {
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

func edit(ctx context.Context, e *planlist.Editor, k planlist.Kind, name string, v any) error {
	value, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = e.Apply(ctx, planlist.Edit{Kind: k, Name: name, Value: value, Expected: planlist.AnyVersion})
	return err
}

// entryOf returns where callers reach a host that owns the database or, if
// remote is true, does not.
func entryOf(s *site.Site, database string, remote bool) (netip.AddrPort, error) {
	for _, h := range s.Hosts() {
		owner, ok := h.Members().Owner(database)
		if ok && (owner.Name != h.Settings().Host.Name) == remote {
			return h.Settings().Listen.Callers, nil
		}
	}
	return netip.AddrPort{}, fmt.Errorf("no such entry host for %s", database)
}
