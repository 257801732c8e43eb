package admit_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/admit"
)

// BenchmarkAcquire measures a grant and its release, without waiting and from a
// queue, with one and with 200 customers.
func BenchmarkAcquire(b *testing.B) {
	for _, customers := range []int{1, 200} {
		for _, parallel := range []int{1, 16} {
			b.Run(fmt.Sprintf("customers=%d/waiting=%d", customers, parallel), func(b *testing.B) {
				acquire(b, customers, parallel)
			})
		}
	}
}

func acquire(b *testing.B, customers, parallel int) {
	a := admit.New("appraisal")
	var instances []gypsumyard.InstanceCapacity
	var targets []gypsumyard.Target
	for _, name := range []string{"a", "b", "c"} {
		instances = append(instances, gypsumyard.InstanceCapacity{Name: name, Slots: 2, Available: true})
		targets = append(targets, gypsumyard.Target{Instance: name, Cost: time.Millisecond})
	}
	a.SetInstances(instances)
	plan := gypsumyard.Plan{Name: "field", Share: 1, Limit: 1, MaxQueue: 1000, MaxWait: gypsumyard.Duration(time.Minute)}
	names := make([]string, customers)
	for i := range names {
		names[i] = fmt.Sprint("customer-", i)
	}
	b.ReportAllocs()
	b.SetParallelism(parallel)
	b.ResetTimer()
	run := func(i int) {
		g, err := a.Acquire(context.Background(), gypsumyard.SlotRequest{Customer: names[i%customers], Plan: plan, Targets: targets})
		if err != nil {
			b.Error(err)
			return
		}
		a.Release(g, time.Microsecond)
	}
	if parallel == 1 {
		for i := range b.N {
			run(i)
		}
		return
	}
	b.RunParallel(func(p *testing.PB) {
		for i := 0; p.Next(); i++ {
			run(i)
		}
	})
}
