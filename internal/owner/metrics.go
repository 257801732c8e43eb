package owner

import (
	"github.com/gypsumyard/gypsumyard"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

type metrics struct {
	scope           tally.Scope
	readsReplica    tally.Counter
	readsPrimary    tally.Counter
	readsRejected   tally.Counter
	readsShared     tally.Counter
	writes          tally.Counter
	unknownOutcomes tally.Counter
	promotions      tally.Counter
	transactions    tally.Gauge
	confirmWait     tally.Timer
	queueWait       tally.Timer
	idleRolledBack  tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		scope:           scope,
		readsReplica:    scope.Counter("reads-replica"),
		readsPrimary:    scope.Counter("reads-primary"),
		readsRejected:   scope.Counter("reads-rejected"),
		readsShared:     scope.Counter("reads-shared"),
		writes:          scope.Counter("writes"),
		unknownOutcomes: scope.Counter("outcome-unknown"),
		promotions:      scope.Counter("promotions"),
		transactions:    scope.Gauge("open-transactions"),
		confirmWait:     scope.Timer("confirm-wait"),
		queueWait:       scope.Timer("queue-wait"),
		idleRolledBack:  scope.Counter("idle-transactions-rolled-back"),
	}
}

// logDecision logs one of logEvery routing decisions, or none if logEvery is
// zero.
func (g *group) logDecision(r *job, grant gypsumyard.Grant, needed gypsumyard.Position, term gypsumyard.Term) {
	if g.logEvery == 0 || g.decisions.Add(1)%g.logEvery != 0 {
		return
	}
	g.log.WithFields(logrus.Fields{
		"session":  r.Session,
		"customer": r.Customer,
		"class":    r.Class,
		"instance": grant.Target.Instance,
		"term":     term,
		"position": needed.String(),
		"reason":   grant.Target.Reason,
		"waited":   grant.Waited,
	}).Info("request routed")
}
