package promote

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/sirupsen/logrus"
)

// A Result tells which instance is the primary after a promotion.
type Result struct {
	Term    gypsumyard.Term
	Primary string
	// Status is that of the primary after its promotion.
	Status gypsumyard.InstanceStatus
	// Adopted indicates that another host's promotion was found complete, so that
	// none was ordered.
	Adopted bool
	// Unfollowed lists the instances that did not confirm to follow the
	// primary. They must be told again when they answer.
	Unfollowed []string
}

// errLost indicates that another sender holds the term, or that the chosen
// instance did not answer: a higher term is needed.
var errLost = errors.New("the term was lost")

// Run makes the most advanced of the instances the primary of a new term. It
// fails with [gypsumyard.ErrNoMajority], without having promoted any, if no
// majority can be fenced, and names the instances that did not answer.
func Run(ctx context.Context, instances []gypsumyard.Instance, options ...Option) (r Result, err error) {
	p := newPromotion(instances, options)
	defer func() {
		if err != nil {
			err = fmt.Errorf("promote in %s: %w", p.set.database, err)
		}
	}()
	return p.run(ctx, p.once)
}

type promotion struct {
	set       *settings
	instances []gypsumyard.Instance
	// highest is the highest term that any answer has shown.
	highest gypsumyard.Term
	token   gypsumyard.Token
	// leaving is the instance that a hand-over replaces.
	leaving string
	// enough is how many instances must be fenced before the choice, apart
	// from the grace period. It is at least a majority.
	enough int
}

func newPromotion(instances []gypsumyard.Instance, options []Option) *promotion {
	s := newSettings(options)
	p := &promotion{set: s, instances: instances, highest: s.seen}
	p.enough = p.majority()
	return p
}

func (p *promotion) majority() int { return len(p.instances)/2 + 1 }

func (p *promotion) log() logrus.FieldLogger {
	return p.set.log.WithField("database", p.set.database)
}

// run calls once with a higher term and another token until the term holds.
func (p *promotion) run(ctx context.Context, once func(context.Context, gypsumyard.Term) (Result, error)) (r Result, err error) {
	if p.highest == 0 {
		p.observe(p.set.ask(ctx, p.instances, p.majority(), readStatus))
	}
	for attempt := range p.set.attempts {
		p.token = p.set.newToken()
		term := p.highest + 1
		r, err = once(ctx, term)
		if !errors.Is(err, errLost) {
			return r, err
		}
		p.highest = max(p.highest, term)
		p.log().WithFields(logrus.Fields{"term": term, "highest": p.highest}).WithError(err).Warn("term lost, starting over")
		if e := p.set.clock.Sleep(ctx, p.delay(attempt)); e != nil {
			return r, e
		}
		if r, ok := p.adopt(ctx); ok {
			return r, nil
		}
	}
	return r, fmt.Errorf("gave up after %d terms: %w", p.set.attempts, err)
}

// delay returns a jittered backoff, so that two hosts that promote at the same
// time do not keep taking each other's term.
func (p *promotion) delay(attempt int) time.Duration {
	d := p.set.backoff << min(attempt, 5)
	return p.set.jitter(d)
}

// once runs the steps of a promotion in one term.
func (p *promotion) once(ctx context.Context, term gypsumyard.Term) (r Result, err error) {
	fenced, err := p.fence(ctx, term)
	if err != nil {
		return r, err
	}
	return p.finish(ctx, term, p.choose(fenced))
}

// candidates returns the instances that may become the primary.
func (p *promotion) candidates() []gypsumyard.Instance {
	return slices.DeleteFunc(slices.Clone(p.instances), func(i gypsumyard.Instance) bool {
		return i.Upstream().Name == p.set.cutOff
	})
}

// fence fences the candidates and returns the answers of those that are fenced.
// They are a majority of all instances, or the error tells why not.
func (p *promotion) fence(ctx context.Context, term gypsumyard.Term) (fenced []answer, err error) {
	answers := p.set.ask(ctx, p.candidates(), p.enough, func(ctx context.Context, i gypsumyard.Instance) (gypsumyard.InstanceStatus, error) {
		return i.Fence(ctx, term, p.token)
	})
	p.observe(answers)
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	refused := false
	for _, a := range answers {
		refused = refused || errors.Is(a.err, gypsumyard.ErrFenced)
		if a.err == nil {
			fenced = append(fenced, a)
		}
	}
	if len(fenced) >= p.majority() {
		p.log().WithFields(logrus.Fields{"term": term, "fenced": len(fenced), "of": len(p.instances)}).Info("majority fenced")
		return fenced, nil
	}
	if refused {
		return nil, fmt.Errorf("fence for term %d: %w: %s", term, errLost, failures(answers))
	}
	p.log().WithFields(logrus.Fields{"term": term, "fenced": len(fenced), "of": len(p.instances), "failures": failures(answers)}).
		Error("no majority fenced, nothing promoted")
	return nil, fmt.Errorf("fence for term %d: %w: %d of %d instances fenced; %s", term, gypsumyard.ErrNoMajority, len(fenced), len(p.instances), failures(answers))
}

