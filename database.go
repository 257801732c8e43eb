package gypsumyard

import "net/netip"

// A Database is a replication group: instances that replicate the same log.
type Database struct {
	// Name is unique across all regions.
	Name string `json:"name"`
	// Region is the region whose hosts own the database.
	Region string `json:"region"`
	// Instances are the members of the group.
	Instances []Upstream `json:"instances"`
	// Slots is how many statements one instance runs concurrently.
	Slots int `json:"slots"`
	// Connections is how many connections one instance accepts.
	Connections int `json:"connections"`
	// User and Password are the credentials with which hosts log in to the
	// instances.
	User     string `json:"user"`
	Password string `json:"password"`
}

// Majority returns the smallest number of instances that is more than half.
func (d *Database) Majority() int { return len(d.Instances)/2 + 1 }

// An Upstream is the name and network address of one instance of a database.
type Upstream struct {
	Name          string         `json:"name"`
	Addr          netip.AddrPort `json:"address"`
	FailureDomain string         `json:"failure-domain"`
}
