package lineowner

import (
	"math/bits"
	"slices"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// This file explores the rules of replicaset.go: one host elects, another passes on
// acknowledgements of the old primary as soon as it may, while instances fail, return, and
// enter and leave the list. Absences have no bound in time: an instance that has crashed, or
// that the elector does not reach, returns after any number of other steps or never. Logs are
// prefixes of the primary's, the first promotion ends an exploration. Instances that are up
// answer both hosts, unless they are unreachable: then they work and answer the other host
// only. No rule enforces what is assumed about times: the other host sees each fence in the
// wait, both see at once that a process has started again, and the elector counts an instance
// before it receives the log or is settled.

// The instances: the primary, two replicas and one that may be added.
const oldPrimary, replicaX, replicaY, addedZ, modelSize = 0, 1, 2, 3, 4

// A bitset is a set of instances.
type bitset uint8

func (s bitset) has(i int) bool { return s&(1<<i) != 0 }
func (s *bitset) add(i int)     { *s |= 1 << i }
func (s *bitset) drop(i int)    { *s &^= 1 << i }
func (s bitset) len() int       { return bits.OnesCount8(uint8(s)) }

func (s bitset) String() string {
	return []string{"", " P"}[s&1] + []string{"", " X", " Y", " X Y"}[s>>1&3] + []string{"", " Z"}[s>>3]
}

// replicaRules are the decisions under test. A mutant replaces some of them.
type replicaRules struct {
	fences                              func(n int) int
	covered                             func(stopped time.Time, primary replicaState, others []replicaState) bool
	added                               func(seesListed, counted, electing bitset) bool
	onlyListed, unchecked, addedSettled bool
	// expires drops a departed instance that does not answer, keepsCoverage what was
	// concluded from the end of a process after another one has started.
	expires, keepsCoverage bool
}

const phaseIdle, phaseFenced, phaseWaited, phaseOrdered, phaseOrderedWaited = 0, 1, 2, 3, 4

// A replicaWorld is a state of the model. It is comparable.
type replicaWorld struct {
	exists, up, deaf, unreachable, fenced, listed bitset
	log                                           [modelSize]uint8
	demoted                                       bool
	acknowledged                                  uint8
	// The elector samples the log of the primary after the silence of sampledAfter.
	counted, seesListed, silent, sampledAfter, covered bitset
	primarySeen                                        uint8
	phase, candidate, elections                        uint8
	electing, chosen                                   bitset
	// An election in progress may have missed the start of those that overlap it.
	settled, overlaps     bitset
	evidence, oldEvidence bool // Old evidence is from before the fences.
}

// A visit is a state with the step that led to it.
type visit struct {
	world  replicaWorld
	from   *visit
	step   string
	faults int
}

// A replicaExplorer visits all states, those after fewer faults first.
type replicaExplorer struct {
	rules     replicaRules
	elections uint8
	least     map[replicaWorld]int // The fewest faults that lead to each state.
	todo      [][]*visit
	current   *visit
	lost      string
}

func exploreReplicas(r replicaRules, start replicaWorld, faults int, elections uint8) *replicaExplorer {
	x := &replicaExplorer{rules: r, elections: elections, least: map[replicaWorld]int{start: 0}, todo: make([][]*visit, faults+1)}
	x.todo[0] = []*visit{{world: start}}
	for f := range x.todo {
		for n := 0; n < len(x.todo[f]) && x.lost == ""; n++ {
			x.current = x.todo[f][n]
			if w := x.current.world; x.least[w] == f {
				x.stepInstances(w)
				x.stepElector(w)
				x.stepElection(w)
			}
		}
	}
	return x
}

// add adds the state that a step of the given instances leads to.
func (x *replicaExplorer) add(step string, s bitset, w replicaWorld, faults int) {
	faults += x.current.faults
	if faults >= len(x.todo) || w.phase == phaseIdle && w.elections == x.elections {
		return // No promotion can follow.
	}
	x.acknowledge(&w)
	if w.elections == x.elections {
		w.sampledAfter, w.covered, w.primarySeen = 0, 0, 0 // They matter before an election.
	}
	if least, ok := x.least[w]; !ok || faults < least {
		x.least[w] = faults
		x.todo[faults] = append(x.todo[faults], &visit{w, x.current, step + s.String(), faults})
	}
}

func (x *replicaExplorer) try(possible bool, faults int, step string, i int, change func(w *replicaWorld)) {
	if possible {
		w := x.current.world
		change(&w)
		x.add(step, 1<<i, w, faults)
	}
}

func (x *replicaExplorer) trace() (trace string) {
	for v := x.current; v.from != nil; v = v.from {
		if v.world.acknowledged > v.from.world.acknowledged {
			v.step += " (acknowledged)"
		}
		trace = v.step + ", " + trace
	}
	return trace
}

func (w *replicaWorld) leads() bool { return w.up.has(oldPrimary) && !w.demoted }

// acknowledge lets the replicas that hear the primary receive its log, and the other host
// poll and pass on what the primary acknowledges.
func (x *replicaExplorer) acknowledge(w *replicaWorld) {
	for i := range modelSize {
		if (w.up & w.listed &^ w.fenced).has(i) && x.hasSettled(w, i) {
			w.settled.add(i)
		}
		if (w.up & w.counted &^ w.deaf &^ w.fenced).has(i) && w.leads() {
			w.log[i] = w.log[oldPrimary]
		}
	}
	proves := w.up & w.listed & w.settled &^ w.fenced
	if w.leads() && proves.has(oldPrimary) && proves.len() >= evidenceNeeded(w.counted.len()) {
		w.evidence, w.oldEvidence = true, false
	}
	if w.leads() && w.evidence {
		w.acknowledged = max(w.acknowledged, min(slices.Max(w.log[replicaX:]), w.log[oldPrimary]))
	}
}

// hasSettled applies the rule. The store holds the instances that the elector counts.
func (x *replicaExplorer) hasSettled(w *replicaWorld, i int) bool {
	known := silentAt
	if w.counted.has(i) && !w.overlaps.has(i) {
		known = modelNow.Add(-modelLimits.effect - tick)
	}
	stored, idle := timeIf(w.counted.has(i), known), timeIf(w.phase == phaseIdle, modelNow)
	return x.rules.addedSettled && i == addedZ || hasSettled(known, stored, idle, modelNow, modelLimits)
}

func timeIf(condition bool, t time.Time) time.Time {
	if condition {
		return t
	}
	return time.Time{}
}

// unsettle makes the other host take the instance for one that has started now.
func (w *replicaWorld) unsettle(i int) {
	w.settled.drop(i)
	w.evidence = w.evidence && i != oldPrimary
	if w.phase != phaseIdle {
		w.overlaps.add(i)
	}
}

// stepInstances lets the primary commit, and instances fail, return and be added.
func (x *replicaExplorer) stepInstances(w replicaWorld) {
	x.try(w.leads() && w.log[oldPrimary] < 2, 0, "commit", oldPrimary, func(w *replicaWorld) { w.log[oldPrimary]++ })
	x.try(w.leads() && !w.exists.has(addedZ), 1, "add", addedZ, func(w *replicaWorld) {
		w.exists, w.up, w.listed = w.exists|1<<addedZ, w.up|1<<addedZ, w.listed|1<<addedZ
		w.unsettle(addedZ)
	})
	for i := range modelSize {
		exists, up, listed := w.exists.has(i), w.up.has(i), w.listed.has(i)
		x.try(up, 1, "crash", i, func(w *replicaWorld) { w.up.drop(i) })
		x.try(up && w.fenced.has(i), 1, "restart", i, func(w *replicaWorld) {
			w.fenced.drop(i)
			if w.phase != phaseFenced && w.phase != phaseOrdered {
				w.unsettle(i)
			}
		})
		x.try(exists && !up, 0, "return", i, func(w *replicaWorld) {
			w.up.add(i)
			w.fenced.drop(i)
			w.silent.drop(i)
			w.sampledAfter.drop(i)
			if !x.rules.keepsCoverage {
				w.covered.drop(i)
			}
			w.poll(i)
			w.unsettle(i)
		})
		x.try(listed, 1, "lapse", i, func(w *replicaWorld) { w.listed.drop(i) })
		x.try(exists && !listed, 0, "list", i, func(w *replicaWorld) { w.listed.add(i) })
		x.try(i != oldPrimary && up && !w.deaf.has(i), 1, "deafen", i, func(w *replicaWorld) { w.deaf.add(i) })
		x.try(w.deaf.has(i), 0, "hear", i, func(w *replicaWorld) { w.deaf.drop(i) })
		x.try(exists && !w.unreachable.has(i), 1, "disconnect", i, func(w *replicaWorld) { w.unreachable.add(i) })
		x.try(w.unreachable.has(i), 0, "reconnect", i, func(w *replicaWorld) { w.unreachable.drop(i) })
	}
}

// stepElector lets the elector read the list, poll, and forget a departed instance.
func (x *replicaExplorer) stepElector(w replicaWorld) {
	next := w
	next.seesListed, next.counted = w.listed, w.counted|w.listed
	for i := range modelSize {
		x.try(w.counted.has(i), 0, "elector polls", i, func(w *replicaWorld) { w.poll(i) })
		if i != oldPrimary && w.counted.has(i) && w.phase == phaseIdle {
			x.noteCoverage(w, i)
			gone := !w.seesListed.has(i)
			expired := x.rules.expires && (w.unreachable.has(i) || !w.up.has(i))
			x.try(gone && (w.covered.has(i) || expired), 0, "elector forgets", i, func(w *replicaWorld) { w.counted.drop(i) })
		}
	}
	x.add("elector reads the list", 0, next, 0)
}

// poll records the status of the instance with the elector. It learns nothing from an
// unreachable one, which may have ended or not.
func (w *replicaWorld) poll(i int) {
	if w.unreachable.has(i) {
		return
	}
	w.silent.add(i)
	if w.up.has(i) {
		w.silent.drop(i)
		w.sampledAfter.drop(i)
	}
	if i == oldPrimary && w.leads() && w.silent != 0 {
		w.primarySeen, w.sampledAfter = w.log[i], w.silent
	}
}

func sampleOf(length uint8, at time.Time) replicaState {
	return replicaState{term: 1, received: gypsumyard.Position{Term: 1, Offset: gypsumyard.Offset(length)}, sampledAt: at}
}

// noteCoverage records whether the newest samples of the others cover the instance.
func (x *replicaExplorer) noteCoverage(w replicaWorld, i int) {
	var others []replicaState
	for j := replicaX; j < modelSize; j++ {
		if (w.seesListed &^ w.silent).has(j) {
			others = append(others, sampleOf(w.log[j], modelNow))
		}
	}
	primary := sampleOf(w.primarySeen, timeIf(w.sampledAfter.has(i), modelNow))
	covered := x.rules.covered(timeIf(w.silent.has(i), silentAt), primary, others)
	x.try(covered, 0, "elector notes coverage of", i, func(w *replicaWorld) { w.covered.add(i) })
}

// stepElection takes the next step of the election.
func (x *replicaExplorer) stepElection(w replicaWorld) {
	orders := w.phase == phaseWaited || w.phase == phaseFenced && w.electing&^w.chosen&w.up == 0
	switch c := int(w.candidate); {
	case w.phase == phaseIdle:
		x.elect(w)
	case orders && x.mayOrder(w):
		x.try(true, 0, "elector orders", c, func(w *replicaWorld) { w.phase += phaseOrdered - phaseFenced })
	case orders || w.phase == phaseOrderedWaited && !w.up.has(c):
		x.endElection(w)
	case w.phase == phaseOrderedWaited && w.log[c] < w.acknowledged:
		x.lost = x.trace() + "promote" + bitset(1<<c).String()
	}
	if w.phase == phaseFenced || w.phase == phaseOrdered {
		w.phase++
		w.evidence, w.oldEvidence = w.evidence && !w.oldEvidence, false
		x.add("wait ends", 0, w, 0)
	}
}

// elect fences some of the instances that answer.
func (x *replicaExplorer) elect(w replicaWorld) {
	w.elections++
	w.electing = w.counted
	if x.rules.onlyListed {
		w.electing = w.seesListed
	}
	w.overlaps |= w.exists &^ w.electing
	w.oldEvidence = w.evidence
	for s := bitset(1); s < 1<<modelSize; s++ {
		if s&^(w.electing&w.up&^w.unreachable) == 0 {
			x.fence(w, s)
		}
	}
}

func (x *replicaExplorer) fence(w replicaWorld, s bitset) {
	w.fenced |= s
	w.demoted = w.demoted || s.has(oldPrimary)
	if s.len() < x.rules.fences(w.electing.len()) {
		x.endElection(w)
		return
	}
	w.phase, w.chosen = phaseFenced, s
	for i := range modelSize {
		longer := func(j int) bool { return s.has(j) && w.log[j] > w.log[i] }
		if w.candidate = uint8(i); s.has(i) && !slices.ContainsFunc([]int{oldPrimary, replicaX, replicaY, addedZ}, longer) {
			x.add("elector fences", s, w, 0)
		}
	}
}

// mayOrder checks the fences and the list.
func (x *replicaExplorer) mayOrder(w replicaWorld) bool {
	enough := (w.chosen&w.up&w.fenced&^w.unreachable).len() >= x.rules.fences(w.electing.len()) || x.rules.unchecked
	return enough && !x.rules.added(w.seesListed, w.counted, w.electing)
}

func (x *replicaExplorer) endElection(w replicaWorld) {
	w.phase, w.candidate, w.electing, w.chosen, w.overlaps = phaseIdle, 0, 0, 0, 0
	x.add("election fails", 0, w, 0)
}

func listedAdded(listed, _, electing bitset) bool   { return listed&^electing != 0 }
func countedAdded(_, counted, electing bitset) bool { return counted&^electing != 0 }

// silentAt is when the silence of an instance began. steady is a group of three that has
// run for long.
// In departed, X, which has received a commit that Y has not, has stopped and left the list.
var (
	silentAt            = modelNow.Add(-tick)
	productReplicaRules = replicaRules{fences: fencesNeeded, covered: isCovered, added: countedAdded}
	steady              = replicaWorld{exists: 7, up: 7, listed: 7, counted: 7, seesListed: 7, settled: 7, evidence: true}
	departed            = replicaWorld{exists: 7, up: 5, listed: 5, counted: 7, seesListed: 5, settled: 7, evidence: true,
		deaf: 1 << replicaY, log: [modelSize]uint8{1, 1}, acknowledged: 1}
)

// exploreBounds explores more faults with one election, and fewer with two.
func exploreBounds(r replicaRules) (lost string, states int) {
	for n, start := range []replicaWorld{steady, departed, steady, steady} {
		x := exploreReplicas(r, start, []int{1, 1, 2, 3}[n], []uint8{1, 1, 2, 1}[n])
		if states += len(x.least); x.lost != "" {
			return x.lost, states
		}
	}
	return "", states
}

func checkNotLost(t *testing.T, lost string, states int) {
	t.Logf("%d states", states)
	if lost != "" {
		t.Error("LOST: " + lost)
	}
}

// Guards against rules of fences and of the replica set that lose an acknowledged commit.
func TestReplicaSetRules(t *testing.T) {
	lost, states := exploreBounds(productReplicaRules)
	checkNotLost(t, lost, states)
}

// Guards against coverage from before a departed instance returned and left again.
func TestReplicaLeavesAgain(t *testing.T) {
	x := exploreReplicas(productReplicaRules, departed, 2, 1)
	checkNotLost(t, x.lost, len(x.least))
}

func coveredAtOnce(time.Time, replicaState, []replicaState) bool { return true }
func coveredByAny(t time.Time, _ replicaState, o []replicaState) bool {
	return !t.IsZero() && len(o) > 0
}
func coveredAnswering(_ time.Time, p replicaState, o []replicaState) bool {
	return isCovered(p.sampledAt.Add(-tick), p, o)
}

var replicaMutants = map[string]func(r *replicaRules){
	"only listed instances count":          func(r *replicaRules) { r.onlyListed, r.added = true, listedAdded },
	"departed instances are forgotten":     func(r *replicaRules) { r.covered = coveredAtOnce },
	"coverage without checkpoint":          func(r *replicaRules) { r.covered = coveredByAny },
	"coverage of an instance that answers": func(r *replicaRules) { r.covered = coveredAnswering },
	"fences are not checked again":         func(r *replicaRules) { r.unchecked = true },
	"one fence fewer":                      func(r *replicaRules) { r.fences = func(n int) int { return fencesNeeded(n) - 1 } },
	"added that left are not noticed":      func(r *replicaRules) { r.added = listedAdded },
	"absent instances expire":              func(r *replicaRules) { r.expires = true },
	"coverage outlives a return":           func(r *replicaRules) { r.keepsCoverage = true },
	"added instances count at once":        func(r *replicaRules) { r.addedSettled, r.added = true, func(_, _, _ bitset) bool { return false } },
}

// Guards against a model that finds nothing.
func TestReplicaMutantsAreFound(t *testing.T) {
	for name, mutate := range replicaMutants {
		t.Run(name, func(t *testing.T) {
			r := productReplicaRules
			mutate(&r)
			lost, states := exploreBounds(r)
			if lost == "" {
				t.Errorf("not found in %d states", states)
			}
			t.Log(lost)
		})
	}
}
