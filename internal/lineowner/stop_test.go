package lineowner

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/emulate/linegroup"
	"github.com/matryer/is"
)

// Pattern: the owner stops while statements occupy all slots, and commits wait for one.
//
// Guards against a commit that gets the slot of a statement that the stop has canceled,
// is sent, and is then in doubt.
func TestStopSendsNoWaitingCommit(t *testing.T) {
	is := is.New(t)
	const waiting = 12
	work := func(text string) time.Duration {
		if strings.Contains(text, "long") {
			return 5 * time.Second
		}
		return time.Millisecond
	}
	f := newFixture(t, 3, linegroup.WithSlots(2), linegroup.WithServiceTimeFunc(work))
	h := f.addHost("host-1", nil)
	begin := func(item string) gypsumyard.Result {
		_, tx, err := f.runConcurrently(h, statement{text: "WRITE " + item + " 1", class: gypsumyard.StatementBegin, timeout: time.Second})
		is.NoErr(err)
		return tx
	}
	var busy, open []gypsumyard.Result
	for n := range 2 + overcommit {
		busy = append(busy, begin(fmt.Sprint("b", n)))
	}
	for n := range waiting {
		open = append(open, begin(fmt.Sprint("c", n)))
	}
	var wg sync.WaitGroup
	for _, tx := range busy {
		wg.Go(func() {
			_, _, _ = f.runConcurrently(h, statement{text: "WRITE long 1", class: gypsumyard.StatementWrite, tx: tx, timeout: 10 * time.Second})
		})
	}
	f.eventually("busy slots", func() bool { return f.running(h) == len(busy) })
	var mu sync.Mutex
	classes := map[gypsumyard.ErrorClass]int{}
	for _, tx := range open {
		wg.Go(func() {
			_, _, err := f.runConcurrently(h, statement{text: "COMMIT", class: gypsumyard.StatementCommit, tx: tx, timeout: 10 * time.Second})
			mu.Lock()
			defer mu.Unlock()
			classes[gypsumyard.ClassOf(err)]++
		})
	}
	f.eventually("waiting commits", func() bool { return f.inFlight(h) == len(busy)+waiting })
	is.NoErr(h.kernel.Stop(t.Context()))
	wg.Wait()
	is.Equal(classes[gypsumyard.ClassNotRun], waiting)
}

// running returns how many statements run at instances of the group.
func (f *fixture) running(h *hostFixture) (n int) {
	g := f.groupOf(h)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, i := range g.instances {
		n += i.running
	}
	return n
}

// inFlight returns how many requests the group is executing.
func (f *fixture) inFlight(h *hostFixture) int {
	g := f.groupOf(h)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight
}

func (f *fixture) groupOf(h *hostFixture) *group {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.groups[groupName]
}
