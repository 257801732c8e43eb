package bench

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/emulate/group"
	"github.com/gypsumyard/gypsumyard/internal/history"
)

// A Result is what one run measured.
type Result struct {
	Deployment string        `json:"deployment"`
	Scenario   string        `json:"scenario,omitempty"`
	Baseline   bool          `json:"baseline"`
	Hosts      int           `json:"hosts"`
	Seed       uint64        `json:"seed"`
	Rate       float64       `json:"rate"`
	Duration   time.Duration `json:"duration-ns"`
	// ReplicaShare is the fraction of reads that replicas served.
	ReplicaShare float64 `json:"replica-share"`
	// FailoverGaps holds, for each database whose primary failed, the longest
	// time without an acknowledged write from the fault on.
	FailoverGaps map[string]time.Duration `json:"failover-gaps-ns,omitempty"`
	Kinds        []KindResult             `json:"kinds"`
	Shares       []ShareResult            `json:"shares"`
	// PeakConnections is the highest number of connections of any instance.
	PeakConnections int                 `json:"peak-connections"`
	Violations      []history.Violation `json:"violations"`
	Events          []AppliedEvent      `json:"events,omitempty"`
	// CPU is the processor time of the whole process, emulators and clients
	// included.
	CPU time.Duration `json:"cpu-ns"`
	// Seconds holds the 99th percentile of each second's short requests, in
	// microseconds.
	Seconds []int64 `json:"seconds-p99-us"`
}

// A KindResult holds the results of one kind of request.
type KindResult struct {
	Name             string           `json:"name"`
	Acknowledged     int64            `json:"acknowledged"`
	NotRun           int64            `json:"not-run"`
	Unknown          int64            `json:"outcome-unknown"`
	Latency          Latency          `json:"latency"`
	PeakLatency      Latency          `json:"crest-latency"`
	PeakAcknowledged float64          `json:"crest-acknowledged-fraction"`
	Errors           map[string]int64 `json:"errors,omitempty"`
}

// A Latency holds percentiles of a distribution, in microseconds.
type Latency struct {
	P50 int64 `json:"p50-us"`
	P90 int64 `json:"p90-us"`
	P99 int64 `json:"p99-us"`
	Max int64 `json:"max-us"`
}

// A ShareResult compares the fraction of a database's slot time that a customer
// used with its plan.
type ShareResult struct {
	Database string  `json:"database"`
	Customer string  `json:"customer"`
	Used     float64 `json:"used-fraction"`
	Share    float64 `json:"plan-share"`
	Limit    float64 `json:"plan-limit"`
}

// An AppliedEvent is a fault that was injected.
type AppliedEvent struct {
	At     time.Duration `json:"at-ns"`
	Kind   string        `json:"kind"`
	Target string        `json:"target"`
	Error  string        `json:"error,omitempty"`
}

// primaryFaults are the kinds of faults that stop a primary.
var primaryFaults = []string{"kill", "freeze", "isolate", "partition"}

// buildResult waits until every group has a primary and computes the result.
func (r *run) buildResult(ctx context.Context) (Result, error) {
	o := r.options
	result := Result{
		Deployment: o.Deployment, Scenario: o.Scenario.Name, Baseline: o.Baseline, Hosts: o.Hosts,
		Seed: o.Seed, Rate: o.Rate, Duration: o.Duration, Events: r.events, CPU: r.usage.cpu,
		FailoverGaps: map[string]time.Duration{},
	}
	for _, e := range r.events {
		database, ok := r.primaryFault(e)
		if ok {
			result.FailoverGaps[database] = r.record.longestGap(database, e.At, o.Duration)
		}
	}
	reads, replicaReads := 0, 0
	for _, g := range r.site.Environment.Groups() {
		h, err := r.completeHistory(ctx, g)
		if err != nil {
			return result, err
		}
		result.Violations = append(result.Violations, history.Check(h)...)
		result.Shares = append(result.Shares, r.shareResults(g.Name(), h)...)
		a, b := countReads(g)
		reads, replicaReads = reads+a, replicaReads+b
		for _, in := range g.Instances() {
			_, peak := in.Connections()
			result.PeakConnections = max(result.PeakConnections, peak)
		}
	}
	if reads > 0 {
		result.ReplicaShare = float64(replicaReads) / float64(reads)
	}
	r.addKindResults(&result)
	return result, nil
}

