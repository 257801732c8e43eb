package linecaller

import (
	"strings"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/line"
	"github.com/matryer/is"
)

const (
	testKey       = "key-of-mill"
	revokeTimeout = time.Minute
)

// keyed returns the desired state of the number with the given keys. The route "orders"
// is keyed and "logs" is open.
func (f *fixture) keyed(number int64, keys map[string]string) *gypsumyard.DesiredState {
	routes := map[string]gypsumyard.Route{}
	for name, r := range f.lists.desired.Routes {
		r.Open = name == "logs"
		routes[name] = r
	}
	d := &gypsumyard.DesiredState{Number: number, Routes: routes, Keyed: true, Keys: map[gypsumyard.KeyHash]string{}}
	for k, customer := range keys {
		d.Keys[gypsumyard.HashKey(k)] = customer
	}
	return d
}

// set puts a desired state in force.
func (f *fixture) set(number int64, keys map[string]string) {
	f.lists.replaced.Store(f.keyed(number, keys))
}

// prove sets how old the proof of the desired state is.
func (f *fixture) prove(age time.Duration) {
	at := f.server.clock.Now().Add(-age)
	f.lists.proven.Store(&at)
}

// lastPayload returns the payload of the last request that reached an owner.
func (f *fixture) lastPayload() line.Payload {
	p, err := line.UnmarshalPayload(f.executor.last().Messages)
	if err != nil {
		f.Error(err)
	}
	return p
}

// abandoned returns how many transactions the sessions have abandoned.
func (f *fixture) abandoned() int {
	f.executor.mu.Lock()
	defer f.executor.mu.Unlock()
	return len(f.executor.abandoned)
}

// sent returns how many requests have reached owners.
func (f *fixture) sent() int {
	f.executor.mu.Lock()
	defer f.executor.mu.Unlock()
	return len(f.executor.requests)
}

// awaitAbandoned waits until one transaction has been abandoned.
func (f *fixture) awaitAbandoned() {
	f.Helper()
	for end := time.Now().Add(2 * time.Second); f.abandoned() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			f.Fatal("the transaction was not rolled back")
		}
	}
}

// Guards against a session without a valid key on a keyed route, and against one that is
// turned away, or taken for a customer's, on an open route.
func TestKeyAtStart(t *testing.T) {
	keys := map[string]string{testKey: "mill"}
	for _, c := range []struct {
		name, start, customer string
		denied                bool
	}{
		{"known key", "START orders " + testKey, "mill", false},
		{"known key and more", "START orders " + testKey + " and more", "mill", false},
		{"unknown key", "START orders other", "", true},
		{"no key", "START orders", "", true},
		{"empty key", "START orders ", "", true},
		{"key of another case", "START orders " + strings.ToUpper(testKey), "", true},
		{"open route, known key", "START logs " + testKey, "mill", false},
		{"open route, unknown key", "START logs other", "", false},
		{"open route, no key", "START logs", "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			f.set(7, keys)
			s := f.dial(c.start)
			if c.denied {
				s.expect("ERROR DENIED")
				s.expectEnd()
				return
			}
			s.expect("READY I -")
			s.send("QUERY a1 READ a")
			s.expect("COMPLETE", "READY I")
			p := f.lastPayload()
			is.Equal(p.KeyHolder, c.customer)
			is.Equal(!p.Key.IsZero(), c.customer != "")
			is.Equal(p.StateNumber != 0, c.customer != "")
			if c.customer != "" {
				is.Equal(p.Key, gypsumyard.HashKey(testKey))
				is.Equal(p.StateNumber, int64(7))
			}
		})
	}
}

// Pattern: a key is withdrawn while its session is idle, in a transaction, in a failed
// one, or between PREPARE and EXECUTE.
//
// Guards against statements of a withdrawn key that reach an owner, a transaction of it
// that stays open, and a session that goes on.
func TestKeyWithdrawn(t *testing.T) {
	for _, c := range []struct {
		name, text string
		before     []string
		rollsBack  bool
	}{
		{"idle", "READ a", nil, false},
		{"local statement", "SET zone north", nil, false},
		{"malformed statement", "NONSENSE", nil, false},
		{"in a transaction", "READ a", []string{"BEGIN", "WRITE a 1"}, true},
		{"at the commit", "COMMIT", []string{"BEGIN", "WRITE a 1"}, true},
		{"in a transaction that has not begun at an instance", "READ a", []string{"BEGIN"}, false},
		{"in a failed transaction", "ROLLBACK", []string{"BEGIN", "NONSENSE"}, false},
		{"between prepare and execute", "EXECUTE s a", []string{"PREPARE s READ q1"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			f.set(7, map[string]string{testKey: "mill", "other": "other"})
			s := f.dial("START orders " + testKey)
			s.expect("READY")
			for _, text := range c.before {
				s.send("QUERY a1 " + text)
				if text == "NONSENSE" {
					s.expect("ERROR", "READY E")
				} else {
					s.expect("COMPLETE", "READY")
				}
			}
			f.set(8, map[string]string{"other": "other"})
			before := f.sent()
			s.send("QUERY a2 " + c.text)
			s.expect("ERROR DENIED", "READY I")
			s.expectEnd()
			is.Equal(f.sent(), before)
			if c.rollsBack {
				f.awaitAbandoned()
			}
			is.Equal(f.abandoned() > 0, c.rollsBack)
		})
	}
}

