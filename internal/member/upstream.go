package member

import (
	"net/netip"
	"slices"

	"github.com/gypsumyard/gypsumyard"
)

// UpstreamLeaving reports whether the platform's list shows the instance of a
// database as leaving. Only hosts that read the list know it.
func (s *Service) UpstreamLeaving(instance string) bool {
	leaving := s.leavingUpstreams.Load()
	return leaving != nil && (*leaving)[instance]
}

// takeUpstreams removes the entries of instances from the platform's list and
// keeps which of them are leaving. An entry is an instance's if it has its name
// or its address.
func (s *Service) takeUpstreams(hosts []gypsumyard.Host) []gypsumyard.Host {
	names, addrs := s.instances()
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

// instances returns the names of all instances, and their names by address.
func (s *Service) instances() (names map[string]bool, addrs map[netip.AddrPort]string) {
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
