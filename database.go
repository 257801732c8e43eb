package gypsumyard

import (
	"net/netip"
	"slices"
)

// A Database is a replication group: instances that replicate the same log.
type Database struct {
	// Name is unique across all regions.
	Name string `json:"name"`
	// Region is the region whose hosts own the database.
	Region string `json:"region"`
	// Instances are the members of the group.
	Instances []Upstream `json:"instances"`
	// ListVersion increases with each edit of Instances, also across removals of
	// the entry. It is zero if Instances were never edited. The editor of the
	// lists sets it.
	ListVersion uint64 `json:"list-version,omitempty"`
	// Former holds the lists that Instances replaced, the latest first, until
	// the owner has proven that they no longer count in majorities. The editor
	// of the lists sets it.
	Former []InstanceList `json:"former-instances,omitempty"`
	// Slots is how many statements one instance runs concurrently.
	Slots int `json:"slots"`
	// Connections is how many connections one instance accepts.
	Connections int `json:"connections"`
	// User and Password are the credentials with which hosts log in to the
	// instances.
	User     string `json:"user"`
	Password string `json:"password"`
}

// Lists returns the list of instances and then the former ones, the latest first.
func (d *Database) Lists() []InstanceList {
	return append([]InstanceList{{Version: d.ListVersion, Instances: d.Instances}}, d.Former...)
}

// An InstanceList is the instances of a database in one version of its list.
type InstanceList struct {
	Version   uint64     `json:"list-version"`
	Instances []Upstream `json:"instances"`
}

// Equal reports whether both lists have the same instances, in any order. An
// instance with another address is another one; its failure domain may differ.
func (l InstanceList) Equal(o InstanceList) bool {
	return len(l.Instances) == len(o.Instances) && !slices.ContainsFunc(l.Instances, func(u Upstream) bool {
		return !slices.ContainsFunc(o.Instances, u.Same)
	})
}

// IsMajority reports whether the given number of the list's instances is more
// than half.
func (l InstanceList) IsMajority(n int) bool { return n > len(l.Instances)/2 }

// An Upstream is the name and network address of one instance of a database.
type Upstream struct {
	Name          string         `json:"name"`
	Addr          netip.AddrPort `json:"address"`
	FailureDomain string         `json:"failure-domain"`
}

// Same reports whether u and o are the same instance, whose failure domain may
// have been edited.
func (u Upstream) Same(o Upstream) bool { return u.Name == o.Name && u.Addr == o.Addr }
