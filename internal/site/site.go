package site

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/caller"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/gypsumyard/gypsumyard/internal/config"
	"github.com/gypsumyard/gypsumyard/internal/emulate"
	"github.com/gypsumyard/gypsumyard/internal/emulate/group"
	"github.com/gypsumyard/gypsumyard/internal/emulate/store"
	"github.com/gypsumyard/gypsumyard/internal/host"
	"github.com/gypsumyard/gypsumyard/internal/planlist"
	"github.com/gypsumyard/gypsumyard/internal/platform"
	"github.com/jackc/pgx/v5"
)

// seedTimeout bounds the writing of schemas and lists.
const seedTimeout = 20 * time.Second

// peerSecret is shared by the hosts of a site on loopback.
const peerSecret = "loopback-site-secret"

// A Site is a running deployment.
type Site struct {
	deployment Deployment
	options    settings

	Environment *emulate.Environment
	mu          sync.Mutex
	hosts       map[string]*host.Host
	// planned are the settings of all hosts, those that run elsewhere included.
	planned []config.Settings
}

type settings struct {
	hosts       int
	basePort    uint16
	hostOptions []host.Option
	adjust      func(*config.Settings)
	log         config.Log
	journal     int
	external    map[string]bool
	platform    netip.AddrPort
	control     netip.AddrPort
	members     []config.Settings
}

// An Option changes a site.
type Option func(*settings)

// WithHosts sets the number of hosts.
func WithHosts(n int) Option { return func(s *settings) { s.hosts = n } }

// WithBasePort makes host i listen for callers, peers and operators on the
// ports from base + 10 i. Zero takes free ports.
func WithBasePort(p uint16) Option { return func(s *settings) { s.basePort = p } }

// WithHostOptions adds options to each host.
func WithHostOptions(o ...host.Option) Option {
	return func(s *settings) { s.hostOptions = append(s.hostOptions, o...) }
}

// WithSettings changes the settings of each host before it is built.
func WithSettings(f func(*config.Settings)) Option { return func(s *settings) { s.adjust = f } }

// WithLog sets what the hosts log.
func WithLog(l config.Log) Option { return func(s *settings) { s.log = l } }

// WithJournal sets how many statements each database remembers for checks.
func WithJournal(entries int) Option { return func(s *settings) { s.journal = entries } }

// WithExternal leaves the named hosts to the caller, who starts them with
// their Settings, for instance in a process that can be killed.
func WithExternal(names ...string) Option {
	return func(s *settings) {
		if s.external == nil {
			s.external = map[string]bool{}
		}
		for _, n := range names {
			s.external[n] = true
		}
	}
}

// WithPlatform sets the address of the emulated platform.
func WithPlatform(a netip.AddrPort) Option { return func(s *settings) { s.platform = a } }

// WithControl sets the address at which faults are switched.
func WithControl(a netip.AddrPort) Option { return func(s *settings) { s.control = a } }

// WithMembers puts hosts that run elsewhere on the platform's list.
func WithMembers(members ...config.Settings) Option {
	return func(s *settings) { s.members = append(s.members, members...) }
}

// Start runs the emulators, writes the lists and starts the hosts. It returns
// when all hosts admit callers.
func Start(ctx context.Context, d Deployment, options ...Option) (s *Site, err error) {
	s = &Site{deployment: d, hosts: map[string]*host.Host{}}
	s.options = settings{hosts: 3, log: config.Log{Level: "error", Format: "text"}, adjust: func(*config.Settings) {}}
	for _, o := range options {
		o(&s.options)
	}
	defer func() {
		if err != nil {
			err = fmt.Errorf("start site %s: %w", d.Name, errors.Join(err, s.Close(ctx)))
		}
	}()
	if s.Environment, err = emulate.Start(s.emulators()...); err != nil {
		return s, err
	}
	seed, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	if err = s.seed(seed); err != nil {
		return s, err
	}
	if s.planned, err = s.plan(); err != nil {
		return s, err
	}
	for _, c := range slices.Concat(s.planned, s.options.members) {
		if err = s.Environment.Store().SetHost(memberOf(c)); err != nil {
			return s, err
		}
	}
	for _, c := range s.planned {
		if s.options.external[c.Host.Name] {
			continue
		}
		if err = s.StartHost(ctx, c); err != nil {
			return s, err
		}
	}
	return s, s.waitReady(ctx)
}