// Guards against an open route that turns a caller away because its key was withdrawn or
// moved, and against a transaction that goes on for another customer than it began for.
func TestKeyChangesOnOpenRoute(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.set(7, map[string]string{testKey: "mill"})
	s := f.dial("START logs " + testKey)
	s.expect("READY")
	run := func(text string, want ...string) {
		t.Helper()
		s.send("QUERY a1 " + text)
		s.expect(want...)
	}
	run("READ a", "COMPLETE", "READY I")
	is.Equal(f.lastPayload().KeyHolder, "mill")
	f.set(8, map[string]string{testKey: "dairy"})
	run("READ a", "COMPLETE", "READY I")
	is.Equal(f.lastPayload().KeyHolder, "dairy")
	run("BEGIN", "COMPLETE", "READY T")
	f.set(9, map[string]string{testKey: "mill"}) // The transaction has not begun at an instance.
	run("READ a", "COMPLETE", "READY T")
	is.Equal(f.lastPayload().KeyHolder, "mill")
	f.set(10, nil)
	run("READ a", "ERROR ABORTED", "READY E")
	f.awaitAbandoned()
	run("ROLLBACK", "COMPLETE", "READY I")
	run("BEGIN", "COMPLETE", "READY T")
	run("WRITE a 1", "COMPLETE", "READY T")
	is.Equal(f.lastPayload().KeyHolder, "")
	f.set(11, map[string]string{testKey: "mill"}) // What began anonymously may end so.
	run("COMMIT", "COMPLETE", "READY I")
	is.Equal(f.lastPayload().KeyHolder, "")
	run("BEGIN", "COMPLETE", "READY T")
	run("WRITE a 1", "COMPLETE", "READY T")
	f.set(12, map[string]string{testKey: "dairy"})
	run("COMMIT", "ERROR ABORTED", "READY I")
}

// Guards against an anonymous session that goes on when its route is closed, or when the
// deployment gets customers.
func TestRouteIsClosed(t *testing.T) {
	f := newFixture(t)
	f.set(7, nil)
	open := f.dial("START logs")
	open.expect("READY")
	open.send("QUERY a1 BEGIN")
	open.expect("COMPLETE", "READY T")
	open.send("QUERY a2 WRITE a 1")
	open.expect("COMPLETE", "READY T")
	d := f.keyed(8, nil)
	r := d.Routes["logs"]
	r.Open = false
	d.Routes["logs"] = r
	f.lists.replaced.Store(d)
	open.send("QUERY a3 COMMIT")
	open.expect("ERROR DENIED", "READY I")
	open.expectEnd()
	f.awaitAbandoned()

	f = newFixture(t)
	early := f.dial("START orders u1")
	early.expect("READY")
	early.send("QUERY a1 READ a")
	early.expect("COMPLETE", "READY I")
	f.set(8, nil)
	early.send("QUERY a2 READ a")
	early.expect("ERROR DENIED", "READY I")
	early.expectEnd()
}

// Pattern: the host is cut off from the store and its peers for a time.
//
// Guards against statements that run although their key may have been withdrawn, a
// transaction that stays open, and open routes or ends of transactions that are refused.
func TestNoProof(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, WithRevokeTimeout(revokeTimeout))
	f.set(7, map[string]string{testKey: "mill"})
	f.prove(revokeTimeout / 2)
	s, tx, last, open := f.dial("START orders "+testKey), f.dial("START orders "+testKey), f.dial("START orders "+testKey), f.dial("START logs "+testKey)
	for _, c := range []*caller{s, tx, last, open} {
		c.expect("READY")
		c.send("QUERY a1 READ a")
		c.expect("COMPLETE", "READY I")
		is.Equal(f.lastPayload().KeyHolder, "mill")
	}
	for _, c := range []*caller{tx, last} {
		c.send("QUERY a2 BEGIN")
		c.expect("COMPLETE", "READY T")
		c.send("QUERY a3 WRITE a 1")
		c.expect("COMPLETE", "READY T")
	}
	f.prove(revokeTimeout + time.Millisecond)
	before := f.sent()
	for _, text := range []string{"READ a", "BEGIN", "SET zone north"} {
		s.send("QUERY a4 " + text)
		s.expect("ERROR BUSY", "READY I")
	}
	tx.send("QUERY a4 WRITE a 2")
	tx.expect("ERROR BUSY", "READY E")
	f.awaitAbandoned()
	tx.send("QUERY a5 ROLLBACK")
	tx.expect("COMPLETE", "READY I")
	last.send("QUERY a4 COMMIT")
	last.expect("ERROR BUSY", "READY I")
	is.Equal(f.sent(), before)
	late := f.dial("START orders " + testKey)
	late.expect("ERROR BUSY")
	late.expectEnd()
	unknown := f.dial("START orders other") // It may be new.
	unknown.expect("ERROR BUSY")
	open.send("QUERY a4 READ a")
	open.expect("COMPLETE", "READY I")
	is.Equal(f.lastPayload().KeyHolder, "")
	f.prove(0)
	for _, c := range []*caller{s, tx, last, open} {
		c.send("QUERY a6 READ a")
		c.expect("COMPLETE", "READY I")
		is.Equal(f.lastPayload().KeyHolder, "mill")
	}
	f.set(8, nil)
	s.send("QUERY a7 READ a")
	s.expect("ERROR DENIED", "READY I")
}

