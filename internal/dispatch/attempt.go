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

// An attempt is one request while it looks for its owner.
type attempt struct {
	request *gypsumyard.Request
	// operation names the call for the log.
	operation string
	deadline  time.Time
	// pause is the longest pause before the next try.
	pause time.Duration
	run   func(gypsumyard.Executor) error
	// delivered reports whether the caller has received a part of the answer.
	delivered func() bool
	// lost is the last error of a try.
	lost error
	// unknown is the error of a try that may have run. No later refusal proves
	// that the request did not run.
	unknown error
}

func (s *Service) newAttempt(r *gypsumyard.Request, operation string) *attempt {
	now := s.clock.Now()
	a := &attempt{
		request:   r,
		operation: operation,
		deadline:  r.Deadline,
		pause:     backoffMin,
		delivered: func() bool { return false },
	}
	if a.deadline.IsZero() {
		a.deadline = now.Add(defaultPatience)
	}
	if limit := now.Add(transactionPatience); r.Transaction != "" && a.deadline.After(limit) {
		a.deadline = limit
	}
	return a
}

// try runs the attempt until it succeeds, must not be repeated, or runs out of
// time.
func (s *Service) try(ctx context.Context, a *attempt) error {
	for n := 1; ; n++ {
		changed := s.members.Changes()
		host, ok := s.place(a.request)
		switch {
		case ok:
			if n > 1 {
				s.logger(a, host, n).Info("request is sent again")
			}
			err := s.runAt(ctx, a, host)
			if err != nil && gypsumyard.ClassOf(err) == gypsumyard.ClassUnknown {
				a.unknown = err
			}
			if err == nil || !a.repeatable(ctx, err) {
				return a.final(err)
			}
			a.lost = err
		case a.request.Transaction != "":
			a.lost = gypsumyard.Errorf(gypsumyard.ClassNotRun, "host %s, which holds the transaction, is gone", a.request.Owner)
		default:
			a.lost = gypsumyard.Errorf(gypsumyard.ClassNotRun, "no live host owns database %q", a.request.Database)
			s.unplaced.Inc(1)
		}
		if !ok && n == 1 {
			s.logger(a, host, n).Info("request waits for an owner")
		}
		if !s.wait(ctx, a, changed) {
			s.logger(a, host, n).Info("request is given up")
			return a.final(a.lost)
		}
	}
}

func (s *Service) logger(a *attempt, host gypsumyard.Host, try int) logrus.FieldLogger {
	return s.log.WithFields(logrus.Fields{
		"reason":    a.lost,
		"operation": a.operation,
		"session":   a.request.Session,
		"customer":  a.request.Customer,
		"database":  a.request.Database,
		"member":    host.Name,
		"try":       try,
	})
}

// place chooses the host that must run the request.
func (s *Service) place(r *gypsumyard.Request) (gypsumyard.Host, bool) {
	if r.Transaction != "" && r.Owner != "" {
		return s.findHost(r.Owner)
	}
	h, ok := s.members.Owner(r.Database)
	if ok && h.Region != s.self.Region {
		s.noteDistantOwner(h)
	}
	return h, ok
}

// noteDistantOwner keeps the address of an owner in another region, which
// findHost needs when the owner holds a transaction.
func (s *Service) noteDistantOwner(h gypsumyard.Host) {
	if old, ok := s.distantOwners.Load(h.Name); !ok || old != h {
		s.distantOwners.Store(h.Name, h)
	}
}

// findHost returns the host that holds a transaction. Hosts of this region
// must be in the view; those of other regions were remembered when the
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
	if h, ok := s.distantOwners.Load(name); ok {
		return h.(gypsumyard.Host), true
	}
	return gypsumyard.Host{}, false
}

func (s *Service) runAt(ctx context.Context, a *attempt, host gypsumyard.Host) error {
	if host.Name != s.self.Name {
		s.remote.Inc(1)
		if err := s.connect(ctx, a, host); err != nil {
			return err
		}
		return a.run(s.peers.Executor(host))
	}
	s.local.Inc(1)
	owner, err := kernel.Lookup[gypsumyard.Owner](s.kernel, "owner")
	if err != nil {
		return gypsumyard.Errorf(gypsumyard.ClassNotRun, "this host serves no databases: %w", err)
	}
	return a.run(owner)
}

// connect waits for a connection to the host, but no longer than the request
// has its place there: a host that has failed may accept connections and not
// answer.
func (s *Service) connect(ctx context.Context, a *attempt, host gypsumyard.Host) error {
	if s.peers.Connected(host) {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	connected := make(chan error, 1)
	go func() { connected <- s.peers.Connect(ctx, host) }()
	for {
		changed := s.members.Changes()
		if h, ok := s.place(a.request); !ok || h.Name != host.Name {
			return gypsumyard.Errorf(gypsumyard.ClassNotRun, "host %s was not connected and no longer runs the database", host.Name)
		}
		select {
		case err := <-connected:
			return err
		case <-changed:
		}
	}
}

// repeatable reports whether the request may be sent again after err.
func (a *attempt) repeatable(ctx context.Context, err error) bool {
	r := a.request
	if a.delivered() || ctx.Err() != nil {
		return false
	}
	switch gypsumyard.ClassOf(err) {
	case gypsumyard.ClassNotRun:
		return true
	case gypsumyard.ClassNotOwner, gypsumyard.ClassShutdown:
		// No other host knows the transaction.
		return r.Transaction == ""
	case gypsumyard.ClassUnknown:
		return r.Class == gypsumyard.StatementRead && r.Repeatable && r.Transaction == ""
	}
	return false
}

// wait pauses before the next try. It returns false when the time is up.
func (s *Service) wait(ctx context.Context, a *attempt, changed <-chan struct{}) bool {
	pause := a.pause/2 + rand.N(a.pause/2)
	a.pause = min(2*a.pause, backoffMax)
	left := a.deadline.Sub(s.clock.Now())
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

// final returns the error of the request when no more tries are made.
func (a *attempt) final(err error) error {
	if err == nil {
		return nil
	}
	var e *gypsumyard.Error
	if a.unknown != nil && errors.As(err, &e) && e.NotRun() {
		return a.unknown
	}
	return publicError(err)
}

// publicError returns err as a caller may see it: classes that only mean
// something between hosts become ClassNotRun with a time to come back.
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
