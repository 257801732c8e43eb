package admit

// New returns an Admitter with weighted fair order, priority, limits and
// protection from long requests. It has no instances before SetInstances.
// Close ends it.
func New(database string, options ...Option) *Admitter {
	s := newSettings(database, options)
	return start(s, newFair(s.policy))
}
