package quota

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/matryer/is"
)

// newAllocations returns the allocations of n groups that have been owned for long, and a function
// that lets time pass while the hosts run.
func newAllocations(n int) (allocations []*Allocation, pass func(time.Duration)) {
	c := clock.NewFake(time.Unix(1e9, 0))
	for i := range n {
		s := NewAllocation(testTolerance, c)
		s.Configure(i, n, 1)
		allocations = append(allocations, s)
	}
	pass = func(d time.Duration) {
		for ; d > 0; d -= step {
			c.Advance(min(d, step))
			for _, s := range allocations {
				s.Tick()
			}
		}
	}
	pass(time.Hour / 60)
	return allocations, pass
}

// takeAll takes and sends operations until there is no token left.
func takeAll(s *Allocation, l Limit) (n int) {
	for c, _ := s.Take("c", l); c != nil; c, _ = s.Take("c", l) {
		if _, ok := c.Send(); ok {
			n++
		}
	}
	return n
}

func always(l Limit) func(string) (Limit, bool) {
	return func(string) (Limit, bool) { return l, true }
}

// Guards against tokens that are hidden in transfers, while the buckets that gave them
// refill, and that are spent at once later.
func TestTransfersDoNotRaiseTheSum(t *testing.T) {
	is := is.New(t)
	l := Limit{Rate: 100, Burst: 100}
	allocations, pass := newAllocations(8)
	capacities := 8 * testTolerance.partOf("c", l, place{groups: 8, fraction: 1}).capacity
	for range 50 {
		var deliver []func()
		for n, requester := range allocations {
			requester.Take("c", l)
			requestedAt := requester.clock.Now()
			wanted := tokensFor("c", 1000)
			for k := 1; k < len(allocations); k++ {
				granted := allocations[(n+k)%len(allocations)].Give(wanted, always(l))
				deliver = append(deliver, func() { requester.Receive(wanted, granted, requestedAt) })
			}
		}
		pass(Lifetime - step)
		for _, d := range deliver {
			d()
		}
	}
	n := 0
	for _, s := range allocations {
		n += takeAll(s, l)
	}
	t.Logf("%d spent at once, capacities %.1f", n, capacities)
	is.True(float64(n) <= capacities)
	is.True(n > 0)
}

// Guards against operations that wait in a queue, while the bucket refills, and that are
// sent together with a full bucket later.
func TestQueuedOperationsTakeUpCapacity(t *testing.T) {
	is := is.New(t)
	l := Limit{Rate: 10, Burst: 50}
	allocations, pass := newAllocations(1)
	s := allocations[0]
	var queued []*Charge
	for range 40 {
		c, _ := s.Take("c", l)
		queued = append(queued, c)
	}
	pass(20 * time.Second)
	n := takeAll(s, l)
	for _, c := range queued {
		_, ok := c.Send()
		is.True(ok)
		n++
	}
	is.Equal(n, 50)
	pass(time.Second)
	is.Equal(takeAll(s, l), 10) // The refill has gone on.
}

// Guards against received tokens that are spent after the giver's capacity is free again.
func TestReceivedTokensExpire(t *testing.T) {
	is := is.New(t)
	l := Limit{Rate: 8, Burst: 8}
	allocations, pass := newAllocations(2)
	a, b := allocations[0], allocations[1]
	own := takeAll(a, l)
	_, wait := a.Take("c", l)
	is.True(wait > 0)
	requestedAt := a.clock.Now()
	wanted := tokensFor("c", 3)
	granted := b.Give(wanted, always(l))
	is.Equal(granted, wanted)
	pass(50 * time.Millisecond)
	is.Equal(a.Receive(wanted, granted, requestedAt), 3.0)
	c, _ := a.Take("c", l)
	is.True(c != nil)
	pass(time.Second)
	_, ok := c.Send() // It is paid with a token of the refill.
	is.True(ok)
	t.Logf("capacity %d", own)

	requestedAt = a.clock.Now()
	granted = b.Give(wanted, always(l))
	pass(Lifetime)
	is.Equal(a.Receive(wanted, granted, requestedAt), 0.0) // It comes too late.
}

