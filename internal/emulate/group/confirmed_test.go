package group_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/emulate/group"
	"github.com/matryer/is"
)

// Guards against the loss of a majority-confirmed write in a promotion. Writers
// wait until a replica confirms their record in the same term, while other
// instances are promoted repeatedly.
func TestConfirmedWritesSurvivePromotions(t *testing.T) {
	is := is.New(t)
	g := start(t, group.WithLag(0, 2*time.Millisecond))
	exec(t, connect(t, g.Primary()), createRugs)
	var mu sync.Mutex
	confirmed := map[int64]bool{}
	stop := make(chan struct{})
	var work sync.WaitGroup
	for w := range int64(4) {
		work.Go(func() {
			for id := w; ; id += 4 {
				select {
				case <-stop:
					return
				default:
				}
				if writeConfirmed(g, id) {
					mu.Lock()
					confirmed[id] = true
					mu.Unlock()
				}
			}
		})
	}
	for term := int64(2); term < 8; term++ {
		time.Sleep(50 * time.Millisecond)
		cut := g.Primary()
		cut.Isolate(true)
		time.Sleep(10 * time.Millisecond)
		promote(t, g, cut, term)
	}
	close(stop)
	work.Wait()
	present := map[any]bool{}
	for _, row := range g.Primary().Rows("rugs") {
		present[row[0]] = true
	}
	t.Logf("%d confirmed, %d present", len(confirmed), len(present))
	is.True(len(confirmed) > 0)
	for id := range confirmed {
		if !present[id] {
			t.Errorf("confirmed write %d is lost", id)
		}
	}
	for _, in := range g.Instances() {
		eventually(t, "convergence of "+in.Name(), func() bool { return applied(in) == applied(g.Primary()) })
		is.Equal(fmt.Sprint(in.Rows("rugs")), fmt.Sprint(g.Primary().Rows("rugs")))
	}
}

// promote fences the instances other than old, promotes the one with the highest
// position and makes all others follow it.
func promote(t *testing.T, g *group.Group, old *group.Instance, term int64) {
	t.Helper()
	var best *group.Instance
	for _, in := range g.Instances() {
		if in == old {
			continue
		}
		mustOrder(t, in, "group_fence($1, 'a')", term)
		if best == nil || applied(in).Compare(applied(best)) > 0 {
			best = in
		}
	}
	mustOrder(t, best, "group_promote($1, 'a')", term)
	old.Isolate(false)
	for _, in := range g.Instances() {
		if in != best {
			mustOrder(t, in, "group_follow($1, $2)", term, best.Name())
		}
	}
}

// writeConfirmed inserts a row and reports whether a second instance holds the
// record under the term of the write.
func writeConfirmed(g *group.Group, id int64) bool {
	p := g.Primary()
	if p == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	c, err := dial(ctx, p)
	if err != nil {
		return false
	}
	defer c.Close(ctx)
	if _, err := c.Exec(ctx, "insert into rugs (id) values ($1)", id); err != nil {
		return false
	}
	// The status is read over the connection of the write, which a truncation
	// of the log would have terminated.
	var at gypsumyard.Position
	if err := c.QueryRow(ctx, "select term, log_offset from group_status()").Scan(&at.Term, &at.Offset); err != nil {
		return false
	}
	for range 20 {
		for _, in := range g.Instances() {
			st := in.Status()
			if in != p && st.Fence <= at.Term && st.Term() == at.Term && st.Contains(at) {
				return true
			}
		}
		time.Sleep(time.Millisecond)
	}
	return false
}
