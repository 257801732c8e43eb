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

// A Result is the outcome of a promotion.
type Result struct {
	Term    gypsumyard.Term
	Primary string
	// Status is the primary's status after its promotion.
	Status gypsumyard.InstanceStatus
	// Adopted indicates that another host had completed a promotion, whose primary
	// this is.
	Adopted bool
	// Unfollowed lists the instances that did not confirm that they follow the
	// primary. The caller must repeat Follow once they answer.
	Unfollowed []string
}

// errTermLost indicates that a higher term is needed: another sender holds this
// one, or the chosen instance did not answer.
var errTermLost = errors.New("the term was lost")

// Run promotes the most advanced of the instances to primary of a new term. If no
// majority of each list can be fenced, it promotes none and fails with
// [gypsumyard.ErrNoMajority]; the error names the instances that did not answer. It
// fails with [gypsumyard.ErrListOutdated] if an instance has a term of a later
// version of the list: a majority of a replaced list proves nothing.
func Run(ctx context.Context, instances []gypsumyard.Instance, options ...Option) (r Result, err error) {
	p := newPromotion(instances, options)
	defer func() {
		if err != nil {
			err = fmt.Errorf("promote in %s: %w", p.settings.database, err)
		}
	}()
	return p.run(ctx, p.promoteInTerm)
}

type promotion struct {
	settings  *settings
	instances []gypsumyard.Instance
	// highest is the highest term that any answer has shown.
	highest gypsumyard.Term
	token   gypsumyard.Token
	// leaving names the instance that a planned handover replaces.
	leaving string
	// fenceTarget is the number of fenced instances after which the grace period
	// starts, once they are a majority.
	fenceTarget int
}

func newPromotion(instances []gypsumyard.Instance, options []Option) *promotion {
	s := newSettings(options)
	if len(s.lists) == 0 {
		s.lists = []gypsumyard.InstanceList{{}}
		for _, i := range instances {
			s.lists[0].Instances = append(s.lists[0].Instances, i.Upstream())
		}
	}
	return &promotion{settings: s, instances: instances, highest: s.highestTerm}
}

// isMajority reports whether the set has a majority of each list.
func (p *promotion) isMajority(set []gypsumyard.Instance) bool { return len(p.lacking(set)) == 0 }

// lacking returns the versions of the lists of which the set has no majority.
func (p *promotion) lacking(set []gypsumyard.Instance) (versions []uint64) {
	for _, l := range p.settings.lists {
		n := 0
		for _, u := range l.Instances {
			if slices.ContainsFunc(set, func(i gypsumyard.Instance) bool { return u.Same(i.Upstream()) }) {
				n++
			}
		}
		if !l.IsMajority(n) {
			versions = append(versions, l.Version)
		}
	}
	return versions
}

// nextTerm returns the lowest term of the list's version that no answer has shown.
func (p *promotion) nextTerm() (gypsumyard.Term, error) {
	version := p.settings.lists[0].Version
	term, ok := gypsumyard.NextTerm(p.highest, version)
	if !ok {
		return 0, fmt.Errorf("%w: it has version %d, an instance has term %d", gypsumyard.ErrListOutdated, version, p.highest)
	}
	return term, nil
}

func (p *promotion) log() logrus.FieldLogger {
	return p.settings.log.WithField("database", p.settings.database)
}

// run calls runTerm with ever higher terms, each with a new token, until it returns
// anything but errTermLost or the attempts are used up. Between terms it backs off,
// and adopts a promotion that another host has completed.
func (p *promotion) run(ctx context.Context, runTerm func(context.Context, gypsumyard.Term) (Result, error)) (r Result, err error) {
	if p.highest == 0 {
		p.observe(p.settings.broadcast(ctx, p.instances, p.isMajority, readStatus))
	}
	var lost error
	for attempt := range p.settings.attempts {
		p.token = p.settings.newToken()
		term, err := p.nextTerm()
		if err != nil {
			return r, err
		}
		r, err = runTerm(ctx, term)
		if !errors.Is(err, errTermLost) {
			return r, err
		}
		lost = err
		p.highest = max(p.highest, term)
		p.log().WithFields(logrus.Fields{"term": term, "highest": p.highest}).WithError(err).Warn("promotion failed in this term, retrying with a higher one")
		if e := p.settings.clock.Sleep(ctx, p.retryDelay(attempt)); e != nil {
			return r, e
		}
		if r, ok := p.adopt(ctx); ok {
			return r, nil
		}
	}
	return r, fmt.Errorf("gave up after %d terms: %w", p.settings.attempts, lost)
}

// retryDelay returns the exponential backoff with jitter before the next term, so
// that two hosts that promote at the same time do not keep fencing each other.
func (p *promotion) retryDelay(attempt int) time.Duration {
	d := p.settings.backoff << min(attempt, 5)
	return p.settings.jitter(d)
}

// promoteInTerm attempts a promotion in the given term: it fences a majority and
// promotes the most advanced of the fenced instances.
func (p *promotion) promoteInTerm(ctx context.Context, term gypsumyard.Term) (r Result, err error) {
	fenced, err := p.fence(ctx, term)
	if err != nil {
		return r, err
	}
	return p.finish(ctx, term, p.choose(fenced))
}

// candidates returns the instances that may become the primary.
func (p *promotion) candidates() []gypsumyard.Instance {
	return slices.DeleteFunc(slices.Clone(p.instances), func(i gypsumyard.Instance) bool {
		return i.Upstream().Name == p.settings.excluded
	})
}

