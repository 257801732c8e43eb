package member

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/peer/peerpb"
	"github.com/gypsumyard/gypsumyard/internal/rendezvous"
)

const (
	// maxHosts bounds the number of records. It is about twice the target scale.
	maxHosts = 8192
	// maxNameBytes bounds each name in an update from a peer.
	maxNameBytes = 256
	// rejoinDelay is how long a rejoined host must have been live before it owns
	// databases again. The connections of a host that was paused are broken at
	// first, and each change of owner delays the requests of its database.
	rejoinDelay = 2 * time.Second
	// minAbsence is how long a host must have been considered dead to count as
	// rejoined. After a partition each side is told by the other that its own
	// hosts are dead, until they refute it.
	minAbsence = time.Second
	// deadRetention is how long the record of a dead host is kept, so that an old
	// update does not bring the host back.
	deadRetention = 10 * time.Minute
)

// A record is the table's entry for one host.
type record struct {
	host        gypsumyard.Host
	incarnation uint64
	state       peerpb.MemberState
	leaving     bool
	hash        uint64
	// stateSince is when the current state was merged.
	stateSince time.Time
	// lastHeard is when the host was last heard from, directly or through another
	// host, or when it became a heartbeat target.
	lastHeard time.Time
	// probeStarted is when the running indirect probe began, zero if none runs.
	probeStarted time.Time
	// lastIndirect is when the host was last reached through another host only.
	lastIndirect time.Time
	// digestPart is the record's contribution to the table's digest, and inRing
	// indicates that the record is on the ring.
	digestPart uint64
	inRing     bool
	// rejoinedAt is when the host was seen again after it had been considered dead
	// for at least minAbsence. It is never set for this host: a host that sends it
	// a request for a database already considers it eligible to own the database.
	rejoinedAt time.Time
	// listedState is the state in the platform's list at the last poll.
	listedState gypsumyard.HostState
}

func (r *record) gone() bool {
	return r.state == peerpb.MemberState_DEAD || r.state == peerpb.MemberState_LEFT
}

// digest returns the record's contribution to the digest of the table. Suspicion
// is left out: it ends before an exchange of tables could resolve a difference.
func (r *record) digest() uint64 {
	d := r.hash + 2*r.incarnation
	if r.leaving {
		d++
	}
	return rendezvous.Mix(d)
}

func (r *record) hostState() gypsumyard.HostState {
	switch r.state {
	case peerpb.MemberState_LIVE:
		return gypsumyard.HostLive
	case peerpb.MemberState_LEAVING:
		return gypsumyard.HostLeaving
	case peerpb.MemberState_SUSPECT:
		return gypsumyard.HostSuspect
	}
	return gypsumyard.HostDead
}

func (r *record) update() *peerpb.MemberUpdate {
	addr, _ := r.host.Addr.MarshalBinary() // It never fails.
	return &peerpb.MemberUpdate{
		Name:          r.host.Name,
		Address:       addr,
		Region:        r.host.Region,
		FailureDomain: r.host.FailureDomain,
		Incarnation:   r.incarnation,
		State:         r.state,
		Leaving:       r.leaving,
		Millicores:    uint32(r.host.Millicores),
	}
}

// decodeHost returns the host that an update is about, or false if the update
// is malformed.
func decodeHost(u *peerpb.MemberUpdate) (h gypsumyard.Host, ok bool) {
	if u == nil || u.Name == "" || max(len(u.Name), len(u.Region), len(u.FailureDomain)) > maxNameBytes {
		return h, false
	}
	if _, known := peerpb.MemberState_name[int32(u.State)]; !known {
		return h, false
	}
	var addr netip.AddrPort
	if addr.UnmarshalBinary(u.Address) != nil || !addr.IsValid() {
		return h, false
	}
	return gypsumyard.Host{
		Name: u.Name, Addr: addr, Region: u.Region, FailureDomain: u.FailureDomain, Millicores: int(min(u.Millicores, maxMillicores)),
	}, true
}

