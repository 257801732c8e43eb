package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/emulate/lineclient"
	"github.com/gypsumyard/gypsumyard/internal/emulate/objects"
)

const (
	// rejectionTimeout limits the answer to a write while an election waits.
	rejectionTimeout = 500 * time.Millisecond
	// returnTimeout is the documented time within which the group is served after an
	// awaited instance has returned. acceptanceTimeout adds the two seconds between two
	// reads of the acceptance.
	returnTimeout     = 2 * time.Second
	acceptanceTimeout = returnTimeout + 2*time.Second
	// coverageTimeout is how long before another loss an instance may have been lost and
	// still be awaited. Faults of up to 3 s may keep the hosts from seeing that others have
	// its commits.
	coverageTimeout = 5 * time.Second
)

// Guards against the loss of commits that only lost instances have, against a group that
// is silent while its election waits for them, and against one that stays unserved once
// they return or an operator has accepted their loss. The hosts of one of the runs are
// restarted meanwhile.
func TestSoakCommitsOnLostInstances(t *testing.T) {
	for seed := range uint64(isolatedEvery) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			cl := newCluster(t, newHistory(), hosts, seed%isolatedEvery == 0, false)
			cl.runWithFaults(seed, 3*time.Second, func(wg *sync.WaitGroup) {
				all := cl.group.Instances()
				all[1].SetIsolated(true)
				time.Sleep(time.Second)
				wg.Go(func() { cl.replaceInstance(all[0]) })
				wg.Go(func() { cl.replaceInstance(all[2]) })
				time.Sleep(4 * time.Second)
				all[1].SetIsolated(false)
				for _, h := range cl.hosts {
					if seed == 1 {
						h.kill()
						cl.start(h)
					}
				}
			})
			if len(cl.waits) == 0 {
				t.Error("no host waits")
			}
		})
	}
}

// A wait is an election that waits, as a host has logged it.
type wait struct {
	host *process
	Msg  string `json:"msg"`
	Term uint64 `json:"term"`
	// Awaited and Answering begin with the IDs of the instances.
	Awaited   []string `json:"awaited"`
	Answering []string `json:"answering"`
	Needed    int      `json:"needed"`
}

// awaitedIDs returns the IDs of the instances awaited.
func (w *wait) awaitedIDs() (ids []string) {
	for _, a := range w.Awaited {
		id, _, _ := strings.Cut(a, " ")
		ids = append(ids, id)
	}
	return ids
}

// currentWait returns the election that the host waits for, or nil.
func (h *process) currentWait() (current *wait) {
	f, err := os.Open(h.log)
	if err != nil {
		return nil
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		w := &wait{host: h}
		if json.Unmarshal(lines.Bytes(), w) != nil {
			continue // Fields of other lines may have other types.
		}
		switch w.Msg {
		case "election waits for absent instances":
			current = w
		case "election waits no longer", "host starts":
			current = nil
		}
	}
	return current
}

// endWait checks that the group is not served because its election rightly waits for
// instances that are lost for good, and that this is visible. Then it lets awaited
// instances return, or accepts their loss, and checks that the group is served soon. It
// reports false if no host waits.
func (cl *cluster) endWait(h *history, seed uint64) bool {
	var waits []*wait
	for _, p := range cl.hosts {
		if w := p.currentWait(); w != nil {
			waits = append(waits, w)
		}
	}
	if len(waits) == 0 {
		return false
	}
	for _, w := range waits {
		cl.t.Logf("%s waits: %+v", w.host.name, w)
		cl.waits = append(cl.waits, w)
		cl.checkWait(w)
	}
	w := waits[0]
	timeout := returnTimeout
	if seed%2 == 0 {
		for _, id := range w.awaitedIDs()[:w.Needed-len(w.Answering)] {
			cl.returnInstance(id)
		}
	} else {
		timeout = acceptanceTimeout
		cl.acceptLoss(w)
		h.acceptLoss(cl.acceptedLosses)
	}
	if err := waitServed(h, timeout); err != nil {
		cl.t.Errorf("after the wait: %v", err)
	}
	return true
}

// checkWait checks that the host waits rightly: all awaited instances are lost for good, and
// either the first two or the last two were lost so shortly one after the other that no
// primary could be seen to hold the commits of the first. Those lost after the first two are
// awaited because nothing leads. It checks that the host has the gauge and rejects writes
// promptly.
func (cl *cluster) checkWait(w *wait) {
	var lost []time.Time
	cl.mu.Lock()
	for _, id := range w.awaitedIDs() {
		at := cl.lost[id]
		if at.IsZero() {
			cl.t.Errorf("%s awaits %s, which is not lost", w.host.name, id)
		}
		lost = append(lost, at)
	}
	cl.mu.Unlock()
	if !coveragePrevented(lost) {
		cl.t.Errorf("%s waits although the awaited instances were lost at %v", w.host.name, lost)
	}
	if !strings.Contains(w.host.readMetrics(), `gypsumyard_group_awaits_instances{group="`+groupName+`"} `+fmt.Sprint(len(w.Awaited))) {
		cl.t.Errorf("%s waits without the gauge", w.host.name)
	}
	s, err := lineclient.DialWithKey(w.host.callers, routePrimary, "wait-"+w.host.name, keyOf(clientName(1)))
	if err != nil {
		cl.t.Error(err)
		return
	}
	defer s.Close()
	began := time.Now()
	r, ok := s.Query("WRITE wait wait=1")
	if d := time.Since(began); !ok || !lineclient.NotRun(r.Code) || d > rejectionTimeout {
		cl.t.Errorf("%s answered a write with %q after %v while it waits", w.host.name, r.Code, d)
	}
}

// coveragePrevented reports whether the first two or the last two of the losses were at most
// coverageTimeout apart.
func coveragePrevented(lost []time.Time) bool {
	slices.SortFunc(lost, time.Time.Compare)
	n := len(lost)
	return n >= 2 && (lost[1].Sub(lost[0]) <= coverageTimeout || lost[n-1].Sub(lost[n-2]) <= coverageTimeout)
}

func (h *process) readMetrics() string {
	res, err := http.Get("http://" + h.metrics.String() + "/metrics")
	if err != nil {
		return ""
	}
	defer res.Body.Close()
	text, _ := io.ReadAll(res.Body) // What is missing fails the check.
	return string(text)
}

// returnInstance lets an instance that was lost return at its address, with its log.
func (cl *cluster) returnInstance(id string) {
	old := cl.group.Find(id)
	if old == nil {
		cl.t.Errorf("there is no instance %s", id)
		return
	}
	p := cl.proxyOf(old)
	n, err := cl.group.Restart(old)
	if err == nil {
		err = p.forwardAgain(n.Addr())
	}
	if err != nil {
		cl.t.Error(err)
		return
	}
	cl.mu.Lock()
	cl.instances[n.ID()] = p
	cl.mu.Unlock()
	cl.putEntry(n)
}

// acceptLoss accepts the loss of the awaited instances. Only what no other instance has may
// be missing then.
func (cl *cluster) acceptLoss(w *wait) {
	kept := map[string]bool{}
	for _, i := range cl.group.Instances() {
		for _, r := range i.Log() {
			for _, data := range r.Items {
				kept[data] = kept[data] || i.Running()
			}
		}
	}
	for data, running := range kept {
		if !running {
			cl.acceptedLosses[data] = true
		}
	}
	cl.t.Logf("the loss of %d writes is accepted", len(cl.acceptedLosses))
	if err := objects.PutLossAcceptance(cl.t.Context(), cl.store, groupName, w.Term, w.awaitedIDs()); err != nil {
		cl.t.Error(err)
	}
}
