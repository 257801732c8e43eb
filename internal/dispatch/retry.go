package dispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/sirupsen/logrus"
)

// A pendingRequest is the state of one request across its attempts.
type pendingRequest struct {
	request *gypsumyard.Request
	// operation is the name of the call in log messages.
	operation string
	deadline  time.Time
	// backoff is the upper bound of the pause before the next attempt.
	backoff time.Duration
	run     func(gypsumyard.Executor) error
	// delivered reports whether the caller has received a part of the answer.
	delivered func() bool
	// lastErr is the error of the last attempt.
	lastErr error
	// unknownErr is the error of the last attempt that may have run. After it, no
	// refusal of a later attempt proves that the request did not run.
	unknownErr error
}

func (s *Service) newPendingRequest(r *gypsumyard.Request, operation string) *pendingRequest {
	now := s.clock.Now()
	p := &pendingRequest{
		request:   r,
		operation: operation,
		deadline:  r.Deadline,
		backoff:   backoffMin,
		delivered: func() bool { return false },
	}
	if p.deadline.IsZero() {
		p.deadline = now.Add(defaultRequestTimeout)
	}
	if limit := now.Add(transactionHostTimeout); r.Transaction != "" && p.deadline.After(limit) {
		p.deadline = limit
	}
	return p
}

// runWithRetries makes attempts until the request succeeds, must not be retried, or
// runs out of time.
func (s *Service) runWithRetries(ctx context.Context, p *pendingRequest) error {
	for attempt := 1; ; attempt++ {
		changed := s.members.Changes()
		host, ok := s.selectHost(p.request)
		switch {
		case ok:
			if attempt > 1 {
				s.logger(p, host, attempt).Info("request is sent again")
			}
			err := s.runOn(ctx, p, host)
			if err != nil && gypsumyard.ClassOf(err) == gypsumyard.ClassUnknown {
				p.unknownErr = err
			}
			if err == nil || !p.retryable(ctx, err) {
				return p.finalError(err)
			}
			p.lastErr = err
		case p.request.Transaction != "":
			p.lastErr = gypsumyard.Errorf(gypsumyard.ClassNotRun, "host %s, which holds the transaction, is gone", p.request.Owner)
		default:
			p.lastErr = gypsumyard.Errorf(gypsumyard.ClassNotRun, "no live host owns database %q", p.request.Database)
			s.noOwner.Inc(1)
			if s.leaving() {
				s.logger(p, host, attempt).Info("request rejected: this host is leaving and knows no live owner")
				return p.finalError(p.lastErr)
			}
		}
		if !ok && attempt == 1 {
			s.logger(p, host, attempt).Info("request waits for an owner")
		}
		if !s.waitForRetry(ctx, p, changed) {
			s.logger(p, host, attempt).WithField("cause", context.Cause(ctx)).Info("giving up on request: deadline reached or request cancelled")
			return p.finalError(p.lastErr)
		}
	}
}

// leaving reports whether this host is leaving. If it then knows no owner of a database,
// the other hosts have left or are leaving as well. One that starts in their place serves
// the callers when they connect to it; they need not wait here.
func (s *Service) leaving() bool { return s.members.Self().State == gypsumyard.HostLeaving }

func (s *Service) logger(p *pendingRequest, host gypsumyard.Host, attempt int) logrus.FieldLogger {
	return s.log.WithFields(logrus.Fields{
		"reason":    p.lastErr,
		"operation": p.operation,
		"session":   p.request.Session,
		"customer":  p.request.Customer,
		"database":  p.request.Database,
		"member":    host.Name,
		"try":       attempt,
	})
}

// selectHost returns the host that must run the request: the holder of its open
// transaction, or else the owner of its database.
func (s *Service) selectHost(r *gypsumyard.Request) (gypsumyard.Host, bool) {
	if r.Transaction != "" && r.Owner != "" {
		return s.findHost(r.Owner)
	}
	h, ok := s.members.Owner(r.Database)
	if ok && h.Region != s.self.Region {
		s.rememberOwner(h)
	}
	return h, ok
}

// rememberOwner stores an owner in another region, whose address findHost needs when
// that owner holds a transaction.
func (s *Service) rememberOwner(h gypsumyard.Host) {
	if old, ok := s.otherRegionOwners.Load(h.Name); !ok || old != h {
		s.otherRegionOwners.Store(h.Name, h)
	}
}

