package lineowner

import (
	"sync"

	"github.com/gypsumyard/gypsumyard"
	"github.com/uber-go/tally/v4"
)

// maxCustomerLabels is the number of customers that metrics name. The others are counted
// together.
const maxCustomerLabels = 100

// quotaMetrics holds the metrics of rate limits.
type quotaMetrics struct {
	scope   tally.Scope
	refunds tally.Counter
	// waitsServed counts operations that were charged after a wait for tokens of other owners.
	waitsServed           tally.Counter
	granted, none, failed tally.Counter
	given, received       tokenCounter

	mu         sync.Mutex
	rejections map[string]tally.Counter
}

// A tokenCounter counts tokens, of which there are fractions.
type tokenCounter struct {
	counter tally.Counter
	mu      sync.Mutex
	rest    float64
}

func newQuotaMetrics(s tally.Scope) *quotaMetrics {
	requests := func(outcome string) tally.Counter {
		return s.Tagged(map[string]string{"outcome": outcome}).Counter("quota_transfer_requests")
	}
	return &quotaMetrics{
		scope:       s,
		refunds:     s.Counter("quota_refunds"),
		waitsServed: s.Counter("quota_waits_served"),
		granted:     requests("granted"),
		none:        requests("none"),
		failed:      requests("failed"),
		given:       tokenCounter{counter: s.Counter("quota_tokens_given")},
		received:    tokenCounter{counter: s.Counter("quota_tokens_received")},
		rejections:  map[string]tally.Counter{},
	}
}

// rejected counts an operation over the limit of the customer.
func (m *quotaMetrics) rejected(customer string) {
	m.mu.Lock()
	c := m.rejections[customer]
	if c == nil && len(m.rejections) >= maxCustomerLabels {
		customer = "other"
		c = m.rejections[customer]
	}
	if c == nil {
		c = m.scope.Tagged(map[string]string{"customer": customer}).Counter("quota_rejections")
		m.rejections[customer] = c
	}
	m.mu.Unlock()
	c.Inc(1)
}

// request counts a transfer request to another owner.
func (m *quotaMetrics) request(granted []gypsumyard.QuotaTokens, err error) {
	switch {
	case err != nil:
		m.failed.Inc(1)
	case len(granted) == 0:
		m.none.Inc(1)
	default:
		m.granted.Inc(1)
	}
}

func (c *tokenCounter) count(list []gypsumyard.QuotaTokens) (sum float64) {
	for _, t := range list {
		sum += t.Tokens
	}
	c.add(sum)
	return sum
}

func (c *tokenCounter) add(n float64) {
	c.mu.Lock()
	c.rest += n
	whole := int64(c.rest)
	c.rest -= float64(whole)
	c.mu.Unlock()
	if whole > 0 {
		c.counter.Inc(whole)
	}
}
