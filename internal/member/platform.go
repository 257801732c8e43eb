package member

import (
	"context"
	"slices"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/peer/peerpb"
)

const (
	// pollInterval is how often the platform's list is read, with a jitter of
	// a tenth. In small regions it is read more often, since an instance that
	// the list shows as leaving must get no new work after a few seconds.
	pollInterval     = 5 * time.Second
	meshPollInterval = 2 * time.Second
	// pollTimeout bounds one read, firstPollTimeout the one for which the start
	// of the host waits. Until the list or another host has answered it is
	// repeated every firstPollInterval.
	pollTimeout       = 2 * time.Second
	firstPollTimeout  = 400 * time.Millisecond
	firstPollInterval = 500 * time.Millisecond
	// meshHosts is the size of a region up to which each host reads the list.
	meshHosts = 9
	// pollers is how many hosts read the list in larger regions, so that
	// platform calls do not grow with the fleet.
	pollers = 3
	// pollerKey places the pollers. The same hosts watch the plan lists.
	pollerKey = "plan-lists"
	// listLag is for how long after a host's start the list may still show its
	// previous process as leaving.
	listLag = 30 * time.Second
)

// poll reads the platform's list for as long as the service runs.
func (s *Service) poll() {
	for {
		interval := pollInterval
		switch {
		case !s.hasJoined():
			interval = firstPollInterval
		case len(s.view().hosts) <= meshHosts:
			interval = meshPollInterval
		}
		if s.clock.Sleep(s.stopping, jittered(interval)) != nil {
			return
		}
		if s.polls() || !s.hasJoined() {
			s.pollList(s.stopping, pollTimeout)
		}
	}
}

// hasJoined reports whether another host or the platform's list has answered.
func (s *Service) hasJoined() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.joined
}

// polls reports whether this host reads the platform's list.
func (s *Service) polls() bool {
	if len(s.view().hosts) <= meshHosts {
		return true
	}
	self := s.Self()
	return slices.ContainsFunc(s.TopRanked(pollerKey, pollers), func(h gypsumyard.Host) bool { return h.Name == self.Name })
}

// TopRanked returns the n hosts of this region that rank highest in rendezvous
// order for the key, in this host's view.
func (s *Service) TopRanked(key string, n int) (hosts []gypsumyard.Host) {
	for _, c := range leading(s.view().regions[s.self.host.Region], key, n) {
		hosts = append(hosts, c.host)
	}
	return hosts
}

func (s *Service) pollList(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	hosts, err := s.lister.Hosts(ctx)
	if err != nil {
		s.log.WithError(err).Warn("read the platform's list of hosts")
		return
	}
	hosts = s.takeUpstreams(hosts)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyList(hosts, s.clock.Now())
}

// applyList takes over the platform's list. It adds hosts and marks those that
// have become leaving. Only heartbeats tell whether a host of this region is
// alive; of other regions the list is the only source.
func (s *Service) applyList(hosts []gypsumyard.Host, now time.Time) {
	s.joined = s.joined || slices.ContainsFunc(hosts, func(h gypsumyard.Host) bool { return h.Name == s.self.host.Name })
	listed := map[string]bool{}
	for _, h := range hosts {
		listed[h.Name] = true
		r, known := s.records[h.Name]
		switch {
		case !known && h.Region == s.self.host.Region:
			s.addListed(h, 0)
		case !known:
			s.addListed(h, uint64(now.UnixMilli()))
		case h.Region != s.self.host.Region:
			s.applyRemote(r, h, now)
		case h.State == gypsumyard.HostLeaving && r.listed == gypsumyard.HostLive:
			s.applyLeaving(r, now)
		}
		if r, ok := s.records[h.Name]; ok {
			r.listed = h.State
		}
	}
	for name, r := range s.records {
		if r.host.Region != s.self.host.Region && !listed[name] && !r.gone() {
			s.declare(r, peerpb.MemberState_DEAD)
		}
	}
}

// addListed adds a host that only the list knows.
func (s *Service) addListed(h gypsumyard.Host, incarnation uint64) {
	r := record{host: h, incarnation: incarnation}
	if h.State == gypsumyard.HostLeaving {
		r.state = peerpb.MemberState_LEAVING
	}
	s.merge(r.update())
}

// applyRemote takes over the entry of a host of another region. Its incarnation
// is the time at which the change was seen.
func (s *Service) applyRemote(r *record, h gypsumyard.Host, now time.Time) {
	state := h.State
	h.State = r.host.State
	if r.host == h && r.hostState() == state {
		return
	}
	h.State = state
	s.addListed(h, max(r.incarnation+1, uint64(now.UnixMilli())))
}

// applyLeaving marks a host as leaving that the list showed as live before.
func (s *Service) applyLeaving(r *record, now time.Time) {
	if r.state != peerpb.MemberState_LIVE || now.Sub(time.UnixMilli(int64(r.incarnation))) < listLag {
		return
	}
	if r == s.self {
		s.setSelf(peerpb.MemberState_LEAVING, r.incarnation+1)
		return
	}
	s.declare(r, peerpb.MemberState_LEAVING)
}
