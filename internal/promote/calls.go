package promote

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// An answer is the response of one instance to a call.
type answer struct {
	instance gypsumyard.Instance
	status   gypsumyard.InstanceStatus
	err      error
}

func (a *answer) name() string { return a.instance.Upstream().Name }

// A call is one request to one instance. It must be idempotent.
type call func(ctx context.Context, i gypsumyard.Instance) (gypsumyard.InstanceStatus, error)

// callWithRetry repeats the call until it is answered, at most s.callAttempts
// times. A refusal with ErrFenced is an answer.
func (s *settings) callWithRetry(ctx context.Context, i gypsumyard.Instance, c call) answer {
	var last answer
	for range s.callAttempts {
		status, err := s.callWithTimeout(ctx, i, c)
		last = answer{instance: i, status: status, err: err}
		if err == nil || errors.Is(err, gypsumyard.ErrFenced) || ctx.Err() != nil {
			break
		}
	}
	return last
}

var errTimeout = errors.New("no answer in time")

// callWithTimeout makes the call once, bounded by the call timeout. It relies on
// instances to return when their context is done.
func (s *settings) callWithTimeout(ctx context.Context, i gypsumyard.Instance, c call) (gypsumyard.InstanceStatus, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := s.clock.NewTimer(s.callTimeout)
	var timeoutWatch sync.WaitGroup
	timeoutWatch.Go(func() {
		defer timer.Stop()
		select {
		case <-timer.C():
			cancel(errTimeout)
		case <-ctx.Done():
		}
	})
	defer timeoutWatch.Wait()
	defer cancel(nil)
	return c(ctx, i)
}

// A quorum reports whether a set of instances is enough.
type quorum func(set []gypsumyard.Instance) bool

// atLeast is the quorum of any n instances.
func atLeast(n int) quorum {
	return func(set []gypsumyard.Instance) bool { return len(set) >= n }
}

// broadcast sends the call to all instances at once. It returns when all have
// answered, or the grace period after enough of them have answered without an
// error, or when so many have refused that the others are not enough. It cancels
// the calls still in flight and waits for them to end.
func (s *settings) broadcast(ctx context.Context, instances []gypsumyard.Instance, enough quorum, c call) []answer {
	ctx, cancel := context.WithCancel(ctx)
	var calls sync.WaitGroup
	defer calls.Wait()
	defer cancel()
	results := make(chan answer, len(instances))
	for _, i := range instances {
		calls.Go(func() { results <- s.callWithRetry(ctx, i, c) })
	}
	return s.collect(instances, enough, results)
}

func (s *settings) collect(instances []gypsumyard.Instance, enough quorum, results <-chan answer) []answer {
	var answers []answer
	var grace <-chan time.Time
	var succeeded []gypsumyard.Instance
	notRefused := slices.Clone(instances)
	for len(answers) < len(instances) {
		select {
		case a := <-results:
			answers = append(answers, a)
			switch {
			case a.err == nil:
				succeeded = append(succeeded, a.instance)
			case errors.Is(a.err, gypsumyard.ErrFenced):
				notRefused = slices.DeleteFunc(notRefused, func(i gypsumyard.Instance) bool { return i == a.instance })
			}
			if !enough(notRefused) {
				return appendMissing(answers, instances)
			}
		case <-grace:
			return appendMissing(answers, instances)
		}
		if grace == nil && enough(succeeded) {
			timer := s.clock.NewTimer(s.gracePeriod)
			defer timer.Stop()
			grace = timer.C()
		}
	}
	return answers
}

// appendMissing adds an answer with an error for each instance without one.
func appendMissing(answers []answer, instances []gypsumyard.Instance) []answer {
	answered := map[gypsumyard.Instance]bool{}
	for _, a := range answers {
		answered[a.instance] = true
	}
	for _, i := range instances {
		if !answered[i] {
			answers = append(answers, answer{instance: i, err: errTimeout})
		}
	}
	return answers
}

func readStatus(ctx context.Context, i gypsumyard.Instance) (gypsumyard.InstanceStatus, error) {
	return i.Status(ctx)
}
