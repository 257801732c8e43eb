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
}

// NewTimeoutPromoter returns a promoter that replaces a primary that does not
// answer for a fixed time. It is the baseline for measurements.
func NewTimeoutPromoter(clock gypsumyard.Clock) Promoter { return &timeoutPromoter{clock: clock} }

func (p *timeoutPromoter) Judge(_ context.Context, s PromotionState) Verdict {
	now := p.clock.Now()
	limit := deadAfter
	silent := time.Duration(-1)
	for _, v := range s.Views {
		switch {
		case v.Upstream.Name == s.Primary:
			silent = now.Sub(v.SampledAt)
			if v.Reachable && v.Status.Role != gypsumyard.RolePrimary {
				return Verdict{Promote: true, Reason: "the primary has stepped down"}
			}
		case v.Reachable && v.Status.StreamAge+now.Sub(v.SampledAt) < deadAfter:
			limit = deadWhileHeard
		}
	}
	if silent < limit {
		return Verdict{}
	}
	return Verdict{Promote: true, Reason: "the primary has not answered for " + silent.String()}
}

func (p *timeoutPromoter) Promote(ctx context.Context, s PromotionState, _ Verdict) (string, gypsumyard.Term, error) {
	r, err := promote.Run(ctx, s.Instances, promote.WithClock(p.clock), promote.WithDatabase(s.Database.Name))
	return r.Primary, r.Term, err
}
