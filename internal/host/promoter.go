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
	// lastSeen is when a primary last answered, lastHeard when a majority
	// last received the log of the primary.
	lastSeen  time.Time
	lastHeard time.Time
	// cutOff is the primary that is being replaced although it answers.
	cutOff string
}

func (h *Host) newPromoter(d gypsumyard.Database) owner.Promoter {
	now := h.clock.Now()
	return &promoter{
		database:  d.Name,
		clock:     h.clock,
		log:       h.entry("promote"),
		limit:     time.Duration(h.settings.Owner.DetectTimeout),
		lastSeen:  now,
		lastHeard: now,
	}
}

// Judge asks for a promotion when for the limit no primary has answered, or
// too few replicas have received the log of the primary to confirm a write.
func (p *promoter) Judge(_ context.Context, s owner.PromotionState) owner.Verdict {
	now := p.clock.Now()
	p.cutOff = ""
	for _, v := range s.Views {
		if !v.Reachable || !v.Status.Writable() {
			continue
		}
		p.lastSeen = now
		if v.Leaving {
			return owner.Verdict{Promote: true, Planned: true, Reason: "the primary is leaving"}
		}
		return p.judgeStream(now, v.Upstream.Name, s)
	}
	if now.Sub(p.lastSeen) < p.limit {
		return owner.Verdict{}
	}
	return owner.Verdict{Promote: true, Reason: "no primary answers"}
}

// judgeStream looks for a primary that answers but whose log does not reach a
// majority. Its writes can never be confirmed.
func (p *promoter) judgeStream(now time.Time, primary string, s owner.PromotionState) owner.Verdict {
	hearing, cut := 1, 0
	for _, v := range s.Views {
		switch {
		case !v.Reachable || v.Upstream.Name == primary:
		case v.Status.StreamAge < p.limit:
			hearing++
		default:
			cut++
		}
	}
	majority := s.Database.Majority()
	if hearing >= majority || cut < majority {
		p.lastHeard = now
		return owner.Verdict{}
	}
	if now.Sub(p.lastHeard) < p.limit {
		return owner.Verdict{}
	}
	p.cutOff = primary
	return owner.Verdict{Promote: true, Reason: "replicas do not receive the log of the primary"}
}

// Promote fences a majority and promotes the most advanced instance.
func (p *promoter) Promote(ctx context.Context, s owner.PromotionState, _ owner.Verdict) (string, gypsumyard.Term, error) {
	options := []promote.Option{promote.WithClock(p.clock), promote.WithLogger(p.log), promote.WithDatabase(p.database)}
	if p.cutOff != "" {
		options = append(options, promote.WithCutOff(p.cutOff))
	}
	r, err := promote.Run(ctx, s.Instances, options...)
	if err != nil {
		return "", 0, err
	}
	p.lastSeen, p.lastHeard = p.clock.Now(), p.clock.Now()
	return r.Primary, r.Term, nil
}
