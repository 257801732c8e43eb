package promote

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// A draw chooses a number from 0 to n-1.
type draw func(n int, label string) int

// explore runs two promoters, which fail over or hand over, against a world in an order that draw chooses,
// among writes, replication, confirmations, crashes of promoters and nodes, and
// lost answers. It returns the faults that the checker saw.
func explore(t *testing.T, d draw, m mutations) []string {
	w := newWorld([]int{3, 3, 5}[d(3, "size")], m)
	e := &explorer{world: w, draw: d, cancel: make([]context.CancelFunc, 2)}
	for range 60 + d(140, "steps") {
		synctest.Wait()
		w.mu.Lock()
		e.step()
		w.check()
		w.mu.Unlock()
		if len(w.faults) > 0 {
			break
		}
	}
	for _, c := range e.cancel {
		if c != nil {
			c()
		}
	}
	e.promoters.Wait()
	if len(w.faults) == 0 && m == (mutations{}) {
		e.recover(t)
	}
	return w.faults
}

type explorer struct {
	world     *world
	draw      draw
	cancel    []context.CancelFunc
	promoters sync.WaitGroup
	started   int
}

// step does one thing that can happen next. The world's lock is held.
func (e *explorer) step() {
	w := e.world
	n := w.nodes[e.draw(len(w.nodes), "node")]
	switch e.draw(20, "step") {
	case 0, 1:
		w.write(n)
	case 2, 3:
		w.replicate(n)
	case 4, 5:
		w.poll(n)
	case 6:
		n.down = !n.down && !slices.ContainsFunc(w.nodes, func(o *node) bool { return o.down })
	case 7:
		first := e.draw(2, "promoter")
		e.restart(first)
		if e.draw(2, "both") == 1 {
			e.restart(1 - first)
		}
	case 8:
		w.mu.Unlock()
		time.Sleep(time.Duration(e.draw(100, "pause")) * time.Millisecond)
		w.mu.Lock()
	default:
		e.deliver()
	}
}

// restart crashes the promoter, if it runs, and starts it anew.
func (e *explorer) restart(promoter int) {
	if c := e.cancel[promoter]; c != nil {
		c()
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel[promoter] = cancel
	e.started++
	token := fmt.Sprint("run-", e.started, "-")
	instances := e.world.instances(promoter, false)
	leaving := e.draw(4*len(e.world.nodes), "leaving")
	e.promoters.Go(func() {
		tokens := 0
		next := withTokens(func() gypsumyard.Token {
			tokens++
			return gypsumyard.Token(fmt.Sprint(token, tokens))
		})
		if leaving < len(e.world.nodes) {
			_, _ = HandOver(ctx, e.world.nodes[leaving].name, instances, next, WithCatchUp(100*time.Millisecond))
			return
		}
		_, _ = Run(ctx, instances, next)
	})
}

func withTokens(f func() gypsumyard.Token) Option {
	return func(s *settings) {
		s.newToken = f
		s.jitter = func(d time.Duration) time.Duration { return d }
	}
}

// deliver lets one order reach its node, or be lost, or lose its answer.
func (e *explorer) deliver() {
	w := e.world
	if len(w.pending) == 0 {
		return
	}
	// Promoters send to all nodes at once; the order of sending is not
	// repeatable, so it is sorted.
	slices.SortStableFunc(w.pending, func(a, b *order) int {
		return strings.Compare(fmt.Sprint(a.promoter, a.node.name, a.kind), fmt.Sprint(b.promoter, b.node.name, b.kind))
	})
	i := e.draw(len(w.pending), "order")
	o := w.pending[i]
	w.pending = slices.Delete(w.pending, i, i+1)
	lost := func() (gypsumyard.InstanceStatus, error) { return gypsumyard.InstanceStatus{}, errLostAnswer }
	fate := e.draw(8, "fate")
	if o.node.down || fate == 0 {
		o.answer <- lost
		return
	}
	status, err := o.do()
	if fate == 1 {
		o.answer <- lost
		return
	}
	o.answer <- func() (gypsumyard.InstanceStatus, error) { return status, err }
}

// recover ends all failures and checks that a promotion then succeeds and that
// its primary confirms a write.
func (e *explorer) recover(t *testing.T) {
	w := e.world
	for _, n := range w.nodes {
		n.down = false
	}
	r, err := Run(t.Context(), w.instances(0, true))
	if err != nil {
		w.fault("no promotion after all failures have ended: %v", err)
		return
	}
	p := w.node(r.Primary)
	w.write(p)
	for range 500 {
		for _, n := range w.nodes {
			w.replicate(n)
			w.poll(n)
		}
	}
	w.check()
	if _, ok := w.confirmed[p.status().Applied]; !ok {
		w.fault("write of the new primary is not confirmed")
	}
}

// Guards against a confirmed write that is lost and against two primaries of
// one term, whatever fails during promotions.
func TestNoConfirmedWriteIsLost(t *testing.T) {
	choices := rapid.SliceOfN(rapid.IntRange(0, 1<<20), 50, 1200)
	rapid.Check(t, func(rt *rapid.T) {
		rest := choices.Draw(rt, "choices")
		d := func(n int, _ string) (c int) {
			if len(rest) > 0 {
				c, rest = rest[0]%n, rest[1:]
			}
			return c
		}
		var faults []string
		synctest.Test(t, func(t *testing.T) { faults = explore(t, d, mutations{}) })
		if len(faults) > 0 {
			rt.Fatalf("%s", strings.Join(faults, "\n"))
		}
	})
}

// Guards against a checker that sees nothing: with a rule broken it must fail,
// and with none broken it must not within as many seeds.
func TestCheckerSeesBrokenRules(t *testing.T) {
	for name, m := range map[string]mutations{
		"none":          {},
		"tokens":        {looseTokens: true},
		"majority":      {minority: true},
		"fence":         {deafFence: true},
		"early confirm": {earlyConfirm: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var faults []string
				for seed := 0; seed < 2000 && faults == nil; seed++ {
					if faults = explore(t, seeded(seed), m); faults != nil {
						t.Logf("seed %d: %s", seed, strings.Join(faults, "; "))
					}
				}
				if (faults != nil) != (m != mutations{}) {
					t.Fatalf("faults: %v", faults)
				}
			})
		})
	}
}

