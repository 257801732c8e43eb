package lineowner

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/quota"
	"github.com/sirupsen/logrus"
)

const (
	// quotaTick is the time between two searches for customers that lack tokens.
	quotaTick = 50 * time.Millisecond
	// idleQuotaTick is that time on a host that owns no group. It is below the pause after
	// which an allocation takes the host for one that was suspended.
	idleQuotaTick = 500 * time.Millisecond
	// unsupportedDelay is how long an owner is not asked that does not support quotas.
	unsupportedDelay = 10 * time.Second
	// rejectionLogInterval and transferLogInterval are the least times between two such
	// log lines of one group.
	rejectionLogInterval = 200 * time.Millisecond
	transferLogInterval  = 10 * time.Second
	// maxLoggedLimits is how many changed limits of one desired state are logged.
	maxLoggedLimits = 20
	// lostRetention is how long a host that was lost counts: if it is not dead but out of
	// reach, it may still spend its fraction of the limits.
	lostRetention = 10 * time.Minute
)

// defaultQuotaTolerance holds unless WithQuota sets another one.
var defaultQuotaTolerance = quota.Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// WithQuota sets how the rate limits of customers are checked. A window of zero keeps the
// default.
func WithQuota(t quota.Tolerance) Option {
	return func(s *Service) {
		if t.Window > 0 {
			s.quota.tolerance = t
		}
	}
}

// quotas is the part of the service that rate limits of customers need.
type quotas struct {
	tolerance quota.Tolerance
	reach     hostReach
	order     groupOrder
}

// A groupOrder caches the names of the groups of a desired state, in order.
type groupOrder struct {
	mu    sync.Mutex
	of    *gypsumyard.DesiredState
	names []string
}

func (o *groupOrder) groups(d *gypsumyard.DesiredState) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.of != d {
		o.of, o.names = d, slices.Sorted(maps.Keys(d.Groups))
	}
	return o.names
}

// A groupQuota is a group's part of the rate limits.
type groupQuota struct {
	// allocation is nil while the desired state has no customers. The group's mutex guards it.
	allocation *quota.Allocation
	// requesting is set while other owners are asked, requestAgain when an operation has
	// begun to wait since that began.
	requesting, requestAgain atomic.Bool
	// requestAfter holds when each owner may be asked again, by group.
	requestMu    sync.Mutex
	requestAfter map[string]time.Time

	rejections, transfers logSampler
}

// A logSampler limits how often a line is logged.
type logSampler struct {
	mu      sync.Mutex
	last    time.Time
	omitted int
}

// sample reports whether a line may be logged, and how many were left out before it.
func (l *logSampler) sample(now time.Time, interval time.Duration) (omitted int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.last) < interval {
		l.omitted++
		return 0, false
	}
	omitted = l.omitted
	l.last, l.omitted = now, 0
	return omitted, true
}

// limitOf returns the rate limit of a customer, or false if there is none.
func limitOf(d *gypsumyard.DesiredState, customer string) (quota.Limit, bool) {
	if d == nil || customer == "" {
		return quota.Limit{}, false
	}
	c, ok := d.Customers[customer]
	return quota.Limit{Rate: c.Rate, Burst: c.Burst}, ok && c.Rate > 0
}

// updateQuota applies the number of groups and the fraction of the hosts that this one
// reaches. The caller must hold g.mu.
func (g *group) updateQuota(d *gypsumyard.DesiredState) {
	if len(d.Customers) == 0 {
		g.quota.allocation = nil
		return
	}
	if g.quota.allocation == nil {
		g.quota.allocation = quota.NewAllocation(g.service.quota.tolerance, g.clock)
	}
	names := g.service.quota.order.groups(d)
	index, ok := slices.BinarySearch(names, g.name)
	if !ok {
		index = quota.NoIndex // A removed group still serves open sessions.
	}
	g.quota.allocation.Configure(index, len(names), g.service.quota.reach.current())
}

// restartQuota resets the group's allocation when its ownership is regained. The caller must
// hold g.mu.
func (g *group) restartQuota() {
	if g.quota.allocation != nil {
		g.quota.allocation.Restart()
	}
}

func (g *group) quotaAllocation() *quota.Allocation {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quota.allocation
}

