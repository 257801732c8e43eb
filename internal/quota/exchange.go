package quota

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

const (
	// Lifetime is how long after the question moved tokens take up capacity of the giver.
	// An answer that comes later is discarded, and so are tokens for which the asker has
	// had no room by then. A giver of its whole refill needs capacity for Lifetime and
	// AskInterval together; with 250 ms, bursts of a tenth of the rate were too small.
	Lifetime = 150 * time.Millisecond
	// AskInterval is the least time between two questions to one owner.
	AskInterval = 250 * time.Millisecond
	// MaxAsked is how many owners are asked in a row.
	MaxAsked = 16
	// pause is how long a customer's tokens are not asked for after all owners have
	// granted none.
	pause = time.Second
	// keepFor is the time for which a giver keeps the tokens that it expects to need.
	keepFor = 500 * time.Millisecond
	// askFor is the time for which an asker wants tokens, reserveFor the time whose
	// demand it wants in the bucket beyond that, up to reserveFraction of the capacity.
	askFor          = 300 * time.Millisecond
	reserveFor      = 200 * time.Millisecond
	reserveFraction = 0.3
	// missedArrivals is how many expected operations must fail to arrive before the
	// estimate of the demand is lowered.
	missedArrivals = 3
	// leastGrant is the least number of tokens worth a transfer.
	leastGrant = 0.02
	// maxBatch is the largest number of customers in a question.
	maxBatch = 256
)

// Shortages returns the customers that need tokens of other shares, and how many.
func (s *Share) Shortages() (wanted []gypsumyard.QuotaTokens) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for name, b := range s.buckets {
		b.refill(now)
		if n := b.shortage(now); n >= leastGrant {
			wanted = append(wanted, gypsumyard.QuotaTokens{Customer: name, Tokens: n})
		}
	}
	slices.SortFunc(wanted, func(a, b gypsumyard.QuotaTokens) int {
		if a.Tokens != b.Tokens {
			return int(math.Copysign(1, b.Tokens-a.Tokens))
		}
		return strings.Compare(a.Customer, b.Customer)
	})
	return wanted[:min(len(wanted), maxBatch)]
}

// Targets returns the indexes of the groups whose shares have parts of the limits of the
// customers, without this one. Their order is random, but the same in each run: in turns,
// owners were asked at intervals that do not fit AskInterval, and gave less.
func (s *Share) Targets(wanted []gypsumyard.QuotaTokens) (indexes []int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range wanted {
		b := s.buckets[w.Customer]
		if b == nil {
			continue
		}
		n, first := s.terms.homes(b.limit, s.place.groups), firstHome(w.Customer, s.place.groups)
		for k := range n {
			if i := (first + k) % s.place.groups; i != s.place.index {
				indexes = append(indexes, i)
			}
		}
		if n >= s.place.groups {
			break // All groups are in the list.
		}
	}
	slices.Sort(indexes)
	indexes = slices.Compact(indexes)
	if s.random == nil {
		s.random = rand.New(rand.NewPCG(uint64(s.place.index), uint64(s.place.groups)))
	}
	s.random.Shuffle(len(indexes), func(i, j int) { indexes[i], indexes[j] = indexes[j], indexes[i] })
	return indexes
}

// At returns those of the wanted tokens of which the share of the group with the index may
// have some.
func (s *Share) At(index int, wanted []gypsumyard.QuotaTokens) (list []gypsumyard.QuotaTokens) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range wanted {
		if b := s.buckets[w.Customer]; b != nil && isHome(w.Customer, index, s.terms.homes(b.limit, s.place.groups), s.place.groups) {
			list = append(list, w)
		}
	}
	return list
}

// shortage returns how many tokens the customer lacks for the time that moved tokens last.
func (b *bucket) shortage(now time.Time) float64 {
	if b.part.others == 0 || now.Before(b.pausedUntil) {
		return 0
	}
	reserve := min(b.demand*reserveFor.Seconds(), b.part.capacity*reserveFraction)
	missing := (b.expected(now)-b.part.rate)*askFor.Seconds() + reserve - b.available()
	if !b.rejectedAt.IsZero() && now.Sub(b.rejectedAt) < pause {
		missing = max(missing, 1-b.available())
	}
	return missing
}

// expected returns the demand that is expected from now on. It falls as soon as several
// operations have failed to arrive, so that an owner whose demand has moved elsewhere
// neither asks for tokens nor keeps its own.
func (b *bucket) expected(now time.Time) float64 {
	silence := now.Sub(b.lastTake).Seconds()
	return min(b.demand, missedArrivals/max(silence, 1e-3))
}

// Give deducts the tokens that the share does not need, and returns them for the asker.
// Customers whose limit is unknown get none.
func (s *Share) Give(wanted []gypsumyard.QuotaTokens, limitOf func(customer string) (Limit, bool)) (granted []gypsumyard.QuotaTokens) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, w := range wanted[:min(len(wanted), maxBatch)] {
		l, ok := limitOf(w.Customer)
		if !ok || !(w.Tokens > 0) { // NaN is not above zero.
			continue
		}
		b := s.bucket(w.Customer, l, now)
		n := min(w.Tokens, b.tokens-b.needed(now))
		if n < leastGrant {
			continue
		}
		b.tokens -= n
		b.given = append(b.given, parcel{tokens: n, expires: now.Add(Lifetime)})
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

// Receive adds the answer to a question that was sent at the given time. It returns the
// number of tokens that can be spent.
func (s *Share) Receive(wanted, granted []gypsumyard.QuotaTokens, asked time.Time) (tokens float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, w := range wanted {
		b := s.buckets[w.Customer]
		if b == nil {
			continue
		}
		b.refill(now)
		n := grantOf(granted, w)
		if n <= 0 {
			b.fruitless++
			if b.fruitless >= min(b.part.others, MaxAsked) {
				b.fruitless, b.pausedUntil = 0, now.Add(pause)
			}
			continue
		}
		b.fruitless = 0
		if expires := asked.Add(Lifetime); now.Before(expires) {
			b.received = append(b.received, parcel{tokens: n, expires: expires})
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
