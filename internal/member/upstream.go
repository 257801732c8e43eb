package member

import (
	"net/netip"
	"slices"

	"github.com/gypsumyard/gypsumyard"
)

// UpstreamLeaving reports whether the platform's list shows the instance of a
// database as leaving. It is always false on hosts that do not read the list.
func (s *Service) UpstreamLeaving(instance string) bool {
	leaving := s.leavingUpstreams.Load()
	return leaving != nil && (*leaving)[instance]
}

// separateUpstreams returns the platform's list without the entries of database
// instances, and records which of the instances are leaving. An entry belongs to
// an instance if it has the instance's name or address.
func (s *Service) separateUpstreams(hosts []gypsumyard.Host) []gypsumyard.Host {
	names, addrs := s.instanceNames()
	leaving := map[string]bool{}
	hosts = slices.DeleteFunc(slices.Clone(hosts), func(h gypsumyard.Host) bool {
		name, ok := addrs[h.Addr]
		if !ok {
			name, ok = h.Name, names[h.Name]
		}
		if ok && h.State == gypsumyard.HostLeaving {
			leaving[name] = true
		}
		return ok
	})
	s.leavingUpstreams.Store(&leaving)
	return hosts
}

// instanceNames returns the set of names of all instances, and their names by
// address.
func (s *Service) instanceNames() (names map[string]bool, addrs map[netip.AddrPort]string) {
	names, addrs = map[string]bool{}, map[netip.AddrPort]string{}
	lists := s.lookupLists()
	if lists == nil {
		return names, addrs
	}
	for _, d := range lists.Databases() {
		for _, u := range d.Instances {
			names[u.Name] = true
			addrs[u.Addr] = u.Name
		}
	}
	return names, addrs
}
