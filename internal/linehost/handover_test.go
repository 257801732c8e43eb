package linehost_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/emulate/lineclient"
	"github.com/gypsumyard/gypsumyard/internal/emulate/linegroup"
	"github.com/matryer/is"
)

// Pattern: the owner of a group stops while transactions of callers of other hosts wait
// there for a slot, which long statements occupy until after the drain.
//
// Guards against a COMMIT that was never sent to an instance and is reported as in doubt,
// because the owner closes its connections to other hosts before its answer is sent.
func TestOwnerStopsWhileCommitsWait(t *testing.T) {
	is := is.New(t)
	const (
		waiting = 8
		// commitAfter is when COMMIT is sent, since the stop of the owner. The time of
		// the route ends after the drain.
		commitAfter = 900 * time.Millisecond
		// settleTime is how long hosts need to know each other.
		settleTime = 600 * time.Millisecond
	)
	work := func(text string) time.Duration {
		if strings.Contains(text, "long") {
			return 3 * gracePeriod
		}
		return time.Millisecond
	}
	s := newSystem(t, 2, routes(), linegroup.WithSlots(1), linegroup.WithServiceTimeFunc(work), linegroup.WithLag(5*time.Millisecond))
	time.Sleep(settleTime)
	owner, entry := s.hosts[0], s.hosts[1] // By the rank of their names.
	begin := func(name string) *lineclient.Session {
		x, err := lineclient.Dial(entry.settings.CallerAddr, routeUrgent, name)
		is.NoErr(err)
		t.Cleanup(x.Close)
		for _, text := range []string{"BEGIN", "WRITE " + name + " " + name + "=1"} {
			r, ok := x.Query(text)
			is.True(ok && r.Code == "")
		}
		return x
	}
	var open []*lineclient.Session
	for n := range waiting {
		open = append(open, begin(fmt.Sprintf("c%d", n)))
	}
	busy := []*lineclient.Session{begin("b1"), begin("b2")}
	var wg sync.WaitGroup
	began := time.Now()
	wg.Go(owner.drain)
	time.Sleep(time.Until(began.Add(commitAfter)))
	for _, x := range busy {
		wg.Go(func() { x.Query("WRITE long x") })
	}
	time.Sleep(50 * time.Millisecond)
	all := newResult()
	for _, x := range open {
		wg.Go(func() {
			sent := time.Now()
			r, ok := x.Query("COMMIT")
			all.record(r, ok, time.Since(sent))
		})
	}
	wg.Wait()
	t.Logf("%v", all)
	is.Equal(all.refused["ABORTED"], waiting)
	is.True(time.Since(began) < gracePeriod)
}