// primaryFault returns the database whose primary the event stopped.
func (r *run) primaryFault(e AppliedEvent) (database string, ok bool) {
	database, ok = strings.CutSuffix(e.Target, "/primary")
	return database, ok && e.Error == "" && slices.Contains(primaryFaults, e.Kind)
}

// completeHistory adds the rows found at the end and the journal to the history.
func (r *run) completeHistory(ctx context.Context, g *group.Group) (*history.History, error) {
	primary, err := waitForPrimary(ctx, g)
	if err != nil {
		return nil, err
	}
	h := r.record.histories[g.Name()]
	for _, row := range primary.Rows("saves") {
		h.Rows[fmt.Sprint(row[0])]++
	}
	database := g.Database(r.deployment.Region)
	h.Slots = database.Slots * len(database.Instances)
	h.Burst = time.Duration(float64(burst) * float64(h.Slots))
	for _, e := range g.Journal(0) {
		h.Executions = append(h.Executions, executionOf(e))
	}
	for _, c := range r.deployment.Customers {
		h.CustomerLimits = append(h.CustomerLimits, history.CustomerLimit{Customer: c.Name, Limit: r.plan(c.Plan).Limit})
	}
	return h, nil
}

func (r *run) plan(name string) gypsumyard.Plan {
	for _, p := range r.deployment.Plans {
		if p.Name == name {
			return p
		}
	}
	return gypsumyard.Plan{}
}

// waitForPrimary waits until the group has a primary.
func waitForPrimary(ctx context.Context, g *group.Group) (*group.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, primaryTimeout)
	defer cancel()
	for {
		if p := g.Primary(); p != nil {
			return p, nil
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
			return nil, fmt.Errorf("database %s has no primary at the end", g.Name())
		}
	}
}

// executionOf converts a journal entry to an execution of the history.
func executionOf(e group.Entry) history.Execution {
	execution := history.Execution{Instance: e.Instance, Transaction: e.Transaction, SlotTime: e.SlotTime, End: e.End}
	if _, rest, ok := strings.Cut(e.Statement, customerComment); ok {
		execution.Customer, _, _ = strings.Cut(rest, " ")
	}
	if strings.Contains(e.Statement, "INSERT INTO saves") {
		execution.Tag = tagOf(e)
	}
	return execution
}

// tagOf returns the tag of a save, from its parameters or its text.
func tagOf(e group.Entry) string {
	if len(e.Params) > 0 {
		return e.Params[0]
	}
	_, rest, _ := strings.Cut(e.Statement, "VALUES ('")
	tag, _, _ := strings.Cut(rest, "'")
	return tag
}

// countReads counts the SELECT statements that the instances ran, and those
// among them that ran on an instance which was not the primary.
func countReads(g *group.Group) (all, replica int) {
	wrote := map[string]bool{}
	for _, e := range g.Journal(0) {
		if e.Position.Offset > 0 {
			wrote[e.Instance] = true
			continue
		}
		if !strings.Contains(e.Statement, "SELECT") {
			continue
		}
		all++
		if !wrote[e.Instance] {
			replica++
		}
	}
	return all, replica
}

