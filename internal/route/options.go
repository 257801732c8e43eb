package route

import "time"

// An Option configures a Router.
type Option func(*Router)

// WithFixedWait makes the Router expect the same replication delay at every
// replica that has not yet applied the required position.
func WithFixedWait(d time.Duration) Option {
	return func(r *Router) { r.newEstimator = func() delayEstimator { return fixedDelay(d) } }
}

// WithChebyshev makes the Router expect the mean of a replica's recent delays
// plus k standard deviations. By the one-sided Chebyshev inequality, at most
// 1/(1+k²) of the delays exceed it.
func WithChebyshev(k float64) Option {
	return func(r *Router) { r.newEstimator = func() delayEstimator { return &chebyshev{k: k} } }
}

// WithQuantile makes the Router expect the quantile q of a replica's recent
// delays. This is the default, with q = 0.9.
func WithQuantile(q float64) Option {
	return func(r *Router) { r.newEstimator = func() delayEstimator { return &quantile{q: q} } }
}
