//go:build review

package main

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/emulate/lineclient"
	"github.com/gypsumyard/gypsumyard/internal/emulate/objects"
)

const (
	saveRoute = "valuation"
	// memoryLimit is the hosts' setting limits.memoryMb in bytes.
	memoryLimit = 284 << 20
	// saveBytes is the size of the data of a save. A message may have 1 MiB.
	saveBytes = 1_000_000
	// burstSaves is how many saves come at once. In the quiet run as many come one after
	// the other.
	burstSaves = 150
	// bursts is how often that happens, and burstGap the pause between two of them.
	bursts   = 5
	burstGap = 8 * time.Second
	// endsAllowed is how often a process may end by itself on each of faultyHosts hosts
	// before the day has a fault.
	endsAllowed = 2
	faultyHosts = 2
)

// A memoryGuard is the part of the platform that kills a process which exceeds its memory,
// and starts it again.
type memoryGuard struct {
	system *system
	done   chan struct{}
	wg     sync.WaitGroup
	mu     sync.Mutex
	ends   map[string]int
	peaks  map[string]int
}

func newMemoryGuard(s *system) *memoryGuard {
	g := &memoryGuard{system: s, done: make(chan struct{}), ends: map[string]int{}, peaks: map[string]int{}}
	for _, h := range s.hosts {
		g.wg.Go(func() { g.watch(h) })
	}
	return g
}

func (g *memoryGuard) watch(h *host) {
	for {
		select {
		case <-g.done:
			return
		case <-time.After(10 * time.Millisecond):
		}
		n := residentBytes(h.pid())
		g.mu.Lock()
		g.peaks[h.name] = max(g.peaks[h.name], n)
		g.mu.Unlock()
		if n <= memoryLimit {
			continue
		}
		g.system.record.logf("%s has %d MB of memory, over %d MB", h.name, n>>20, memoryLimit>>20)
		g.system.signal(h, syscall.SIGKILL)
		<-h.ended
		g.mu.Lock()
		g.ends[h.name]++
		g.mu.Unlock()
		time.Sleep(time.Second)
		if err := g.system.start(h); err != nil {
			g.system.record.logf("%s does not start: %v", h.name, err)
			return
		}
	}
}

// stop ends the guard and returns how often it has killed each host.
func (g *memoryGuard) stop() map[string]int {
	close(g.done)
	g.wg.Wait()
	return g.ends
}

func (h *host) pid() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process.Process.Pid
}

// residentBytes returns the resident memory of the process, or zero if it has ended.
func residentBytes(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := bytes.Cut(text, []byte("VmRSS:"))
	f := strings.Fields(string(rest))
	if len(f) == 0 {
		return 0
	}
	kilobytes, _ := strconv.Atoi(f[0]) // The kernel writes a number.
	return kilobytes << 10
}

// runMemory sends saves of nearly the largest size to a deployment of two hosts, many at
// once. It checks Fault: a process that exceeds its memory ends by itself.
func runMemory(program []string, r *record, trouble bool) (breaks []string, err error) {
	s, err := newSystem(program, 2, r, objects.DesiredState{
		Version: 1,
		Routes: []objects.Route{{
			Name: "r-1", Host: saveRoute, Kind: objects.KindPrimary, TimeoutMs: 1000, TargetLatencyMs: 200, Priority: 1, Service: groupName,
		}},
		Services: []objects.Service{{Name: groupName, ConnectionLimit: 34, SyncReplicas: 1}},
		Limits:   objects.Limits{TransactionIdleMs: 3000},
	})
	defer s.close()
	if err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	r.logf("scenario begins")
	g := newMemoryGuard(s)
	data := strings.Repeat("x", saveBytes)
	for n := range bursts {
		began := time.Now()
		var answered, unanswered atomic.Int64
		var wg sync.WaitGroup
		for k := range burstSaves {
			save := func() {
				if saveOnce(s.hosts[k%len(s.hosts)], fmt.Sprintf("b%d-%d", n+1, k+1), data, r) {
					answered.Add(1)
				} else {
					unanswered.Add(1)
				}
			}
			if trouble {
				wg.Go(save)
			} else {
				save()
			}
		}
		wg.Wait()
		r.logf("burst %d: of %d saves %d were answered, %d not", n+1, burstSaves, answered.Load(), unanswered.Load())
		time.Sleep(time.Until(began.Add(burstGap)))
	}
	faulty := 0
	for name, n := range g.stop() {
		if n > endsAllowed {
			faulty++
		}
		r.logf("%s exceeded its memory %d times", name, n)
	}
	for name, n := range g.peaks {
		r.logf("%s had up to %d MB", name, n>>20)
	}
	if faulty >= faultyHosts {
		breaks = append(breaks, fmt.Sprintf("%d hosts ended %d times or more over their memory limit", faulty, endsAllowed+1))
	}
	return breaks, nil
}

// saveOnce saves data in a session of its own. It reports whether the save was answered.
func saveOnce(h *host, name, data string, r *record) bool {
	c, err := lineclient.Dial(h.callers, saveRoute, name)
	if err != nil {
		r.logf("%s: no session at %s: %v", name, h.name, err)
		return false
	}
	defer c.Close()
	r.logf("%s sends a WRITE of %d bytes of data to %s", name, len(data), h.name)
	a, ok := c.Query("WRITE rug-" + name + " " + data)
	r.logf("%s is answered: %v %q", name, ok, a.Code)
	return ok
}
