package lineowner

import (
	"context"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/quota"
	"github.com/sirupsen/logrus"
)

// GiveQuota gives tokens to the owner of another group. Other hosts call it through the
// service "peer".
func (s *Service) GiveQuota(q gypsumyard.QuotaRequest) ([]gypsumyard.QuotaTokens, error) {
	s.mu.Lock()
	g := s.groups[q.Database]
	if !s.started || s.stopping || q.Database == q.AskingDatabase || g == nil || !s.owns(q.Database) {
		s.mu.Unlock()
		return nil, errNotOwner
	}
	s.mu.Unlock()
	g.mu.Lock()
	allocation, owned := g.quota.allocation, g.ownedCtx.Err() == nil
	g.mu.Unlock()
	if allocation == nil || !owned {
		return nil, errNotOwner
	}
	d := s.lists.Desired()
	granted := allocation.Give(q.Wanted, func(customer string) (quota.Limit, bool) { return limitOf(d, customer) })
	if n := g.metrics.quota.given.count(granted); n > 0 {
		g.logTransfer("tokens given to another owner", q.AskingDatabase, granted, n)
	}
	return granted, nil
}

// logTransfer logs that tokens were moved, sampled.
func (g *group) logTransfer(message, other string, moved []gypsumyard.QuotaTokens, tokens float64) {
	if omitted, ok := g.quota.transfers.sample(g.clock.Now(), transferLogInterval); ok {
		g.log.WithFields(logrus.Fields{
			"other": other, "customers": len(moved), "customer": moved[0].Customer, "tokens": tokens, "omitted": omitted,
		}).Info(message)
	}
}

// exchangeQuotas lets the groups that this host owns ask others for tokens, as long as the
// desired state has customers.
func (s *Service) exchangeQuotas() {
	var inForce *gypsumyard.DesiredState
	for s.ctx.Err() == nil {
		changed := s.lists.Changes()
		d := s.lists.Desired()
		if d != inForce {
			s.logLimits(inForce, d)
			inForce = d
		}
		if d == nil || len(d.Customers) == 0 {
			select {
			case <-changed:
			case <-s.ctx.Done():
			}
			continue
		}
		s.mu.Lock()
		groups := make([]*group, 0, len(s.groups))
		for _, g := range s.groups {
			groups = append(groups, g)
		}
		s.mu.Unlock()
		for _, g := range groups {
			g.tickQuota()
		}
		tick := quotaTick
		if len(groups) == 0 {
			tick = idleQuotaTick
		}
		if s.clock.Sleep(s.ctx, tick) != nil {
			return
		}
	}
}

// tickQuota starts asking other owners if customers lack tokens.
func (g *group) tickQuota() {
	g.mu.Lock()
	allocation, owned := g.quota.allocation, g.ownedCtx.Err() == nil
	g.mu.Unlock()
	if allocation == nil {
		return
	}
	allocation.Tick()
	if owned && len(allocation.Shortages()) > 0 {
		g.requestTokens(allocation)
	}
}

// requestTokens starts asking other owners unless that goes on already. The service waits
// for the requests when it stops; they end early when the group is closed.
func (g *group) requestTokens(a *quota.Allocation) {
	s := g.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping || !g.quota.requesting.CompareAndSwap(false, true) {
		return
	}
	s.wg.Go(func() {
		g.quota.requestAgain.Store(false)
		g.requestFromOwners(a, s.lists.Desired())
		g.quota.requesting.Store(false)
		if g.quota.requestAgain.Load() && g.ownedCtxErr() == nil {
			g.requestTokens(a) // This round may have passed owners that the operation needs.
		}
	})
}

// nextRequest returns the earliest time at which an owner may be asked that has a part of
// the customer's limit.
func (g *group) nextRequest(a *quota.Allocation, w *quota.Waiter) (next time.Time) {
	names := g.service.quota.order.groups(g.service.lists.Desired())
	g.quota.requestMu.Lock()
	defer g.quota.requestMu.Unlock()
	for n, index := range a.Targets([]gypsumyard.QuotaTokens{{Customer: w.Customer(), Tokens: 1}}) {
		if index >= len(names) {
			continue // The groups have changed.
		}
		if at := g.quota.requestAfter[names[index]]; n == 0 || at.Before(next) {
			next = at
		}
	}
	return next
}

// mayRequest reports whether the owner may be asked now. If so, it may not again before
// quota.RequestInterval has passed.
func (g *group) mayRequest(other string, now time.Time) bool {
	g.quota.requestMu.Lock()
	defer g.quota.requestMu.Unlock()
	if now.Before(g.quota.requestAfter[other]) {
		return false
	}
	if g.quota.requestAfter == nil {
		g.quota.requestAfter = map[string]time.Time{}
	}
	g.quota.requestAfter[other] = now.Add(quota.RequestInterval)
	return true
}

// pauseRequests lets the owner not be asked for a time.
func (g *group) pauseRequests(other string, until time.Time) {
	g.quota.requestMu.Lock()
	defer g.quota.requestMu.Unlock()
	g.quota.requestAfter[other] = until
}

// requestFromOwners asks the owners of the other groups, one after the other, until no customer
// lacks tokens or quota.MaxRequests were asked.
func (g *group) requestFromOwners(allocation *quota.Allocation, d *gypsumyard.DesiredState) {
	names := g.service.quota.order.groups(d)
	asked := 0
	for _, index := range allocation.Targets(allocation.Shortages()) {
		if index >= len(names) || asked >= quota.MaxRequests || g.ownedCtxErr() != nil {
			return // The groups may have changed.
		}
		other, at := names[index], g.clock.Now()
		wanted := allocation.WantedFrom(index, allocation.Shortages())
		if len(wanted) == 0 || !g.mayRequest(other, at) {
			continue
		}
		asked++
		granted, err := g.requestQuota(other, wanted)
		if gypsumyard.ClassOf(err) == gypsumyard.ClassNotSupported && err != nil {
			g.pauseRequests(other, at.Add(unsupportedDelay))
		}
		g.metrics.quota.request(granted, err)
		if tokens := allocation.Receive(wanted, granted, at); tokens > 0 {
			g.metrics.quota.received.add(tokens)
			g.logTransfer("tokens received from another owner", other, granted, tokens)
		}
		if err != nil {
			g.log.WithField("other", other).WithError(err).Debug("owner gave no answer to a request for tokens")
		}
	}
}

func (g *group) ownedCtxErr() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ownedCtx.Err()
}

// requestQuota asks the owner of another group.
func (g *group) requestQuota(other string, wanted []gypsumyard.QuotaTokens) ([]gypsumyard.QuotaTokens, error) {
	s := g.service
	q := gypsumyard.QuotaRequest{Database: other, AskingDatabase: g.name, Wanted: wanted}
	h, ok := s.members.Owner(other)
	switch {
	case !ok:
		return nil, errNotOwner
	case h.Name == s.self:
		return s.GiveQuota(q)
	}
	ctx, cancel := context.WithTimeout(g.ctx, quota.Lifetime)
	defer cancel()
	return s.peers.RequestQuota(ctx, h, q)
}
