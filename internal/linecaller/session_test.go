package linecaller

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/gypsumyard/gypsumyard/internal/kernel/kerneltest"
	"github.com/gypsumyard/gypsumyard/internal/line"
	"github.com/matryer/is"
)

// Guards against wrong responses to the START message.
func TestStart(t *testing.T) {
	f := newFixture(t)
	f.dial("START orders u1").expect("READY I -\r\n")
	c := f.dial("START nothing u1")
	c.expect("ERROR NODATABASE")
	c.expectEnd()
	c = f.dial("GET / HTTP/1.1")
	c.expect("ERROR MALFORMED")
	c.expectEnd()
}

// Guards against settings and prepared statements of a session that do not
// reach the owner, and against a position that is lost between two statements.
func TestSessionState(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	c := f.dial("START logs u1")
	c.expect("READY")
	c.send("QUERY a1 SET zone north")
	c.expect("COMPLETE -", "READY I -")
	c.send("QUERY a2 PREPARE s1 WRITE q2c")
	c.expect("COMPLETE -", "READY I -")
	c.send("QUERY a3 EXECUTE s1 item data")
	c.expect("COMPLETE 7.1f", "READY I 3.7")
	r := f.executor.last()
	is.Equal(r.Settings, []gypsumyard.Setting{{Name: "zone", Value: "north"}})
	is.Equal(r.Class, gypsumyard.StatementWrite)
	b, err := line.UnmarshalPayload(r.Messages)
	is.NoErr(err)
	is.Equal(b.Prepared, line.Prepared{Verb: line.Write, Shape: "q2c"})
	is.Equal(b.Text, "EXECUTE s1 item data")
	is.Equal(b.ID, "a3")
	c.send("QUERY a4 READ item")
	c.expect("COMPLETE 7.1f", "READY I 3.7")
	is.Equal(f.executor.last().Position, gypsumyard.Position{Term: 3, Offset: 7})
	c.send("QUERY a5 EXECUTE s2 item data")
	c.expect("ERROR UNKNOWN", "READY I")
	c.send("QUERY a6 DEALLOCATE s1")
	c.expect("COMPLETE -", "READY I")
	c.send("QUERY a7 EXECUTE s1 item data")
	c.expect("ERROR UNKNOWN", "READY I")
}

// Guards against requests that do not carry the consistency, priority and
// latency objective of their route to the owner.
func TestRouteReachesOwner(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	c := f.dial("START orders u1")
	c.expect("READY")
	c.send("QUERY a1 READ item")
	c.expect("COMPLETE 7.1f", "READY I")
	b, err := line.UnmarshalPayload(f.executor.last().Messages)
	is.NoErr(err)
	is.Equal(b.Consistency, gypsumyard.ConsistencyPrimary)
	is.Equal(b.RoutePriority, 1)
	is.Equal(b.Objective, 200*time.Millisecond)
}

