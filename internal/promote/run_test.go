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

// A draw returns a number from 0 to n-1.
type draw func(n int, label string) int

// explore runs two promoters, which fail over or hand over, against a cluster. In
// an order chosen by d it interleaves them with writes, replication,
// confirmations, crashes of promoters and nodes, lost answers and, if wanted, edits
// of the list of instances, of which each promoter has any version. It returns the
// violations that the checker found.
func explore(t *testing.T, d draw, m mutations, edits bool) []string {
	cl := newCluster([]int{3, 3, 5}[d(3, "size")], 0, m)
	if edits {
		cl = newCluster(3, 2, m)
	}
	e := &explorer{cluster: cl, draw: d, cancel: make([]context.CancelFunc, 2), lossOdds: 8}
	if edits {
		// Faults are rarer: several promotions must succeed before a record can be
		// lost by an edit.
		e.lossOdds = 64
	}
	step, steps := e.step, 60+d(140, "steps")
	if edits {
		step, steps = e.stepWithEdits, 100+d(200, "steps")
	}
	for range steps {
		synctest.Wait()
		cl.mu.Lock()
		step()
		cl.check()
		cl.mu.Unlock()
		if len(cl.violations) > 0 {
			break
		}
	}
	for _, cancel := range e.cancel {
		if cancel != nil {
			cancel()
		}
	}
	e.promoters.Wait()
	if len(cl.violations) == 0 && m == (mutations{}) {
		e.recover(t)
	}
	return cl.violations
}

type explorer struct {
	cluster   *cluster
	draw      draw
	cancel    []context.CancelFunc
	promoters sync.WaitGroup
	started   int
	// lossOdds sets how often messages are lost: one of lossOdds orders, and the answer
	// to another one.
	lossOdds int
}

// step executes one randomly chosen event. The caller must hold the mutex of
// the cluster.
func (e *explorer) step() {
	cl := e.cluster
	n := cl.nodes[e.draw(len(cl.nodes), "node")]
	switch e.draw(20, "step") {
	case 0, 1:
		cl.write(n)
	case 2, 3:
		cl.replicate(n)
	case 4, 5:
		cl.poll(n)
	case 6:
		if n.down || e.draw(4, "at once") == 0 {
			cl.restart(n)
			break
		}
		n.down = !slices.ContainsFunc(cl.nodes, func(o *node) bool { return o.down })
	case 7:
		first := e.draw(2, "promoter")
		e.restart(first)
		if e.draw(2, "both") == 1 {
			e.restart(1 - first)
		}
	case 8:
		cl.mu.Unlock()
		time.Sleep(time.Duration(e.draw(100, "pause")) * time.Millisecond)
		cl.mu.Lock()
	default:
		e.deliver()
	}
}

// stepWithEdits executes an edit of the list of instances, or events of several nodes
// at once, or one event. With single events only, hardly any run reaches the second
// successful promotion that it takes to lose a record by an edit. The caller must
// hold the mutex of the cluster.
func (e *explorer) stepWithEdits() {
	cl := e.cluster
	switch e.draw(12, "step with edits") {
	case 0:
		if len(cl.lists) < 4 {
			cl.edit(e.draw)
		}
	case 1:
		for _, n := range cl.nodes {
			cl.write(n)
		}
	case 2, 3:
		for _, n := range cl.nodes {
			if e.draw(2, "replicates") == 0 {
				cl.replicate(n)
			}
		}
	case 4, 5:
		for _, n := range cl.nodes {
			cl.poll(n)
		}
	case 6:
		e.step()
	case 7:
		n := cl.nodes[e.draw(len(cl.nodes), "crash")]
		n.down = !slices.ContainsFunc(cl.nodes, func(o *node) bool { return o.down })
	default:
		for range 6 {
			e.deliver()
			cl.mu.Unlock()
			synctest.Wait()
			cl.mu.Lock()
		}
	}
}