func seeded(seed int) draw {
	r := rand.New(rand.NewPCG(uint64(seed), 3))
	return func(n int, _ string) int { return r.IntN(n) }
}

// Guards against a promotion without a majority, and against an error that
// does not say who was missing.
func TestNoMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(3, mutations{})
		w.nodes[0].down, w.nodes[2].down = true, true
		_, err := Run(t.Context(), w.instances(0, true), WithDatabase("readings"))
		is.True(errors.Is(err, gypsumyard.ErrNoMajority))
		is.True(strings.Contains(err.Error(), "n0: ") && strings.Contains(err.Error(), "n2: ") && !strings.Contains(err.Error(), "n1: "))
		is.Equal(w.nodes[1].role, gypsumyard.RoleReplica)
	})
}

// Guards against an old primary that is not replaced, or comes back as one.
func TestOldPrimaryReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(3, mutations{})
		w.write(w.nodes[0])
		w.replicate(w.nodes[2])
		w.write(w.nodes[0]) // never confirmed
		w.nodes[0].down = true
		before := time.Now()
		r, err := Run(t.Context(), w.instances(0, true), WithHighestTerm(1))
		is.NoErr(err)
		is.True(time.Since(before) < 50*time.Millisecond) // it does not wait for the dead
		is.Equal(r.Primary, "n2")                         // the most advanced that answers
		is.Equal(r.Unfollowed, []string{"n0"})
		w.nodes[0].down = false
		is.NoErr(w.instances(0, true)[0].Follow(t.Context(), r.Term, r.Primary))
		w.replicate(w.nodes[0])
		is.Equal(w.nodes[0].log, w.nodes[2].log)
	})
}

// Guards against a planned hand-over that loses records, picks the leaving
// instance although another has caught up, or waits long for a dead replica.
func TestHandOver(t *testing.T) {
	for _, dead := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) { handOver(t, dead) })
	}
}

func handOver(t *testing.T, dead bool) {
	is := is.New(t)
	w := newWorld(3, mutations{})
	w.nodes[2].down = dead
	for range 5 {
		w.write(w.nodes[0])
	}
	w.nodes[0].leaving = true
	ctx, cancel := context.WithCancel(t.Context())
	var world sync.WaitGroup
	world.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(3 * time.Millisecond)
			w.mu.Lock()
			w.replicate(w.nodes[1])
			w.write(w.nodes[0])
			w.mu.Unlock()
		}
	})
	before := time.Now()
	r, err := HandOver(t.Context(), "n0", w.instances(0, true))
	is.True(time.Since(before) < 200*time.Millisecond)
	cancel()
	world.Wait()
	is.NoErr(err)
	is.Equal(r.Primary, "n1")
	is.Equal(w.nodes[0].role, gypsumyard.RoleReplica)
	is.Equal(len(w.nodes[1].log), len(w.nodes[0].log)+1)
}
