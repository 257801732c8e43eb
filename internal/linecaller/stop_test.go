package linecaller

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/line"
	"github.com/matryer/is"
)

// stopWithin is the time that a stop has in the tests of this file.
const stopWithin = 2 * time.Second

// stop stops the server of the fixture, and returns how long that took.
func (f *fixture) stop() time.Duration {
	f.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), stopWithin)
	defer cancel()
	began := time.Now()
	if err := f.server.Stop(ctx); err != nil {
		f.Error(err)
	}
	return time.Since(began)
}

// newStoppedFixture returns a fixture that the test stops itself.
func newStoppedFixture(t *testing.T) *fixture {
	t.Helper()
	f := newUnstartedFixture(t)
	if err := f.kernel.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	return f
}

// block makes statements wait until they are canceled, and returns a channel that
// receives one value for each that waits. Writes fail as if they may have run.
func (f *fixture) block() <-chan struct{} {
	waiting := make(chan struct{}, 10)
	f.executor.mu.Lock()
	defer f.executor.mu.Unlock()
	f.executor.wait = func(ctx context.Context, b line.Payload) error {
		waiting <- struct{}{}
		<-ctx.Done()
		if strings.HasPrefix(b.Text, string(line.Write)) {
			return gypsumyard.Errorf(gypsumyard.ClassUnknown, "no answer: %w", context.Cause(ctx))
		}
		return gypsumyard.Errorf(gypsumyard.ClassNotRun, "no owner: %w", context.Cause(ctx))
	}
	return waiting
}

// Guards against a stop that closes connections before the statements that it cancels
// are answered.
func TestStopAnswersStatements(t *testing.T) {
	is := is.New(t)
	f := newStoppedFixture(t)
	idle, read, write, open := f.dial("START orders u1"), f.dial("START orders u2"), f.dial("START orders u3"), f.dial("START orders u4")
	for _, c := range []*caller{idle, read, write, open} {
		c.expect("READY I")
	}
	open.send("QUERY a1 BEGIN READ")
	open.expect("COMPLETE", "READY T")
	waiting := f.block()
	read.send("QUERY a2 READ a")
	write.send("QUERY a3 WRITE a 1")
	open.send("QUERY a4 READ a")
	for range 3 {
		<-waiting
	}
	took := f.stop()
	read.expect("ERROR BUSY", "READY I")
	write.expect("ERROR INDOUBT", "READY I")
	open.expect("ERROR ABORTED", "READY E")
	for _, c := range []*caller{idle, read, write, open} {
		c.expectEnd()
	}
	is.True(took < answerTimeout)
}

// Guards against a stop that waits for a statement whose cancellation has no effect, or
// for the rollback of its transaction at an owner that is gone.
func TestStopIsBounded(t *testing.T) {
	is := is.New(t)
	f := newStoppedFixture(t)
	c := f.dial("START orders u1")
	c.expect("READY I")
	c.send("QUERY a1 BEGIN")
	c.expect("COMPLETE", "READY T")
	c.send("QUERY a2 WRITE a 1")
	c.expect("COMPLETE", "READY T")
	f.executor.mu.Lock()
	f.executor.abandon = func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }
	f.executor.mu.Unlock()
	_ = f.dial("") // It sends no START.
	is.True(f.stop() < stopWithin/2)
	c.expectEnd()
}

// Guards against a session that is told that it has started, and is closed at once
// because the host stops, so that its first statement gets no answer.
func TestSessionAtEndOfDrainIsRefused(t *testing.T) {
	f := newFixture(t)
	f.server.CloseIdle()
	early := f.dial("START orders u1")
	early.expect("READY I")
	f.server.EndTransactions()
	early.expectEnd()
	late := f.dial("START orders u2")
	late.expect("ERROR BUSY")
	late.expectEnd()
}

// Guards against a stop that closes the connection of a session that waits for its start
// without an answer.
func TestStopAnswersStart(t *testing.T) {
	f := newUnstartedFixture(t)
	f.lists.ready = make(chan struct{})
	if err := f.kernel.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	c := f.dial("START orders u1")
	time.Sleep(50 * time.Millisecond) // The session waits for the desired state.
	f.stop()
	c.expect("ERROR BUSY")
	c.expectEnd()
}
