package linehost_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/emulate/lineclient"
	"github.com/gypsumyard/gypsumyard/internal/emulate/linegroup"
	"github.com/matryer/is"
)

// Pattern: all hosts are stopped at about the same time, so that none owns the group.
// Callers have begun transactions and send the first statement when the drain has begun.
//
// Guards against statements that wait for an owner until the host closes their
// connection without an answer.
func TestHostsStoppedTogetherAnswer(t *testing.T) {
	is := is.New(t)
	const (
		sessions = 8
		// readAfter is when the statements are sent, since the stop. The time of the
		// route ends after the drain.
		readAfter = 800 * time.Millisecond
	)
	s := newSystem(t, 2, routes(), linegroup.WithServiceTime(2*time.Millisecond), linegroup.WithLag(5*time.Millisecond))
	var open []*lineclient.Session
	for _, h := range s.hosts {
		for n := range sessions {
			x, err := lineclient.Dial(h.settings.CallerAddr, routeReads, fmt.Sprintf("%s-%d", h.settings.Host.Name, n))
			is.NoErr(err)
			defer x.Close()
			r, ok := x.Query("BEGIN READ")
			is.True(ok && r.Code == "")
			open = append(open, x)
		}
	}
	var wg sync.WaitGroup
	began := time.Now()
	for _, h := range s.hosts {
		wg.Go(h.drain)
	}
	time.Sleep(time.Until(began.Add(readAfter)))
	all := newResult()
	for _, x := range open {
		wg.Go(func() {
			sent := time.Now()
			r, ok := x.Query("READ item")
			all.record(r, ok, time.Since(sent))
		})
	}
	wg.Wait()
	t.Logf("%v", all)
	is.Equal(all.cut, 0)
	is.Equal(all.refused["ABORTED"], len(open))
	is.True(time.Since(began) < gracePeriod)
	s.check()
}
