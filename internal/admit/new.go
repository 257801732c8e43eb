package admit

// New returns an Admitter that serves customers by weighted fair queueing, with
// priority requests, rate limits and protection of short requests from long
// ones. It has no instances until SetInstances is called. Close stops it.
func New(database string, options ...Option) *Admitter {
	s := newSettings(database, options)
	return start(s, newFairQueue(s.policy))
}
