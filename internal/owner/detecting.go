package owner

import (
	"context"
	"slices"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/promote"
	"github.com/sirupsen/logrus"
)

const (
	// retryPromotion is the pause after a promotion that failed, and
	// retryHandOver that after one that left the leaving instance in place.
	retryPromotion = 200 * time.Millisecond
	retryHandOver  = 2 * time.Second
	// probeEvery is the pause between two rounds of probes.
	probeEvery = 500 * time.Millisecond
)

// detectingPromoter judges with a promote.Detector.
type detectingPromoter struct {
	clock    gypsumyard.Clock
	log      logrus.FieldLogger
	silence  time.Duration
	options  []promote.Option
	detector *promote.Detector
	// primary is the instance that the detector watches.
	primary  string
	answered time.Time
	failures int
	probes   chan []Probe
	probedAt time.Time
	// unusable is when no instance that may take writes was seen first.
	unusable time.Time
	// heardAt is when enough replicas last received the log of the primary to
	// confirm a write.
	heardAt time.Time
	// cutOff is the primary that is to be replaced although it answers.
	cutOff string
	// notBefore is when the next promotion may be tried.
	notBefore time.Time
}

// NewPromoter returns the promoter of the database that follows the rules of
// package promote: witnesses, fencing of a majority and planned hand-overs. A
// primary may be silent for the given time.
func NewPromoter(d gypsumyard.Database, clock gypsumyard.Clock, log logrus.FieldLogger, silence time.Duration) Promoter {
	options := []promote.Option{
		promote.WithClock(clock), promote.WithLogger(log), promote.WithDatabase(d.Name), promote.WithDetectTimeout(silence),
	}
	return &detectingPromoter{
		silence:  silence,
		clock:    clock,
		log:      log,
		options:  options,
		detector: promote.NewDetector(options...),
		probes:   make(chan []Probe, 1),
	}
}

// Judge implements Promoter.
func (p *detectingPromoter) Judge(ctx context.Context, s PromotionState) Verdict {
	v := p.judge(ctx, s)
	if v.Promote && p.clock.Now().Before(p.notBefore) {
		return Verdict{}
	}
	return v
}

func (p *detectingPromoter) judge(ctx context.Context, s PromotionState) Verdict {
	p.feed(s)
	if v, ok := p.judgeUsable(s); ok {
		return v
	}
	if s.Primary == "" {
		return Verdict{}
	}
	state, reason := p.detector.State()
	if state == promote.StateSuspect {
		p.ask(ctx, s)
	}
	return Verdict{Promote: state == promote.StateDead, Reason: reason}
}

// judgeUsable judges what the status of the instances says by itself: whether
// there has been no instance that may take writes although the primary, if one
// is known, answers, and whether the primary is leaving.
func (p *detectingPromoter) judgeUsable(s PromotionState) (v Verdict, ok bool) {
	now := p.clock.Now()
	writable := writableView(s)
	if writable != nil {
		p.unusable = time.Time{}
		if writable.Leaving && hasSuccessor(s, writable.Upstream.Name) {
			return Verdict{Promote: true, Planned: true, Reason: "the primary is leaving"}, true
		}
		return p.judgeStream(s, writable.Upstream.Name)
	}
	if s.Primary != "" && s.Failures > 0 {
		return v, false
	}
	if p.unusable.IsZero() {
		p.unusable = now
	}
	silent := now.Sub(p.unusable)
	return Verdict{Promote: silent >= p.silence, Reason: "no instance has taken writes for " + silent.String()}, true
}

// judgeStream looks for a primary that answers but whose log does not reach a
// majority. Its writes can never be confirmed. It is replaced only if a
// majority can be fenced without it.
func (p *detectingPromoter) judgeStream(s PromotionState, primary string) (v Verdict, ok bool) {
	p.cutOff = ""
	now := p.clock.Now()
	holding, cut := 1, 0
	for _, v := range s.Views {
		switch {
		case !v.Reachable || v.Upstream.Name == primary:
		case v.Status.StreamAge < p.silence:
			holding++
		default:
			cut++
		}
	}
	majority := s.Database.Majority()
	if p.heardAt.IsZero() || holding >= majority || cut < majority {
		p.heardAt = now
	}
	silent := now.Sub(p.heardAt)
	if silent < p.silence {
		return v, false
	}
	p.cutOff = primary
	return Verdict{Promote: true, Reason: "replicas have not received the log of the primary for " + silent.String()}, true
}

