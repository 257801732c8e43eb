package lineowner

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/admit"
	"github.com/matryer/is"
)

// Guards against an overload in which long reads get as much slot time as short
// ones, of which more could be served, and against starvation of long reads. It
// occurs when all replicas lag by more than the accepted staleness, so that the
// primary alone gets more reads of two routes than it has slots.
func TestShortReadsGoFurtherUnderOverload(t *testing.T) {
	is := is.New(t)
	a := admit.New("test")
	defer a.Close()
	a.SetInstances([]gypsumyard.InstanceCapacity{{Name: "primary", Slots: 2, Available: true}})
	runs := map[string]time.Duration{"short": 5 * time.Millisecond, "long": 40 * time.Millisecond}
	ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
	defer cancel()
	var mu sync.Mutex
	served := map[string]time.Duration{}
	var wg sync.WaitGroup
	for route, run := range runs {
		for range 30 {
			wg.Go(func() {
				for ctx.Err() == nil {
					g, err := a.Acquire(ctx, gypsumyard.SlotRequest{
						Customer: route, Expected: run, Targets: []gypsumyard.Target{{Instance: "primary"}},
						Plan: gypsumyard.Plan{Name: "route", Share: share(run), Limit: 1, MaxQueue: maxQueue},
					})
					if err != nil {
						time.Sleep(time.Millisecond)
						continue
					}
					time.Sleep(run)
					a.Release(g, run)
					mu.Lock()
					served[route] += run
					mu.Unlock()
				}
			})
		}
	}
	wg.Wait()
	is.True(served["long"] > 0)
	is.True(served["short"] > 2*served["long"])
}

// Guards against a weight that changes with every measured run time.
func TestShareHasFewSteps(t *testing.T) {
	is := is.New(t)
	is.Equal(share(0), 1.0)
	is.Equal(share(9*time.Millisecond), share(11*time.Millisecond))
	is.True(share(5*time.Millisecond) > share(40*time.Millisecond))
	is.Equal(share(time.Hour), share(time.Minute))
}
