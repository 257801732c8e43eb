package lineowner

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/balance"
	"github.com/gypsumyard/gypsumyard/internal/emulate/linegroup"
	"github.com/gypsumyard/gypsumyard/internal/line"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

// readFor sends reads from several callers for the given time. It returns how many each
// instance ran, how many answers were errors, and the sorted latencies.
func (f *fixture) readFor(h *hostFixture, d time.Duration) (ran map[string]int, failed int, latencies []time.Duration) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	before := len(f.group.Executions())
	for end := time.Now().Add(d); len(latencies) == 0; wg.Wait() {
		for range 8 {
			wg.Go(func() {
				for time.Now().Before(end) {
					began := time.Now()
					answer, _, err := f.runConcurrently(h, statement{
						text: "READ x", class: gypsumyard.StatementRead, consistency: gypsumyard.ConsistencyBounded,
						staleness: readStaleness, timeout: 2 * time.Second,
					})
					mu.Lock()
					if err != nil || strings.HasPrefix(answer, line.WordError) {
						failed++
					}
					latencies = append(latencies, time.Since(began))
					mu.Unlock()
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	ran = map[string]int{}
	for _, e := range f.group.Executions()[before:] {
		ran[e.Instance]++
	}
	slices.Sort(latencies)
	return ran, failed, latencies
}

// hasLogged reports whether a line about the instance was logged.
func (h *hostFixture) hasLogged(message, instance string) bool {
	return slices.ContainsFunc(h.logHook.AllEntries(), func(e *logrus.Entry) bool {
		return e.Message == message && e.Data["instance"] == instance
	})
}

// Guards against a slow or failing instance that delays or fails the reads of callers, is
// given up, or does not get its share back within 2 s of its recovery.
func TestUnevenInstances(t *testing.T) {
	faults := map[string][2]int{"slow": {5, 0}, "failing": {1, 2}, "one slow, one failing": {5, 2}}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFixture(t, 3, linegroup.WithServiceTime(10*time.Millisecond))
			f.uneven = true
			h := f.addHost("h1", nil)
			f.readFor(h, 500*time.Millisecond)
			normal, _, usual := f.readFor(h, time.Second)
			slow, failing := f.group.Instances()[1], f.group.Instances()[2]
			var bad []string
			if fault[0] > 1 {
				slow.SetSlowness(fault[0])
				bad = append(bad, slow.ID())
			}
			if fault[1] > 0 {
				failing.FailReads(fault[1])
				bad = append(bad, failing.ID())
			}
			_, failed, _ := f.readFor(h, time.Second)
			is.Equal(failed, 0)
			ran, failed, latencies := f.readFor(h, 2*time.Second)
			t.Log("normal", normal, "with faults", ran, "p50, p90 before", usual[len(usual)/2], usual[len(usual)*9/10],
				"after", latencies[len(latencies)/2], latencies[len(latencies)*9/10])
			is.Equal(failed, 0)
			is.True(latencies[len(latencies)*9/10] < usual[len(usual)*9/10]+20*time.Millisecond)
			for _, id := range bad {
				is.True(h.hasLogged("instance is slow or failing, it gets fewer reads", id))
				is.True(ran[id] > 0 && ran[id] < normal[id]) // In twice the time, so at most half of its share.
			}
			slow.SetSlowness(1)
			failing.FailReads(0)
			_, failed, _ = f.readFor(h, 2*time.Second)
			is.Equal(failed, 0)
			ran, _, _ = f.readFor(h, time.Second)
			t.Log("after recovery", ran)
			for _, id := range bad {
				is.True(ran[id] > normal[id]/2)
				is.True(h.hasLogged("instance has recovered, it gets its share of the reads", id))
			}
		})
	}
}

// Guards against outcomes that blame an instance for the statement, the caller or a
// conflict.
func TestOutcomesOfStatements(t *testing.T) {
	is := is.New(t)
	read := &job{Request: &gypsumyard.Request{Class: gypsumyard.StatementRead}}
	inTransaction := &job{Request: &gypsumyard.Request{Class: gypsumyard.StatementRead, Transaction: "t"}}
	write := &job{Request: &gypsumyard.Request{Class: gypsumyard.StatementWrite}}
	ctx := t.Context()
	late, cancelLate := context.WithCancelCause(ctx)
	cancelLate(errDeadline)
	left, cancelLeft := context.WithCancelCause(ctx)
	cancelLeft(nil)
	code := func(c line.Code) answer { return answer{failure: &line.Error{Code: c}} }
	answered, failed, nothing := balance.Outcome{Answered: true}, balance.Outcome{Failed: true}, balance.Outcome{}
	for n, test := range []struct {
		ctx     context.Context
		j       *job
		a       answer
		sent    bool
		err     error
		ranLong bool
		want    balance.Outcome
	}{
		{ctx, read, answer{}, true, nil, false, answered},
		{ctx, write, answer{}, true, nil, false, nothing},
		{ctx, read, code(line.CodeFailed), true, nil, false, failed},
		{ctx, inTransaction, code(line.CodeFailed), true, nil, false, nothing},
		{ctx, read, code(line.CodeAborted), true, nil, false, nothing},
		{ctx, read, code(line.CodeLagging), true, nil, false, nothing},
		{ctx, read, code(line.CodeMalformed), true, nil, false, nothing},
		{ctx, read, answer{}, true, errConnClosed, false, failed},
		{ctx, read, answer{}, false, errConnClosed, false, nothing},
		{late, read, answer{}, true, errDeadline, true, failed},
		{late, read, answer{}, true, errDeadline, false, nothing},
		{left, read, answer{}, true, context.Canceled, true, nothing},
	} {
		if got := statementOutcome(test.ctx, test.j, test.a, test.sent, test.err, test.ranLong); got != test.want {
			t.Errorf("case %d: %+v", n, got)
		}
	}
	is.Equal(dialOutcome(ctx, read, errors.New("refused")), failed)
	is.Equal(dialOutcome(ctx, read, errNoMoreConns), nothing)
	is.Equal(dialOutcome(ctx, read, &line.Error{Code: line.CodeTooMany}), nothing)
	is.Equal(dialOutcome(left, read, errors.New("refused")), nothing)
}