// Guards against refunds that are lost, and against refunds that raise the sum.
func TestRefund(t *testing.T) {
	is := is.New(t)
	l := Limit{Rate: 1, Burst: 5}
	allocations, pass := newAllocations(1)
	s := allocations[0]
	var charges []*Charge
	for range 5 {
		c, _ := s.Take("c", l)
		charges = append(charges, c)
	}
	c, wait := s.Take("c", l)
	is.True(c == nil)
	is.True(wait > 900*time.Millisecond)
	for n, c := range charges {
		if n%2 == 0 {
			c.Send() // The connection fails before a byte is sent.
			c.MarkUnsent()
		}
		c.Refund()
	}
	is.Equal(takeAll(s, l), 5)
	pass(10 * time.Second)
	c, _ = s.Take("c", l)
	c.Send()
	pass(10 * time.Second)
	c.Refund()
	is.Equal(takeAll(s, l), 5)
}

// Guards against a new owner, one that was suspended, or one that owns a group again,
// which spends what another owner has spent.
func TestNewOwnerHasOneToken(t *testing.T) {
	l := Limit{Rate: 1, Burst: 100}
	for name, change := range map[string]func(s *Allocation, c *clock.Fake){
		"new":       func(s *Allocation, c *clock.Fake) { *s = *NewAllocation(testTolerance, c) }, //nolint:govet // The lock is free.
		"again":     func(s *Allocation, _ *clock.Fake) { s.Restart() },
		"suspended": func(_ *Allocation, c *clock.Fake) { c.Advance(30 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			allocations, pass := newAllocations(1)
			s := allocations[0]
			c, _ := s.Take("c", l)
			c.Send()
			change(s, s.clock.(*clock.Fake))
			is.Equal(takeAll(s, l), 1)
			is.True(s.Buckets() == 1)
			c, _ = s.Take("other", l) // A customer without a record.
			is.True(c != nil)
			c, _ = s.Take("other", l)
			is.True(c == nil)
			pass(6 * time.Second)
			is.True(takeAll(s, l) >= 5)
		})
	}
}

// Guards against a new owner that spends the refill while its predecessor may not know of
// the change, and against one that does so after a suspension.
func TestNewOwnerWaits(t *testing.T) {
	is := is.New(t)
	l := Limit{Rate: 100, Burst: 100}
	allocations, pass := newAllocations(1)
	s := allocations[0]
	s.Restart()
	is.Equal(takeAll(s, l), 1)
	pass(takeoverDelay)
	is.Equal(takeAll(s, l), 0)
	pass(100 * time.Millisecond)
	is.Equal(takeAll(s, l), 10)
	s.clock.(*clock.Fake).Advance(10 * time.Second)
	is.Equal(takeAll(s, l), 1)
	pass(pauseDelay)
	is.Equal(takeAll(s, l), 0)
}

// Guards against a lower limit that binds late, and against a higher one that gives more
// than the refill.
func TestLimitChanges(t *testing.T) {
	is := is.New(t)
	high, low := Limit{Rate: 100, Burst: 100}, Limit{Rate: 1, Burst: 5}
	allocations, pass := newAllocations(1)
	s := allocations[0]
	c, _ := s.Take("c", high)
	c.Send()
	is.Equal(takeAll(s, low), 5)
	pass(time.Second)
	is.Equal(takeAll(s, low), 1)
	is.Equal(takeAll(s, high), 0)
	pass(100 * time.Millisecond)
	is.Equal(takeAll(s, high), 10)
}

// Guards against a host that spends the limit of hosts which it does not reach, and
// against one that does so too early when they come back.
func TestFractionOfHosts(t *testing.T) {
	is := is.New(t)
	l := Limit{Rate: 100, Burst: 100}
	allocations, pass := newAllocations(1)
	s := allocations[0]
	s.Configure(0, 1, 0.25)
	is.Equal(takeAll(s, l), 25)
	pass(time.Second)
	is.Equal(takeAll(s, l), 25)
	s.Configure(0, 1, 1)
	pass(riseDelay - step)
	is.Equal(takeAll(s, l), 24)
	pass(10 * time.Second)
	is.Equal(takeAll(s, l), 100)
}

// Guards against a fraction that rises for customers without a record, who then get the
// larger bucket at once.
func TestFractionRisesForIdleCustomers(t *testing.T) {
	is := is.New(t)
	l := Limit{Rate: 10, Burst: 100}
	allocations, pass := newAllocations(1)
	s := allocations[0]
	s.Configure(0, 1, 0.1)
	pass(time.Minute)
	s.Configure(0, 1, 1)
	pass(riseDelay + step)
	is.Equal(takeAll(s, l), 1)
}

