package host

import (
	"context"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/owner"
	"github.com/gypsumyard/gypsumyard/internal/promote"
	"github.com/sirupsen/logrus"
)

// A promoter judges and replaces the primary of one database.
type promoter struct {
	database string
	clock    gypsumyard.Clock
	log      *logrus.Entry
	limit    time.Duration
	lastSeen time.Time
}

func (h *Host) newPromoter(d gypsumyard.Database) owner.Promoter {
	return &promoter{
		database: d.Name,
		clock:    h.clock,
		log:      h.entry("promote"),
		limit:    time.Duration(h.settings.Owner.DetectTimeout),
		lastSeen: h.clock.Now(),
	}
}

// Judge asks for a promotion when no instance has been a reachable primary for
// the limit.
func (p *promoter) Judge(_ context.Context, s owner.PromotionState) owner.Verdict {
	for _, v := range s.Views {
		if v.Reachable && v.Status.Writable() {
			p.lastSeen = p.clock.Now()
			return owner.Verdict{Promote: v.Leaving, Planned: v.Leaving, Reason: "leaving"}
		}
	}
	if p.clock.Since(p.lastSeen) < p.limit {
		return owner.Verdict{}
	}
	return owner.Verdict{Promote: true, Reason: "no primary answers"}
}

// Promote fences a majority and promotes the most advanced instance.
func (p *promoter) Promote(ctx context.Context, s owner.PromotionState, v owner.Verdict) (string, gypsumyard.Term, error) {
	r, err := promote.Run(ctx, s.Instances, promote.WithClock(p.clock), promote.WithLogger(p.log),
		promote.WithDatabase(p.database))
	if err != nil {
		return "", 0, err
	}
	p.lastSeen = p.clock.Now()
	return r.Primary, r.Term, nil
}