// findHost returns the named host, which holds a transaction. A host of this region
// must be in the membership view; one of another region was remembered when the
// transaction was opened.
func (s *Service) findHost(name string) (gypsumyard.Host, bool) {
	if name == s.self.Name {
		return s.self, true
	}
	for _, h := range s.members.Hosts() {
		if h.Name == name {
			return h, true
		}
	}
	if h, ok := s.otherRegionOwners.Load(name); ok {
		return h.(gypsumyard.Host), true
	}
	return gypsumyard.Host{}, false
}

func (s *Service) runOn(ctx context.Context, p *pendingRequest, host gypsumyard.Host) error {
	if host.Name != s.self.Name {
		s.remote.Inc(1)
		if err := s.connect(ctx, p, host); err != nil {
			return err
		}
		return p.run(s.peers.Executor(host))
	}
	s.local.Inc(1)
	owner, err := kernel.Lookup[gypsumyard.Owner](s.kernel, "owner")
	if err != nil {
		return gypsumyard.Errorf(gypsumyard.ClassNotRun, "this host serves no databases: %w", err)
	}
	return p.run(owner)
}

// connect waits for a connection to the host until the request's deadline, but only
// while that host is the one that must run the request: a failed host may accept
// connections and never answer.
func (s *Service) connect(ctx context.Context, p *pendingRequest, host gypsumyard.Host) error {
	if s.peers.Connected(host) {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	connected := make(chan error, 1)
	go func() { connected <- s.peers.Connect(ctx, host) }()
	deadline := s.clock.NewTimer(p.deadline.Sub(s.clock.Now()))
	defer deadline.Stop()
	for {
		changed := s.members.Changes()
		if h, ok := s.selectHost(p.request); !ok || h.Name != host.Name {
			return gypsumyard.Errorf(gypsumyard.ClassNotRun, "host %s was not connected and no longer runs the database", host.Name)
		}
		select {
		case err := <-connected:
			return err
		case <-changed:
		case <-deadline.C():
			return gypsumyard.Errorf(gypsumyard.ClassNotRun, "no connection to host %s within the time of the request", host.Name)
		}
	}
}

// retryable reports whether the request may be sent again after err.
func (p *pendingRequest) retryable(ctx context.Context, err error) bool {
	r := p.request
	var e *gypsumyard.Error
	if p.delivered() || ctx.Err() != nil || errors.As(err, &e) && e.NoRetry {
		return false
	}
	switch gypsumyard.ClassOf(err) {
	case gypsumyard.ClassNotRun:
		return true
	case gypsumyard.ClassNotOwner, gypsumyard.ClassShutdown:
		// An open transaction exists on this one host only.
		return r.Transaction == ""
	case gypsumyard.ClassUnknown:
		return r.Class == gypsumyard.StatementRead && r.Repeatable && r.Transaction == ""
	}
	return false
}

// waitForRetry pauses before the next attempt, with exponential backoff and jitter.
// A change of the membership view ends the pause early. It returns false if the
// deadline leaves no time for another attempt, or ctx is done.
func (s *Service) waitForRetry(ctx context.Context, p *pendingRequest, changed <-chan struct{}) bool {
	pause := p.backoff/2 + rand.N(p.backoff/2)
	p.backoff = min(2*p.backoff, backoffMax)
	left := p.deadline.Sub(s.clock.Now())
	if left <= pause {
		return false
	}
	t := s.clock.NewTimer(pause)
	defer t.Stop()
	select {
	case <-t.C():
	case <-changed:
	case <-ctx.Done():
		return false
	}
	return true
}

// finalError returns the error of the request after its last attempt.
func (p *pendingRequest) finalError(err error) error {
	if err == nil {
		return nil
	}
	var e *gypsumyard.Error
	if p.unknownErr != nil && errors.As(err, &e) && e.NotRun() {
		return p.unknownErr
	}
	return publicError(err)
}

// publicError returns err as a caller may see it: classes that are meaningful only
// between hosts become ClassNotRun. A caller of a request that did not run is told
// when to retry.
func publicError(err error) error {
	var e *gypsumyard.Error
	if !errors.As(err, &e) {
		return err
	}
	switch e.Class {
	case gypsumyard.ClassNotOwner, gypsumyard.ClassShutdown, gypsumyard.ClassNotRun:
	default:
		return err
	}
	p := *e
	p.Class = gypsumyard.ClassNotRun
	if e.Class != gypsumyard.ClassNotRun {
		p.State = ""
	}
	if p.RetryAfter == 0 {
		p.RetryAfter = retryAfter
	}
	return &p
}