// merge applies an update if it is newer than the record. Within one incarnation
// a state of a higher value overrides one of a lower value, so that a suspicion
// overrides a live host and a death overrides a suspicion.
func (s *Service) merge(u *peerpb.MemberUpdate) {
	h, ok := decodeHost(u)
	if !ok {
		return
	}
	if h.Name == s.self.host.Name {
		s.mergeSelf(u)
		return
	}
	r, known := s.records[h.Name]
	switch {
	case !known && len(s.records) >= maxHosts:
		return
	case !known:
		r = &record{hash: rendezvous.HashName(h.Name), lastHeard: s.clock.Now()}
		s.records[h.Name] = r
	case u.Incarnation < r.incarnation:
		return
	case u.Incarnation == r.incarnation && u.State <= r.state:
		if u.State == r.state {
			s.queue.seen(h.Name)
		}
		return
	}
	keepLeaving := known && u.Incarnation == r.incarnation && r.leaving
	if known && r.gone() {
		r.lastHeard = s.clock.Now()
	}
	before := r.hostState()
	if now := s.clock.Now(); known && before == gypsumyard.HostDead && now.Sub(r.stateSince) > minAbsence {
		r.rejoinedAt = now
	}
	restarted := known && u.Incarnation > r.incarnation+maxRefutations
	r.host = h
	r.incarnation = u.Incarnation
	r.state = u.State
	r.leaving = u.Leaving || u.State == peerpb.MemberState_LEAVING || keepLeaving
	r.stateSince = s.clock.Now()
	if r.state == peerpb.MemberState_LIVE || r.state == peerpb.MemberState_LEAVING {
		r.probeStarted = time.Time{}
	}
	if restarted || r.hostState() == gypsumyard.HostDead {
		s.dropAssignments(h.Name)
	}
	s.noteChange(r)
	if after := r.hostState(); !known || before != after {
		s.log.WithFields(map[string]any{"member": h.Name, "state": after, "incarnation": r.incarnation}).Info("state of host")
	}
}

// mergeSelf refutes an update that is wrong about this host by raising the
// incarnation.
func (s *Service) mergeSelf(u *peerpb.MemberUpdate) {
	switch {
	case u.Incarnation < s.self.incarnation:
		return
	case u.Incarnation == s.self.incarnation && u.State <= s.self.state:
		return
	case u.Incarnation == s.self.incarnation && u.State == peerpb.MemberState_LEAVING:
		s.setSelf(peerpb.MemberState_LEAVING, u.Incarnation+1) // The platform's list shows this host as leaving.
		return
	}
	s.log.WithFields(map[string]any{"state": u.State, "incarnation": u.Incarnation}).Info("this host refutes an update about itself")
	s.metrics.Counter("member_refutations").Inc(1)
	s.setSelf(s.self.state, u.Incarnation+1)
}

func (s *Service) setSelf(state peerpb.MemberState, incarnation uint64) {
	s.self.state = state
	s.self.incarnation = incarnation
	s.self.leaving = state != peerpb.MemberState_LIVE
	s.self.stateSince = s.clock.Now()
	s.noteChange(s.self)
}

// noteChange queues the record for gossip and updates the state derived from the
// table: its digest, the suspects and the view.
func (s *Service) noteChange(r *record) {
	s.queue.add(r.host.Name)
	present := !r.gone() || r == s.self
	part := uint64(0)
	if present {
		part = r.digest()
	}
	s.digest ^= r.digestPart ^ part
	r.digestPart = part
	s.dirty = s.dirty || r.inRing != (present && r.host.Region == s.self.host.Region)
	if r.state == peerpb.MemberState_SUSPECT {
		s.suspects[r.host.Name] = r
	} else {
		delete(s.suspects, r.host.Name)
	}
	s.invalidate()
}

// invalidate drops the cached view and wakes the waiters on Changes.
func (s *Service) invalidate() {
	s.current.Store(nil)
	close(s.changes)
	s.changes = make(chan struct{})
}

