package quota

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

const (
	// Lifetime is how long after a request its tokens occupy capacity of the giver; later
	// answers are discarded, and so are tokens for which the requester has had no room by
	// then. The giver needs spare capacity for its refill in Lifetime + RequestInterval.
	Lifetime = 150 * time.Millisecond
	// RequestInterval is the least time between two requests to one owner.
	RequestInterval = 250 * time.Millisecond
	// MaxRequests is how many owners are queried in a row.
	MaxRequests = 16
	// pause is how long a customer's tokens are not requested after all owners have
	// granted none.
	pause = time.Second
	// keepFor is the time for which a giver keeps the tokens that it expects to need.
	keepFor = 500 * time.Millisecond
	// requestFor is the time for which a requester wants tokens, reserveFor the time whose
	// demand it wants in the bucket beyond that, up to reserveFraction of the capacity.
	requestFor      = 300 * time.Millisecond
	reserveFor      = 200 * time.Millisecond
	reserveFraction = 0.3
	// missedArrivals is how many expected operations must fail to arrive before the
	// estimate of the demand is lowered.
	missedArrivals = 3
	// leastGrant is the least number of tokens worth a transfer.
	leastGrant = 0.02
	// maxBatch is the largest number of customers in a request.
	maxBatch = 256
)

// Shortages returns the customers that need tokens of other allocations, and how many.
func (a *Allocation) Shortages() (wanted []gypsumyard.QuotaTokens) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	for name, b := range a.buckets {
		b.refill(now)
		if n := b.shortage(now); n >= leastGrant {
			wanted = append(wanted, gypsumyard.QuotaTokens{Customer: name, Tokens: n})
		}
	}
	slices.SortFunc(wanted, func(a, b gypsumyard.QuotaTokens) int {
		return cmp.Or(cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(a.Customer, b.Customer))
	})
	return wanted[:min(len(wanted), maxBatch)]
}

// Targets returns the indexes of the groups whose allocations have parts of the limits of
// the customers, without this one. The order is random, since owners that were queried in
// turns received requests at intervals that do not fit RequestInterval, and gave less. The
// seed is fixed, so that runs are reproducible.
func (a *Allocation) Targets(wanted []gypsumyard.QuotaTokens) (indexes []int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, w := range wanted {
		b := a.buckets[w.Customer]
		if b == nil {
			continue
		}
		n, first := a.tolerance.holders(b.limit, a.place.groups), firstHolder(w.Customer, a.place.groups)
		for k := range n {
			if i := (first + k) % a.place.groups; i != a.place.index {
				indexes = append(indexes, i)
			}
		}
		if n >= a.place.groups {
			break // All groups are in the list.
		}
	}
	slices.Sort(indexes)
	indexes = slices.Compact(indexes)
	if a.random == nil {
		a.random = rand.New(rand.NewPCG(uint64(a.place.index), uint64(a.place.groups)))
	}
	a.random.Shuffle(len(indexes), func(i, j int) { indexes[i], indexes[j] = indexes[j], indexes[i] })
	return indexes
}

// WantedFrom returns those of the wanted tokens of which the allocation of the group with
// the index may have some.
func (a *Allocation) WantedFrom(index int, wanted []gypsumyard.QuotaTokens) (list []gypsumyard.QuotaTokens) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, w := range wanted {
		if b := a.buckets[w.Customer]; b != nil && isHolder(w.Customer, index, a.tolerance.holders(b.limit, a.place.groups), a.place.groups) {
			list = append(list, w)
		}
	}
	return list
}

// shortage returns how many tokens the customer lacks: for the operations that wait, and for
// the demand that is expected while moved tokens last.
func (b *bucket) shortage(now time.Time) float64 {
	if !b.mayReceive(now) {
		return 0
	}
	missing := float64(b.waiting) - b.available()
	if !b.canPrefetch(now) {
		return missing
	}
	reserve := min(b.demand*reserveFor.Seconds(), b.part.capacity*reserveFraction)
	missing = max(missing, (b.expected(now)-b.part.rate)*requestFor.Seconds()+reserve-b.available())
	if !b.rejectedAt.IsZero() && now.Sub(b.rejectedAt) < pause {
		missing = max(missing, 1-b.available())
	}
	return missing
}

// canPrefetch reports whether tokens are requested before operations need them. A part
// without capacity cannot keep them: unless an operation is expected before they expire,
// they would be lost.
func (b *bucket) canPrefetch(now time.Time) bool {
	return b.part.capacity > 0 || b.expected(now)*Lifetime.Seconds() >= 1
}

// expected returns the demand that is expected from now on. It falls as soon as several
// operations have failed to arrive, so that an owner whose demand has moved elsewhere
// neither requests tokens nor keeps its own.
func (b *bucket) expected(now time.Time) float64 {
	silence := now.Sub(b.lastTake).Seconds()
	return min(b.demand, missedArrivals/max(silence, 1e-3))
}

// Give deducts the tokens that the allocation does not need, and returns them for the
// requester.
// Customers whose limit is unknown get none.
func (a *Allocation) Give(wanted []gypsumyard.QuotaTokens, limitOf func(customer string) (Limit, bool)) (granted []gypsumyard.QuotaTokens) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	for _, w := range wanted[:min(len(wanted), maxBatch)] {
		l, ok := limitOf(w.Customer)
		if !ok || !(w.Tokens > 0) { // NaN is not above zero.
			continue
		}
		b := a.bucket(w.Customer, l, now)
		n := min(w.Tokens, b.tokens-b.needed(now))
		if n < leastGrant {
			continue
		}
		b.tokens -= n
		b.given = append(b.given, transfer{tokens: n, expires: now.Add(Lifetime)})
		granted = append(granted, gypsumyard.QuotaTokens{Customer: w.Customer, Tokens: n})
	}
	return granted
}

// needed returns how many tokens the customer is expected to need here beyond the refill.
// One is kept as long as there has been demand lately, all the more if it was rejected:
// small customers would otherwise have fractions of a token everywhere.
func (b *bucket) needed(now time.Time) float64 {
	if !b.rejectedAt.IsZero() && now.Sub(b.rejectedAt) < longDemandWindow {
		return max((b.expected(now)-b.part.rate)*keepFor.Seconds(), 1)
	}
	return max((b.expected(now)-b.part.rate)*keepFor.Seconds(), min(b.longDemand, 1))
}

// Receive adds the answer to a request that was sent at the given time. It returns the
// number of tokens that can be spent.
func (a *Allocation) Receive(wanted, granted []gypsumyard.QuotaTokens, requestedAt time.Time) (tokens float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	defer a.notifyWaiters()
	now := a.now()
	for _, w := range wanted {
		b := a.buckets[w.Customer]
		if b == nil {
			continue
		}
		b.refill(now)
		n := grantOf(granted, w)
		if n <= 0 {
			b.emptyAnswers++
			if b.emptyAnswers >= min(b.part.others, MaxRequests) {
				b.emptyAnswers, b.pausedUntil = 0, now.Add(pause)
			}
			continue
		}
		b.emptyAnswers = 0
		if expires := requestedAt.Add(Lifetime); now.Before(expires) {
			b.received = append(b.received, transfer{tokens: n, expires: expires})
			b.refill(now)
			tokens += n
		}
	}
	return tokens
}

// grantOf returns the tokens granted for w, at most those wanted.
func grantOf(granted []gypsumyard.QuotaTokens, w gypsumyard.QuotaTokens) float64 {
	for _, g := range granted {
		if g.Customer == w.Customer && g.Tokens > 0 {
			return min(g.Tokens, w.Tokens)
		}
	}
	return 0
}
