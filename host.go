package gypsumyard

import (
	"context"
	"net/netip"
)

// A HostState is the state of a host as it is known to the other hosts.
type HostState string

// The states of a host.
const (
	// HostLive: the host accepts new work.
	HostLive HostState = "live"
	// HostLeaving: the host completes its work in progress and becomes the owner
	// of no further databases.
	HostLeaving HostState = "leaving"
	// HostSuspect: the host misses heartbeats; its failure is not confirmed.
	HostSuspect HostState = "suspect"
	// HostDead: the host has failed or has left.
	HostDead HostState = "dead"
)

// A Host is one process of the proxy.
type Host struct {
	Name          string         `json:"name"`
	Addr          netip.AddrPort `json:"address"`
	Region        string         `json:"region"`
	FailureDomain string         `json:"failure-domain"`
	State         HostState      `json:"state"`
	// Millicores is how many thousandths of a processor core the host may use. Zero
	// means that it is not known.
	Millicores int `json:"millicores,omitempty"`
}

// A HostLister reads the platform's list of hosts. The list may be out of date.
type HostLister interface {
	Hosts(ctx context.Context) ([]Host, error)
}

// A Membership is a host's view of the other hosts.
type Membership interface {
	// Self returns this host.
	Self() Host
	// Hosts returns the hosts of this region that are not dead, including this
	// host, ordered by name.
	Hosts() []Host
	// Owner returns the host that owns the database in this view, or false if no
	// live host can own it.
	Owner(database string) (Host, bool)
	// Changes returns a channel that is closed when the view changes next.
	Changes() <-chan struct{}
}