// Guards against a transaction that is opened on an instance before its first
// statement, and against one that stays open after its session has ended.
func TestTransaction(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	c := f.dial("START orders u1")
	c.expect("READY")
	c.send("QUERY a1 BEGIN")
	c.expect("COMPLETE -", "READY T -")
	is.Equal(len(f.executor.requests), 0)
	c.send("QUERY a2 WRITE item data")
	c.expect("COMPLETE 7.1f", "READY T")
	is.Equal(f.executor.last().Class, gypsumyard.StatementBegin)
	c.send("QUERY a3 COMMIT")
	c.expect("COMPLETE 7.1f", "READY I")
	is.Equal(f.executor.last().Transaction, "t1")
	c.send("QUERY a4 BEGIN READ")
	c.expect("COMPLETE -", "READY T")
	c.send("QUERY a5 READ item")
	c.expect("COMPLETE 7.1f", "READY T")
	is.Equal(f.executor.last().Class, gypsumyard.StatementBeginRead)
	_ = c.conn.Close()
	end := time.Now().Add(2 * time.Second)
	for {
		f.executor.mu.Lock()
		n := len(f.executor.abandoned)
		f.executor.mu.Unlock()
		if n == 1 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the transaction was not abandoned")
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against responses in a failed transaction that break the protocol, and
// against a COMMIT of a failed transaction that reports success.
func TestFailedTransaction(t *testing.T) {
	f := newFixture(t)
	c := f.dial("START orders u1")
	c.expect("READY")
	for _, end := range []string{"ROLLBACK", "COMMIT"} {
		f.executor.reply = ok
		c.send("QUERY a1 BEGIN")
		c.expect("COMPLETE -", "READY T")
		f.executor.reply = func(*gypsumyard.Request, line.Payload) (string, gypsumyard.Result, error) {
			return "", gypsumyard.Result{}, gypsumyard.Errorf(gypsumyard.ClassLoad, "no slot")
		}
		c.send("QUERY a2 READ item")
		c.expect("ERROR ABORTED", "READY E")
		c.send("QUERY a3 READ item")
		c.expect("ERROR MALFORMED", "READY E")
		c.send("QUERY a4 " + end)
		if end == "COMMIT" {
			c.expect("ERROR ABORTED", "READY I")
		} else {
			c.expect("COMPLETE -", "READY I")
		}
	}
}

// Guards against an error code that promises that a write did not run although
// it may have, and against INDOUBT where the write cannot have taken effect.
func TestCodes(t *testing.T) {
	lost := gypsumyard.Errorf(gypsumyard.ClassUnknown, "connection is broken")
	refused := gypsumyard.Errorf(gypsumyard.ClassNotRun, "no primary")
	for _, c := range []struct {
		name, text, code string
		begin            bool
		err              error
	}{
		{"write lost", "WRITE a 1", "INDOUBT", false, lost},
		{"read lost", "READ a", "FAILED", false, lost},
		{"write refused", "WRITE a 1", "BUSY", false, refused},
		{"write lost in a transaction", "WRITE a 1", "ABORTED", true, lost},
		{"read lost in a transaction", "READ a", "ABORTED", true, lost},
		{"commit lost", "COMMIT", "INDOUBT", true, lost},
		{"commit refused", "COMMIT", "ABORTED", true, refused},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.executor.reply = func(*gypsumyard.Request, line.Payload) (string, gypsumyard.Result, error) {
				return "", gypsumyard.Result{}, c.err
			}
			s := f.dial("START orders u1")
			s.expect("READY")
			state := "I"
			if c.begin {
				s.send("QUERY a1 BEGIN")
				s.expect("COMPLETE -", "READY T")
				state = "E"
			}
			if c.text == "COMMIT" {
				state = "I"
			}
			s.send("QUERY a2 " + c.text)
			s.expect("ERROR "+c.code, "READY "+state)
		})
	}
}

// Guards against FAILED, which says that a statement has run, for one whose time is
// over, whatever the host that ran it says about the reason.
func TestTimeoutCodes(t *testing.T) {
	for _, c := range []struct {
		name, text, code string
		begin            bool
		class            gypsumyard.ErrorClass
	}{
		{"read", "READ a", "TIMEOUT", false, gypsumyard.ClassUnknown},
		{"prepared read", "EXECUTE s a", "TIMEOUT", false, gypsumyard.ClassUnknown},
		{"read that did not run", "READ a", "BUSY", false, gypsumyard.ClassNotRun},
		{"write", "WRITE a 1", "INDOUBT", false, gypsumyard.ClassUnknown},
		{"read in a transaction", "READ a", "ABORTED", true, gypsumyard.ClassUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			r := f.lists.desired.Routes["orders"]
			r.StatementTimeout = 20 * time.Millisecond
			f.lists.desired.Routes["orders"] = r
			f.executor.reply = func(r *gypsumyard.Request, _ line.Payload) (string, gypsumyard.Result, error) {
				for f.server.clock.Now().Before(r.Deadline) {
					time.Sleep(time.Millisecond)
				}
				return "", gypsumyard.Result{}, gypsumyard.Errorf(c.class, "time of the statement is over")
			}
			s := f.dial("START orders u1")
			s.expect("READY")
			s.send("QUERY a1 PREPARE s READ q1")
			s.expect("COMPLETE -", "READY I")
			state := "I"
			if c.begin {
				s.send("QUERY a2 BEGIN")
				s.expect("COMPLETE -", "READY T")
				state = "E"
			}
			s.send("QUERY a3 " + c.text)
			s.expect("ERROR "+c.code, "READY "+state)
		})
	}
}

