package site

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/config"
	"github.com/gypsumyard/gypsumyard/internal/emulate"
	"github.com/gypsumyard/gypsumyard/internal/emulate/group"
	"github.com/gypsumyard/gypsumyard/internal/emulate/store"
	"github.com/gypsumyard/gypsumyard/internal/host"
	"github.com/gypsumyard/gypsumyard/internal/loopback"
)

// peerSecret is shared by the hosts of a site. It is a constant because a site
// runs on loopback only.
const peerSecret = "loopback-site-secret"

// A Site is a running deployment.
type Site struct {
	deployment Deployment
	options    settings

	Environment *emulate.Environment
	mu          sync.Mutex
	hosts       map[string]*host.Host
	// hostSettings are the settings of all hosts, including external ones.
	hostSettings []config.Settings
}

// Start starts the emulators, writes the lists and starts the hosts. It returns
// when all hosts accept callers.
func Start(ctx context.Context, d Deployment, options ...Option) (s *Site, err error) {
	s = &Site{deployment: d, hosts: map[string]*host.Host{}}
	s.options = settings{hosts: 3, log: config.Log{Level: "error", Format: "text"}, modifySettings: func(*config.Settings) {}}
	for _, o := range options {
		o(&s.options)
	}
	defer func() {
		if err != nil {
			err = fmt.Errorf("start site %s: %w", d.Name, errors.Join(err, s.Close(ctx)))
		}
	}()
	if s.Environment, err = emulate.Start(s.emulatorOptions()...); err != nil {
		return s, err
	}
	seed, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	if err = s.seed(seed); err != nil {
		return s, err
	}
	if s.hostSettings, err = s.planHosts(); err != nil {
		return s, err
	}
	for _, c := range slices.Concat(s.hostSettings, s.options.listedHosts) {
		if err = s.Environment.Store().SetHost(hostEntry(c)); err != nil {
			return s, err
		}
	}
	for _, c := range s.hostSettings {
		if s.options.externalHosts[c.Host.Name] {
			continue
		}
		if err = s.StartHost(ctx, c); err != nil {
			return s, err
		}
	}
	return s, s.waitReady(ctx)
}

func (s *Site) emulatorOptions() []emulate.Option {
	d := s.deployment
	options := []emulate.Option{emulate.WithStore(store.WithHostLag(hostListLag))}
	if s.options.platformAddr.IsValid() {
		options = append(options, emulate.WithStore(store.WithAddr(s.options.platformAddr)))
	}
	if s.options.controlAddr.IsValid() {
		options = append(options, emulate.WithControl(s.options.controlAddr))
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

// hostListLag is the delay until a change to the emulated host list is visible.
const hostListLag = 0

// planHosts returns the settings of the hosts, which are spread over the failure
// domains.
func (s *Site) planHosts() (all []config.Settings, err error) {
	for i := range s.options.hosts {
		c := config.Default()
		c.Host = config.Host{
			Name:          fmt.Sprintf("entry-%d", i+1),
			Region:        s.deployment.Region,
			FailureDomain: s.deployment.FailureDomains[i%len(s.deployment.FailureDomains)],
		}
		if c.Listen, err = s.listenAddresses(i); err != nil {
			return nil, err
		}
		c.Platform.Address = s.Environment.Store().Addr()
		c.Peers.Secret = peerSecret
		c.Log = s.options.log
		s.options.modifySettings(&c)
		all = append(all, c)
	}
	return all, nil
}

func (s *Site) listenAddresses(i int) (l config.Listen, err error) {
	for n, a := range []*netip.AddrPort{&l.Callers, &l.Peers, &l.Operators} {
		if s.options.basePort != 0 {
			*a = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), s.options.basePort+uint16(10*i+n))
			continue
		}
		if *a, err = loopback.FreeAddress(); err != nil {
			return l, err
		}
	}
	return l, nil
}

func hostEntry(c config.Settings) gypsumyard.Host {
	return gypsumyard.Host{
		Name: c.Host.Name, Addr: c.Listen.Peers, Region: c.Host.Region,
		FailureDomain: c.Host.FailureDomain, State: gypsumyard.HostLive,
	}
}

// StartHost starts a host, or restarts one that was stopped.
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

// Settings returns the settings of the named host and whether it exists.
func (s *Site) Settings(name string) (config.Settings, bool) {
	for _, c := range s.hostSettings {
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

// Host returns the named host, or nil if it is not running.
func (s *Site) Host(name string) *host.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts[name]
}

// StopHost stops a host immediately, without draining it, and removes it from
// the running hosts. It simulates a crash.
func (s *Site) StopHost(ctx context.Context, name string) error {
	h := s.removeHost(name)
	if h == nil {
		return fmt.Errorf("no host %q runs", name)
	}
	// Services that are stopped with a canceled context abort their work instead
	// of finishing it.
	ctx, cancel := context.WithCancel(ctx)
	cancel()
	_ = h.Stop(ctx)
	return nil
}

// DrainHost shuts a host down gracefully and removes it from the running hosts.
func (s *Site) DrainHost(ctx context.Context, name string) error {
	h := s.removeHost(name)
	if h == nil {
		return fmt.Errorf("no host %q runs", name)
	}
	return h.Drain(ctx)
}

func (s *Site) removeHost(name string) *host.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.hosts[name]
	delete(s.hosts, name)
	return h
}

// URL returns the connection URL of a database at a host for a customer's login.
func (s *Site) URL(h *host.Host, login, customer, database string) string {
	return fmt.Sprintf("postgres://%s%%40%s:%s@%s/%s", login, customer, login, h.Settings().Listen.Callers, database)
}

// Close stops the hosts and the emulators.
func (s *Site) Close(ctx context.Context) (err error) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, h := range s.Hosts() {
		wg.Go(func() {
			e := h.Stop(ctx)
			mu.Lock()
			defer mu.Unlock()
			err = errors.Join(err, e)
		})
	}
	wg.Wait()
	if s.Environment != nil {
		err = errors.Join(err, s.Environment.Close(ctx))
	}
	return err
}
