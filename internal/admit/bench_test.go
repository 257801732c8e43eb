package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// BenchmarkUncontended measures Acquire and Release when a slot is free.
func BenchmarkUncontended(b *testing.B) {
	a := New("db")
	defer a.Close()
	a.SetInstances(capacity(2, "a", "b", "c"))
	r := gypsumyard.SlotRequest{Customer: "x", Plan: plan(0.2, 1, true), Targets: anyTargets, Expected: 2 * ms}
	b.ReportAllocs()
	for b.Loop() {
		g, err := a.Acquire(b.Context(), r)
		if err != nil {
			b.Fatal(err)
		}
		a.Release(g, 2*ms)
	}
}

// BenchmarkQueued measures one arrival at a queue of the given length plus one
// release, which grants a slot to another request.
func BenchmarkQueued(b *testing.B) {
	for _, queued := range []int{1, 100, 10_000} {
		for _, customers := range []int{10, 1000, 10_000} {
			b.Run(fmt.Sprintf("queued=%d/customers=%d", queued, customers), func(b *testing.B) {
				benchmarkQueued(b, queued, customers)
			})
		}
	}
}

func benchmarkQueued(b *testing.B, queued, customers int) {
	p := gypsumyard.Plan{Share: 1 / float64(customers), Limit: 1, Priority: true, MaxWait: gypsumyard.Duration(time.Hour)}
	f := withPolicy(func(p *policy) { p.standingAfter = time.Hour }).(*fairQueue)
	now := time.Unix(1000, 0)
	f.setInstances(now, capacity(2, "a", "b", "c"))
	names := make([]string, customers)
	for n := range names {
		names[n] = fmt.Sprint("customer-", n)
	}
	var held []uint64
	next := 0
	arrive := func() {
		next++
		w := newWaiter(gypsumyard.SlotRequest{Customer: names[next%customers], Plan: p, Targets: anyTargets, Expected: 2 * ms, Priority: next%20 == 0}, now)
		w.onResolve = func(w *waiter) { held = append(held, w.grant.ID) }
		f.arrive(now, w)
	}
	for range queued + 6 {
		arrive()
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(300 * time.Microsecond)
		arrive()
		id := held[0]
		held = append(held[:0], held[1:]...)
		f.release(now, id, 2*ms)
	}
	// A few requests wait for a target of lower cost while a slot is free.
	if d := f.waiting - queued; d < 0 || d > 6 {
		b.Fatalf("%d requests are queued, want %d", f.waiting, queued)
	}
}
