package lineowner

import (
	"sync/atomic"

	"github.com/gypsumyard/gypsumyard"
	"github.com/uber-go/tally/v4"
)

// metrics holds the metrics of all groups of a host.
type metrics struct {
	queueWait    tally.Timer
	runTime      tally.Timer
	readsPrimary tally.Counter
	readsReplica tally.Counter
	writes       tally.Counter
	elections    tally.Counter
	promotions   tally.Counter
	// keysRejected counts the requests whose key was withdrawn or moved.
	keysRejected tally.Counter
	// outdatedRoutes counts the requests that hosts have routed by an outdated desired
	// state to a group that no longer serves their routes.
	outdatedRoutes tally.Counter
	// Connections to instances: opened or tried, closed for another customer or a
	// lower limit, and requests that had to wait for one.
	connectionsOpened  tally.Counter
	connectionsEvicted tally.Counter
	connectionWaits    tally.Counter
	transactionWaits   tally.Counter
	quota              *quotaMetrics
	// awaits sets how many absent instances the election of a group waits for.
	awaits func(group string, instances int)
	// Uneven instances: what was learned from the outcomes of reads, reads for which the
	// estimates changed the preferred instance, reads that tried a slow or failing one, and
	// how many of these there are.
	outcomesAnswered tally.Counter
	outcomesFailed   tally.Counter
	choicesChanged   tally.Counter
	probes           tally.Counter
	slowInstances    tally.Gauge
	failingInstances tally.Gauge
	// slow and failing are the sums over all groups that the gauges show.
	slow, failing atomic.Int64
}

func newMetrics(s tally.Scope) *metrics {
	return &metrics{
		queueWait:    s.Timer("owner_queue_wait"),
		runTime:      s.Timer("owner_run_time"),
		readsPrimary: s.Tagged(map[string]string{"role": "primary"}).Counter("owner_reads"),
		readsReplica: s.Tagged(map[string]string{"role": "replica"}).Counter("owner_reads"),
		writes:       s.Counter("owner_writes"),
		elections:    s.Counter("owner_elections"),
		promotions:   s.Counter("owner_promotions"),
		keysRejected: s.Counter("owner_keys_rejected"),

		outdatedRoutes: s.Counter("owner_outdated_routes"),

		connectionsOpened:  s.Counter("owner_connections_opened"),
		connectionsEvicted: s.Counter("owner_connections_evicted"),
		connectionWaits:    s.Counter("owner_connection_waits"),
		transactionWaits:   s.Counter("owner_transaction_waits"),
		quota:              newQuotaMetrics(s),
		awaits: func(group string, instances int) {
			s.Tagged(map[string]string{"group": group}).Gauge("group_awaits_instances").Update(float64(instances))
		},

		outcomesAnswered: s.Tagged(map[string]string{"outcome": "answered"}).Counter("owner_instance_outcomes"),
		outcomesFailed:   s.Tagged(map[string]string{"outcome": "failed"}).Counter("owner_instance_outcomes"),
		choicesChanged:   s.Counter("owner_choices_changed"),
		probes:           s.Counter("owner_instance_probes"),
		slowInstances:    s.Tagged(map[string]string{"fault": "slow"}).Gauge("owner_instances_avoided"),
		failingInstances: s.Tagged(map[string]string{"fault": "failing"}).Gauge("owner_instances_avoided"),
	}
}

// count counts a statement that an instance has run.
func (m *metrics) count(j *job, role gypsumyard.Role) {
	switch {
	case !j.reads():
		m.writes.Inc(1)
	case role == gypsumyard.RolePrimary:
		m.readsPrimary.Inc(1)
	default:
		m.readsReplica.Inc(1)
	}
}
