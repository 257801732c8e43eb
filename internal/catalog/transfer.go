package catalog

import (
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// maxTransferPause is the pause after which a transfer does not count as going on.
const maxTransferPause = time.Second

// A transfer follows the arrival of large values from a peer or from the store, to tell
// whether it ends in time or this host has to ask the other one as well.
type transfer struct {
	clock gypsumyard.Clock
	// limit is how long a transfer may take.
	limit time.Duration

	mu sync.Mutex
	// began and first are the time and the progress of the first report, last and
	// progress those of the last one. last is zero while there is no transfer.
	began, last     time.Time
	first, progress gypsumyard.Progress
}

// note records the progress of the transfer.
func (t *transfer) note(p gypsumyard.Progress) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	if t.last.IsZero() {
		t.began, t.first = now, p
	}
	t.last, t.progress = now, p
}

// end records that there is no transfer any more.
func (t *transfer) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last = time.Time{}
}

// endsInTime reports whether a transfer goes on that ends within the limit if it keeps
// its rate.
func (t *transfer) endsInTime() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	if t.last.IsZero() || now.Sub(t.last) > maxTransferPause {
		return false
	}
	arrived := t.progress.Arrived - t.first.Arrived
	if arrived <= 0 {
		return true // It has just begun.
	}
	perByte := float64(t.last.Sub(t.began)) / float64(arrived)
	left := time.Duration(perByte * float64(t.progress.Size-t.progress.Arrived))
	return t.last.Add(left).Sub(t.began) <= t.limit && now.Sub(t.began) <= t.limit
}
