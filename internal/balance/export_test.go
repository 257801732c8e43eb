package balance

import "time"

// WithRandom sets the source of random numbers in [0, 1).
func WithRandom(f func() float64) Option { return func(h *Chooser) { h.random = f } }

// Choose returns the name of the instance that a read should be sent to, if no admission
// decides about the slots. Of equal ones it takes the one that has waited longest.
func (c *Chooser) Choose(names []string, run time.Duration) (name string) {
	estimates := c.Estimate(names, run, true)
	var best time.Duration
	var chosen *instance
	for n, e := range estimates {
		i := c.instances[names[n]]
		switch {
		case i == nil:
			continue
		case e.Probe:
			return names[n]
		}
		t := e.Delay + time.Duration(float64(run)*max(float64(i.running+1-i.slots), 0)/float64(i.slots))
		if chosen == nil || t < best || t == best && i.lastBegan < chosen.lastBegan {
			name, best, chosen = names[n], t, i
		}
	}
	return name
}
