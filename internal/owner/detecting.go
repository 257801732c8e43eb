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
	// promotionRetryDelay is the delay after a failed promotion.
	// handoverRetryDelay is the delay after a handover that left the leaving
	// instance as the primary.
	promotionRetryDelay = 200 * time.Millisecond
	handoverRetryDelay  = 2 * time.Second
	// probeInterval is the minimum interval between two rounds of probes.
	probeInterval = 500 * time.Millisecond
)

// detectingPromoter decides by a promote.Detector and by the status of the
// instances.
type detectingPromoter struct {
	clock         gypsumyard.Clock
	log           logrus.FieldLogger
	detectTimeout time.Duration
	options       []promote.Option
	detector      *promote.Detector
	// primary is the instance that the detector monitors. lastAnswer and
	// reportedFailures say which of its poll results the detector has received.
	primary          string
	lastAnswer       time.Time
	reportedFailures int
	probes           chan []Probe
	probedAt         time.Time
	// notWritableSince is when it was first seen that no instance accepts
	// writes. It is zero while one does.
	notWritableSince time.Time
	// quorumStreamedAt is when enough replicas last received the log of the
	// primary to confirm a write.
	quorumStreamedAt time.Time
	// strandedSince is when an instance was first seen that answers and is fenced
	// for a later term than the primary's. It is zero while there is none.
	strandedSince time.Time
	// cutOff is a primary that answers and must be replaced because its log
	// does not reach a majority.
	cutOff string
	// notBefore is the earliest time of the next promotion.
	notBefore time.Time
	// listOutdated indicates that an instance has a term of a later version of the
	// list of instances.
	listOutdated bool
}

// NewPromoter returns the promoter of the database that applies the rules of
// package promote: it consults witnesses, fences a majority, and hands over
// from a leaving primary. A primary may be silent for detectTimeout.
func NewPromoter(d gypsumyard.Database, clock gypsumyard.Clock, log logrus.FieldLogger, detectTimeout time.Duration) Promoter {
	options := []promote.Option{
		promote.WithClock(clock), promote.WithLogger(log), promote.WithDatabase(d.Name), promote.WithDetectTimeout(detectTimeout),
	}
	return &detectingPromoter{
		detectTimeout: detectTimeout,
		clock:         clock,
		log:           log,
		options:       options,
		detector:      promote.NewDetector(options...),
		probes:        make(chan []Probe, 1),
	}
}

// Evaluate implements Promoter.
func (p *detectingPromoter) Evaluate(ctx context.Context, s PromotionState) PromotionDecision {
	d := p.evaluate(ctx, s)
	if p.isListOutdated(s) {
		return PromotionDecision{}
	}
	if d.Promote && p.clock.Now().Before(p.notBefore) {
		return PromotionDecision{}
	}
	return d
}

// isListOutdated reports whether an instance has a term of a later version of the
// list than this host has. A majority of a replaced list proves nothing, so nothing
// is promoted until the newer list arrives.
func (p *detectingPromoter) isListOutdated(s PromotionState) bool {
	version := uint64(0)
	for _, v := range s.Views {
		version = max(version, v.Status.Fence.ListVersion(), v.Status.Term().ListVersion())
	}
	outdated := version > s.Database.ListVersion
	if outdated && !p.listOutdated {
		p.log.WithFields(logrus.Fields{"database": s.Database.Name, "list-version": s.Database.ListVersion, "version-of-instances": version}).
			Warn("list of instances is outdated; promoting nothing until the newer one arrives")
	}
	p.listOutdated = outdated
	return outdated
}

func (p *detectingPromoter) evaluate(ctx context.Context, s PromotionState) PromotionDecision {
	p.updateDetector(s)
	if d, ok := p.evaluateWritability(s); ok {
		return d
	}
	if s.Primary == "" {
		return PromotionDecision{}
	}
	state, reason := p.detector.State()
	if state == promote.StateSuspect {
		p.requestProbes(ctx, s)
	}
	return PromotionDecision{Promote: state == promote.StateDead, Reason: reason}
}

// evaluateWritability decides by the status of the instances alone. It finds a
// primary that is leaving, a primary whose log does not reach a majority, and
// the case that no instance accepts writes although the last known primary, if
// any, answers. It reports false if the detector must decide.
func (p *detectingPromoter) evaluateWritability(s PromotionState) (d PromotionDecision, ok bool) {
	now := p.clock.Now()
	writable := writableView(s)
	if writable != nil {
		p.notWritableSince = time.Time{}
		if writable.Leaving && hasSuccessor(s, writable.Upstream.Name) {
			return PromotionDecision{Promote: true, Planned: true, Reason: "the primary is leaving"}, true
		}
		if d, ok := p.evaluateReplication(s, writable.Upstream.Name); ok {
			return d, ok
		}
		if s.ListReplicated {
			return PromotionDecision{Promote: true, Reason: "the list of instances was edited"}, true
		}
		return p.evaluateStranded(s, writable.Status.Term())
	}
	if s.Primary != "" && s.Failures > 0 {
		return d, false
	}
	if p.notWritableSince.IsZero() {
		p.notWritableSince = now
	}
	silent := now.Sub(p.notWritableSince)
	return PromotionDecision{Promote: silent >= p.detectTimeout, Reason: "no instance has taken writes for " + silent.String()}, true
}

