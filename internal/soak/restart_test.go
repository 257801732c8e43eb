package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// lossSlack is how soon after its last byte a request may lose its connection without
	// an answer, as bounds.lossSlackMs says.
	lossSlack = 200 * time.Millisecond
	// maxRest bounds the pauses of callers inside transactions while hosts are restarted.
	maxRest = 2500 * time.Millisecond
)

// Guards against statements that get no answer, writes that are lost or doubled, and hosts
// that outlast their grace period, while hosts are restarted one by one, in turn and all
// at once, and callers keep using their sessions until these end.
func TestSoakRestarts(t *testing.T) {
	for n := range uint64(*seedCount) {
		seed := *firstSeed + n
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			h := newHistory()
			h.restartsOnly = true
			cl := newCluster(t, h, hosts, false, false)
			cl.runWithFaults(seed, recoveryTimeout, func(*sync.WaitGroup) {
				cl.restartHosts(rand.New(rand.NewPCG(seed, 1<<34)))
			})
			t.Logf("%d statements, %d of them without an answer in the time allowed for that", h.sent, h.cut)
		})
	}
}

// restartHosts restarts hosts in rounds, which may overlap with changes of the desired
// state and with each other, though not on the same host.
func (cl *cluster) restartHosts(r *rand.Rand) {
	cl.history.restarting.Store(true)
	defer cl.history.restarting.Store(false)
	end := time.Now().Add(*faultDuration)
	for time.Now().Before(end) {
		var wg sync.WaitGroup
		gap := time.Duration(0)
		chosen := r.Perm(len(cl.hosts))
		switch r.IntN(3) {
		case 0:
			chosen = chosen[:1]
		case 1:
			gap = time.Duration(r.IntN(2500)) * time.Millisecond
		}
		cl.t.Logf("restart of hosts %v, %v apart", chosen, gap)
		for k, n := range chosen {
			after := time.Duration(k) * gap
			wg.Go(func() { time.Sleep(after); cl.restart(cl.hosts[n]) })
		}
		time.Sleep(time.Duration(r.IntN(4000)) * time.Millisecond)
		if r.IntN(2) == 0 {
			cl.setDesiredState()
		}
		wg.Wait()
		time.Sleep(time.Duration(r.IntN(2000)) * time.Millisecond)
	}
}

// restart stops the host as the platform does, and starts it again.
func (cl *cluster) restart(h *process) {
	began := time.Now()
	h.signal(syscall.SIGTERM)
	select {
	case <-h.ended():
	case <-time.After(gracePeriod):
		cl.history.addViolation("%s outlasts its grace period", h.name)
		h.signal(syscall.SIGQUIT) // Its log gets the goroutines.
		<-h.ended()
	}
	cl.t.Logf("%s ended after %v", h.name, time.Since(began).Round(time.Millisecond))
	cl.start(h)
}

// rest pauses inside a transaction, for long while hosts are restarted.
func (c *client) rest() {
	if c.history.restarting.Load() {
		time.Sleep(time.Duration(c.random.Int64N(int64(maxRest))))
		return
	}
	time.Sleep(time.Duration(c.random.IntN(30)) * time.Millisecond)
}

// recordStatement counts a statement. While hosts are only restarted, each gets an answer
// unless its connection ends at once.
func (h *history) recordStatement(text string, answered bool, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sent++
	if answered {
		return
	}
	h.cut++
	if h.restartsOnly && took > lossSlack {
		h.violations = append(h.violations, fmt.Sprintf("%s got no answer, its connection ended %v after it was sent", text, took))
	}
}
