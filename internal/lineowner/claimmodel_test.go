package lineowner

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// This file explores the rules of claimrule.go: two holders that elect, and a witness
// that relies on the store, take their steps in every order, with one restore of the
// store from every earlier copy, answers that are lost, and holders that are suspended
// between any two steps.

// rules are the decisions under test. A mutant replaces one of them.
type rules struct {
	generation   func(v gypsumyard.Version) gypsumyard.Version
	checkClaimed func(claimed, previous gypsumyard.Version) error
	mayClaim     func(v claimView, own bool, e storeEra, l electionLimits, now time.Time) error
	mayOrder     func(claimed, latest gypsumyard.Version, age time.Duration, l electionLimits) error
	provesUntil  func(v claimView, proof time.Time, e storeEra, l electionLimits) time.Time
}

func productRules() rules {
	return rules{
		generation:   func(v gypsumyard.Version) gypsumyard.Version { return v },
		checkClaimed: checkClaimed,
		mayClaim: func(v claimView, own bool, e storeEra, l electionLimits, now time.Time) error {
			return v.mayClaim(own, e, l, now)
		},
		mayOrder: mayOrder,
		provesUntil: func(v claimView, proof time.Time, e storeEra, l electionLimits) time.Time {
			return v.provesUntil(proof, e, l)
		},
	}
}

// tick is the unit of time of the model. Its limits keep the order of those of the
// product.
const tick = time.Second

var modelLimits = electionLimits{order: tick, foreign: 2 * tick, effect: 3 * tick}

// An age is a number of ticks before now. Ages above maxAge make no difference to the
// rules.
type age uint8

const maxAge age = 4

// modelNow is the time of each step: the model moves ages instead.
var modelNow = time.Unix(1000, 0)

func (a age) time() time.Time { return modelNow.Add(-time.Duration(a) * tick) }

func (a *age) grow() { *a = min(*a+1, maxAge) }

// A modelStore is the store as far as claims go. Revision zero of the claim means that
// there is none.
type modelStore struct {
	era      gypsumyard.Era
	revision uint64
	claim    uint64
	holder   int8
	done     bool
}

func (s modelStore) version() gypsumyard.Version { return gypsumyard.NewVersion(s.era, s.claim) }

// A reader is what a process knows of the store.
type reader struct {
	era     gypsumyard.Era
	eraAge  age
	known   bool
	version gypsumyard.Version
	seen    age
	done    bool
}

// read reads the latest claim.
func (r *reader) read(s modelStore) {
	if s.era > r.era {
		r.era, r.eraAge = s.era, 0
	}
	if v := s.version(); !r.known || v != r.version {
		r.known, r.version, r.seen = true, v, 0
	}
	r.done = s.done
}

func (r *reader) grow() {
	r.eraAge.grow()
	r.seen.grow()
}

func (r *reader) view() claimView {
	return claimView{known: r.known, version: r.version, firstSeen: r.seen.time(), lastSeen: modelNow, done: r.done}
}

func (r *reader) storeEra() storeEra { return storeEra{r.era, r.eraAge.time()} }

// The steps of a holder.
const (
	stepRead = iota
	stepClaim
	stepConfirm
	stepOrder
	stepEnd
)

// A holder is a host that elects.
type holder struct {
	reader
	step      int8
	elections int8
	began     age
	claimed   gypsumyard.Version
	// overtaken indicates that the other holder has claimed since.
	overtaken bool
}

// A world is a state of the model. It is comparable, so that each is visited once.
type world struct {
	store    modelStore
	copy     modelStore
	copied   bool
	restored bool
	holders  [2]holder
	// highest is the highest generation that was ordered.
	highest gypsumyard.Version
	// The witness relies on the store. proved indicates that the instances have
	// proved who leads, proof is the age of this; ordered indicates that an order
	// has left since.
	witness reader
	proved  bool
	proof   age
	ordered bool
}

func newWorld() world {
	w := world{store: modelStore{era: 1, revision: 5}}
	// All processes have known the era for long.
	known := reader{era: 1, eraAge: maxAge}
	w.holders[0].reader, w.holders[1].reader, w.witness = known, known, known
	return w
}

