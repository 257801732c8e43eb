package lineowner

import (
	"context"
	"errors"
	"math"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/balance"
	"github.com/gypsumyard/gypsumyard/internal/line"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

const (
	// timeoutFactor is the multiple of its expected run time that a statement must have
	// run for its deadline to count as a failure of the instance. Others had too little
	// time left when they were sent.
	timeoutFactor = 4
	// suspectLogRate and suspectLogBurst bound the log lines about slow and failing
	// instances a second.
	suspectLogRate  = 1
	suspectLogBurst = 20
	// maxLoadSampleAge is the age up to which the load that an instance has reported is
	// used. It covers two status requests that had no answer.
	maxLoadSampleAge = 3 * idlePollInterval
	// ownControlConnections is how many connections this host has to an instance besides
	// its pool, and clientConnections how many more show that another client sends
	// statements: another owner has its own for status and control as well.
	ownControlConnections = 2
	clientConnections     = 4
)

func newSuspectLog() *rate.Limiter { return rate.NewLimiter(suspectLogRate, suspectLogBurst) }

// suspects counts the slow and the failing instances of a group.
type suspects struct{ slow, failing int }

// setBalanced passes the instances to the estimates. The caller must hold g.mu.
func (g *group) setBalanced(instances []gypsumyard.InstanceCapacity) {
	if g.balance == nil {
		return
	}
	slots := map[string]int{}
	for _, i := range instances {
		slots[i.Name] = i.Slots
	}
	g.balance.SetInstances(slots)
	g.updateSuspects()
}

// sampleLoad passes on the load that an instance has reported, if other clients send
// statements to it. Otherwise this host knows its load exactly, and better than by a
// sample. The caller must hold g.mu.
func (g *group) sampleLoad(i *instance, s status, at time.Time) {
	if g.balance == nil || s.connections < i.pool.openConnections()+ownControlConnections+clientConnections {
		return
	}
	// An instance that overstates its load must not lose all reads.
	g.balance.Sample(i.id, min(max(s.busy-1, 0), i.listed.Slots), at)
}

// addEstimates adds the estimated delays to the costs of a read's targets. A target that
// is to be probed becomes the cheapest one. The caller must hold g.mu.
func (g *group) addEstimates(j *job, targets []gypsumyard.Target) {
	names := make([]string, len(targets))
	for n, t := range targets {
		names[n] = t.Instance
	}
	expected, _ := g.runTimes.Expected(j.runTimeKey())
	// A transaction would stay on the instance, and a second attempt must not fail as well.
	estimates := g.balance.Estimate(names, expected, j.attempts == 0 && !opensTransaction(j.Class))
	plain, chosen, probe := 0, 0, -1
	var plainCost time.Duration
	for n, e := range estimates {
		t := &targets[n]
		i := g.instanceByID(t.Instance)
		cost := t.Cost + i.loadCost()
		if n == 0 || cost < plainCost {
			plain, plainCost = n, cost
		}
		t.Cost += e.Delay
		if t.Cost < targets[chosen].Cost {
			chosen = n
		}
		if e.Probe {
			probe = n
		}
	}
	if probe >= 0 {
		cheapest := time.Duration(math.MaxInt64)
		for n := range targets {
			if n != probe {
				cheapest = min(cheapest, targets[n].Cost)
				targets[n].Cost += time.Microsecond
			}
		}
		targets[probe].Cost, targets[probe].Reason = cheapest, "probe of a slow or failing instance"
		g.metrics.probes.Inc(1)
	} else if plain != chosen {
		g.metrics.choicesChanged.Inc(1)
	}
}

// beginOn counts a statement that is sent to the instance. The caller must hold g.mu.
func (g *group) beginOn(i *instance) {
	if g.balance != nil {
		g.balance.Begin(i.id)
	}
}

// endOn counts a statement that has ended, and learns from its outcome. The caller must
// hold g.mu.
func (g *group) endOn(u *slotUse) {
	if g.balance == nil {
		return
	}
	switch {
	case u.outcome.Failed:
		g.metrics.outcomesFailed.Inc(1)
	case u.outcome.Answered:
		g.metrics.outcomesAnswered.Inc(1)
		u.outcome.Expected = u.expected
	}
	changes := g.balance.End(u.instance.id, u.outcome)
	if len(changes) == 0 {
		return
	}
	g.updateSuspects()
	for _, c := range changes {
		if !g.service.suspectLog.Allow() {
			continue
		}
		log := g.log.WithFields(logrus.Fields{"instance": c.Instance, "fault": c.Fault, "value": math.Round(c.Value*100) / 100})
		if c.Found {
			log.Warn("instance is slow or failing, it gets fewer reads")
			continue
		}
		log.Info("instance has recovered, it gets its share of the reads")
	}
}

// updateSuspects updates the gauges of slow and failing instances. The caller must hold
// g.mu.
func (g *group) updateSuspects() {
	var s suspects
	s.slow, s.failing = g.balance.Suspects()
	g.countSuspects(s)
}

func (g *group) countSuspects(s suspects) {
	if s == g.suspects {
		return
	}
	m := g.metrics
	m.slowInstances.Update(float64(m.slow.Add(int64(s.slow - g.suspects.slow))))
	m.failingInstances.Update(float64(m.failing.Add(int64(s.failing - g.suspects.failing))))
	g.suspects = s
}

// statementOutcome returns what the end of a statement tells of the instance. Only reads
// count, because writes can run on one instance only. An error that is the statement's
// own, or the caller's, tells nothing. A statement that fails at each instance makes none
// of them suspect, since they are compared with each other. ranLong indicates that the
// statement has run for a multiple of its expected time.
func statementOutcome(ctx context.Context, j *job, a answer, sent bool, err error, ranLong bool) (o balance.Outcome) {
	switch {
	case !j.reads():
	case err == nil && a.failure == nil:
		o.Answered = true
	case err == nil:
		// In a transaction, the error may follow from an earlier statement or a conflict.
		o.Failed = j.Transaction == "" && isInstanceFailure(a.failure.Code)
	case ctx.Err() != nil:
		// An instance that is lost as a whole is not a target until it is regained.
		o.Failed = sent && ranLong && errors.Is(err, errDeadline)
	default:
		o.Failed = sent
	}
	return o
}

// isInstanceFailure reports whether an answer with the error code to a read is a failure of
// the instance.
func isInstanceFailure(c line.Code) bool {
	return c == line.CodeFailed || c == line.CodeTimeout || c == line.CodeBusy
}

// dialOutcome returns what a failure to get a connection tells of the instance.
func dialOutcome(ctx context.Context, j *job, err error) (o balance.Outcome) {
	var refusal *line.Error
	if !j.reads() || err == nil || ctx.Err() != nil || errors.Is(err, errNoMoreConns) || errors.As(err, &refusal) {
		return o
	}
	o.Failed = true
	return o
}