// restart starts the promoter, after a crash if it is running.
func (e *explorer) restart(promoter int) {
	if stop := e.cancel[promoter]; stop != nil {
		stop()
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel[promoter] = cancel
	e.started++
	token := fmt.Sprint("run-", e.started, "-")
	instances, lists := e.cluster.instances(e.draw(len(e.cluster.lists), "list"), promoter, false)
	leaving := e.draw(4*len(e.cluster.nodes), "leaving")
	e.promoters.Go(func() {
		tokens := 0
		next := withTokens(func() gypsumyard.Token {
			tokens++
			return gypsumyard.Token(fmt.Sprint(token, tokens))
		})
		if leaving < len(e.cluster.nodes) {
			_, _ = HandOver(ctx, e.cluster.nodes[leaving].name, instances, lists, next, WithCatchUp(100*time.Millisecond))
			return
		}
		_, _ = Run(ctx, instances, lists, next)
	})
}

func withTokens(f func() gypsumyard.Token) Option {
	return func(s *settings) {
		s.newToken = f
		s.jitter = func(d time.Duration) time.Duration { return d }
	}
}

// deliver delivers one order to its node, or loses it, or loses its answer.
func (e *explorer) deliver() {
	cl := e.cluster
	if len(cl.pending) == 0 {
		return
	}
	// Promoters send to all nodes concurrently, so the queue's order is not
	// deterministic. It is sorted to make runs repeatable.
	slices.SortStableFunc(cl.pending, func(a, b *order) int {
		return strings.Compare(fmt.Sprint(a.promoter, a.node.name, a.kind), fmt.Sprint(b.promoter, b.node.name, b.kind))
	})
	i := e.draw(len(cl.pending), "order")
	o := cl.pending[i]
	cl.pending = slices.Delete(cl.pending, i, i+1)
	lost := func() (gypsumyard.InstanceStatus, error) { return gypsumyard.InstanceStatus{}, errLostAnswer }
	loss := e.draw(e.lossOdds, "loss")
	if o.node.down || loss == 0 {
		o.answer <- lost
		return
	}
	status, err := o.do()
	if loss == 1 {
		o.answer <- lost
		return
	}
	o.answer <- func() (gypsumyard.InstanceStatus, error) { return status, err }
}

// recover ends all failures and checks that a promotion then succeeds and that a
// write to the new primary is confirmed.
func (e *explorer) recover(t *testing.T) {
	cl := e.cluster
	for _, n := range cl.nodes {
		n.down = false
	}
	instances, lists := cl.instances(len(cl.lists)-1, 0, true)
	r, err := Run(t.Context(), instances, lists)
	if err != nil {
		cl.addViolation("no promotion after all failures have ended: %v", err)
		return
	}
	p := cl.node(r.Primary)
	cl.write(p)
	for range 500 {
		for _, n := range cl.nodes {
			cl.replicate(n)
			cl.poll(n)
		}
	}
	cl.check()
	if _, ok := cl.confirmed[p.status().Applied]; !ok {
		cl.addViolation("write of the new primary is not confirmed")
	}
}

// Guards against a lost confirmed write and against two primaries in one term,
// whatever fails during promotions.
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
		edits := rapid.Bool().Draw(rt, "edits")
		var faults []string
		synctest.Test(t, func(t *testing.T) { faults = explore(t, d, mutations{}, edits) })
		if len(faults) > 0 {
			rt.Fatalf("%s", strings.Join(faults, "\n"))
		}
	})
}