// An explorer visits all states and keeps the first violation.
type explorer struct {
	rules rules
	// holders is how many holders elect, elections how often each.
	holders   int
	elections int8
	witness   bool
	seen      map[world]bool
	todo      []world
	violation string
}

func explore(r rules, holders int, elections int8, witness bool) *explorer {
	x := &explorer{rules: r, holders: holders, elections: elections, witness: witness, seen: map[world]bool{}}
	x.add(newWorld())
	for len(x.todo) > 0 && x.violation == "" {
		w := x.todo[len(x.todo)-1]
		x.todo = x.todo[:len(x.todo)-1]
		x.step(w)
	}
	return x
}

func (x *explorer) add(w world) {
	if !x.seen[w] {
		x.seen[w] = true
		x.todo = append(x.todo, w)
	}
}

// step adds the states that follow w.
func (x *explorer) step(w world) {
	x.add(w.afterTick())
	if !w.copied {
		next := w
		next.copied, next.copy = true, w.store
		x.add(next)
	}
	if w.copied && !w.restored {
		next := w
		next.restored = true
		next.store = w.copy
		next.store.era = w.store.era + 1
		x.add(next)
	}
	for i := range x.holders {
		x.stepHolder(w, i)
	}
	if x.witness {
		x.stepWitness(w)
	}
}

func (w world) afterTick() world {
	for i := range w.holders {
		w.holders[i].grow()
		w.holders[i].began.grow()
	}
	w.witness.grow()
	w.proof.grow()
	return w
}

func (x *explorer) stepHolder(w world, i int) {
	h := &w.holders[i]
	switch h.step {
	case stepRead:
		if h.elections < x.elections {
			x.read(w, i)
		}
	case stepClaim:
		x.claim(w, i)
	case stepConfirm:
		h.step = stepOrder
		if x.rules.mayOrder(h.claimed, w.store.version(), time.Duration(h.began)*tick, modelLimits) != nil {
			h.step = stepEnd
		} else if w.store.version() != h.claimed {
			x.violation = fmt.Sprintf("holder %d orders with claim %v, the store has %v", i+1, h.claimed, w.store.version())
		}
		x.add(w)
	case stepOrder:
		// The order leaves within the limit, whatever suspends the holder after
		// the check.
		if time.Duration(h.began)*tick <= modelLimits.order {
			x.order(&w, i)
		}
		h.step = stepEnd
		x.add(w)
	case stepEnd:
		x.end(w, i)
	}
}

// read reads the latest claim and decides whether to claim.
func (x *explorer) read(w world, i int) {
	h := &w.holders[i]
	h.read(w.store)
	h.began = 0
	if x.rules.mayClaim(h.view(), w.store.holder == int8(i+1), h.storeEra(), modelLimits, modelNow) == nil {
		h.step = stepClaim
		h.elections++
	}
	x.add(w)
}

// claim writes a claim under the condition that the revision is the one read. The
// answer may be lost, and the holder then gives up.
func (x *explorer) claim(w world, i int) {
	h := &w.holders[i]
	if w.store.claim != h.version.Revision() {
		h.step = stepEnd
		x.add(w)
		return
	}
	w.store.revision++
	w.store.claim, w.store.holder, w.store.done = w.store.revision, int8(i+1), false
	lost := w
	lost.holders[i].step = stepEnd
	x.add(lost)
	if x.rules.checkClaimed(w.store.version(), h.version) != nil {
		return
	}
	h.step, h.claimed, h.overtaken = stepConfirm, w.store.version(), false
	w.holders[1-i].overtaken = true
	x.add(w)
}

// order sends the promotion order and checks that at most one holder acts at a time.
func (x *explorer) order(w *world, i int) {
	h := w.holders[i]
	g := x.rules.generation(h.claimed)
	if g <= w.highest {
		x.violation = fmt.Sprintf("generation %v is ordered after %v", g, w.highest)
	}
	if h.overtaken {
		x.violation = fmt.Sprintf("holder %d orders although holder %d has claimed since", i+1, 2-i)
	}
	w.highest, w.ordered = max(g, w.highest), w.ordered || w.proved
}

