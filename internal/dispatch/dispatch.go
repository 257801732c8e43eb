package dispatch

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

const (
	// defaultRequestTimeout is how long a request without a deadline is retried.
	defaultRequestTimeout = 5 * time.Second
	// transactionHostTimeout is how long a request is retried at the host that holds
	// its open transaction. It covers the time in which a live host refutes a
	// suspicion; a dead host has lost the transaction.
	transactionHostTimeout = 2 * time.Second
	// backoffMin and backoffMax bound the backoff between attempts. A change of the
	// membership view ends a pause early.
	backoffMin = 10 * time.Millisecond
	backoffMax = 200 * time.Millisecond
	// retryAfter is the time after which a caller is told to retry a request that
	// was not run and whose error names no other time.
	retryAfter = 500 * time.Millisecond
)

// Executors gives access to the executors of other hosts. The service "peer"
// implements it.
type Executors interface {
	// Executor returns an executor that sends requests to the host.
	Executor(host gypsumyard.Host) gypsumyard.Executor
	// Connected reports whether a request can be sent to the host without waiting
	// for a connection.
	Connected(host gypsumyard.Host) bool
	// Connect waits until the host is connected. Its errors are of ClassNotRun.
	Connect(ctx context.Context, host gypsumyard.Host) error
}

// A Service is the kernel service "dispatch". It implements
// [gypsumyard.Executor].
type Service struct {
	clock   gypsumyard.Clock
	log     logrus.FieldLogger
	metrics tally.Scope
	kernel  *kernel.Kernel
	members gypsumyard.Membership
	// self is this host as of Start. Its name and region never change.
	self  gypsumyard.Host
	peers Executors
	done  chan struct{}

	local, remote, noOwner tally.Counter

	// otherRegionOwners maps names to hosts of other regions, as they were when last
	// seen to own a database.
	otherRegionOwners sync.Map
}

// An Option configures a Service.
type Option func(*Service)

// WithClock sets the clock. The default is the system clock.
func WithClock(c gypsumyard.Clock) Option { return func(s *Service) { s.clock = c } }

// WithLogger sets the logger.
func WithLogger(l logrus.FieldLogger) Option { return func(s *Service) { s.log = l } }

// WithMetrics sets the scope of the metrics.
func WithMetrics(m tally.Scope) Option { return func(s *Service) { s.metrics = m } }

// New returns the dispatch service of a host.
func New(options ...Option) *Service {
	s := &Service{
		clock:   clock.System(),
		log:     logrus.StandardLogger(),
		metrics: tally.NoopScope,
		done:    make(chan struct{}),
	}
	for _, o := range options {
		o(s)
	}
	s.local = s.metrics.Tagged(map[string]string{"owner": "local"}).Counter("dispatch_attempts")
	s.remote = s.metrics.Tagged(map[string]string{"owner": "remote"}).Counter("dispatch_attempts")
	s.noOwner = s.metrics.Counter("dispatch_no_owner")
	return s
}

// Name returns "dispatch".
func (s *Service) Name() string { return "dispatch" }

// Needs returns the services that Start looks up. The service "owner" is
// looked up when it is first needed.
func (s *Service) Needs() []string { return []string{"members", "peer"} }

// Done returns a channel that is closed after Stop.
func (s *Service) Done() <-chan struct{} { return s.done }

// Start looks up the services that this one needs.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) (err error) {
	s.kernel = k
	s.members, err = kernel.Lookup[gypsumyard.Membership](k, "members")
	if err != nil {
		return fmt.Errorf("dispatch: %w", err)
	}
	s.self = s.members.Self()
	s.peers, err = kernel.Lookup[Executors](k, "peer")
	if err != nil {
		return fmt.Errorf("dispatch: %w", err)
	}
	return nil
}

// Stop closes the channel of Done. There is nothing to end: requests run in the
// goroutines of their callers.
func (s *Service) Stop(context.Context) error {
	close(s.done)
	return nil
}

// Execute runs the request at the owner of its database, or at the host that holds
// its open transaction. It retries only requests that certainly did not run, and
// repeatable reads outside of transactions whose outcome is unknown, and none of
// them once a part of the answer was delivered.
func (s *Service) Execute(ctx context.Context, r *gypsumyard.Request, sink gypsumyard.ResponseSink) (res gypsumyard.Result, err error) {
	out := &trackingSink{sink: sink}
	p := s.newPendingRequest(r, "execute")
	p.delivered = func() bool { return out.written }
	p.run = func(e gypsumyard.Executor) (err error) {
		res, err = e.Execute(ctx, r, out)
		return err
	}
	err = s.runWithRetries(ctx, p)
	return res, err
}

// Abandon rolls back the open transaction of a session that has ended.
func (s *Service) Abandon(ctx context.Context, r *gypsumyard.Request) error {
	p := s.newPendingRequest(r, "abandon")
	p.run = func(e gypsumyard.Executor) error { return e.Abandon(ctx, r) }
	return s.runWithRetries(ctx, p)
}

// CancelStatement asks the upstream to cancel what the session runs.
func (s *Service) CancelStatement(ctx context.Context, r *gypsumyard.Request) error {
	p := s.newPendingRequest(r, "cancel statement")
	p.run = func(e gypsumyard.Executor) error { return e.CancelStatement(ctx, r) }
	return s.runWithRetries(ctx, p)
}

// A trackingSink records whether a part of the answer was delivered.
type trackingSink struct {
	sink    gypsumyard.ResponseSink
	written bool
}

func (c *trackingSink) Write(b []byte) (int, error) {
	c.written = c.written || len(b) > 0
	return c.sink.Write(b)
}
