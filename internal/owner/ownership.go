package owner

import (
	"context"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
)

const (
	// pauseTick is the interval at which a pause of the process is looked for.
	pauseTick = 50 * time.Millisecond
	// pauseLimit is the suspicion timeout of the membership: after a longer
	// pause another host may own the databases.
	pauseLimit = 600 * time.Millisecond
	// refreshAfterPause is how long the membership is given to learn what has
	// changed if it has not noticed the pause itself or does not tell.
	refreshAfterPause = time.Second
	// takeoverRate is the rate of customers while the previous owner may still
	// be serving.
	takeoverRate = 0.5
	// releaseBound limits the message to the next owner.
	releaseBound = time.Second
)

// A refresher is a Membership that tells since when its view is up to date
// without a break, or false after a pause until a peer has answered.
type refresher interface {
	FreshSince() (time.Time, bool)
}

// An upstreamLister is a Membership that knows which instances the platform's
// list shows as leaving.
type upstreamLister interface {
	UpstreamLeaving(instance string) bool
}

func (s *Service) listedLeaving(instance string) bool {
	l, ok := s.members.(upstreamLister)
	return ok && l.UpstreamLeaving(instance)
}

// A rateSetter is an Admitter that can scale the rates of all customers.
type rateSetter interface {
	SetRateFactor(factor float64)
}

// follow takes over and gives up databases as the lists and the membership
// change.
func (s *Service) follow() {
	defer s.work.Done()
	for {
		members, lists := s.members.Changes(), s.lists.Changes()
		s.reconcile()
		select {
		case <-members:
		case <-lists:
		case <-s.ctx.Done():
			return
		}
	}
}

// reconcile compares the groups with what this host owns. Databases that are
// gone from the lists, or have moved to another region, are given up.
func (s *Service) reconcile() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return
	}
	known := map[string]bool{}
	region := s.members.Self().Region
	for _, d := range s.lists.Databases() {
		if d.Region != region {
			// Only hosts of its region own a database. Looking for the owner of
			// each of 14,000 databases at each change took 50 ms.
			continue
		}
		known[d.Name] = true
		g := s.groups[d.Name]
		switch {
		case s.owns(d.Name):
			s.gain(d.Name)
		case g != nil:
			g.lose()
		}
	}
	for name, g := range s.groups {
		if !known[name] {
			g.lose()
		}
	}
}

func (s *Service) owns(database string) bool {
	h, ok := s.members.Owner(database)
	return ok && h.Name == s.self
}

// gain begins or continues to run a database. It is called with the lock held.
func (s *Service) gain(name string) *group {
	d, ok := s.lists.Database(name)
	if !ok {
		return nil
	}
	g := s.groups[name]
	if g == nil {
		g = newGroup(s, d)
		s.groups[name] = g
		s.log.WithField("database", name).Info("ownership gained")
		g.takeOver(s.released[name])
	} else {
		g.regain(d)
	}
	delete(s.released, name)
	return g
}

// takeOver begins at a reduced rate unless the previous owner has finished.
func (g *group) takeOver(released time.Time) {
	r, ok := g.admitter.(rateSetter)
	if !ok || !released.IsZero() && g.clock.Since(released) < g.takeover {
		return
	}
	r.SetRateFactor(takeoverRate)
	g.work.Add(1)
	go func() {
		defer g.work.Done()
		if g.clock.Sleep(g.ctx, g.takeover) == nil {
			g.fullRate()
		}
	}()
}

func (g *group) fullRate() {
	if r, ok := g.admitter.(rateSetter); ok {
		r.SetRateFactor(1)
	}
}

// regain continues a group whose ownership was lost or whose entry may have
// changed.
func (g *group) regain(d gypsumyard.Database) {
	g.mu.Lock()
	lost := g.owned.Err() != nil
	if lost && g.ctx.Err() == nil {
		g.owned, g.disown = context.WithCancelCause(g.ctx)
	}
	changed := !equalDatabase(g.database, d)
	g.mu.Unlock()
	if changed {
		g.update(d)
	}
	if lost {
		g.log.Info("ownership regained")
		g.takeOver(time.Time{})
	}
}

