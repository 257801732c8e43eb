package balance

import (
	"slices"
	"time"
)

// maxSteps bounds the memory of a history to about 256 KB. With more changes than that
// within the age of samples, those of the older samples are not known.
const maxSteps = 8192

// A history tells how many own statements ran on an instance at earlier times.
type history []step

// A step is a change of the number at a time.
type step struct {
	at      time.Time
	running int
}

// add records the number that runs from now on, and forgets changes that are older than
// the age, but for the last of them.
func (h *history) add(now time.Time, running int, age time.Duration) {
	*h = append(*h, step{now, running})
	old := max(len(*h)-maxSteps, 0)
	for old+1 < len(*h) && now.Sub((*h)[old+1].at) > age {
		old++
	}
	// Removing many at once keeps the cost of copying low.
	if old > len(*h)/2 || len(*h) > 2*maxSteps {
		*h = slices.Delete(*h, 0, old)
	}
}

// at returns how many ran at the time.
func (h history) at(t time.Time) int {
	for n := len(h) - 1; n >= 0; n-- {
		if !h[n].at.After(t) {
			return h[n].running
		}
	}
	return 0
}