// charge charges an operation to the customer of its session. If this owner has no token but
// others may, it waits for theirs for up to quota.MaxWait. It fails if the customer is over
// its limit.
func (g *group) charge(ctx context.Context, j *job) error {
	if j.KeyHolder == "" {
		return nil
	}
	l, ok := limitOf(g.service.lists.Desired(), j.KeyHolder)
	allocation := g.quotaAllocation()
	if !ok || allocation == nil {
		return nil
	}
	c, wait := allocation.Take(j.KeyHolder, l)
	if c == nil {
		if w := allocation.Await(j.KeyHolder, l); w != nil {
			var err error
			if c, wait, err = g.awaitTokens(ctx, allocation, w); err != nil {
				return err
			}
		}
	}
	if c == nil {
		return g.overLimit(j, l, wait)
	}
	j.charge = c
	return nil
}

// awaitTokens asks other owners for tokens at once, and waits until the operation can be
// charged. It returns no charge after quota.MaxWait, or as soon as no owner may be asked
// before that.
func (g *group) awaitTokens(ctx context.Context, a *quota.Allocation, w *quota.Waiter) (*quota.Charge, time.Duration, error) {
	defer w.End()
	deadline := g.clock.Now().Add(quota.MaxWait)
	for {
		answers := a.Answers()
		c, retryAfter, mayArrive := w.Take()
		if c != nil {
			g.metrics.quota.waitsServed.Inc(1)
			return c, 0, nil
		}
		now, next := g.clock.Now(), g.nextRequest(a, w)
		if !mayArrive || !now.Before(deadline) || next.After(deadline) && !g.quota.requesting.Load() {
			return nil, retryAfter, nil
		}
		if !next.After(now) {
			g.quota.requestAgain.Store(true)
			g.requestTokens(a)
			next = deadline
		}
		t := g.clock.NewTimer(min(earlier(next, deadline).Sub(now), retryAfter))
		select {
		case <-answers:
		case <-t.C():
		case <-ctx.Done():
			t.Stop()
			return nil, 0, notRun(context.Cause(ctx))
		}
		t.Stop()
	}
}

// overLimit returns the error for an operation over the limit.
func (g *group) overLimit(j *job, l quota.Limit, wait time.Duration) error {
	g.metrics.quota.rejected(j.KeyHolder)
	if omitted, ok := g.quota.rejections.sample(g.clock.Now(), rejectionLogInterval); ok {
		g.log.WithFields(g.fields(j)).WithFields(logrus.Fields{
			"customer": j.KeyHolder, "rate": l.Rate, "burst": l.Burst, "retry-after": wait.String(), "omitted": omitted,
		}).Info("operation is over the customer's limit")
	}
	err := gypsumyard.Errorf(gypsumyard.ClassPlan, "customer %s is over its limit of %g operations a second, burst %g", j.KeyHolder, l.Rate, l.Burst)
	err.RetryAfter, err.NoRetry = wait, true
	return err
}

// confirmCharge must be called just before an operation is sent. It fails if the charge
// has expired while the operation was queued, and the customer is over its limit now.
func (g *group) confirmCharge(j *job) error {
	if j.charge == nil {
		return nil
	}
	wait, ok := j.charge.Send()
	if ok {
		return nil
	}
	l, _ := limitOf(g.service.lists.Desired(), j.KeyHolder)
	return g.overLimit(j, l, wait)
}

// markUnsent marks the charge as unsent if the attempt has sent nothing.
func (j *job) markUnsent() {
	if j.charge != nil && !j.sent {
		j.charge.MarkUnsent()
	}
}

// refundUnsent refunds the charge of an operation of which nothing was sent.
func (g *group) refundUnsent(j *job) {
	if j.charge != nil && !j.sent {
		j.charge.Refund()
		g.metrics.quota.refunds.Inc(1)
	}
}

// logLimits logs the limits that have changed, up to maxLoggedLimits.
func (s *Service) logLimits(before, now *gypsumyard.DesiredState) {
	if before == nil || now == nil {
		return
	}
	changed := 0
	for name, c := range now.Customers {
		old, ok := before.Customers[name]
		if !ok || old.Rate == c.Rate && old.Burst == c.Burst {
			continue
		}
		if changed++; changed <= maxLoggedLimits {
			s.log.WithFields(logrus.Fields{
				"customer": name, "rate": c.Rate, "burst": c.Burst, "rate-before": old.Rate, "burst-before": old.Burst, "number": now.Number,
			}).Info("limit of a customer has changed")
		}
	}
	if changed > maxLoggedLimits {
		s.log.WithFields(logrus.Fields{"changed": changed, "number": now.Number}).Info("limits of more customers have changed")
	}
}
