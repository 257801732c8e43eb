package site

import (
	"net/netip"

	"github.com/gypsumyard/gypsumyard/internal/config"
	"github.com/gypsumyard/gypsumyard/internal/host"
)

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

// WithListedHosts puts hosts that run elsewhere on the platform's list.
func WithListedHosts(members ...config.Settings) Option {
	return func(s *settings) { s.members = append(s.members, members...) }
}