// lose ends the waits of queued requests. Those in flight and open
// transactions go on.
func (g *group) lose() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.owned.Err() != nil {
		return
	}
	g.log.Info("ownership lost")
	g.disown(errNotOwner)
	g.checkDrained()
}

// enterGroup counts a request in. A new request needs the ownership.
func (g *group) enterGroup(newWork bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ctx.Err() != nil || newWork && g.owned.Err() != nil {
		return false
	}
	g.inFlight++
	g.lastRequest = g.clock.Now()
	return true
}

func (g *group) leaveGroup() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	g.checkDrained()
}

func (g *group) empty() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight == 0 && len(g.transactions) == 0
}

// checkDrained starts the hand-over when a group that has lost its ownership
// has no work left. It is called with the lock held.
func (g *group) checkDrained() {
	if g.owned.Err() == nil || g.inFlight > 0 || len(g.transactions) > 0 || g.ctx.Err() != nil {
		return
	}
	s := g.service
	s.work.Add(1)
	go s.handOver(g)
}

// handOver closes a group and tells the new owner.
func (s *Service) handOver(g *group) {
	defer s.work.Done()
	if !s.remove(g) {
		return
	}
	g.close()
	h, ok := s.members.Owner(g.name)
	if !ok || h.Name == s.self {
		return
	}
	peers, err := kernel.Lookup[gypsumyard.PeerClient](s.kernel, "peer")
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseBound)
	defer cancel()
	if err := peers.ReleaseDatabase(ctx, h, g.name); err != nil {
		g.log.WithField("host", h.Name).WithError(err).Warn("new owner was not told of the release")
	}
}

// remove takes an empty group that is not owned out of the service.
func (s *Service) remove(g *group) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.groups[g.name] != g || g.owned.Err() == nil || g.inFlight > 0 || len(g.transactions) > 0 {
		return false
	}
	delete(s.groups, g.name)
	g.cancel(errNotOwner)
	return true
}

// close ends all work of the group and its connections.
func (g *group) close() { g.ending.Do(g.shutDown) }

func (g *group) shutDown() {
	g.cancel(errStopped)
	g.mu.Lock()
	members := g.members
	open := g.transactions
	g.members, g.transactions = nil, map[string]*transaction{}
	g.mu.Unlock()
	for _, t := range open {
		t.conn.Close()
	}
	for _, m := range members {
		g.work.Add(1)
		g.retire(m)
	}
	g.work.Wait()
	if c, ok := g.admitter.(interface{ Close() }); ok {
		c.Close()
	}
}

// watchPauses looks for jumps of the clock. After one this host may not know
// that another one has taken over, so it refuses new work until it has seen
// the membership again.
func (s *Service) watchPauses() {
	defer s.work.Done()
	last := s.clock.Now()
	var paused, resumed time.Time
	for s.clock.Sleep(s.ctx, pauseTick) == nil {
		now := s.clock.Now()
		if now.Sub(last) > pauseLimit {
			paused, resumed = last, now
			s.setStale(true)
			s.log.WithField("pause", now.Sub(last)).Warn("this host was paused")
		}
		last = now
		if !resumed.IsZero() && s.refreshed(paused, resumed, now) {
			resumed = time.Time{}
			s.reconcile()
			s.setStale(false)
		}
	}
}

// refreshed reports whether the membership has been seen since a pause. The
// membership looks for pauses at other moments, so it may have missed a short
// one: then its view counts after refreshAfterPause.
func (s *Service) refreshed(paused, resumed, now time.Time) bool {
	if r, ok := s.members.(refresher); ok {
		since, fresh := r.FreshSince()
		switch {
		case !fresh:
			return false
		case since.After(paused):
			return true
		}
	}
	return now.Sub(resumed) >= refreshAfterPause
}

func (s *Service) setStale(stale bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = stale
}

func equalDatabase(a, b gypsumyard.Database) bool {
	if len(a.Instances) != len(b.Instances) || a.Slots != b.Slots || a.Connections != b.Connections ||
		a.User != b.User || a.Password != b.Password {
		return false
	}
	for i := range a.Instances {
		if a.Instances[i] != b.Instances[i] {
			return false
		}
	}
	return true
}
