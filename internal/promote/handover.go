package promote

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/sirupsen/logrus"
)

// catchUpPoll spaces the status reads while a replica catches up.
const catchUpPoll = 5 * time.Millisecond

// HandOver replaces a primary that works but is about to leave. It fences the
// primary, waits until a replica holds all of its log and promotes that one. If
// none catches up in time, the most advanced instance is promoted, which may be
// the leaving one: Result.Primary tells. Errors are those of [Run].
func HandOver(ctx context.Context, leaving string, instances []gypsumyard.Instance, options ...Option) (r Result, err error) {
	p := newPromotion(instances, options)
	defer func() {
		if err != nil {
			err = fmt.Errorf("hand over from %s in %s: %w", leaving, p.set.database, err)
		}
	}()
	p.leaving = leaving
	return p.run(ctx, p.handOver)
}

// handOver runs the steps of a hand-over in one term.
func (p *promotion) handOver(ctx context.Context, term gypsumyard.Term) (r Result, err error) {
	old, others := p.split()
	if old == nil {
		return r, fmt.Errorf("no such instance")
	}
	log := p.log().WithFields(logrus.Fields{"term": term, "instance": p.leaving})
	before := p.set.repeat(ctx, old, readStatus)
	if before.err == nil && !p.caughtUp(ctx, others, before.status.Applied) {
		log.Warn("no replica is close to the leaving primary")
	}
	// Writes stall from here on, for as long as the replica needs for the
	// records written since the first wait.
	fenced := p.set.repeat(ctx, old, func(ctx context.Context, i gypsumyard.Instance) (gypsumyard.InstanceStatus, error) {
		return i.Fence(ctx, term, p.token)
	})
	p.observe([]answer{fenced})
	if ctx.Err() != nil {
		return r, context.Cause(ctx)
	}
	switch {
	case errors.Is(fenced.err, gypsumyard.ErrFenced):
		return r, fmt.Errorf("fence %s for term %d: %w", p.leaving, term, errLost)
	case fenced.err != nil:
		log.WithError(fenced.err).Warn("leaving primary does not answer, promoting without it")
	case !p.caughtUp(ctx, others, fenced.status.Applied):
		log.WithField("position", fenced.status.Applied.String()).Warn("no replica holds the whole log in time")
	}
	return p.once(ctx, term)
}

// split separates the leaving instance from the others.
func (p *promotion) split() (old gypsumyard.Instance, others []gypsumyard.Instance) {
	for _, i := range p.instances {
		if i.Upstream().Name == p.leaving {
			old = i
		} else {
			others = append(others, i)
		}
	}
	return old, others
}

// caughtUp waits until one of the instances holds the position, and reports
// whether that came true in time. It notes how many instances answer.
func (p *promotion) caughtUp(ctx context.Context, others []gypsumyard.Instance, want gypsumyard.Position) bool {
	start := p.set.clock.Now()
	for ctx.Err() == nil && p.set.clock.Since(start) < p.set.catchUp {
		answered, found := 0, false
		for _, a := range p.set.ask(ctx, others, 1, readStatus) {
			if a.err == nil {
				answered++
				found = found || (!p.isLeaving(a) && a.status.Contains(want))
			}
		}
		// The replica that has caught up must be among the fenced, so all that
		// answer at present are waited for.
		p.enough = max(p.majority(), answered+1)
		if found {
			return true
		}
		if p.set.clock.Sleep(ctx, catchUpPoll) != nil {
			return false
		}
	}
	return false
}