// shareResults compares the slot time that customers used with their plans.
func (r *run) shareResults(database string, h *history.History) (list []ShareResult) {
	used := map[string]time.Duration{}
	for _, e := range h.Executions {
		used[e.Customer] += e.SlotTime
	}
	capacity := r.options.Duration.Seconds() * r.slots(database)
	for _, c := range r.deployment.Customers {
		p := r.plan(c.Plan)
		list = append(list, ShareResult{
			Database: database, Customer: c.Name, Used: used[c.Name].Seconds() / capacity, Share: p.Share, Limit: p.Limit,
		})
	}
	return list
}

func (r *run) slots(database string) float64 {
	for _, d := range r.deployment.Databases {
		if d.Name == database {
			return float64(d.Slots * d.Instances)
		}
	}
	return 0
}

func (r *run) addKindResults(result *Result) {
	for _, name := range slices.Sorted(maps.Keys(r.record.kinds)) {
		k := r.record.kinds[name]
		kr := KindResult{
			Name:         name,
			Acknowledged: k.outcomes[history.Acknowledged],
			NotRun:       k.outcomes[history.NotRun],
			Unknown:      k.outcomes[history.Unknown],
			Latency:      latencyOf(k.all),
			PeakLatency:  latencyOf(k.peak),
			Errors:       k.errors,
		}
		if k.peakTotal > 0 {
			kr.PeakAcknowledged = float64(k.peakOK) / float64(k.peakTotal)
		}
		result.Kinds = append(result.Kinds, kr)
	}
	for _, s := range r.record.seconds {
		result.Seconds = append(result.Seconds, s.ValueAtPercentile(99))
	}
}

func latencyOf(h interface {
	ValueAtPercentile(float64) int64
	Max() int64
}) Latency {
	return Latency{P50: h.ValueAtPercentile(50), P90: h.ValueAtPercentile(90), P99: h.ValueAtPercentile(99), Max: h.Max()}
}

// WriteSummary writes the result as a human-readable table.
func (r *Result) WriteSummary(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	name := "gypsumyard"
	if r.Baseline {
		name = "baseline"
	}
	fmt.Fprintf(w, "%s\t%s\thosts %d\tseed %d\trate %g\t%v\tscenario %s\n", r.Deployment, name, r.Hosts, r.Seed, r.Rate, r.Duration, r.Scenario)
	fmt.Fprintf(w, "reads by replicas\t%.1f%%\n", 100*r.ReplicaShare)
	for _, database := range slices.Sorted(maps.Keys(r.FailoverGaps)) {
		fmt.Fprintf(w, "write gap %s\t%v\n", database, r.FailoverGaps[database].Round(time.Millisecond))
	}
	fmt.Fprintf(w, "peak connections\t%d\tcpu\t%v\n", r.PeakConnections, r.CPU.Round(time.Millisecond))
	fmt.Fprintln(w, "kind\tok\tnot-run\tunknown\tp50 ms\tp90 ms\tp99 ms\tmax ms\tcrest ok\tcrest p99 ms")
	for _, k := range r.Kinds {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%.1f%%\t%s\n", k.Name, k.Acknowledged, k.NotRun, k.Unknown,
			millis(k.Latency.P50), millis(k.Latency.P90), millis(k.Latency.P99), millis(k.Latency.Max), 100*k.PeakAcknowledged, millis(k.PeakLatency.P99))
	}
	for _, k := range r.Kinds {
		for _, e := range slices.Sorted(maps.Keys(k.Errors)) {
			fmt.Fprintf(w, "error of %s\t%d\t%s\n", k.Name, k.Errors[e], e)
		}
	}
	for _, s := range r.Shares {
		fmt.Fprintf(w, "share %s\t%s\tused %.3f\tplan %.2f to %.2f\n", s.Database, s.Customer, s.Used, s.Share, s.Limit)
	}
	fmt.Fprintf(w, "violations\t%d\n", len(r.Violations))
	for i, v := range r.Violations {
		if i == 10 {
			break
		}
		fmt.Fprintf(w, "violation\t%s\n", v)
	}
	return w.Flush()
}

func millis(us int64) string { return fmt.Sprintf("%.1f", float64(us)/1000) }
