package route

import "time"

// An Option changes how a Router is built.
type Option func(*Router)

// WithFixedWait makes the Router expect the same wait for every replica that
// does not cover a position yet.
func WithFixedWait(d time.Duration) Option {
	return func(r *Router) { r.newEstimator = func() estimator { return fixed(d) } }
}

// WithChebyshev makes the Router expect the mean of a replica's recent delays
// plus k standard deviations. At most 1/(1+k²) of the delays are above it.
func WithChebyshev(k float64) Option {
	return func(r *Router) { r.newEstimator = func() estimator { return &chebyshev{k: k} } }
}

// WithQuantile makes the Router expect the quantile q of a replica's recent
// delays. It is the default, with q = 0.9.
func WithQuantile(q float64) Option {
	return func(r *Router) { r.newEstimator = func() estimator { return &quantile{q: q} } }
}