// rebuildRing rebuilds the ring and the heartbeat targets if hosts have joined or
// left since the last call.
func (s *Service) rebuildRing() {
	if !s.dirty {
		return
	}
	s.dirty = false
	s.ring = s.ring[:0]
	for _, r := range s.records {
		r.inRing = r.host.Region == s.self.host.Region && (!r.gone() || r == s.self)
		if r.inRing {
			s.ring = append(s.ring, r)
		}
	}
	// Neighbors on the ring share a failure domain, so that most heartbeats stay
	// inside it. The far targets are in other domains.
	slices.SortFunc(s.ring, func(a, b *record) int {
		return cmp.Or(cmp.Compare(a.host.FailureDomain, b.host.FailureDomain), cmp.Compare(a.hash, b.hash), cmp.Compare(a.host.Name, b.host.Name))
	})
	s.chooseTargets()
}

// chooseTargets selects the hosts on the ring that get heartbeats. The silence of
// a new target is measured from now on.
func (s *Service) chooseTargets() {
	now := s.clock.Now()
	old := s.targets
	s.targets = nil
	at := slices.Index(s.ring, s.self)
	for _, d := range targetDistances(len(s.ring)) {
		r := s.ring[(at+d)%len(s.ring)]
		if !slices.Contains(old, r) && r.probeStarted.IsZero() {
			r.lastHeard = now
		}
		s.targets = append(s.targets, r)
	}
}

// targetDistances returns the distances of the heartbeat targets along a ring of
// n hosts. They grow geometrically up to half the ring, so that an update reaches
// all hosts in a number of hops that grows with log n. With the next 8 hosts as
// targets it would take n/8 hops.
func targetDistances(n int) []int {
	var ds []int
	last := min(heartbeatTargets, n-1)
	for i := 1; i <= last; i++ {
		d := i
		if n > heartbeatTargets+1 {
			exponent := float64(i-1) / (heartbeatTargets - 1)
			d = max(i, int(math.Pow(float64(n)/2, exponent)))
		}
		ds = append(ds, d)
	}
	return ds
}

// buildView copies the table for readers.
func (s *Service) buildView() *view {
	v := &view{regions: map[string][]candidate{}, assignments: map[string]string{}}
	for database, a := range s.assignments {
		v.assignments[database] = a.host
	}
	now := s.clock.Now()
	var rejoining []candidate
	for _, r := range s.records {
		if r.gone() {
			continue
		}
		h := r.host
		h.State = r.hostState()
		if h.Region == s.self.host.Region {
			v.hosts = append(v.hosts, h)
		}
		switch {
		case !s.eligible(r, now):
		case now.Sub(r.rejoinedAt) < rejoinDelay:
			rejoining = append(rejoining, candidate{h, r.hash})
		default:
			v.regions[h.Region] = append(v.regions[h.Region], candidate{h, r.hash})
		}
	}
	for _, c := range rejoining {
		if len(v.regions[c.host.Region]) == 0 {
			v.rejoining = append(v.rejoining, c)
		}
	}
	for _, c := range v.rejoining {
		v.regions[c.host.Region] = append(v.regions[c.host.Region], c)
	}
	slices.SortFunc(v.hosts, func(a, b gypsumyard.Host) int { return cmp.Compare(a.Name, b.Name) })
	for _, c := range v.regions {
		slices.SortFunc(c, func(a, b candidate) int { return cmp.Compare(a.host.Name, b.host.Name) })
	}
	return v
}

// eligible reports whether the host may own databases. A suspect keeps its
// databases until the suspicion has had time to be confirmed.
func (s *Service) eligible(r *record, now time.Time) bool {
	switch {
	case r.leaving || r.gone():
		return false
	case r.incarnation == 0 && s.complete:
		return false // The host is known from the list only; it may not have started.
	case r.state == peerpb.MemberState_SUSPECT:
		return now.Sub(r.stateSince) <= confirmTimeout
	}
	return true
}
