package owner

import (
	"context"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/promote"
)

const (
	// deadAfter is how long a primary must be unreachable, and deadWhileHeard
	// how long if a replica still hears it.
	deadAfter      = 600 * time.Millisecond
	deadWhileHeard = 3 * time.Second
)

// timeoutPromoter knows no peers and no planned promotions.
type timeoutPromoter struct {
	clock gypsumyard.Clock
	// lost is when no writable instance was seen first.
	lost time.Time
}

// NewTimeoutPromoter returns a promoter that replaces a primary that does not
// answer for a fixed time. It is the baseline for measurements.
func NewTimeoutPromoter(clock gypsumyard.Clock) Promoter { return &timeoutPromoter{clock: clock} }

// Evaluate measures from the last answer of the primary, or from when no primary
// was seen first. A primary that answers but was fenced, for example by a
// promotion that found no majority, must be replaced as well.
func (p *timeoutPromoter) Evaluate(_ context.Context, s PromotionState) PromotionDecision {
	now := p.clock.Now()
	since, limit, heard := now, deadAfter, false
	for _, v := range s.Views {
		switch {
		case v.Reachable && v.Status.Writable():
			p.lost = time.Time{}
			return PromotionDecision{}
		case v.Upstream.Name == s.Primary && !v.Reachable:
			since = v.SampledAt
			limit = deadWhileHeard
		case v.Reachable && v.Status.StreamAge+now.Sub(v.SampledAt) < deadAfter:
			heard = true
		}
	}
	if !heard {
		limit = deadAfter
	}
	if p.lost.IsZero() {
		p.lost = since
	}
	silent := now.Sub(p.lost)
	if silent < limit {
		return PromotionDecision{}
	}
	return PromotionDecision{Promote: true, Reason: "no primary has answered for " + silent.String()}
}

func (p *timeoutPromoter) Promote(ctx context.Context, s PromotionState, _ PromotionDecision) (string, gypsumyard.Term, error) {
	r, err := promote.Run(ctx, s.Instances, promote.WithClock(p.clock), promote.WithDatabase(s.Database.Name))
	return r.Primary, r.Term, err
}
