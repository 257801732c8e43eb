package soak

import (
	"slices"
	"strings"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/emulate/linegroup"
	"github.com/gypsumyard/gypsumyard/internal/quota"
)

// limitedClient is the client with a rate limit. It asks for several times as much.
const limitedClient = "c1"

var (
	limitOfClient = quota.Limit{Rate: 20, Burst: 20}
	// tolerance is the default of the hosts.
	tolerance = quota.Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
)

// noteExecution records when an instance begins an operation of limitedClient. A transaction
// is one operation, and has one write.
func (h *history) noteExecution(e linegroup.Execution) {
	if e.User != limitedClient || !strings.HasPrefix(e.Text, "READ ") && !strings.HasPrefix(e.Text, "WRITE ") {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limited = append(h.limited, time.Now())
}

// checkLimit checks that no window holds more operations of limitedClient than its limit
// allows on all hosts together. Isolated hosts have never known of each other, so each of
// them grants the whole limit: they are not checked.
func (cl *cluster) checkLimit(h *history) {
	cl.t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.limited) == 0 {
		cl.t.Errorf("no operation of %s was seen", limitedClient)
	}
	slices.SortFunc(h.limited, time.Time.Compare)
	most := 0
	for first, last := 0, 0; last < len(h.limited); last++ {
		for h.limited[last].Sub(h.limited[first]) >= tolerance.Window {
			first++
		}
		most = max(most, last-first+1)
	}
	bound := tolerance.Bound(limitOfClient)
	cl.t.Logf("%d operations of %s, at most %d in a window of %.0f", len(h.limited), limitedClient, most, bound)
	if float64(most) > bound && !cl.isolated {
		cl.t.Errorf("%d operations of %s in a window, at most %.0f are allowed", most, limitedClient, bound)
	}
}
