package member

import (
	"context"
	"slices"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/peer/peerpb"
)

const (
	// pollInterval is the time between reads of the platform's list, before a
	// random jitter of up to a tenth. In small regions the list is read more
	// often, since an instance that it shows as leaving must get no new work after
	// a few seconds.
	pollInterval            = 5 * time.Second
	smallRegionPollInterval = 2 * time.Second
	// pollTimeout bounds one read, and initialPollTimeout the one that the start of
	// the host waits for. Until the list or another host has answered, the list is
	// read every initialPollInterval.
	pollTimeout         = 2 * time.Second
	initialPollTimeout  = 400 * time.Millisecond
	initialPollInterval = 500 * time.Millisecond
	// smallRegionHosts is the number of hosts up to which a region counts as small:
	// each of its hosts reads the list.
	smallRegionHosts = 9
	// pollerCount is the number of hosts that read the list in larger regions. It
	// is fixed so that the number of platform calls does not grow with the fleet.
	pollerCount = 3
	// pollerKey is the rendezvous key that selects the pollers. The same hosts
	// watch the plan lists.
	pollerKey = "plan-lists"
	// maxListLag is the time after a host's start during which the list may still
	// show its previous process as leaving.
	maxListLag = 30 * time.Second
)

// pollLoop reads the platform's list periodically until the service stops.
func (s *Service) pollLoop() {
	for {
		interval := pollInterval
		switch {
		case !s.hasJoined():
			interval = initialPollInterval
		case len(s.view().hosts) <= smallRegionHosts:
			interval = smallRegionPollInterval
		}
		if s.clock.Sleep(s.stopping, jittered(interval)) != nil {
			return
		}
		if s.isPoller() || !s.hasJoined() {
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

// isPoller reports whether this host is one of those that read the platform's
// list.
func (s *Service) isPoller() bool {
	if len(s.view().hosts) <= smallRegionHosts {
		return true
	}
	self := s.Self()
	return slices.ContainsFunc(s.TopRanked(pollerKey, pollerCount), func(h gypsumyard.Host) bool { return h.Name == self.Name })
}

// TopRanked returns the n hosts of this region that rank highest in rendezvous
// order for the key, in this host's view. Hosts of large capacity come first.
func (s *Service) TopRanked(key string, n int) (hosts []gypsumyard.Host) {
	for _, c := range topCandidates(s.view().regions[s.self.host.Region], key, n) {
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
	hosts = s.separateUpstreams(hosts)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyList(hosts, s.clock.Now())
}

// applyList merges the platform's list into the table: it adds hosts and marks
// those that have become leaving. Whether a host of this region is alive is
// decided by heartbeats alone; for hosts of other regions the list is the only
// source.
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
		case h.State == gypsumyard.HostLeaving && r.listedState == gypsumyard.HostLive:
			s.applyLeaving(r, now)
		}
		if r, ok := s.records[h.Name]; ok {
			r.listedState = h.State
		}
	}
	for name, r := range s.records {
		if r.host.Region != s.self.host.Region && !listed[name] && !r.gone() {
			s.declare(r, peerpb.MemberState_DEAD)
		}
	}
}

// addListed merges a host as the list shows it. Incarnation 0 marks a host that
// is known from the list only.
func (s *Service) addListed(h gypsumyard.Host, incarnation uint64) {
	r := record{host: h, incarnation: incarnation}
	if h.State == gypsumyard.HostLeaving {
		r.state = peerpb.MemberState_LEAVING
	}
	s.merge(r.update())
}

// applyRemote merges the listed entry of a host in another region if it differs
// from the record. The new incarnation is the time at which the change was seen.
func (s *Service) applyRemote(r *record, h gypsumyard.Host, now time.Time) {
	state := h.State
	h.State = r.host.State
	if r.host == h && r.hostState() == state {
		return
	}
	h.State = state
	s.addListed(h, max(r.incarnation+1, uint64(now.UnixMilli())))
}

// applyLeaving marks a host as leaving whose list entry has changed from live to
// leaving.
func (s *Service) applyLeaving(r *record, now time.Time) {
	if r.state != peerpb.MemberState_LIVE || now.Sub(time.UnixMilli(int64(r.incarnation))) < maxListLag {
		return
	}
	if r == s.self {
		s.setSelf(peerpb.MemberState_LEAVING, r.incarnation+1)
		return
	}
	s.declare(r, peerpb.MemberState_LEAVING)
}
