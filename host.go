package gypsumyard

import (
	"context"
	"net/netip"
)

// A HostState is what is known of a host.
type HostState string

// The states of a host.
const (
	// HostLive: the host accepts work.
	HostLive HostState = "live"
	// HostLeaving: the host finishes its work and takes no new ownership.
	HostLeaving HostState = "leaving"
	// HostSuspect: heartbeats are missing, the failure is not confirmed.
	HostSuspect HostState = "suspect"
	// HostDead: the host failed or has left.
	HostDead HostState = "dead"
)

// A Host is one process of the system.
type Host struct {
	Name          string         `json:"name"`
	Addr          netip.AddrPort `json:"address"`
	Region        string         `json:"region"`
	FailureDomain string         `json:"failure-domain"`
	State         HostState      `json:"state"`
}

// A HostLister reads the platform's list of hosts. The list lags.
type HostLister interface {
	Hosts(ctx context.Context) ([]Host, error)
}

// A Membership is a host's view of the other hosts.
type Membership interface {
	// Self returns this host.
	Self() Host
	// Hosts returns the hosts of this region that are not dead, this host
	// included, ordered by name.
	Hosts() []Host
	// Owner returns the host that owns the database in this view, or false if
	// no live host can.
	Owner(database string) (Host, bool)
	// Changes returns a channel that is closed at the next change of the view.
	Changes() <-chan struct{}
}
