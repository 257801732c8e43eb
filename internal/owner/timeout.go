package owner

import (
	"context"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/promote"
)

const (
	// primaryTimeout is how long a primary may be unreachable.
	// heardPrimaryTimeout applies instead while a replica still hears the
	// primary.
	primaryTimeout      = 600 * time.Millisecond
	heardPrimaryTimeout = 3 * time.Second
)

// A timeoutPromoter uses no witnesses and no planned promotions.
type timeoutPromoter struct {
	clock gypsumyard.Clock
	// noPrimarySince is since when no writable instance has been seen.
	noPrimarySince time.Time
}

// NewTimeoutPromoter returns a promoter that replaces a primary that has not
// answered for a fixed time. It is the baseline for measurements.
func NewTimeoutPromoter(clock gypsumyard.Clock) Promoter { return &timeoutPromoter{clock: clock} }

// Evaluate measures the time since the last answer of the primary, or since it
// was first seen that there is no primary. A primary that answers but was
// fenced, for example by a promotion that found no majority, must be replaced
// as well.
func (p *timeoutPromoter) Evaluate(_ context.Context, s PromotionState) PromotionDecision {
	now := p.clock.Now()
	since, limit, heard := now, primaryTimeout, false
	for _, v := range s.Views {
		switch {
		case v.Reachable && v.Status.Writable():
			p.noPrimarySince = time.Time{}
			return PromotionDecision{}
		case v.Upstream.Name == s.Primary && !v.Reachable:
			since = v.SampledAt
			limit = heardPrimaryTimeout
		case v.Reachable && v.Status.StreamAge+now.Sub(v.SampledAt) < primaryTimeout:
			heard = true
		}
	}
	if !heard {
		limit = primaryTimeout
	}
	if p.noPrimarySince.IsZero() {
		p.noPrimarySince = since
	}
	silent := now.Sub(p.noPrimarySince)
	if silent < limit {
		return PromotionDecision{}
	}
	return PromotionDecision{Promote: true, Reason: "no primary has answered for " + silent.String()}
}

func (p *timeoutPromoter) Promote(ctx context.Context, s PromotionState, _ PromotionDecision) (string, gypsumyard.Term, error) {
	r, err := promote.Run(ctx, s.Instances, promote.WithClock(p.clock), promote.WithDatabase(s.Database.Name), promote.WithLists(s.Lists...))
	return r.Primary, r.Term, err
}