// Guards against malformed input that affects more than its own session.
func TestHostileInput(t *testing.T) {
	f := newFixture(t)
	for _, text := range []string{"QUERY", "QUERY a1", "QUERY - READ a", "NONSENSE", "QUERY a1 READ a\nQUERY a2 WRITE b 1"} {
		c := f.dial("START orders u1")
		c.expect("READY")
		c.send(text)
		c.expect("ERROR MALFORMED")
		c.expectEnd()
	}
	c := f.dial("START orders u1")
	c.expect("READY")
	for _, text := range []string{"AFTER 3.1 READ a", "STATUS", "COMMIT", "ROLLBACK", "READ"} {
		c.send("QUERY a1 " + text)
		c.expect("ERROR MALFORMED", "READY I")
	}
	c.send("QUERY a1 READ a")
	c.expect("COMPLETE", "READY I")
}

// Guards against a drain that interrupts a statement or a transaction, or that
// leaves idle sessions open.
func TestDrain(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	started, proceed := make(chan struct{}), make(chan struct{})
	f.executor.reply = func(r *gypsumyard.Request, b line.Payload) (string, gypsumyard.Result, error) {
		if b.Text == "READ slow" {
			close(started)
			<-proceed
		}
		return ok(r, b)
	}
	idle, busy, open := f.dial("START orders u1"), f.dial("START orders u2"), f.dial("START orders u3")
	idle.expect("READY")
	busy.expect("READY")
	open.expect("READY")
	open.send("QUERY a1 BEGIN")
	open.expect("COMPLETE", "READY T")
	busy.send("QUERY a1 READ slow")
	<-started
	f.server.CloseIdle()
	idle.expectEnd()
	close(proceed)
	busy.expect("COMPLETE", "READY I")
	busy.expectEnd()
	open.send("QUERY a2 WRITE a 1")
	open.expect("COMPLETE", "READY T")
	late := f.dial("START orders u4")
	late.expect("READY")
	late.send("QUERY a1 READ a")
	late.expect("COMPLETE", "READY I")
	f.server.EndTransactions()
	open.expectEnd()
	late.expectEnd()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	is.NoErr(f.server.Drain(ctx))
}

// Guards against a session that stays open in a drain because it was interrupted
// between its look at the state of the drain and its wait for a message.
func TestDrainBeforeWait(t *testing.T) {
	f := newFixture(t)
	started, proceed := make(chan struct{}), make(chan struct{})
	f.executor.reply = func(r *gypsumyard.Request, b line.Payload) (string, gypsumyard.Result, error) {
		close(started)
		<-proceed
		return ok(r, b)
	}
	c := f.dial("START orders u1")
	c.expect("READY")
	c.send("QUERY a1 READ a")
	<-started
	f.server.mu.Lock()
	ss := f.server.openSessions()[0]
	f.server.mu.Unlock()
	ss.mu.Lock()
	close(proceed)
	c.expect("COMPLETE", "READY I")
	time.Sleep(50 * time.Millisecond) // The session is about to wait.
	f.server.mu.Lock()
	f.server.closingIdle = true
	f.server.mu.Unlock()
	ss.interruptLocked(false)
	ss.mu.Unlock()
	c.expectEnd()
}

// Guards against one statement that ends the process, with all sessions on it.
func TestPanicEndsOnlyItsSession(t *testing.T) {
	f := newFixture(t)
	f.executor.mu.Lock()
	f.executor.reply = func(r *gypsumyard.Request, b line.Payload) (string, gypsumyard.Result, error) {
		if b.Text == "READ bad" {
			panic("unexpected")
		}
		return ok(r, b)
	}
	f.executor.mu.Unlock()
	other := f.dial("START orders u1")
	other.expect("READY I")
	for range 3 {
		c := f.dial("START orders u2")
		c.expect("READY I")
		c.send("QUERY q1 READ bad")
		_ = c.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		if l, err := c.in.ReadString('\n'); err != io.EOF {
			t.Errorf("answer %q, %v", l, err)
		}
		other.send("QUERY q2 READ good")
		other.expect("COMPLETE", "READY I")
	}
}

// Guards against a host that ends with a panic because it could not listen.
func TestStopAfterFailedStart(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	s := New(f.server.Addr(), WithLogger(f.server.log)) // The address is in use.
	k, err := kernel.New(&executor{Stub: kerneltest.New("dispatch")}, &lists{Stub: kerneltest.New("lists")}, members{Stub: kerneltest.New("members")}, s)
	is.NoErr(err)
	is.True(k.Start(t.Context()) != nil)
	is.Equal(s.Addr(), f.server.Addr())
	is.NoErr(s.Drain(t.Context()))
	is.NoErr(s.Stop(t.Context()))
	<-s.Done()
}
