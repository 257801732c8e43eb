package promote

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/sirupsen/logrus"
)

// catchUpPollInterval is the pause between status reads while a replica catches up.
const catchUpPollInterval = 5 * time.Millisecond

// HandOver replaces a working primary that is about to leave. It fences the
// primary, waits until a replica holds all of its log and promotes that replica.
// If none catches up in time, it promotes the most advanced instance, which may be
// the leaving one; Result.Primary names it. Errors are those of [Run].
func HandOver(ctx context.Context, leaving string, instances []gypsumyard.Instance, options ...Option) (r Result, err error) {
	p := newPromotion(instances, options)
	defer func() {
		if err != nil {
			err = fmt.Errorf("hand over from %s in %s: %w", leaving, p.settings.database, err)
		}
	}()
	p.leaving = leaving
	return p.run(ctx, p.handOver)
}

// handOver attempts the planned change in the given term.
func (p *promotion) handOver(ctx context.Context, term gypsumyard.Term) (r Result, err error) {
	old, others := p.splitLeaving()
	if old == nil {
		return r, fmt.Errorf("no such instance")
	}
	log := p.log().WithFields(logrus.Fields{"term": term, "instance": p.leaving})
	before := p.settings.callWithRetry(ctx, old, readStatus)
	if before.err == nil && !p.waitCaughtUp(ctx, others, before.status.Applied) {
		log.Warn("no replica caught up with the leaving primary before its fence")
	}
	// Writes stall from the fence on, until the replica has the records written
	// since the first wait.
	fenced := p.settings.callWithRetry(ctx, old, func(ctx context.Context, i gypsumyard.Instance) (gypsumyard.InstanceStatus, error) {
		return i.Fence(ctx, term, p.token)
	})
	p.observe([]answer{fenced})
	if ctx.Err() != nil {
		return r, context.Cause(ctx)
	}
	switch {
	case errors.Is(fenced.err, gypsumyard.ErrFenced):
		return r, fmt.Errorf("fence %s for term %d: %w", p.leaving, term, errTermLost)
	case fenced.err != nil:
		log.WithError(fenced.err).Warn("leaving primary does not answer, promoting without it")
	case !p.waitCaughtUp(ctx, others, fenced.status.Applied):
		log.WithField("position", fenced.status.Applied.String()).Warn("no replica caught up with the fenced primary in time, promoting the most advanced instance")
	}
	return p.promoteInTerm(ctx, term)
}

// splitLeaving separates the leaving instance from the others.
func (p *promotion) splitLeaving() (old gypsumyard.Instance, others []gypsumyard.Instance) {
	for _, i := range p.instances {
		if i.Upstream().Name == p.leaving {
			old = i
		} else {
			others = append(others, i)
		}
	}
	return old, others
}

// waitCaughtUp waits until one of the instances contains the wanted position, and
// reports whether one did within the catch-up timeout. It sets p.fenceTarget from
// the number of instances that answer.
func (p *promotion) waitCaughtUp(ctx context.Context, others []gypsumyard.Instance, want gypsumyard.Position) bool {
	start := p.settings.clock.Now()
	for ctx.Err() == nil && p.settings.clock.Since(start) < p.settings.catchUpTimeout {
		answered, found := 0, false
		for _, a := range p.settings.broadcast(ctx, others, atLeast(1), readStatus) {
			if a.err == nil {
				answered++
				found = found || (!p.isLeaving(a) && a.status.Contains(want))
			}
		}
		// The replica that has caught up must be among the fenced instances, so the
		// fence waits for as many as answer now, and for the leaving one.
		p.fenceTarget = answered + 1
		if found {
			return true
		}
		if p.settings.clock.Sleep(ctx, catchUpPollInterval) != nil {
			return false
		}
	}
	return false
}
