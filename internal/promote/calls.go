package promote

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// An answer is what one instance said to one order.
type answer struct {
	instance gypsumyard.Instance
	status   gypsumyard.InstanceStatus
	err      error
}

func (a *answer) name() string { return a.instance.Upstream().Name }

// A call is one order to one instance. Repeating it is harmless.
type call func(ctx context.Context, i gypsumyard.Instance) (gypsumyard.InstanceStatus, error)

// repeat makes the call until it is answered, at most s.calls times. A refusal
// is an answer.
func (s *settings) repeat(ctx context.Context, i gypsumyard.Instance, c call) answer {
	var last answer
	for range s.calls {
		status, err := s.bounded(ctx, i, c)
		last = answer{instance: i, status: status, err: err}
		if err == nil || errors.Is(err, gypsumyard.ErrFenced) || ctx.Err() != nil {
			break
		}
	}
	return last
}

var errTimeout = errors.New("no answer in time")

// bounded makes the call once with the call timeout. Instances return when
// their context is done.
func (s *settings) bounded(ctx context.Context, i gypsumyard.Instance, c call) (gypsumyard.InstanceStatus, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := s.clock.NewTimer(s.callTimeout)
	var watch sync.WaitGroup
	watch.Go(func() {
		defer timer.Stop()
		select {
		case <-timer.C():
			cancel(errTimeout)
		case <-ctx.Done():
		}
	})
	defer watch.Wait()
	defer cancel(nil)
	return c(ctx, i)
}

// ask sends the call to all instances at once. It returns when all have
// answered, the grace period after enough have answered without an error, or
// when so many have refused that not enough are left.
// Calls that are still open then are cancelled and waited for.
func (s *settings) ask(ctx context.Context, instances []gypsumyard.Instance, enough int, c call) []answer {
	ctx, cancel := context.WithCancel(ctx)
	var calls sync.WaitGroup
	defer calls.Wait()
	defer cancel()
	results := make(chan answer, len(instances))
	for _, i := range instances {
		calls.Go(func() { results <- s.repeat(ctx, i, c) })
	}
	return s.collect(instances, enough, results)
}

func (s *settings) collect(instances []gypsumyard.Instance, enough int, results <-chan answer) []answer {
	var answers []answer
	var grace <-chan time.Time
	good, refused := 0, 0
	for len(answers) < len(instances) {
		select {
		case a := <-results:
			answers = append(answers, a)
			switch {
			case a.err == nil:
				good++
			case errors.Is(a.err, gypsumyard.ErrFenced):
				refused++
			}
			if len(instances)-refused < enough {
				return appendMissing(answers, instances)
			}
		case <-grace:
			return appendMissing(answers, instances)
		}
		if good >= enough && grace == nil {
			timer := s.clock.NewTimer(s.grace)
			defer timer.Stop()
			grace = timer.C()
		}
	}
	return answers
}

// appendMissing adds an answer with an error for each instance without one.
func appendMissing(answers []answer, instances []gypsumyard.Instance) []answer {
	answered := map[string]bool{}
	for _, a := range answers {
		answered[a.name()] = true
	}
	for _, i := range instances {
		if !answered[i.Upstream().Name] {
			answers = append(answers, answer{instance: i, err: errTimeout})
		}
	}
	return answers
}

func readStatus(ctx context.Context, i gypsumyard.Instance) (gypsumyard.InstanceStatus, error) {
	return i.Status(ctx)
}