// Guards against a checker that detects nothing: with a rule broken it must report
// a violation, and with none broken it must not, within the same number of seeds.
func TestCheckerSeesBrokenRules(t *testing.T) {
	for name, m := range map[string]mutations{
		"none":          {},
		"none, edits":   {},
		"tokens":        {acceptAnyToken: true},
		"majority":      {minority: true},
		"fence":         {ignoreFence: true},
		"early confirm": {earlyConfirm: true},
		"forgot log":    {forgetLog: true},
		"forgot former": {forgetFormer: true},
		"other version": {ignoreVersion: true},
		"dropped early": {dropEarly: true},
	} {
		t.Run(name, func(t *testing.T) {
			edits := name == "none, edits" || m.forgetFormer || m.ignoreVersion || m.dropEarly
			synctest.Test(t, func(t *testing.T) {
				var faults []string
				for seed := 0; seed < 2000 && faults == nil; seed++ {
					if faults = explore(t, seededDraw(seed), m, edits); faults != nil {
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

func seededDraw(seed int) draw {
	r := rand.New(rand.NewPCG(uint64(seed), 3))
	return func(n int, _ string) int { return r.IntN(n) }
}

// A restartingNode is a node whose restart, or whatever before does, happens
// between the fences and the effect of its promotion.
type restartingNode struct {
	gypsumyard.Instance
	before func()
}

func (n *restartingNode) Promote(ctx context.Context, term gypsumyard.Term, token gypsumyard.Token) (gypsumyard.InstanceStatus, error) {
	n.before()
	return n.Instance.Promote(ctx, term, token)
}

// Guards against a confirmed write that is lost when the fenced instances restart
// between the fences and the promotion while the old primary, which the promoter
// cannot reach, goes on: their fences must outlast the restart.
func TestRestartBetweenFenceAndPromotion(t *testing.T) {
	for name, m := range map[string]mutations{"none": {}, "forgot fence": {forgetFence: true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				faults := restartBetween(t, m)
				t.Logf("faults: %v", faults)
				if (faults != nil) != (m != mutations{}) {
					t.Fatalf("faults: %v", faults)
				}
			})
		})
	}
}

func restartBetween(t *testing.T, m mutations) []string {
	cl := newCluster(3, 0, m)
	old := cl.nodes[0]
	goOn := func(chosen int) {
		cl.mu.Lock()
		defer cl.mu.Unlock()
		old.down = false
		cl.restart(cl.nodes[3-chosen])
		cl.write(old)
		for _, n := range cl.nodes {
			cl.replicate(n)
			cl.poll(n)
		}
		old.down = true
	}
	old.down = true
	list := cl.listed()
	for i := 1; i < 3; i++ {
		list[i] = &restartingNode{list[i], func() { goOn(i) }}
	}
	_, err := Run(t.Context(), list)
	is.New(t).NoErr(err)
	cl.check()
	return cl.violations
}

// Guards against a promotion without a majority, and against an error that does
// not name the instances that did not answer.
func TestNoMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(3, 0, mutations{})
		cl.nodes[0].down, cl.nodes[2].down = true, true
		_, err := Run(t.Context(), cl.listed(), WithDatabase("readings"))
		is.True(errors.Is(err, gypsumyard.ErrNoMajority))
		is.True(strings.Contains(err.Error(), "n0: ") && strings.Contains(err.Error(), "n2: ") && !strings.Contains(err.Error(), "n1: "))
		is.Equal(cl.nodes[1].role, gypsumyard.RoleReplica)
	})
}

// Guards against a failed primary that is not replaced, or that is a primary again
// when it returns.
func TestOldPrimaryReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cl := newCluster(3, 0, mutations{})
		cl.write(cl.nodes[0])
		cl.replicate(cl.nodes[2])
		cl.write(cl.nodes[0]) // never confirmed
		cl.nodes[0].down = true
		before := time.Now()
		r, err := Run(t.Context(), cl.listed(), WithHighestTerm(1))
		is.NoErr(err)
		is.True(time.Since(before) < 50*time.Millisecond) // it does not wait for the dead node
		is.Equal(r.Primary, "n2")                         // the most advanced node that answers
		is.Equal(r.Unfollowed, []string{"n0"})
		cl.nodes[0].down = false
		is.NoErr(cl.listed()[0].Follow(t.Context(), r.Term, r.Primary))
		cl.replicate(cl.nodes[0])
		is.Equal(cl.nodes[0].log, cl.nodes[2].log)
	})
}

// Guards against a planned handover that loses records, that promotes the
// leaving instance although another has caught up, or that waits long for a
// dead replica.
func TestHandOver(t *testing.T) {
	for _, dead := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) { handOver(t, dead) })
	}
}

func handOver(t *testing.T, dead bool) {
	is := is.New(t)
	cl := newCluster(3, 0, mutations{})
	cl.nodes[2].down = dead
	for range 5 {
		cl.write(cl.nodes[0])
	}
	cl.nodes[0].leaving = true
	ctx, cancel := context.WithCancel(t.Context())
	var workload sync.WaitGroup
	workload.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(3 * time.Millisecond)
			cl.mu.Lock()
			cl.replicate(cl.nodes[1])
			cl.write(cl.nodes[0])
			cl.mu.Unlock()
		}
	})
	before := time.Now()
	r, err := HandOver(t.Context(), "n0", cl.listed())
	is.True(time.Since(before) < 200*time.Millisecond)
	cancel()
	workload.Wait()
	is.NoErr(err)
	is.Equal(r.Primary, "n1")
	is.Equal(cl.nodes[0].role, gypsumyard.RoleReplica)
	is.Equal(len(cl.nodes[1].log), len(cl.nodes[0].log)+1)
}