// evaluateReplication looks for a primary that answers but whose log does not
// reach a majority, so that its writes can never be confirmed. It is replaced
// only if a majority can be fenced without it.
func (p *detectingPromoter) evaluateReplication(s PromotionState, primary string) (d PromotionDecision, ok bool) {
	p.cutOff = ""
	now := p.clock.Now()
	streaming := s.isMajority(func(v gypsumyard.InstanceView) bool {
		return v.Upstream.Name == primary || v.Reachable && v.Status.StreamAge < p.detectTimeout
	})
	stalled := s.isMajority(func(v gypsumyard.InstanceView) bool {
		return v.Upstream.Name != primary && v.Reachable && v.Status.StreamAge >= p.detectTimeout
	})
	if p.quorumStreamedAt.IsZero() || streaming || !stalled {
		p.quorumStreamedAt = now
	}
	silent := now.Sub(p.quorumStreamedAt)
	if silent < p.detectTimeout {
		return d, false
	}
	p.cutOff = primary
	return PromotionDecision{Promote: true, Reason: "replicas have not received the log of the primary for " + silent.String()}, true
}

// evaluateStranded looks for an instance that a promotion without a majority has
// fenced. It refuses the log of the primary, whose term is lower, until a promotion
// in a later term, which normally chooses the same primary.
func (p *detectingPromoter) evaluateStranded(s PromotionState, term gypsumyard.Term) (d PromotionDecision, ok bool) {
	stranded := slices.ContainsFunc(s.Views, func(v gypsumyard.InstanceView) bool {
		return v.Reachable && v.Status.Fence > term
	})
	now := p.clock.Now()
	if !stranded {
		p.strandedSince = time.Time{}
		return d, false
	}
	if p.strandedSince.IsZero() {
		p.strandedSince = now
	}
	if now.Sub(p.strandedSince) < p.detectTimeout {
		return d, false
	}
	return PromotionDecision{Promote: true, Reason: "an instance is fenced for a later term and cannot follow"}, true
}

// writableView returns the view of an instance that answers and accepts
// writes, or nil. An instance does not count if a majority of a list is fenced for
// a later term.
func writableView(s PromotionState) *gypsumyard.InstanceView {
	for i := range s.Views {
		v := &s.Views[i]
		if !v.Reachable || !v.Status.Writable() {
			continue
		}
		fenced := s.isAnyMajority(func(o gypsumyard.InstanceView) bool { return o.Status.Fence > v.Status.Term() })
		if !fenced {
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

// updateDetector passes the poll results since the last call to the detector.
func (p *detectingPromoter) updateDetector(s PromotionState) {
	if s.Primary != p.primary {
		p.primary, p.lastAnswer, p.reportedFailures = s.Primary, time.Time{}, 0
		p.detector.Reset()
	}
	if s.Failures < p.reportedFailures {
		p.reportedFailures = 0
	}
	for ; p.reportedFailures < s.Failures; p.reportedFailures++ {
		p.detector.OpenConnPollFailed()
	}
	if p.reportedFailures > 1 {
		// Reported at each call: the detector treats a gap between results as
		// a pause of this host, and polls of a silent instance take long.
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
		case v.SampledAt.After(p.lastAnswer):
			p.lastAnswer = v.SampledAt
			p.detector.Answered()
		}
	}
	p.collectProbes(s.Primary)
}

// requestProbes asks other hosts to probe the primary. The answers count at a
// later call, so that a slow probe does not delay a promotion.
func (p *detectingPromoter) requestProbes(ctx context.Context, s PromotionState) {
	now := p.clock.Now()
	if s.Probe == nil || now.Sub(p.probedAt) < probeInterval {
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

// collectProbes passes the results of finished probes to the detector.
func (p *detectingPromoter) collectProbes(primary string) {
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
func (p *detectingPromoter) Promote(ctx context.Context, s PromotionState, d PromotionDecision) (string, gypsumyard.Term, error) {
	options := append(slices.Clone(p.options), promote.WithLeaving(leavingInstances(s)...),
		promote.WithLists(s.Lists...))
	if s.ListReplicated {
		options = append(options, promote.WithPreferred(s.Primary))
	}
	if p.cutOff != "" {
		options = append(options, promote.WithExcludedPrimary(p.cutOff))
	}
	run := func() (promote.Result, error) { return promote.Run(ctx, s.Instances, options...) }
	if d.Planned {
		run = func() (promote.Result, error) { return promote.HandOver(ctx, s.Primary, s.Instances, options...) }
	}
	r, err := run()
	switch {
	case err != nil:
		p.notBefore = p.clock.Now().Add(promotionRetryDelay)
	case d.Planned && slices.Contains(leavingInstances(s), r.Primary):
		p.notBefore = p.clock.Now().Add(handoverRetryDelay)
	}
	p.notWritableSince, p.quorumStreamedAt, p.strandedSince, p.cutOff = time.Time{}, time.Time{}, time.Time{}, ""
	p.detector.Reset()
	return r.Primary, r.Term, err
}
