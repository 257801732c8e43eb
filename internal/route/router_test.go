package route

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func position(term, offset int) gypsumyard.Position {
	return gypsumyard.Position{Term: gypsumyard.Term(term), Offset: gypsumyard.Offset(offset)}
}

// naive is an instance in the reference model, which keeps the log record by
// record.
type naive struct {
	view gypsumyard.InstanceView
	log  []gypsumyard.Term
}

func (n *naive) holds(p gypsumyard.Position) bool {
	return p.IsZero() || (int(p.Offset) <= len(n.log) && n.log[p.Offset-1] == p.Term)
}

func drawInstance(t *rapid.T, name string) *naive {
	n := &naive{}
	var history gypsumyard.History
	for term := range 3 {
		records := rapid.IntRange(0, 3).Draw(t, "records")
		if records == 0 && (term < 2 || len(n.log) > 0) {
			continue
		}
		history = append(history, gypsumyard.TermStart{Term: gypsumyard.Term(term + 1), Start: gypsumyard.Offset(len(n.log) + 1)})
		for range max(records, 1) {
			n.log = append(n.log, gypsumyard.Term(term+1))
		}
	}
	n.view = gypsumyard.InstanceView{
		Upstream:    gypsumyard.Upstream{Name: name},
		Reachable:   rapid.IntRange(0, 5).Draw(t, "reachable") > 0,
		Leaving:     rapid.IntRange(0, 5).Draw(t, "leaving") == 0,
		SampledAt:   start,
		Lag:         time.Duration(rapid.IntRange(0, 3000).Draw(t, "lag")) * time.Millisecond,
		Distance:    time.Duration(rapid.IntRange(0, 3).Draw(t, "distance")) * time.Millisecond,
		Utilization: rapid.Float64Range(0, 1).Draw(t, "busy"),
		Status: gypsumyard.InstanceStatus{
			Role:    rapid.SampledFrom([]gypsumyard.Role{gypsumyard.RolePrimary, gypsumyard.RoleReplica}).Draw(t, "role"),
			Applied: gypsumyard.Position{Term: n.log[len(n.log)-1], Offset: gypsumyard.Offset(len(n.log))},
			Fence:   gypsumyard.Term(rapid.IntRange(1, 4).Draw(t, "fence")),
			History: history,
		},
	}
	return n
}

// naiveTargets is the reference implementation of Router.Targets, by the
// definitions of design sections 3.2 and 3.3. It sets no reasons.
func naiveTargets(read gypsumyard.ReadRequest, all []*naive) (targets []gypsumyard.Target) {
	var primary *naive
	for _, n := range all {
		s := n.view.Status
		last := n.log[len(n.log)-1]
		if n.view.Reachable && s.Role == gypsumyard.RolePrimary && s.Fence <= last && (primary == nil || last > primary.log[len(primary.log)-1]) {
			primary = n
		}
	}
	for _, n := range all {
		v := n.view
		load := 2 * v.Utilization
		wait := time.Duration(0)
		switch {
		case !v.Reachable || v.Leaving:
			continue
		case n == primary:
			load = 2 + 8*v.Utilization
		case read.PrimaryOnly || v.Status.Role == gypsumyard.RolePrimary || v.Lag > 2*time.Second:
			continue
		case primary == nil && !n.holds(read.MinPosition):
			continue
		case primary != nil && !canFollow(n, primary, read.MinPosition):
			continue
		case !n.holds(read.MinPosition):
			wait = max(v.Lag, time.Millisecond)
		}
		targets = append(targets, gypsumyard.Target{Instance: v.Upstream.Name, Cost: wait + v.Distance + time.Duration(load*float64(time.Millisecond))})
	}
	slices.SortStableFunc(targets, func(a, b gypsumyard.Target) int {
		return cmp.Or(cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.Instance, b.Instance))
	})
	return targets
}

// canFollow reports whether n's log is a prefix of the primary's, or ahead of the
// sample of the primary in the same term, and contains the position or can still
// reach it.
func canFollow(n, primary *naive, needed gypsumyard.Position) bool {
	last, top := n.log[len(n.log)-1], primary.log[len(primary.log)-1]
	if n.view.Status.Fence > top || last > top {
		return false
	}
	ahead := last == top && len(n.log) > len(primary.log)
	if !ahead && !primary.holds(gypsumyard.Position{Term: last, Offset: gypsumyard.Offset(len(n.log))}) {
		return false
	}
	return n.holds(needed) || last < needed.Term || (last == needed.Term && len(n.log) < int(needed.Offset))
}