// end ends an election. The holder marks its claim as done if it has sent no order.
func (x *explorer) end(w world, i int) {
	h := &w.holders[i]
	h.step = stepRead
	x.add(w)
	if w.store.version() == h.claimed && w.highest < x.rules.generation(h.claimed) {
		w.store.revision++
		w.store.claim, w.store.done = w.store.revision, true
		x.add(w)
	}
}

// stepWitness lets the instances prove who leads, or lets the witness read the claim
// and rely on it.
func (x *explorer) stepWitness(w world) {
	if !w.proved && w.highest == 0 {
		next := w
		next.proved, next.proof = true, 0
		x.add(next)
	}
	w.witness.read(w.store)
	until := time.Time{}
	if w.proved {
		until = x.rules.provesUntil(w.witness.view(), w.proof.time(), w.witness.storeEra(), modelLimits)
	}
	if w.ordered && !until.IsZero() {
		x.violation = "the store proves that nobody has promoted, but an order has left since the instances proved who leads"
	}
	x.add(w)
}

// exploreAll explores elections of two holders, and of one before a witness.
func exploreAll(r rules) (violation string, states int) {
	x := explore(r, 2, 1, false)
	y := explore(r, 1, 2, true)
	if x.violation == "" {
		x.violation = y.violation
	}
	return x.violation, len(x.seen) + len(y.seen)
}

// Guards against two holders that act at the same time, generations that repeat or
// fall, and a store that is taken as a proof although a host has promoted, whatever a
// restore takes back.
func TestClaimRules(t *testing.T) {
	violation, states := exploreAll(productRules())
	t.Logf("%d states", states)
	if violation != "" {
		t.Error(violation)
	}
}

// sameEra returns the version as if it was of era 1.
func sameEra(v gypsumyard.Version) gypsumyard.Version {
	return gypsumyard.NewVersion(1, v.Revision())
}

// mutants drop the era, or what follows from it, from one rule each.
var mutants = map[string]func(r *rules){
	"generation without era": func(r *rules) { r.generation = sameEra },
	"claim of another era": func(r *rules) {
		r.checkClaimed = func(_, _ gypsumyard.Version) error { return nil }
	},
	"no wait for lost claims": func(r *rules) {
		r.mayClaim = func(v claimView, own bool, e storeEra, l electionLimits, now time.Time) error {
			e.since = e.since.Add(-time.Hour)
			return v.mayClaim(own, e, l, now)
		}
	},
	"no wait for foreign claims": func(r *rules) {
		r.mayClaim = func(v claimView, _ bool, e storeEra, l electionLimits, now time.Time) error {
			return v.mayClaim(true, e, l, now)
		}
	},
	"order after a claim that is lost": func(r *rules) {
		r.mayOrder = func(claimed, latest gypsumyard.Version, age time.Duration, l electionLimits) error {
			return mayOrder(sameEra(claimed), sameEra(latest), age, l)
		}
	},
	"witness without era": func(r *rules) {
		r.provesUntil = func(v claimView, proof time.Time, e storeEra, l electionLimits) time.Time {
			e.since = e.since.Add(-time.Hour)
			return v.provesUntil(proof, e, l)
		}
	},
	"witness of an undone claim": func(r *rules) {
		r.provesUntil = func(v claimView, proof time.Time, e storeEra, l electionLimits) time.Time {
			v.done = true
			return v.provesUntil(proof, e, l)
		}
	},
}

// Guards against a model that finds nothing.
func TestClaimMutantsAreFound(t *testing.T) {
	for name, mutate := range mutants {
		t.Run(name, func(t *testing.T) {
			r := productRules()
			mutate(&r)
			violation, states := exploreAll(r)
			if violation == "" {
				t.Errorf("not found in %d states", states)
			}
			t.Log(violation)
		})
	}
}