// fence fences the candidates for the term and returns the answers of those that
// accepted. It fails unless they are a majority of each list.
func (p *promotion) fence(ctx context.Context, term gypsumyard.Term) (fenced []answer, err error) {
	enough := func(set []gypsumyard.Instance) bool { return len(set) >= p.fenceTarget && p.isMajority(set) }
	answers := p.settings.broadcast(ctx, p.candidates(), enough, func(ctx context.Context, i gypsumyard.Instance) (gypsumyard.InstanceStatus, error) {
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
	if p.isMajority(instancesOf(fenced)) {
		p.log().WithFields(logrus.Fields{"term": term, "fenced": len(fenced), "of": len(p.instances)}).Info("majority fenced")
		return fenced, nil
	}
	if refused {
		return nil, fmt.Errorf("fence for term %d: %w: %s", term, errTermLost, describeFailures(answers))
	}
	log := p.log().WithFields(logrus.Fields{"term": term, "fenced": len(fenced), "of": len(p.instances), "failures": describeFailures(answers)})
	if len(p.settings.lists) > 1 {
		log = log.WithField("lists-without-majority", p.lacking(instancesOf(fenced)))
	}
	log.Error("no majority fenced, nothing promoted")
	return nil, fmt.Errorf("fence for term %d: %w: %d of %d instances fenced; %s", term, gypsumyard.ErrNoMajority, len(fenced), len(p.instances), describeFailures(answers))
}

func instancesOf(answers []answer) (set []gypsumyard.Instance) {
	for _, a := range answers {
		set = append(set, a.instance)
	}
	return set
}

// choose returns the most advanced of the fenced instances. Among equally advanced
// ones it prefers one that is not about to leave, then the preferred one, and then
// the lowest name.
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
		if x := a.name() == p.settings.preferred; x != (b.name() == p.settings.preferred) {
			if x {
				return 1
			}
			return -1
		}
		return strings.Compare(b.name(), a.name())
	})
}

func (p *promotion) isLeaving(a answer) bool {
	return a.status.Leaving || a.name() == p.leaving || slices.Contains(p.settings.leaving, a.name())
}

// finish promotes the chosen instance and tells the others to follow it.
func (p *promotion) finish(ctx context.Context, term gypsumyard.Term, chosen answer) (r Result, err error) {
	log := p.log().WithFields(logrus.Fields{"term": term, "instance": chosen.name(), "position": chosen.status.Applied.String()})
	log.Info("promoting the most advanced instance")
	a := p.settings.callWithRetry(ctx, chosen.instance, func(ctx context.Context, i gypsumyard.Instance) (gypsumyard.InstanceStatus, error) {
		return i.Promote(ctx, term, p.token)
	})
	p.observe([]answer{a})
	if ctx.Err() != nil && a.err != nil {
		return r, context.Cause(ctx)
	}
	if a.err != nil {
		// The promotion may have taken effect. A higher term fences that primary.
		return r, fmt.Errorf("promote %s in term %d: %w: %w", chosen.name(), term, errTermLost, a.err)
	}
	r = Result{Term: term, Primary: chosen.name(), Status: a.status}
	r.Unfollowed = p.follow(ctx, term, chosen.instance)
	log.WithField("unfollowed", r.Unfollowed).Info("promotion complete")
	return r, nil
}

// follow tells the other instances to replicate from the primary, and returns the
// names of those that did not confirm.
func (p *promotion) follow(ctx context.Context, term gypsumyard.Term, primary gypsumyard.Instance) (failed []string) {
	others := slices.DeleteFunc(slices.Clone(p.instances), func(i gypsumyard.Instance) bool { return i == primary })
	// Wait only for as many followers as the primary needs to confirm writes. The
	// grace period lets the rest confirm as well.
	enough := func(set []gypsumyard.Instance) bool {
		return len(set) > 0 && p.isMajority(append(slices.Clone(set), primary))
	}
	answers := p.settings.broadcast(ctx, others, enough, func(ctx context.Context, i gypsumyard.Instance) (gypsumyard.InstanceStatus, error) {
		return gypsumyard.InstanceStatus{}, i.Follow(ctx, term, primary.Upstream().Name)
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

// adopt returns the primary that another host has promoted in the meantime, if
// there is one and a majority is fenced for its term.
func (p *promotion) adopt(ctx context.Context) (r Result, ok bool) {
	answers := p.settings.broadcast(ctx, p.instances, atLeast(len(p.instances)), readStatus)
	p.observe(answers)
	for _, a := range answers {
		if a.err != nil || !a.status.Writable() || a.status.Term() < p.highest || p.isLeaving(a) {
			continue
		}
		if !p.isMajority(fencedFor(answers, a.status.Term())) {
			continue
		}
		p.log().WithFields(logrus.Fields{"term": a.status.Term(), "instance": a.name()}).Info("another host has promoted an instance")
		return Result{Term: a.status.Term(), Primary: a.name(), Status: a.status, Adopted: true}, true
	}
	return r, false
}

// fencedFor returns the instances that are fenced for the term and for no later
// one.
func fencedFor(answers []answer, term gypsumyard.Term) (set []gypsumyard.Instance) {
	for _, a := range answers {
		if a.err == nil && a.status.Fence == term {
			set = append(set, a.instance)
		}
	}
	return set
}

func (p *promotion) observe(answers []answer) {
	for _, a := range answers {
		p.highest = max(p.highest, a.status.Fence, a.status.Applied.Term)
	}
}

// describeFailures lists the instances that refused or did not answer, with their
// errors.
func describeFailures(answers []answer) string {
	var parts []string
	for _, a := range answers {
		if a.err != nil {
			parts = append(parts, a.name()+": "+a.err.Error())
		}
	}
	slices.Sort(parts)
	return strings.Join(parts, "; ")
}