func (s *Site) emulators() []emulate.Option {
	d := s.deployment
	options := []emulate.Option{emulate.WithStore(store.WithHostLag(hostListLag))}
	if s.options.platform.IsValid() {
		options = append(options, emulate.WithStore(store.WithAddr(s.options.platform)))
	}
	if s.options.control.IsValid() {
		options = append(options, emulate.WithControl(s.options.control))
	}
	for _, b := range d.Databases {
		options = append(options, emulate.WithGroup(b.Name,
			group.WithInstances(b.Instances),
			group.WithSlots(b.Slots),
			group.WithConnections(b.Connections),
			group.WithOpenDelay(d.OpenDelay),
			group.WithRoundTrip(d.RoundTrip),
			group.WithLag(d.ReplicationLag, d.ReplicationJitter),
			group.WithStatementCost(b.StatementCost),
			group.WithFailureDomains(d.FailureDomains...),
			group.WithJournal(s.options.journal)))
	}
	return options
}

// hostListLag is how long a change of the emulated host list takes to show.
const hostListLag = 0

// seed writes the schemas to the primaries and the lists to the store.
func (s *Site) seed(ctx context.Context) error {
	for _, b := range s.deployment.Databases {
		if err := s.writeSchema(ctx, b); err != nil {
			return err
		}
	}
	client := s.storeClient()
	defer client.Close()
	editor := planlist.NewEditor(client, clock.System())
	for _, p := range s.deployment.Plans {
		if err := put(ctx, editor, planlist.Plans, p.Name, p); err != nil {
			return err
		}
	}
	for _, b := range s.deployment.Databases {
		if err := put(ctx, editor, planlist.Databases, b.Name, s.database(b)); err != nil {
			return err
		}
	}
	for _, c := range s.deployment.Customers {
		customer, err := s.customer(c)
		if err != nil {
			return err
		}
		if err := put(ctx, editor, planlist.Customers, c.Name, customer); err != nil {
			return err
		}
	}
	return nil
}

// storeClient returns a client without a budget, for the set-up only.
func (s *Site) storeClient() *platform.Client {
	const unlimited = 1e6
	return platform.New(s.Environment.Store().Addr(), platform.WithBudget(unlimited, unlimited))
}

func put(ctx context.Context, e *planlist.Editor, k planlist.Kind, name string, v any) error {
	value, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = e.Apply(ctx, planlist.Edit{Kind: k, Name: name, Value: value, Expected: planlist.AnyVersion})
	return err
}

func (s *Site) writeSchema(ctx context.Context, b DatabaseSpec) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("write schema of %s: %w", b.Name, err)
		}
	}()
	primary := s.Environment.Group(b.Name).Primary()
	conn, err := pgx.Connect(ctx, fmt.Sprintf("postgres://gypsumyard@%s/%s", primary.Upstream().Addr, b.Name))
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	for _, statement := range b.Schema {
		if _, err := conn.Exec(ctx, statement); err != nil {
			return err
		}
	}
	return nil
}

func (s *Site) database(b DatabaseSpec) gypsumyard.Database {
	d := s.Environment.Group(b.Name).Database(s.deployment.Region)
	if d.User == "" {
		d.User = "gypsumyard"
	}
	return d
}

func (s *Site) customer(c CustomerSpec) (customer gypsumyard.Customer, err error) {
	customer = gypsumyard.Customer{Name: c.Name, Plan: c.Plan}
	for _, b := range s.deployment.Databases {
		customer.Databases = append(customer.Databases, b.Name)
	}
	for _, l := range c.Logins {
		verifier, err := caller.Verifier(l.Name)
		if err != nil {
			return customer, err
		}
		customer.Logins = append(customer.Logins, gypsumyard.Login{
			Name: l.Name, Verifier: verifier, MaxStaleness: gypsumyard.Duration(l.MaxStaleness),
		})
	}
	return customer, nil
}

// plan returns the settings of the hosts, spread over the failure domains.
func (s *Site) plan() (all []config.Settings, err error) {
	for i := range s.options.hosts {
		c := config.Default()
		c.Host = config.Host{
			Name:          fmt.Sprintf("entry-%d", i+1),
			Region:        s.deployment.Region,
			FailureDomain: s.deployment.FailureDomains[i%len(s.deployment.FailureDomains)],
		}
		if c.Listen, err = s.listen(i); err != nil {
			return nil, err
		}
		c.Platform.Address = s.Environment.Store().Addr()
		c.Peers.Secret = peerSecret
		c.Log = s.options.log
		s.options.adjust(&c)
		all = append(all, c)
	}
	return all, nil
}

