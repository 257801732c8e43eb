package owner

import (
	"context"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
)

const (
	// pauseCheckInterval is the interval between two checks for a pause of the
	// process.
	pauseCheckInterval = 50 * time.Millisecond
	// maxPause is the suspicion timeout of the membership: after a longer
	// pause another host may own the databases.
	maxPause = 600 * time.Millisecond
	// refreshTimeout is how long the membership is given to learn what has
	// changed if it has not detected the pause itself or does not report its
	// freshness.
	refreshTimeout = time.Second
	// takeoverRateFactor scales the rates of customers while the previous
	// owner may still be serving.
	takeoverRateFactor = 0.5
	// releaseTimeout limits the release message to the next owner.
	releaseTimeout = time.Second
)

// A freshnessReporter is a Membership that reports since when its view has
// been up to date without interruption, or false after a pause until a peer
// has answered.
type freshnessReporter interface {
	FreshSince() (time.Time, bool)
}

// A leavingReporter is a Membership that knows which instances the platform's
// list shows as leaving.
type leavingReporter interface {
	UpstreamLeaving(instance string) bool
}

func (s *Service) listedLeaving(instance string) bool {
	l, ok := s.members.(leavingReporter)
	return ok && l.UpstreamLeaving(instance)
}

// A rateSetter is an Admitter that can scale the rates of all customers.
type rateSetter interface {
	SetRateFactor(factor float64)
}

// reconcileLoop reconciles the groups at each change of the lists or the
// membership.
func (s *Service) reconcileLoop() {
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

// reconcile starts the groups of the databases that this host owns and gives
// up the others. These include databases that were removed from the lists or
// have moved to another region.
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
			s.gainOwnership(d.Name)
		case g != nil:
			g.loseOwnership()
		}
	}
	for name, g := range s.groups {
		if !known[name] {
			g.loseOwnership()
		}
	}
}

func (s *Service) owns(database string) bool {
	h, ok := s.members.Owner(database)
	return ok && h.Name == s.self
}

// gainOwnership starts or continues the group of a database that this host
// owns. It returns nil if the lists do not contain the database. The caller
// must hold s.mu.
func (s *Service) gainOwnership(name string) *group {
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
		g.regainOwnership(d)
	}
	delete(s.released, name)
	return g
}

// takeOver reduces the rates for the takeover period, unless the previous
// owner has released the database within that time.
func (g *group) takeOver(released time.Time) {
	r, ok := g.admitter.(rateSetter)
	if !ok || !released.IsZero() && g.clock.Since(released) < g.takeoverPeriod {
		return
	}
	r.SetRateFactor(takeoverRateFactor)
	g.work.Add(1)
	go func() {
		defer g.work.Done()
		if g.clock.Sleep(g.ctx, g.takeoverPeriod) == nil {
			g.restoreFullRate()
		}
	}()
}

func (g *group) restoreFullRate() {
	if r, ok := g.admitter.(rateSetter); ok {
		r.SetRateFactor(1)
	}
}

// regainOwnership continues a group whose ownership was lost or whose database
// entry may have changed.
func (g *group) regainOwnership(d gypsumyard.Database) {
	g.mu.Lock()
	lost := g.ownedCtx.Err() != nil
	if lost && g.ctx.Err() == nil {
		g.ownedCtx, g.cancelOwned = context.WithCancelCause(g.ctx)
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

// loseOwnership ends the waits of queued requests. Requests in flight and open
// transactions continue.
func (g *group) loseOwnership() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ownedCtx.Err() != nil {
		return
	}
	g.log.Info("ownership lost")
	g.cancelOwned(errNotOwner)
	g.checkDrained()
}

// beginRequest counts a request as in flight. It reports false if the group
// has ended, or if the request is new work and this host has lost the
// ownership.
func (g *group) beginRequest(newWork bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ctx.Err() != nil || newWork && g.ownedCtx.Err() != nil {
		return false
	}
	g.inFlight++
	g.lastRequest = g.clock.Now()
	return true
}

func (g *group) endRequest() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	g.checkDrained()
}

// drained reports whether no request is in flight and no transaction is open.
func (g *group) drained() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight == 0 && len(g.transactions) == 0
}

// checkDrained starts the handover of a group that has lost its ownership and
// has no requests or transactions left. The caller must hold g.mu.
func (g *group) checkDrained() {
	if g.ownedCtx.Err() == nil || g.inFlight > 0 || len(g.transactions) > 0 || g.ctx.Err() != nil {
		return
	}
	s := g.service
	s.work.Add(1)
	go s.handOver(g)
}

// handOver closes a group and notifies the new owner.
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
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := peers.ReleaseDatabase(ctx, h, g.name); err != nil {
		g.log.WithField("host", h.Name).WithError(err).Warn("failed to notify the new owner of the release")
	}
}

// remove deletes a drained group that is not owned from the service. It
// reports false if the group has work or is owned again.
func (s *Service) remove(g *group) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.groups[g.name] != g || g.ownedCtx.Err() == nil || g.inFlight > 0 || len(g.transactions) > 0 {
		return false
	}
	delete(s.groups, g.name)
	g.cancel(errNotOwner)
	return true
}

// close ends all work of the group and closes its connections.
func (g *group) close() { g.closeOnce.Do(g.shutDown) }

func (g *group) shutDown() {
	g.cancel(errStopped)
	g.mu.Lock()
	members := g.members
	open := g.transactions
	g.members, g.counted, g.transactions = nil, nil, map[string]*transaction{}
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

// watchPauses detects pauses of the process by jumps of the clock. After a
// pause this host may not know that another one has taken over, so it refuses
// new work until the membership has been refreshed.
func (s *Service) watchPauses() {
	defer s.work.Done()
	last := s.clock.Now()
	var paused, resumed time.Time
	for s.clock.Sleep(s.ctx, pauseCheckInterval) == nil {
		now := s.clock.Now()
		if now.Sub(last) > maxPause {
			paused, resumed = last, now
			s.setStale(true)
			s.log.WithField("pause", now.Sub(last)).Warn("process was paused; refusing new requests until the membership is refreshed")
		}
		last = now
		if !resumed.IsZero() && s.refreshed(paused, resumed, now) {
			resumed = time.Time{}
			s.reconcile()
			s.setStale(false)
		}
	}
}

// refreshed reports whether the membership has been refreshed since a pause.
// The membership checks for pauses at other moments and may have missed a
// short one: its view then counts after refreshTimeout.
func (s *Service) refreshed(paused, resumed, now time.Time) bool {
	if r, ok := s.members.(freshnessReporter); ok {
		since, fresh := r.FreshSince()
		switch {
		case !fresh:
			return false
		case since.After(paused):
			return true
		}
	}
	return now.Sub(resumed) >= refreshTimeout
}

func (s *Service) setStale(stale bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = stale
}

func equalDatabase(a, b gypsumyard.Database) bool {
	if len(a.Instances) != len(b.Instances) || a.ListVersion != b.ListVersion || len(a.Former) != len(b.Former) || a.Slots != b.Slots || a.Connections != b.Connections ||
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
