package soak

import (
	"flag"
	"fmt"
	"maps"
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
	seedCount     = flag.Int("seeds", 1, "how many seeds to run")
	firstSeed     = flag.Uint64("seed", 1, "the first seed")
	faultDuration = flag.Duration("length", 8*time.Second, "how long faults are injected")
	logDir        = flag.String("keep", "", "directory for the logs of failed seeds")
)

// regressions are the seeds that have failed before, each with its cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{120, "three hosts that each owned the group interrupted each other's elections"},
	{217, "the emulator let a primary that had stepped down follow a crashed one, which truncated its log"},
	{5008, "two instances lost for good count in elections for almost as long as the recovery may take"},
	{9203, "new replicas that followed a replaced primary proved to a new owner that it led"},
}

// restoreRegressions are those of TestSoakRestoredStore.
var restoreRegressions = map[uint64]string{
	100:  "the soak let instances that were lost for good write their entries again",
	308:  "the same",
	502:  "a host that was assigned the group and started again did not know of it, the others did",
	595:  "the same",
	6016: "elections that fence too few instances make another host replace a primary that works",
	9009: "the log and the gauge of a wait did not name an instance that was lost after its start",
}

// hostBinary is the path of the host's executable.
var hostBinary string

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
	hostBinary = filepath.Join(dir, "gypsumyardd")
	out, err := exec.Command("go", "build", "-o", hostBinary, "github.com/gypsumyard/gypsumyard/cmd/gypsumyardd").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

const (
	// recoveryTimeout is the documented time within which all routes are served
	// again after the last fault.
	recoveryTimeout = 12 * time.Second
	// startTimeout limits the initial start of all hosts.
	startTimeout = 15 * time.Second
	hosts        = 3
	// isolatedEvery selects the seeds, the multiples of it, whose hosts do not
	// know each other.
	isolatedEvery = 4
	clients       = 8
)

// Guards against lost writes, duplicate writes, writes that take effect although
// they were refused, stale reads, reused generations and routes that stay
// unserved, under sequences of overlapping faults.
func TestSoak(t *testing.T) {
	list := map[uint64]string{}
	for _, r := range regressions {
		list[r.seed] = r.cause
	}
	for n := range uint64(*seedCount) {
		list[*firstSeed+n] = ""
	}
	for s := range list {
		t.Run(fmt.Sprint(s), func(t *testing.T) { soak(t, s, 0) })
	}
}

// Guards against the same, and against a desired state that goes back, while the
// store comes back from older copies.
func TestSoakRestoredStore(t *testing.T) {
	list := maps.Clone(restoreRegressions)
	for n := range uint64(*seedCount) {
		list[*firstSeed+n] = ""
	}
	for s := range list {
		t.Run(fmt.Sprint(s), func(t *testing.T) { soak(t, s, 1+int(s%maxRestores)) })
	}
}

// soak injects the faults of the seed, and restores the store the given number of
// times meanwhile.
func soak(t *testing.T, seed uint64, restores int) {
	cl := newCluster(t, newHistory(), hosts, seed%isolatedEvery == 0, restores > 0)
	cl.runWithFaults(seed, recoveryTimeout, func(wg *sync.WaitGroup) {
		wg.Go(func() { cl.restoreStore(rand.New(rand.NewPCG(seed, 1<<32)), restores) })
		wg.Go(func() { cl.withdrawKey(rand.New(rand.NewPCG(seed, 1<<33))) })
		cl.injectFaults(rand.New(rand.NewPCG(seed, 0)))
	})
}

// runWithFaults runs clients while inject injects faults, and checks the guarantees. All
// routes must be served within the time after it.
func (cl *cluster) runWithFaults(seed uint64, recovery time.Duration, inject func(*sync.WaitGroup)) {
	t, h := cl.t, cl.history
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for n := range clients {
		c := &client{name: clientName(n), history: h, random: rand.New(rand.NewPCG(seed, uint64(n)+1)), hosts: cl.hosts}
		wg.Go(func() { c.run(stop) })
	}
	if err := waitServed(h, startTimeout); err != nil {
		t.Error(err)
	}
	inject(&wg)
	if served := waitServed(h, recovery); served != nil && !cl.endWait(h, seed) {
		t.Error(served)
	}
	close(stop)
	wg.Wait()
	cl.check(h)
	cl.checkLimit(h)
	if t.Failed() && *logDir != "" {
		saveLogs(t, cl, seed)
	}
}

func clientName(n int) string { return fmt.Sprintf("c%d", n) }