// Guards against a host that was never told how current its copy is and accepts keys, and
// against one without customers that asks for a proof.
func TestProofWithoutCustomers(t *testing.T) {
	f := newFixture(t, WithRevokeTimeout(revokeTimeout))
	c := f.dial("START orders u1")
	c.expect("READY")
	c.send("QUERY a1 READ a")
	c.expect("COMPLETE", "READY I")
	f.set(7, map[string]string{"u1": "mill"})
	c.send("QUERY a2 READ a")
	c.expect("ERROR BUSY", "READY I")
}

// Guards against an owner's rejection that is answered as anything but DENIED, and
// against a session that ends although its key is still valid.
func TestOwnerRejectsKey(t *testing.T) {
	rejected := gypsumyard.Errorf(gypsumyard.ClassAuth, "no such key")
	moved := &gypsumyard.Error{Class: gypsumyard.ClassAuth, Message: "moved", RetryAfter: time.Second}
	for _, c := range []struct {
		name  string
		begin bool
		text  string
		err   error
		want  []string
		ends  bool
	}{
		{"withdrawn", false, "WRITE a 1", rejected, []string{"ERROR DENIED", "READY I"}, true},
		{"withdrawn in a transaction", true, "READ a", rejected, []string{"ERROR DENIED", "READY I"}, true},
		{"withdrawn at a commit", true, "COMMIT", rejected, []string{"ERROR DENIED", "READY I"}, true},
		{"moved", false, "WRITE a 1", moved, []string{"ERROR BUSY", "READY I"}, false},
		{"moved in a transaction", true, "READ a", moved, []string{"ERROR ABORTED", "READY E"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.set(7, map[string]string{testKey: "mill"})
			s := f.dial("START orders " + testKey)
			s.expect("READY")
			if c.begin {
				s.send("QUERY a1 BEGIN")
				s.expect("COMPLETE", "READY T")
				s.send("QUERY a2 WRITE a 1")
				s.expect("COMPLETE", "READY T")
			}
			f.executor.mu.Lock()
			f.executor.reply = func(*gypsumyard.Request, line.Payload) (string, gypsumyard.Result, error) {
				return "", gypsumyard.Result{}, c.err
			}
			f.executor.mu.Unlock()
			s.send("QUERY a3 " + c.text)
			s.expect(c.want...)
			if c.begin {
				f.awaitAbandoned()
			}
			if c.ends {
				s.expectEnd()
				return
			}
			f.executor.mu.Lock()
			f.executor.reply = ok
			f.executor.mu.Unlock()
			s.send("QUERY a4 ROLLBACK")
			s.expect("", "READY I")
		})
	}
}

// Pattern: a key is withdrawn while a statement of it waits at the owner and another one is
// queued behind it on the session.
//
// Guards against the second one, which is read after the withdrawal, and against an answer
// of the first that is lost.
func TestKeyWithdrawnInQueue(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.set(7, map[string]string{testKey: "mill"})
	waits, proceed := make(chan struct{}), make(chan struct{})
	f.executor.reply = func(r *gypsumyard.Request, p line.Payload) (string, gypsumyard.Result, error) {
		close(waits)
		<-proceed
		return ok(r, p)
	}
	c := f.dial("START orders " + testKey)
	c.expect("READY")
	c.send("QUERY a1 WRITE a 1\r\nQUERY a2 WRITE a 2")
	<-waits
	f.set(8, nil)
	close(proceed)
	c.expect("COMPLETE", "READY I", "ERROR DENIED", "READY I")
	c.expectEnd()
	is.Equal(f.sent(), 1)
}