// Guards against targets that the definitions exclude, missing targets, and a
// wrong order of targets. Compares with naiveTargets.
func TestTargetsMatchNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []*naive
		var views []gypsumyard.InstanceView
		for i := range rapid.IntRange(0, 5).Draw(t, "instances") {
			n := drawInstance(t, fmt.Sprint(i))
			all, views = append(all, n), append(views, n.view)
		}
		read := gypsumyard.ReadRequest{
			MinPosition: position(rapid.IntRange(1, 3).Draw(t, "term"), rapid.IntRange(1, 8).Draw(t, "offset")),
			PrimaryOnly: rapid.IntRange(0, 4).Draw(t, "primary") == 0,
		}
		if rapid.Bool().Draw(t, "any") {
			read.MinPosition = gypsumyard.Position{}
		}
		got := New().Targets(read, views, start)
		for i := range got {
			got[i].Reason = ""
		}
		slices.SortStableFunc(got, func(a, b gypsumyard.Target) int {
			return cmp.Or(cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.Instance, b.Instance))
		})
		if want := naiveTargets(read, all); !slices.Equal(got, want) {
			t.Fatalf("Targets(%+v)\n got %v\nwant %v", read, got, want)
		}
	})
}

func primaryAndReplica(now time.Time, offset int, lag time.Duration) []gypsumyard.InstanceView {
	history := gypsumyard.History{{Term: 1, Start: 1}}
	primary := gypsumyard.InstanceStatus{Role: gypsumyard.RolePrimary, Applied: position(1, 1000), Fence: 1, History: history}
	replica := gypsumyard.InstanceStatus{Role: gypsumyard.RoleReplica, Applied: position(1, offset), Fence: 1, History: history}
	return []gypsumyard.InstanceView{
		{Upstream: gypsumyard.Upstream{Name: "p"}, Status: primary, SampledAt: now, Reachable: true},
		{Upstream: gypsumyard.Upstream{Name: "r"}, Status: replica, SampledAt: now, Reachable: true, Lag: lag},
	}
}

// Guards against replicas that stay in the read set while they lag or make no
// progress, that are readmitted too early, and that are never readmitted.
func TestHysteresis(t *testing.T) {
	is := is.New(t)
	r := New()
	now, offset := start, 1
	targetsAfter := func(lag time.Duration, progress int, during time.Duration) (n int) {
		for end := now.Add(during); now.Before(end); {
			now = now.Add(50 * time.Millisecond)
			offset += progress
			n = len(r.Targets(gypsumyard.ReadRequest{}, primaryAndReplica(now, offset, lag), now))
		}
		return n
	}
	is.Equal(targetsAfter(1900*time.Millisecond, 1, time.Second), 2)
	is.Equal(targetsAfter(2100*time.Millisecond, 1, 50*time.Millisecond), 1)
	is.Equal(targetsAfter(600*time.Millisecond, 1, 3*time.Second), 1)
	is.Equal(targetsAfter(400*time.Millisecond, 1, 1900*time.Millisecond), 1)
	is.Equal(targetsAfter(400*time.Millisecond, 1, 200*time.Millisecond), 2)
	is.Equal(targetsAfter(100*time.Millisecond, 0, 1900*time.Millisecond), 2)
	is.Equal(targetsAfter(100*time.Millisecond, 0, 200*time.Millisecond), 1) // no progress
	is.Equal(targetsAfter(100*time.Millisecond, 1, 3*time.Second), 2)
}

// simulateDelays returns a replica's replication delay at each millisecond. The
// delays vary around the median, given in milliseconds, with occasional spikes in
// which the replica falls behind.
func simulateDelays(seed uint64, n int, median float64) []time.Duration {
	random := rand.New(rand.NewPCG(seed, 1))
	list := make([]time.Duration, n)
	level, spikeLeft := 0.0, 0
	for i := range list {
		if spikeLeft--; spikeLeft < 0 && random.IntN(20_000) == 0 {
			spikeLeft = 500 + random.IntN(2000)
		}
		level = 0.95*level + 0.3*random.NormFloat64()
		d := median * math.Exp(level/2)
		if spikeLeft > 0 {
			d += 80
		}
		list[i] = time.Duration(d * float64(time.Millisecond))
	}
	return list
}