func (s *Site) listen(i int) (l config.Listen, err error) {
	for n, a := range []*netip.AddrPort{&l.Callers, &l.Peers, &l.Operators} {
		if s.options.basePort != 0 {
			*a = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), s.options.basePort+uint16(10*i+n))
			continue
		}
		if *a, err = FreeAddress(); err != nil {
			return l, err
		}
	}
	return l, nil
}

// firstPort and portRange bound the ports of hosts. They lie below those that
// Linux gives to outgoing connections, which could take a port between the
// choice and its use.
const (
	firstPort = 12000
	portRange = 20000
)

var nextPort atomic.Uint32

func init() { nextPort.Store(rand.Uint32N(portRange)) }

// FreeAddress returns a loopback address on which nothing listens.
func FreeAddress() (netip.AddrPort, error) {
	for range portRange {
		port := firstPort + nextPort.Add(1)%portRange
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
		l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(a))
		if err == nil {
			return a, l.Close()
		}
	}
	return netip.AddrPort{}, errors.New("no free port")
}

func memberOf(c config.Settings) gypsumyard.Host {
	return gypsumyard.Host{
		Name: c.Host.Name, Addr: c.Listen.Peers, Region: c.Host.Region,
		FailureDomain: c.Host.FailureDomain, State: gypsumyard.HostLive,
	}
}

// StartHost starts a host, or starts it again after it was stopped.
func (s *Site) StartHost(ctx context.Context, c config.Settings) error {
	h, err := host.New(c, s.options.hostOptions...)
	if err != nil {
		return err
	}
	if err := h.Start(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts[c.Host.Name] = h
	return nil
}

func (s *Site) waitReady(ctx context.Context) error {
	for _, h := range s.Hosts() {
		select {
		case <-h.Ready():
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return nil
}

// Settings returns the settings of a host, or false if there is none of the
// name.
func (s *Site) Settings(name string) (config.Settings, bool) {
	for _, c := range s.planned {
		if c.Host.Name == name {
			return c, true
		}
	}
	return config.Settings{}, false
}

// Hosts returns the running hosts, ordered by name.
func (s *Site) Hosts() []*host.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	var running []*host.Host
	for i := range s.options.hosts {
		if h, ok := s.hosts[fmt.Sprintf("entry-%d", i+1)]; ok {
			running = append(running, h)
		}
	}
	return running
}

// Host returns a running host, or nil.
func (s *Site) Host(name string) *host.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts[name]
}

// StopHost ends a host at once, as its death would, and forgets it.
func (s *Site) StopHost(ctx context.Context, name string) error {
	h := s.take(name)
	if h == nil {
		return fmt.Errorf("no host %q runs", name)
	}
	// With a context that is done, services cut off what they are doing.
	ctx, cancel := context.WithCancel(ctx)
	cancel()
	_ = h.Stop(ctx)
	return nil
}

// DrainHost shuts a host down gracefully and forgets it.
func (s *Site) DrainHost(ctx context.Context, name string) error {
	h := s.take(name)
	if h == nil {
		return fmt.Errorf("no host %q runs", name)
	}
	return h.Drain(ctx)
}

func (s *Site) take(name string) *host.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.hosts[name]
	delete(s.hosts, name)
	return h
}

// URL returns the address of a database for a login of a customer at a host.
func (s *Site) URL(h *host.Host, login, customer, database string) string {
	return fmt.Sprintf("postgres://%s%%40%s:%s@%s/%s", login, customer, login, h.Settings().Listen.Callers, database)
}

// Close ends the hosts and the emulators.
func (s *Site) Close(ctx context.Context) (err error) {
	var mu sync.Mutex
	var stops sync.WaitGroup
	for _, h := range s.Hosts() {
		stops.Go(func() {
			e := h.Stop(ctx)
			mu.Lock()
			defer mu.Unlock()
			err = errors.Join(err, e)
		})
	}
	stops.Wait()
	if s.Environment != nil {
		err = errors.Join(err, s.Environment.Close(ctx))
	}
	return err
}
