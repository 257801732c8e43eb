package admit

// New returns an Admitter.
func New(database string, options ...Option) *Admitter { return NewFCFS(database, options...) }
