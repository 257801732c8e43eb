package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// arrivals lets operations arrive at random for the given time, at a rate in operations
// a second, at groups that pick chooses. It returns how many were sent and how many there
// were.
func (m *model) arrivals(d time.Duration, rate float64, pick func(at time.Duration) int) (sent, arrived int) {
	sentBefore, rejectedBefore := len(m.sent), m.rejected
	end := m.clock.Since(m.began) + d
	next := m.clock.Since(m.began)
	for m.clock.Since(m.began) < end {
		m.advance()
		for now := m.clock.Since(m.began); next <= now; {
			m.operate(pick(now), 0)
			next += time.Duration(m.random.ExpFloat64() / rate * float64(time.Second))
		}
	}
	sent = len(m.sent) - sentBefore
	return sent, sent + m.rejected - rejectedBefore
}

// A pattern returns the group at which the next operation arrives.
type pattern func(m *model, at time.Duration) int

var patterns = map[string]pattern{
	"steady": func(m *model, _ time.Duration) int { return m.random.IntN(m.groups) },
	"uneven": func(m *model, _ time.Duration) int {
		return min(m.random.IntN(m.groups), m.random.IntN(m.groups), m.random.IntN(m.groups))
	},
	"one group": func(*model, time.Duration) int { return 3 },
	"moving":    func(m *model, at time.Duration) int { return int(at/(4*time.Second)) % m.groups },
}

// Guards against a division that wastes the part of owners without demand: demand over
// the limit must get 0.95 of it, and of demand below it at most 0.05 may be rejected.
// Rejected operations do not return.
func TestEfficiency(t *testing.T) {
	const (
		warmUp   = 5 * time.Second
		duration = 20 * time.Second
		seeds    = 4
	)
	for _, l := range []Limit{{Rate: 100, Burst: 100}, {Rate: 100, Burst: 10}, {Rate: 400, Burst: 800}, {Rate: 12, Burst: 24}, {Rate: 1000, Burst: 100}} {
		for name, p := range patterns {
			for load, least := range map[float64]float64{0.8: 0.95, 1.5: 0.95, 4: 0.95} {
				t.Run(fmt.Sprintf("%s/%v of %v", name, load, l), func(t *testing.T) {
					is := is.New(t)
					fraction, most, requests := 0.0, 0, 0
					for seed := range uint64(seeds) {
						m := newModel(seed, l, 8, 8)
						pick := func(at time.Duration) int { return p(m, at) }
						m.arrivals(warmUp, l.Rate*load, pick)
						sent, arrived := m.arrivals(duration, l.Rate*load, pick)
						fraction += float64(sent) / min(l.Rate*duration.Seconds(), float64(arrived)) / seeds
						most = max(most, m.worst())
						requests += m.requests / seeds
					}
					t.Logf("%.3f served, at most %d in a window of %.0f, %d requests", fraction, most, testTolerance.Bound(l), requests)
					is.True(fraction >= least)
					is.True(float64(most) <= testTolerance.Bound(l))
				})
			}
		}
	}
}

// Guards against a small customer that gets no service, because no owner has a whole
// operation for it, or that gets several times its limit.
func TestOneOperationASecond(t *testing.T) {
	for name, p := range patterns {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newModel(3, Limit{Rate: 1, Burst: 1}, 8, 8)
			sent, _ := m.arrivals(60*time.Second, 4, func(at time.Duration) int { return p(m, at) })
			t.Logf("%d sent in 60 s, at most %d in a window", sent, m.worst())
			is.True(sent >= 50)
			is.True(sent <= 80)
		})
	}
}

// Pattern: the demand of a small customer is spread over many groups, most of which have no
// part of its limit.
//
// Guards against operations that are rejected there although the customer is below its
// limit: without a wait, at most 0.11 of them were served.
func TestSmallLimitOverManyGroups(t *testing.T) {
	for _, l := range []Limit{{Rate: 1, Burst: 1}, {Rate: 5, Burst: 5}, {Rate: 10, Burst: 10}} {
		for _, groups := range []int{34, 300} {
			t.Run(fmt.Sprintf("%v, %d groups", l, groups), func(t *testing.T) {
				is := is.New(t)
				m := newModel(7, l, groups, 10)
				pick := func(time.Duration) int { return m.random.IntN(groups) }
				m.arrivals(5*time.Second, l.Rate/1.6, pick)
				sent, arrived := m.arrivals(60*time.Second, l.Rate/1.6, pick)
				t.Logf("%d of %d served, at most %d in a window of %.0f, %d requests", sent, arrived, m.worst(), testTolerance.Bound(l), m.requests)
				is.True(float64(sent) >= 0.95*float64(arrived))
				is.True(float64(m.worst()) <= testTolerance.Bound(l))
			})
		}
	}
}

// Guards against a burst after an idle time that is not served, at one group or at all.
func TestBurstAfterIdleTime(t *testing.T) {
	for name, p := range patterns {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := Limit{Rate: 20, Burst: 200}
			m := newModel(5, l, 8, 8)
			m.arrivals(60*time.Second, 1, func(at time.Duration) int { return p(m, at) })
			sent, _ := m.arrivals(2*time.Second, 400, func(at time.Duration) int { return p(m, at) })
			t.Logf("%d of %v", sent, l)
			is.True(float64(sent) >= l.Burst)
			is.True(float64(sent) <= testTolerance.Bound(l))
		})
	}
}
