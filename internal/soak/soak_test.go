package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

var (
	seeds  = flag.Int("seeds", 1, "how many seeds to run")
	seed   = flag.Uint64("seed", 1, "the first seed")
	length = flag.Duration("length", 8*time.Second, "how long faults are injected")
	keep   = flag.String("keep", "", "directory for the logs of failed seeds")
)

// regressions are the seeds that have failed, each with its cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{120, "three hosts that all owned the group cut off each other's elections"},
	{217, "the stand-in let a primary that stepped down follow a crashed one, which cut its log back"},
}

// binary is the host's program.
var binary string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "gypsumyardd")
	out, err := exec.Command("go", "build", "-o", binary, "github.com/gypsumyard/gypsumyard/cmd/gypsumyardd").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

const (
	// recoverWithin is how soon all routes are served again after the last
	// fault, as the users' pages say.
	recoverWithin = 12 * time.Second
	// startWithin bounds the first start of all hosts.
	startWithin = 15 * time.Second
	hosts       = 3
	// apartEvery is which of the seeds run hosts that know nothing of each
	// other.
	apartEvery = 4
	clients    = 8
)

// Guards against lost, doubled and falsely refused writes, stale reads, reused
// generations and routes that stay unserved, under series of faults that
// overlap.
func TestSoak(t *testing.T) {
	list := map[uint64]string{}
	for _, r := range regressions {
		list[r.seed] = r.cause
	}
	for n := range uint64(*seeds) {
		list[*seed+n] = ""
	}
	for s := range list {
		t.Run(fmt.Sprint(s), func(t *testing.T) { soak(t, s) })
	}
}

func soak(t *testing.T, seed uint64) {
	w := newWorld(t, hosts, seed%apartEvery == 0)
	h := newHistory()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for n := range clients {
		c := &client{name: fmt.Sprintf("c%d", n), history: h, random: rand.New(rand.NewPCG(seed, uint64(n)+1)), hosts: w.hosts}
		wg.Go(func() { c.run(stop) })
	}
	awaitServed(t, h, startWithin)
	w.injectFaults(rand.New(rand.NewPCG(seed, 0)))
	awaitServed(t, h, recoverWithin)
	close(stop)
	wg.Wait()
	w.check(h)
	if t.Failed() && *keep != "" {
		saveLogs(t, w, seed)
	}
}

// awaitServed waits until each route has served a few more operations.
func awaitServed(t *testing.T, h *history, within time.Duration) {
	t.Helper()
	end := time.Now().Add(within)
	for _, r := range []string{routePrimary, routeBounded, routeSession} {
		want := h.servedBy(r) + 5
		for h.servedBy(r) < want {
			if time.Now().After(end) {
				t.Errorf("route %s is not served within %v", r, within)
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

func saveLogs(t *testing.T, w *world, seed uint64) {
	dir := filepath.Join(*keep, fmt.Sprintf("seed-%d", seed))
	if err := os.CopyFS(dir, os.DirFS(w.dir)); err != nil {
		t.Error(err)
	}
}

// injectFaults injects faults one after the other, some of which overlap.
func (w *world) injectFaults(r *rand.Rand) {
	end := time.Now().Add(*length)
	var wg sync.WaitGroup
	for time.Now().Before(end) {
		f := w.fault(r)
		w.t.Logf("%s", f.name)
		wg.Go(f.run)
		time.Sleep(time.Duration(200+r.IntN(1800)) * time.Millisecond)
	}
	wg.Wait()
}

// A fault is carried out by run, which returns when it is over.
type fault struct {
	name string
	run  func()
}

// during undoes a fault after a while.
func during(d time.Duration, do, undo func()) func() {
	return func() {
		do()
		time.Sleep(d)
		undo()
	}
}

func (w *world) fault(r *rand.Rand) fault {
	h := w.hosts[r.IntN(len(w.hosts))]
	all := w.group.Instances()
	i := all[r.IntN(len(all))]
	if p := w.group.Primary(); p != nil && r.IntN(2) == 0 {
		i = p
	}
	p := w.proxyOf(i)
	d := time.Duration(300+r.IntN(2700)) * time.Millisecond
	modes := []mode{modeSilent, modeOneWay, modeSlow}
	m := modes[r.IntN(len(modes))]
	pass := func(p *proxy) func() { return func() { p.set(modePass); p.reset() } }
	switch r.IntN(13) {
	case 0:
		return fault{"kill " + h.name, func() { h.kill(); time.Sleep(d / 4); w.start(h) }}
	case 1, 2:
		return fault{"suspend " + h.name, during(d, func() { h.signal(syscall.SIGSTOP) }, func() { h.signal(syscall.SIGCONT) })}
	case 3:
		return fault{"terminate " + h.name, func() { h.signal(syscall.SIGTERM); <-h.ended(); w.start(h) }}
	case 4:
		return fault{"store of " + h.name + " is " + string(m), during(d, func() { h.store.set(m) }, pass(h.store))}
	case 5:
		return fault{"path to " + i.ID() + " is " + string(m), during(d, func() { p.set(m) }, pass(p))}
	case 6:
		return fault{"connections to " + i.ID() + " are reset", p.reset}
	case 7:
		return fault{"store is down", during(d, func() { w.store.SetDown(true) }, func() { w.store.SetDown(false) })}
	case 8:
		return fault{"store loses answers", func() { w.store.DropResponses(3) }}
	case 9:
		return fault{"store forgets its history", during(time.Second, func() { w.store.SetWatchesStalled(true) }, func() { w.store.Compact(); w.store.SetWatchesStalled(false) })}
	case 10:
		return fault{i.ID() + " receives nothing", during(d, func() { i.SetIsolated(true) }, func() { i.SetIsolated(false) })}
	case 11:
		n := 1 + r.IntN(5)
		return fault{i.ID() + " loses answers", func() { i.DropResponses(n); w.changeState() }}
	}
	return fault{i.ID() + " is lost for good", func() { w.replace(i) }}
}

// check compares what callers were told with the log of the primary.
func (w *world) check(h *history) {
	w.t.Helper()
	for _, b := range append(h.broken, w.broken...) {
		w.t.Error(b)
	}
	p := w.group.Primary()
	if p == nil {
		w.t.Error("no instance leads in the end")
		return
	}
	times := map[string]int{}
	for _, r := range p.Log() {
		for _, data := range r.Items {
			times[data]++
		}
	}
	counts := map[outcome]int{}
	for data, o := range h.writes {
		counts[o]++
		n := times[data]
		switch {
		case n > 1:
			w.t.Errorf("%s took effect %d times", data, n)
		case n == 0 && o == acknowledged:
			w.t.Errorf("%s is %s and lost", data, o)
		case n == 1 && o == promised:
			w.t.Errorf("%s is kept though it was %s", data, o)
		}
	}
	w.t.Logf("%v, %d orders to promote", counts, len(w.generations))
}