// waitServed waits until each route has served a few more operations.
func waitServed(h *history, within time.Duration) error {
	end := time.Now().Add(within)
	for _, r := range []string{routePrimary, routeBounded, routeSession} {
		want := h.servedCount(r) + 5
		for h.servedCount(r) < want {
			if time.Now().After(end) {
				return fmt.Errorf("route %s is not served within %v", r, within)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

func saveLogs(t *testing.T, cl *cluster, seed uint64) {
	dir := filepath.Join(*logDir, fmt.Sprintf("seed-%d", seed))
	if err := os.CopyFS(dir, os.DirFS(cl.dir)); err != nil {
		t.Error(err)
	}
}

// injectFaults injects a sequence of random faults, some of which overlap.
func (cl *cluster) injectFaults(r *rand.Rand) {
	end := time.Now().Add(*faultDuration)
	var wg sync.WaitGroup
	for time.Now().Before(end) {
		f := cl.fault(r)
		cl.t.Logf("%s", f.name)
		wg.Go(f.run)
		time.Sleep(time.Duration(200+r.IntN(1800)) * time.Millisecond)
	}
	wg.Wait()
}

// A fault is injected by run, which returns when the fault has ended.
type fault struct {
	name string
	run  func()
}

// temporarily returns a function that calls do, and undo after d.
func temporarily(d time.Duration, do, undo func()) func() {
	return func() {
		do()
		time.Sleep(d)
		undo()
	}
}

func (cl *cluster) fault(r *rand.Rand) fault {
	h := cl.hosts[r.IntN(len(cl.hosts))]
	all := cl.group.Instances()
	i := all[r.IntN(len(all))]
	if p := cl.group.Primary(); p != nil && r.IntN(2) == 0 {
		i = p
	}
	p := cl.proxyOf(i)
	d := time.Duration(300+r.IntN(2700)) * time.Millisecond
	modes := []mode{modeSilent, modeOneWay, modeSlow}
	m := modes[r.IntN(len(modes))]
	pass := func(p *proxy) func() { return func() { p.set(modePass); p.reset() } }
	switch r.IntN(13) {
	case 0:
		return fault{"kill " + h.name, func() { h.kill(); time.Sleep(d / 4); cl.start(h) }}
	case 1, 2:
		return fault{"suspend " + h.name, temporarily(d, func() { h.signal(syscall.SIGSTOP) }, func() { h.signal(syscall.SIGCONT) })}
	case 3:
		return fault{"terminate " + h.name, func() { h.signal(syscall.SIGTERM); <-h.ended(); cl.start(h) }}
	case 4:
		return fault{"store of " + h.name + " is " + string(m), temporarily(d, func() { h.store.set(m) }, pass(h.store))}
	case 5:
		return fault{"path to " + i.ID() + " is " + string(m), temporarily(d, func() { p.set(m) }, pass(p))}
	case 6:
		return fault{"connections to " + i.ID() + " are reset", p.reset}
	case 7:
		return fault{"store is down", temporarily(d, func() { cl.store.SetDown(true) }, func() { cl.store.SetDown(false) })}
	case 8:
		return fault{"store loses answers", func() { cl.store.DropResponses(3) }}
	case 9:
		return fault{"store forgets its history", temporarily(time.Second, func() { cl.store.SetWatchesStalled(true) }, func() { cl.store.Compact(); cl.store.SetWatchesStalled(false) })}
	case 10:
		return fault{i.ID() + " receives nothing", temporarily(d, func() { i.SetIsolated(true) }, func() { i.SetIsolated(false) })}
	case 11:
		n := 1 + r.IntN(5)
		return fault{i.ID() + " loses answers", func() { i.DropResponses(n); cl.setDesiredState() }}
	}
	return fault{i.ID() + " is lost for good", func() { cl.replaceInstance(i) }}
}

// check compares the outcomes reported to callers with the log of the primary.
func (cl *cluster) check(h *history) {
	cl.t.Helper()
	for _, b := range append(h.violations, cl.violations...) {
		cl.t.Error(b)
	}
	p := cl.group.Primary()
	if p == nil {
		cl.t.Error("the group has no primary at the end")
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
			cl.t.Errorf("%s took effect %d times", data, n)
		case n == 0 && o == acknowledged && cl.acceptedLosses[data]:
		case n == 0 && o == acknowledged:
			cl.t.Errorf("%s was %s but is missing", data, o)
		case n == 1 && o == refused:
			cl.t.Errorf("%s took effect although it was %s", data, o)
		case n == 1 && h.late[data]:
			cl.t.Errorf("%s took effect although its key was withdrawn", data)
		}
	}
	cl.t.Logf("writes by outcome: %v; generations used for promotions: %d", counts, len(cl.generations))
}