type estimateOutcome struct {
	reads, replica, missed int
	waits                  []time.Duration
}

// simulateReads sends reads that must see a recent write to the target of lowest
// cost according to the estimator. A read that the replica cannot serve after the
// estimated wait goes to the primary.
func simulateReads(e delayEstimator, median float64, primaryCost time.Duration) (o estimateOutcome) {
	const poll = 50
	random := rand.New(rand.NewPCG(5, 2))
	delay := simulateDelays(3, 300_000, median)
	for at := 1000; at < len(delay); at += 1 + random.IntN(20) {
		for p := at - at%poll; p > at-20 && p%poll == 0; p-- {
			e.observe(delay[p])
		}
		written := max(at-int(random.ExpFloat64()*20), 0)
		applied := time.Duration(written)*time.Millisecond + delay[written]
		sampled := time.Duration(at-at%poll) * time.Millisecond
		now := time.Duration(at) * time.Millisecond
		wait := time.Duration(0)
		if applied > sampled {
			wait = e.estimate()
			if written < at-at%poll {
				wait -= now - sampled
			}
			wait = max(wait, minWait)
		}
		o.reads++
		switch {
		case wait > primaryCost:
			wait = primaryCost
		case now+wait >= applied:
			o.replica++
		default:
			o.missed++
			wait += time.Millisecond + primaryCost
		}
		o.waits = append(o.waits, wait)
	}
	slices.Sort(o.waits)
	return o
}

// Guards against a default estimator that is worse than a fixed wait of 20 ms.
// With -v it prints the table of docs/decisions-routing.md.
func TestWaitEstimates(t *testing.T) {
	is := is.New(t)
	estimators := []struct {
		name  string
		build func() delayEstimator
	}{
		{"fixed 2 ms", func() delayEstimator { return fixedDelay(2 * time.Millisecond) }},
		{"fixed 5 ms", func() delayEstimator { return fixedDelay(5 * time.Millisecond) }},
		{"fixed 20 ms", func() delayEstimator { return fixedDelay(20 * time.Millisecond) }},
		{"Chebyshev k=1", func() delayEstimator { return &chebyshev{k: 1} }},
		{"Chebyshev k=3", func() delayEstimator { return &chebyshev{k: 3} }},
		{"quantile 0.5", func() delayEstimator { return &quantile{q: 0.5} }},
		{"quantile 0.7", func() delayEstimator { return &quantile{q: 0.7} }},
		{"quantile 0.9", func() delayEstimator { return &quantile{q: 0.9} }},
		{"quantile 0.99", func() delayEstimator { return &quantile{q: 0.99} }},
	}
	for _, load := range []struct {
		median float64
		cost   time.Duration
	}{{1, 3 * time.Millisecond}, {3, 3 * time.Millisecond}, {1, 10 * time.Millisecond}, {3, 10 * time.Millisecond}, {9, 10 * time.Millisecond}} {
		mean := map[string]time.Duration{}
		for _, e := range estimators {
			o := simulateReads(e.build(), load.median, load.cost)
			for _, w := range o.waits {
				mean[e.name] += w / time.Duration(o.reads)
			}
			t.Logf("| %v ms | %v | %s | %.1f %% | %.2f %% | %v | %v |", load.median, load.cost, e.name, 100*float64(o.replica)/float64(o.reads), 100*float64(o.missed)/float64(o.reads),
				mean[e.name].Round(10*time.Microsecond), o.waits[len(o.waits)*99/100].Round(10*time.Microsecond))
		}
		is.True(mean["quantile 0.9"] < mean["fixed 20 ms"])
	}
}

// BenchmarkTargets measures one routing decision over three instances.
func BenchmarkTargets(b *testing.B) {
	r := New()
	views := append(primaryAndReplica(start, 900, time.Millisecond), primaryAndReplica(start, 1000, time.Millisecond)[1])
	views[2].Upstream.Name = "s"
	read := gypsumyard.ReadRequest{MinPosition: position(1, 950)}
	b.ReportAllocs()
	for b.Loop() {
		r.Targets(read, views, start)
	}
}
