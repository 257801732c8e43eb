package admit

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/matryer/is"
)

func capacity(slots int, names ...string) (list []gypsumyard.InstanceCapacity) {
	for _, n := range names {
		list = append(list, gypsumyard.InstanceCapacity{Name: n, Slots: slots, Available: true})
	}
	return list
}

// Guards against leaked slots: a caller may give up at the moment when it is
// granted a slot.
func TestConcurrentUse(t *testing.T) {
	is := is.New(t)
	for _, a := range []*Admitter{New("db"), NewFCFS("db")} {
		a.SetInstances(capacity(2, "a", "b", "c"))
		var callers sync.WaitGroup
		for n := range 40 {
			callers.Go(func() {
				for range 50 {
					ctx, cancel := context.WithTimeout(t.Context(), time.Duration(rand.N(int(3*ms))))
					g, err := a.Acquire(ctx, gypsumyard.SlotRequest{
						Customer: fmt.Sprint(n % 5), Plan: plan(0.2, 1, true), Targets: anyTargets,
						Priority: n%7 == 0, Long: n%11 == 0, InTransaction: n%13 == 0,
					})
					if err == nil {
						time.Sleep(time.Duration(rand.N(int(ms))))
						a.Release(g, ms)
					}
					cancel()
				}
			})
		}
		callers.Wait()
		queued, running := a.Lengths()
		is.Equal(queued+running, 0)
		a.Close()
		<-a.Done()
	}
}

func waitQueued(a *Admitter, n int) {
	for queued := -1; queued != n; queued, _ = a.Lengths() {
		runtime.Gosched()
	}
}

// Guards against a queued request that gets no response when its deadline passes
// or the queue is closed.
func TestQueuedRequestsAreAnswered(t *testing.T) {
	is := is.New(t)
	c := clock.NewFake(time.Unix(1000, 0))
	a := New("db", WithClock(c))
	a.SetInstances(capacity(1, "a"))
	request := gypsumyard.SlotRequest{Customer: "x", Plan: plan(1, 1, false), Targets: primaryTargets, Expected: ms}
	g, err := a.Acquire(t.Context(), request)
	is.NoErr(err)
	answers := make(chan error, 1)
	acquire := func() {
		_, err := a.Acquire(context.Background(), request)
		answers <- err
	}
	go acquire()
	waitQueued(a, 1)
	for len(answers) == 0 {
		c.Advance(100 * ms)
		runtime.Gosched()
	}
	is.Equal(gypsumyard.ClassOf(<-answers), gypsumyard.ClassLoad)
	a.Release(g, 2*time.Second)

	g, err = a.Acquire(t.Context(), request)
	is.NoErr(err)
	go acquire()
	waitQueued(a, 1)
	a.Close()
	is.Equal(gypsumyard.ClassOf(<-answers), gypsumyard.ClassNotRun)
	a.Release(g, ms)
	<-a.Done()
}

// Guards against queueing requests that cannot be served in time.
func TestEarlyRefusal(t *testing.T) {
	is := is.New(t)
	c := clock.NewFake(time.Unix(1000, 0))
	a := New("db", WithClock(c))
	defer a.Close()
	a.SetInstances(capacity(1, "a"))
	request := gypsumyard.SlotRequest{Customer: "x", Plan: plan(1, 0.5, false), Targets: primaryTargets, Expected: time.Second}
	_, err := a.Acquire(t.Context(), request)
	is.NoErr(err)
	other := gypsumyard.SlotRequest{Customer: "y", Plan: plan(1, 1, false), Targets: primaryTargets, Deadline: c.Now().Add(500 * ms)}
	_, err = a.Acquire(t.Context(), other)
	var e *gypsumyard.Error
	is.True(errors.As(err, &e))
	is.Equal(e.Class, gypsumyard.ClassLoad)
	is.Equal(e.RetryAfter, time.Second)

	// The first request has used four slot seconds at a limit of half a slot. The
	// debt takes longer than 2 s, the plan's max-wait, to refill.
	c.Advance(4 * time.Second)
	_, err = a.Acquire(t.Context(), request)
	is.True(errors.As(err, &e))
	is.Equal(e.Class, gypsumyard.ClassPlan)
	is.True(e.RetryAfter > 2*time.Second)
}

// Guards against wrong classification of statement shapes as long or short, and
// against memory that grows with the number of shapes.
func TestLearner(t *testing.T) {
	is := is.New(t)
	e := NewRunTimeEstimator()
	for n := range 10_000 {
		e.Observe(uint64(n), 2*ms)
		if n%20 == 0 {
			e.Observe(1_000_001, 2*time.Second)
			e.Observe(1_000_002, 40*ms)
		}
	}
	is.Equal(len(e.shapes), maxShapes)
	m := e.Median()
	is.True(m > ms && m <= 2*ms)
	run, long := e.Expected(1_000_001)
	is.True(long && run > 1900*ms && run < 2100*ms)
	_, long = e.Expected(1_000_002)
	is.True(!long) // over ten times the median, but below longFloor
	run, _ = e.Expected(1)
	is.Equal(run, time.Duration(0)) // evicted
}