// writableView returns the view of an instance that answers and takes writes,
// unless a majority was fenced for a later term.
func writableView(s PromotionState) *gypsumyard.InstanceView {
	for i := range s.Views {
		v := &s.Views[i]
		if !v.Reachable || !v.Status.Writable() {
			continue
		}
		fenced := 0
		for _, o := range s.Views {
			if o.Status.Fence > v.Status.Term() {
				fenced++
			}
		}
		if fenced < s.Database.Majority() {
			return v
		}
	}
	return nil
}

func leavingInstances(s PromotionState) (names []string) {
	for _, v := range s.Views {
		if v.Leaving {
			names = append(names, v.Upstream.Name)
		}
	}
	return names
}

func hasSuccessor(s PromotionState, leaving string) bool {
	for _, v := range s.Views {
		if v.Upstream.Name != leaving && v.Reachable && !v.Leaving {
			return true
		}
	}
	return false
}

// feed tells the detector what has happened since the last call.
func (p *detectingPromoter) feed(s PromotionState) {
	if s.Primary != p.primary {
		p.primary, p.answered, p.failures = s.Primary, time.Time{}, 0
		p.detector.Reset()
	}
	if s.Failures < p.failures {
		p.failures = 0
	}
	for ; p.failures < s.Failures; p.failures++ {
		p.detector.OpenConnPollFailed()
	}
	if p.failures > 1 {
		// Told at each call: the detector takes a gap between results for a
		// pause of this host, and polls of a silent instance take long.
		p.detector.FreshConnPollFailed()
	}
	p.detector.SetConnectionRefused(s.Refused)
	now := p.clock.Now()
	for _, v := range s.Views {
		switch {
		case v.Upstream.Name != s.Primary:
			if v.Reachable && v.Status.Role == gypsumyard.RoleReplica {
				p.detector.Witness(v.Upstream.Name, v.Status.StreamAge+now.Sub(v.SampledAt))
			}
		case v.SampledAt.After(p.answered):
			p.answered = v.SampledAt
			p.detector.Answered()
		}
	}
	p.takeProbes(s.Primary)
}

// ask has other hosts probe the primary. The answers count at a later call, so
// that a slow probe does not delay a promotion.
func (p *detectingPromoter) ask(ctx context.Context, s PromotionState) {
	now := p.clock.Now()
	if s.Probe == nil || now.Sub(p.probedAt) < probeEvery {
		return
	}
	p.probedAt = now
	go func() {
		found := s.Probe(ctx, s.Primary)
		select {
		case p.probes <- found:
		case <-ctx.Done():
		}
	}()
}

func (p *detectingPromoter) takeProbes(primary string) {
	select {
	case found := <-p.probes:
		for _, f := range found {
			if f.Err == nil {
				p.detector.Witness("host "+f.Host.Name+" probing "+primary, 0)
			}
		}
	default:
	}
}

// Promote implements Promoter.
func (p *detectingPromoter) Promote(ctx context.Context, s PromotionState, v Verdict) (string, gypsumyard.Term, error) {
	options := append(slices.Clone(p.options), promote.WithLeaving(leavingInstances(s)...))
	if p.cutOff != "" {
		options = append(options, promote.WithExcludedPrimary(p.cutOff))
	}
	run := func() (promote.Result, error) { return promote.Run(ctx, s.Instances, options...) }
	if v.Planned {
		run = func() (promote.Result, error) { return promote.HandOver(ctx, s.Primary, s.Instances, options...) }
	}
	r, err := run()
	switch {
	case err != nil:
		p.notBefore = p.clock.Now().Add(retryPromotion)
	case v.Planned && slices.Contains(leavingInstances(s), r.Primary):
		p.notBefore = p.clock.Now().Add(retryHandOver)
	}
	p.unusable, p.heardAt, p.cutOff = time.Time{}, time.Time{}, ""
	p.detector.Reset()
	return r.Primary, r.Term, err
}