// choose returns the most advanced of the fenced instances. Among equals it
// prefers one that is not about to leave.
func (p *promotion) choose(fenced []answer) answer {
	return slices.MaxFunc(fenced, func(a, b answer) int {
		if c := a.status.Applied.Compare(b.status.Applied); c != 0 {
			return c
		}
		if x, y := p.isLeaving(a), p.isLeaving(b); x != y {
			if x {
				return -1
			}
			return 1
		}
		return strings.Compare(b.name(), a.name())
	})
}

func (p *promotion) isLeaving(a answer) bool {
	return a.status.Leaving || a.name() == p.leaving || slices.Contains(p.set.leaving, a.name())
}

// finish promotes the chosen instance and makes the others follow it.
func (p *promotion) finish(ctx context.Context, term gypsumyard.Term, chosen answer) (r Result, err error) {
	log := p.log().WithFields(logrus.Fields{"term": term, "instance": chosen.name(), "position": chosen.status.Applied.String()})
	log.Info("promoting the most advanced instance")
	a := p.set.repeat(ctx, chosen.instance, func(ctx context.Context, i gypsumyard.Instance) (gypsumyard.InstanceStatus, error) {
		return i.Promote(ctx, term, p.token)
	})
	p.observe([]answer{a})
	if ctx.Err() != nil && a.err != nil {
		return r, context.Cause(ctx)
	}
	if a.err != nil {
		// The order may have taken effect. A higher term fences that primary.
		return r, fmt.Errorf("promote %s in term %d: %w: %w", chosen.name(), term, errLost, a.err)
	}
	r = Result{Term: term, Primary: chosen.name(), Status: a.status}
	r.Unfollowed = p.follow(ctx, term, chosen.name())
	log.WithField("unfollowed", r.Unfollowed).Info("promotion complete")
	return r, nil
}

// follow makes the other instances replicate from the primary and returns
// those that did not confirm it.
func (p *promotion) follow(ctx context.Context, term gypsumyard.Term, primary string) (failed []string) {
	others := slices.DeleteFunc(slices.Clone(p.instances), func(i gypsumyard.Instance) bool {
		return i.Upstream().Name == primary
	})
	// The primary needs one follower to confirm writes; the grace period lets
	// the rest confirm as well.
	enough := max(p.majority()-1, 1)
	answers := p.set.ask(ctx, others, enough, func(ctx context.Context, i gypsumyard.Instance) (gypsumyard.InstanceStatus, error) {
		return gypsumyard.InstanceStatus{}, i.Follow(ctx, term, primary)
	})
	for _, a := range answers {
		if a.err != nil {
			failed = append(failed, a.name())
			p.log().WithFields(logrus.Fields{"term": term, "instance": a.name()}).WithError(a.err).Warn("instance does not follow yet")
		}
	}
	slices.Sort(failed)
	return failed
}

// adopt looks for a primary that another host has promoted in the meantime.
func (p *promotion) adopt(ctx context.Context) (r Result, ok bool) {
	answers := p.set.ask(ctx, p.instances, len(p.instances), readStatus)
	p.observe(answers)
	for _, a := range answers {
		if a.err != nil || !a.status.Writable() || a.status.Term() < p.highest || p.isLeaving(a) {
			continue
		}
		if p.behind(answers, a.status.Term()) < p.majority() {
			continue
		}
		p.log().WithFields(logrus.Fields{"term": a.status.Term(), "instance": a.name()}).Info("another host has promoted an instance")
		return Result{Term: a.status.Term(), Primary: a.name(), Status: a.status, Adopted: true}, true
	}
	return r, false
}

// behind counts the instances that are fenced for the term and no later one.
func (p *promotion) behind(answers []answer, term gypsumyard.Term) (n int) {
	for _, a := range answers {
		if a.err == nil && a.status.Fence == term {
			n++
		}
	}
	return n
}

func (p *promotion) observe(answers []answer) {
	for _, a := range answers {
		p.highest = max(p.highest, a.status.Fence, a.status.Applied.Term)
	}
}

// failures names the instances that refused or did not answer.
func failures(answers []answer) string {
	var parts []string
	for _, a := range answers {
		if a.err != nil {
			parts = append(parts, a.name()+": "+a.err.Error())
		}
	}
	slices.Sort(parts)
	return strings.Join(parts, "; ")
}
