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
	// maxHosts bounds the table. It is about twice the target scale.
	maxHosts = 8192
	// maxName bounds the names that a peer may send.
	maxName = 256
	// returnAfter is how long a host must have been back before it owns
	// databases again. A host that was paused first finds its connections
	// broken, and each change of owner costs its requests a moment.
	returnAfter = 2 * time.Second
	// absentAfter is how long a host must have been taken for dead to count as
	// returned. After a partition each side hears that its own hosts are dead,
	// until they refute it.
	absentAfter = time.Second
	// forgetAfter is how long a dead host is remembered, so that an old update
	// does not bring it back.
	forgetAfter = 10 * time.Minute
)

// A record is what the table knows of one host.
type record struct {
	host        gypsumyard.Host
	incarnation uint64
	state       peerpb.MemberState
	leaving     bool
	hash        uint64
	// changed is when the state was taken over.
	changed time.Time
	// heard is when the host last answered, or became a target of heartbeats.
	heard time.Time
	// probed is when probes through others began. Zero means that none runs.
	probed time.Time
	// indirect is when the host was last reached only through others.
	indirect time.Time
	// counted is the record's part in the table's digest, and inRing tells
	// whether it is on the ring.
	counted uint64
	inRing  bool
	// returned is when the host was seen again after it had been taken for
	// dead for a while. It is never set for this host: whoever asks it for a
	// database believes that it may own it.
	returned time.Time
	// listed is the state in the platform's list at the last poll.
	listed gypsumyard.HostState
}

func (r *record) gone() bool {
	return r.state == peerpb.MemberState_DEAD || r.state == peerpb.MemberState_LEFT
}

// digest is the record's part in the digest of the table. Suspicion is left
// out: it passes before an exchange of tables could settle it.
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
	}
}

// decodeHost returns the host that an update is about, or false if the update
// is malformed.
func decodeHost(u *peerpb.MemberUpdate) (h gypsumyard.Host, ok bool) {
	if u == nil || u.Name == "" || max(len(u.Name), len(u.Region), len(u.FailureDomain)) > maxName {
		return h, false
	}
	if _, known := peerpb.MemberState_name[int32(u.State)]; !known {
		return h, false
	}
	var addr netip.AddrPort
	if addr.UnmarshalBinary(u.Address) != nil || !addr.IsValid() {
		return h, false
	}
	return gypsumyard.Host{Name: u.Name, Addr: addr, Region: u.Region, FailureDomain: u.FailureDomain}, true
}

// merge takes an update over if it is newer than the record. Within one
// incarnation a worse state is newer.
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
		r = &record{hash: rendezvous.HashName(h.Name), heard: s.clock.Now()}
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
		r.heard = s.clock.Now()
	}
	before := r.hostState()
	if now := s.clock.Now(); known && before == gypsumyard.HostDead && now.Sub(r.changed) > absentAfter {
		r.returned = now
	}
	r.host = h
	r.incarnation = u.Incarnation
	r.state = u.State
	r.leaving = u.Leaving || u.State == peerpb.MemberState_LEAVING || keepLeaving
	r.changed = s.clock.Now()
	if r.state == peerpb.MemberState_LIVE || r.state == peerpb.MemberState_LEAVING {
		r.probed = time.Time{}
	}
	s.noteChange(r)
	if after := r.hostState(); !known || before != after {
		s.log.WithFields(map[string]any{"member": h.Name, "state": after, "incarnation": r.incarnation}).Info("state of host")
	}
}

// mergeSelf refutes what others wrongly say of this host.
func (s *Service) mergeSelf(u *peerpb.MemberUpdate) {
	switch {
	case u.Incarnation < s.self.incarnation:
		return
	case u.Incarnation == s.self.incarnation && u.State <= s.self.state:
		return
	case u.Incarnation == s.self.incarnation && u.State == peerpb.MemberState_LEAVING:
		s.setSelf(peerpb.MemberState_LEAVING, u.Incarnation+1) // The platform says so.
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
	s.self.changed = s.clock.Now()
	s.noteChange(s.self)
}

// noteChange spreads the record and updates what is derived from the table.
func (s *Service) noteChange(r *record) {
	s.queue.add(r.host.Name)
	present := !r.gone() || r == s.self
	part := uint64(0)
	if present {
		part = r.digest()
	}
	s.digest ^= r.counted ^ part
	r.counted = part
	s.dirty = s.dirty || r.inRing != (present && r.host.Region == s.self.host.Region)
	if r.state == peerpb.MemberState_SUSPECT {
		s.suspects[r.host.Name] = r
	} else {
		delete(s.suspects, r.host.Name)
	}
	s.invalidate()
}

// invalidate drops the view and wakes those who wait for its change.
func (s *Service) invalidate() {
	s.current.Store(nil)
	close(s.changes)
	s.changes = make(chan struct{})
}

// refresh rebuilds the ring after hosts have come or gone.
func (s *Service) refresh() {
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
	slices.SortFunc(s.ring, func(a, b *record) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.host.Name, b.host.Name))
	})
	s.retarget()
}

// retarget chooses the ring successors that get heartbeats. The time for a new
// target to answer begins now.
func (s *Service) retarget() {
	now := s.clock.Now()
	old := s.targets
	s.targets = nil
	at := slices.Index(s.ring, s.self)
	for _, d := range distances(len(s.ring)) {
		r := s.ring[(at+d)%len(s.ring)]
		if !slices.Contains(old, r) && r.probed.IsZero() {
			r.heard = now
		}
		s.targets = append(s.targets, r)
	}
}

// distances returns how far along a ring of n hosts the targets of heartbeats
// are. They grow geometrically up to half the ring, so that an update reaches
// all hosts in a number of hops that grows with log n. With the next 8 hosts as
// targets it takes n/8 hops.
func distances(n int) []int {
	var ds []int
	last := min(successors, n-1)
	for i := 1; i <= last; i++ {
		d := i
		if n > successors+1 {
			exponent := float64(i-1) / (successors - 1)
			d = max(i, int(math.Pow(float64(n)/2, exponent)))
		}
		ds = append(ds, d)
	}
	return ds
}

// buildView copies the table for readers.
func (s *Service) buildView() *view {
	v := &view{regions: map[string][]candidate{}, assigned: map[string]string{}}
	for database, a := range s.assigned {
		v.assigned[database] = a.host
	}
	now := s.clock.Now()
	var waiting []candidate
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
		case now.Sub(r.returned) < returnAfter:
			waiting = append(waiting, candidate{h, r.hash})
		default:
			v.regions[h.Region] = append(v.regions[h.Region], candidate{h, r.hash})
		}
	}
	for _, c := range waiting {
		if len(v.regions[c.host.Region]) == 0 {
			v.waiting = append(v.waiting, c)
		}
	}
	for _, c := range v.waiting {
		v.regions[c.host.Region] = append(v.regions[c.host.Region], c)
	}
	slices.SortFunc(v.hosts, func(a, b gypsumyard.Host) int { return cmp.Compare(a.Name, b.Name) })
	for _, c := range v.regions {
		slices.SortFunc(c, func(a, b candidate) int { return cmp.Compare(a.host.Name, b.host.Name) })
	}
	return v
}

// eligible reports whether the host may own databases. A suspect keeps its
// databases for as long as a confirmation takes.
func (s *Service) eligible(r *record, now time.Time) bool {
	switch {
	case r.leaving || r.gone():
		return false
	case r.incarnation == 0 && s.complete:
		return false // Only the list knows the host; it may not have started.
	case r.state == peerpb.MemberState_SUSPECT:
		return now.Sub(r.changed) <= confirmAfter
	}
	return true
}
