package site

import (
	"net/netip"

	"github.com/gypsumyard/gypsumyard/internal/config"
	"github.com/gypsumyard/gypsumyard/internal/host"
)

type settings struct {
	hosts          int
	basePort       uint16
	hostOptions    []host.Option
	modifySettings func(*config.Settings)
	log            config.Log
	journal        int
	externalHosts  map[string]bool
	platformAddr   netip.AddrPort
	controlAddr    netip.AddrPort
	listedHosts    []config.Settings
}

// An Option configures a site.
type Option func(*settings)

// WithHosts sets the number of hosts. The default is 3.
func WithHosts(n int) Option { return func(s *settings) { s.hosts = n } }

// WithBasePort makes host i listen for callers, peers and operators on
// consecutive ports from p + 10 i. Zero selects free ports.
func WithBasePort(p uint16) Option { return func(s *settings) { s.basePort = p } }

// WithHostOptions adds options that are passed to each host.
func WithHostOptions(o ...host.Option) Option {
	return func(s *settings) { s.hostOptions = append(s.hostOptions, o...) }
}

// WithSettings calls f on the settings of each host before the host is created.
func WithSettings(f func(*config.Settings)) Option { return func(s *settings) { s.modifySettings = f } }

// WithLog sets the log settings of the hosts.
func WithLog(l config.Log) Option { return func(s *settings) { s.log = l } }

// WithJournal sets how many statements the journal of each database retains for
// checks.
func WithJournal(entries int) Option { return func(s *settings) { s.journal = entries } }

// WithExternal does not start the named hosts. The caller starts them with the
// result of [Site.Settings], for example in a separate process that can be
// killed.
func WithExternal(names ...string) Option {
	return func(s *settings) {
		if s.externalHosts == nil {
			s.externalHosts = map[string]bool{}
		}
		for _, n := range names {
			s.externalHosts[n] = true
		}
	}
}

// WithPlatform sets the address of the emulated platform.
func WithPlatform(a netip.AddrPort) Option { return func(s *settings) { s.platformAddr = a } }

// WithControl sets the address of the fault injection endpoint.
func WithControl(a netip.AddrPort) Option { return func(s *settings) { s.controlAddr = a } }

// WithListedHosts adds hosts that run elsewhere to the platform's host list.
func WithListedHosts(hosts ...config.Settings) Option {
	return func(s *settings) { s.listedHosts = append(s.listedHosts, hosts...) }
}