// Guards against memory that grows with the customers that were ever active, and against
// dropping a bucket that is not full, which would refill it.
func TestIdleBucketsAreDropped(t *testing.T) {
	is := is.New(t)
	const customers = 5000
	allocations, pass := newAllocations(1)
	s := allocations[0]
	quick, slow := Limit{Rate: 100, Burst: 10}, Limit{Rate: 1, Burst: 100}
	for n := range customers {
		c, _ := s.Take(fmt.Sprint("quick-", n), quick)
		c.Send()
	}
	takeAll(s, slow)
	is.Equal(s.Buckets(), customers+1)
	pass(20 * time.Second)
	is.Equal(s.Buckets(), 1)
	is.Equal(takeAll(s, slow), 20)
}

// Guards against numbers of other hosts that corrupt a bucket, and against tokens for
// customers without a limit.
func TestMalformedTokens(t *testing.T) {
	is := is.New(t)
	l := Limit{Rate: 10, Burst: 10}
	allocations, _ := newAllocations(2)
	a, b := allocations[0], allocations[1]
	known := func(customer string) (Limit, bool) { return l, customer == "c" }
	for _, n := range []float64{math.NaN(), math.Inf(-1), -1, 0} {
		is.Equal(len(b.Give(tokensFor("c", n), known)), 0)
		is.Equal(a.Receive(tokensFor("c", 1), tokensFor("c", n), a.clock.Now()), 0.0)
	}
	is.Equal(len(b.Give(tokensFor("unknown", 1), known)), 0)
	is.Equal(b.Buckets(), 0)
	granted := b.Give(tokensFor("c", math.Inf(1)), known)
	is.True(granted[0].Tokens <= 10)
	a.Take("c", l)
	is.Equal(a.Receive(tokensFor("c", 1), tokensFor("c", math.Inf(1)), a.clock.Now()), 1.0)
	is.Equal(a.Receive([]gypsumyard.QuotaTokens{}, tokensFor("c", 5), a.clock.Now()), 0.0)
}

// Guards against owners that keep requesting tokens when nobody has tokens.
func TestRequesterPauses(t *testing.T) {
	is := is.New(t)
	l := Limit{Rate: 10, Burst: 10}
	allocations, pass := newAllocations(3)
	s := allocations[0]
	takeAll(s, l)
	wanted := s.Shortages()
	is.Equal(len(wanted), 1)
	for range 2 {
		s.Receive(wanted, nil, s.clock.Now())
	}
	is.Equal(len(s.Shortages()), 0)
	pass(pause - 2*step)
	takeAll(s, l)
	is.Equal(len(s.Shortages()), 0)
	pass(3 * step)
	takeAll(s, l)
	is.Equal(len(s.Shortages()), 1)
}

// Guards against operations that were queued before a limit was lowered and bring the old
// one back when they are sent.
func TestQueuedOperationsKeepLoweredLimit(t *testing.T) {
	old, low := Limit{Rate: 10000, Burst: 10000}, Limit{Rate: 100, Burst: 100}
	allocations, pass := newAllocations(1)
	a := allocations[0]
	var queued []*Charge
	for range 90 {
		c, _ := a.Take("c", old)
		queued = append(queued, c)
	}
	takeAll(a, low)
	n := 0
	for k := range 500 { // Five seconds.
		pass(10 * time.Millisecond)
		n += takeAll(a, low)
		if k%5 == 0 && len(queued) > 0 {
			queued[0].Send()
			queued = queued[1:]
		}
	}
	if most := testTolerance.Bound(low); float64(n) > most {
		t.Errorf("%d operations in a window, at most %v are allowed", n, most)
	}
}

// Guards against an operation that waits through a change of the limit and puts the earlier
// limit into force again.
func TestWaiterKeepsLoweredLimit(t *testing.T) {
	is := is.New(t)
	f := clock.NewFake(time.Unix(1e9, 0))
	a := NewAllocation(testTolerance, f)
	a.Configure(0, 4, 1)
	high, low := Limit{Rate: 100, Burst: 100}, Limit{Rate: 1, Burst: 1}
	for c, _ := a.Take("c", high); c != nil; c, _ = a.Take("c", high) {
	}
	w := a.Await("c", high)
	is.True(w != nil)
	defer w.End()
	a.Take("c", low)
	f.Advance(500 * time.Millisecond)
	c, _, _ := w.Take()
	is.True(c == nil) // A refill of 25 a second would have given several tokens.
}
