package peer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/matryer/is"
)

// Guards against a field of the request or the result that is not transferred.
func TestExecuteCarriesAllFields(t *testing.T) {
	is := is.New(t)
	var got gypsumyard.Request
	want := gypsumyard.Result{Position: gypsumyard.Position{Term: 3, Offset: 9}, TxStatus: 'T', Transaction: "tx", Owner: "b", Instance: "i"}
	o := newFakeOwner(func(_ context.Context, r *gypsumyard.Request, sink gypsumyard.ResponseSink) (gypsumyard.Result, error) {
		got = *r
		_, err := sink.Write([]byte("answer"))
		return want, err
	})
	_, b := startHost(t, "b", o)
	a, _ := startHost(t, "a")
	r := gypsumyard.Request{
		Session: "s", Customer: "c", Login: "l", Database: "d", Class: gypsumyard.StatementBegin,
		Messages: bytes.Repeat([]byte("m"), 100_000), Shape: 7, Repeatable: true, Priority: true, Long: true,
		MaxStaleness: time.Second, Position: gypsumyard.Position{Term: 1, Offset: 2}, PositionKnown: true, DesiredNumber: 21,
		Settings: []gypsumyard.Setting{{Name: "n", Value: "v"}}, Transaction: "t", Owner: "b",
		Deadline: time.Now().Add(time.Minute),
	}
	var sink bytes.Buffer
	res, err := a.Executor(b).Execute(t.Context(), &r, &sink)
	is.NoErr(err)
	is.Equal(res, want)
	is.Equal(sink.String(), "answer")
	d := got.Deadline.Sub(r.Deadline)
	is.True(d > -time.Second && d < time.Second)
	got.Deadline = r.Deadline
	is.Equal(got, r)
}

// Guards against a field of an error that is not transferred, and against a
// partial answer that is delivered together with the error.
func TestExecuteCarriesErrors(t *testing.T) {
	is := is.New(t)
	want := &gypsumyard.Error{Class: gypsumyard.ClassLoad, State: "53300", Message: "full", RetryAfter: time.Second, NoRetry: true, Err: gypsumyard.ErrFenced}
	o := newFakeOwner(func(_ context.Context, _ *gypsumyard.Request, sink gypsumyard.ResponseSink) (gypsumyard.Result, error) {
		_, _ = sink.Write([]byte("part"))
		return gypsumyard.Result{TxStatus: 'E', Transaction: "tx"}, want
	})
	_, b := startHost(t, "b", o)
	a, _ := startHost(t, "a")
	var sink bytes.Buffer
	res, err := a.Executor(b).Execute(t.Context(), &gypsumyard.Request{}, &sink)
	is.Equal(err, error(want))
	is.Equal(res, gypsumyard.Result{TxStatus: 'E', Transaction: "tx"})
	is.Equal(sink.Len(), 0)
	is.Equal(gypsumyard.ClassOf(a.Executor(b).CancelStatement(t.Context(), &gypsumyard.Request{})), gypsumyard.ClassNotSupported)
}

// Guards against answers that reach the wrong caller, lose bytes or are
// reordered when answers interleave, arrive late or are canceled.
func TestMultiplexing(t *testing.T) {
	o := newFakeOwner(func(_ context.Context, r *gypsumyard.Request, sink gypsumyard.ResponseSink) (gypsumyard.Result, error) {
		var n int
		if _, err := fmt.Sscan(string(r.Messages), &n); err != nil {
			return gypsumyard.Result{}, err
		}
		for i := 0; i < n; i += 1000 {
			if _, err := sink.Write(bytes.Repeat([]byte{byte(n), byte(i / 1000)}, min(1000, n-i))); err != nil {
				return gypsumyard.Result{}, gypsumyard.Errorf(gypsumyard.ClassUnknown, "sink: %w", err)
			}
			if i%50_000 == 0 {
				time.Sleep(time.Duration(rand.IntN(3)) * time.Millisecond)
			}
		}
		return gypsumyard.Result{Instance: string(r.Messages)}, nil
	})
	_, b := startHost(t, "b", o)
	a, _ := startHost(t, "a")
	var wg sync.WaitGroup
	for g := range 200 {
		wg.Go(func() {
			n := []int{1, 900, 16_383, 16_385, 40_000, 700_000}[g%6] + g
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if g%7 == 0 {
				time.AfterFunc(time.Duration(g%5)*time.Millisecond, cancel)
			}
			var sink, want bytes.Buffer
			text := fmt.Sprint(n)
			res, err := a.Executor(b).Execute(ctx, &gypsumyard.Request{Messages: []byte(text)}, &sink)
			for i := 0; i < n; i += 1000 {
				want.Write(bytes.Repeat([]byte{byte(n), byte(i / 1000)}, min(1000, n-i)))
			}
			switch {
			case g%7 == 0 && err != nil:
				if !bytes.HasPrefix(want.Bytes(), sink.Bytes()) {
					t.Errorf("request %s: wrong part of the answer", text)
				}
			case err != nil:
				t.Errorf("request %s: %v", text, err)
			case res.Instance != text || !bytes.Equal(sink.Bytes(), want.Bytes()):
				t.Errorf("request %s: answer of %d bytes to %q", text, sink.Len(), res.Instance)
			}
		})
	}
	wg.Wait()
	links, _, _, _ := a.snapshot()
	for _, l := range links {
		eventually(t, "all places are free", func() bool {
			l.mu.Lock()
			defer l.mu.Unlock()
			return len(l.calls)+l.callCount+l.requestBytes+l.reservedWindow == 0
		})
	}
}

type blockedSink struct{ release chan struct{} }

func (s blockedSink) Write(b []byte) (int, error) { <-s.release; return len(b), nil }

// Guards against a slow reader that delays other requests or makes the owner
// buffer more than the window.
func TestSlowReaderStallsOnlyItself(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	written := 0
	o := newFakeOwner(func(_ context.Context, r *gypsumyard.Request, sink gypsumyard.ResponseSink) (gypsumyard.Result, error) {
		for range 100 {
			if _, err := sink.Write(make([]byte, 10_000)); err != nil {
				return gypsumyard.Result{}, err
			}
			if string(r.Messages) == "slow" {
				mu.Lock()
				written += 10_000
				mu.Unlock()
			}
		}
		return gypsumyard.Result{}, nil
	})
	_, b := startHost(t, "b", o)
	a, _ := startHost(t, "a")
	stuck := blockedSink{make(chan struct{})}
	slow := make(chan error)
	go func() {
		_, err := a.Executor(b).Execute(t.Context(), &gypsumyard.Request{Messages: []byte("slow")}, stuck)
		slow <- err
	}()
	for range 20 {
		var sink bytes.Buffer
		_, err := a.Executor(b).Execute(t.Context(), &gypsumyard.Request{Messages: []byte("fast")}, &sink)
		is.NoErr(err)
		is.Equal(sink.Len(), 1_000_000)
	}
	mu.Lock()
	is.True(written <= windowBytes) // the owner is blocked by flow control
	mu.Unlock()
	close(stuck.release)
	is.NoErr(<-slow)
}

// Guards against a broken connection that is reported with the wrong error class.
func TestBrokenStreamClasses(t *testing.T) {
	is := is.New(t)
	running := make(chan struct{}, 1)
	o := newFakeOwner(func(ctx context.Context, _ *gypsumyard.Request, _ gypsumyard.ResponseSink) (gypsumyard.Result, error) {
		running <- struct{}{}
		<-ctx.Done()
		return gypsumyard.Result{}, gypsumyard.Errorf(gypsumyard.ClassUnknown, "cancelled")
	})
	_, b := startHost(t, "b", o)
	p := startProxy(t, b.Addr)
	a, _ := startHost(t, "a")
	via := gypsumyard.Host{Name: "b", Addr: p.addr()}
	go func() {
		<-running
		p.closeConns()
	}()
	_, err := a.Executor(via).Execute(t.Context(), &gypsumyard.Request{}, discardSink{})
	is.Equal(gypsumyard.ClassOf(err), gypsumyard.ClassUnknown)
	_ = p.listener.Close()
	_, err = a.Executor(via).Execute(t.Context(), &gypsumyard.Request{}, discardSink{})
	is.Equal(gypsumyard.ClassOf(err), gypsumyard.ClassNotRun)
}

// Guards against requests that hang on a connection that was lost without being
// closed, whether it was lost during the request or while it was idle before.
func TestSilentConnectionIsReplaced(t *testing.T) {
	for name, dial := range testDialers {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			block := make(chan struct{}, 1)
			o := newFakeOwner(func(ctx context.Context, r *gypsumyard.Request, _ gypsumyard.ResponseSink) (gypsumyard.Result, error) {
				if string(r.Messages) == "block" {
					block <- struct{}{}
					<-ctx.Done()
				}
				return gypsumyard.Result{}, nil
			})
			_, b := startHost(t, "b", o)
			p := startProxy(t, b.Addr)
			a, _ := startHost(t, "a")
			a.dialer = dial
			e := a.Executor(gypsumyard.Host{Name: "b", Addr: p.addr()})
			go func() {
				<-block
				p.stall()
			}()
			_, err := e.Execute(t.Context(), &gypsumyard.Request{Messages: []byte("block")}, discardSink{})
			is.Equal(gypsumyard.ClassOf(err), gypsumyard.ClassUnknown)
			is.True(errors.Is(err, errKeepaliveTimeout))
			_, err = e.Execute(t.Context(), &gypsumyard.Request{}, discardSink{})
			is.NoErr(err)
			p.stall()
			time.Sleep(keepaliveTimeout + 100*time.Millisecond)
			_, err = e.Execute(t.Context(), &gypsumyard.Request{}, discardSink{})
			is.NoErr(err)
			p.checkDials(t, 6) // three links of two connections
		})
	}
}

// Guards against transactions and requests that survive the loss of their entry
// host.
func TestEntryDeathAbandonsTransactions(t *testing.T) {
	for _, how := range []string{"break", "silence"} {
		t.Run(how, func(t *testing.T) {
			is := is.New(t)
			ended := make(chan error, 1)
			o := newFakeOwner(func(ctx context.Context, r *gypsumyard.Request, _ gypsumyard.ResponseSink) (gypsumyard.Result, error) {
				switch r.Session {
				case "open":
					return gypsumyard.Result{TxStatus: 'T', Transaction: "tx-open"}, nil
				case "running":
					<-ctx.Done()
					ended <- context.Cause(ctx)
					return gypsumyard.Result{TxStatus: 'T', Transaction: "tx-late"}, nil
				}
				return gypsumyard.Result{TxStatus: 'I'}, nil
			})
			_, b := startHost(t, "b", o)
			p := startProxy(t, b.Addr)
			a, _ := startHost(t, "a")
			e := a.Executor(gypsumyard.Host{Name: "b", Addr: p.addr()})
			_, err := e.Execute(t.Context(), &gypsumyard.Request{Session: "closed", Transaction: "tx-closed"}, discardSink{})
			is.NoErr(err)
			_, err = e.Execute(t.Context(), &gypsumyard.Request{Session: "open"}, discardSink{})
			is.NoErr(err)
			go func() { _, _ = e.Execute(t.Context(), &gypsumyard.Request{Session: "running"}, discardSink{}) }()
			time.Sleep(50 * time.Millisecond)
			if how == "break" {
				p.closeConns()
			} else {
				p.stall()
			}
			is.True(errors.Is(<-ended, errEntryLinkBroken))
			eventually(t, "both transactions abandoned", func() bool { return len(o.abandonedTransactions()) == 2 })
		})
	}
}

// Guards against a transaction that stays open because its caller gave up the
// request that opened it, whether its final message arrives within cancelGrace or
// later.
func TestLostTransactionIsAbandoned(t *testing.T) {
	for _, late := range []time.Duration{0, 2 * cancelGrace} {
		is := is.New(t)
		running := make(chan struct{}, 1)
		o := newFakeOwner(func(ctx context.Context, _ *gypsumyard.Request, _ gypsumyard.ResponseSink) (gypsumyard.Result, error) {
			running <- struct{}{}
			<-ctx.Done()
			time.Sleep(late)
			return gypsumyard.Result{TxStatus: 'T', Transaction: "tx", Owner: "b"}, nil
		})
		_, b := startHost(t, "b", o)
		a, _ := startHost(t, "a")
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			<-running
			cancel()
		}()
		_, err := a.Executor(b).Execute(ctx, &gypsumyard.Request{Session: "s"}, discardSink{})
		is.Equal(gypsumyard.ClassOf(err), gypsumyard.ClassUnknown)
		eventually(t, "transaction abandoned", func() bool { return len(o.abandonedTransactions()) == 1 })
	}
}

// Guards against a withdrawn request that runs, and against a request that was
// not sent but is reported as ClassUnknown.
func TestWithdrawnBeforeSent(t *testing.T) {
	is := is.New(t)
	o := newFakeOwner(func(context.Context, *gypsumyard.Request, gypsumyard.ResponseSink) (gypsumyard.Result, error) {
		t.Error("a withdrawn request ran")
		return gypsumyard.Result{}, nil
	})
	_, b := startHost(t, "b", o)
	a, _ := startHost(t, "a")
	l, err := a.remote(b).connect(t.Context())
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	release := make(chan struct{})
	l.short.data <- queuedFrame{beforeWrite: func() bool { <-release; return false }} // blocks the writer
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err = a.Executor(b).Execute(ctx, &gypsumyard.Request{Messages: make([]byte, 3*partBytes)}, discardSink{})
	is.Equal(gypsumyard.ClassOf(err), gypsumyard.ClassNotRun)
	close(release)
	l.mu.Lock()
	is.Equal(l.callCount+l.requestBytes+l.reservedWindow, 0)
	l.mu.Unlock()
}

// Guards against goroutines that are leaked when their link ends.
func TestGoroutinesEnd(t *testing.T) {
	is := is.New(t)
	o := newFakeOwner(func(context.Context, *gypsumyard.Request, gypsumyard.ResponseSink) (gypsumyard.Result, error) {
		return gypsumyard.Result{}, nil
	})
	_, b := startHost(t, "b", o)
	p := startProxy(t, b.Addr)
	a, _ := startHost(t, "a")
	via := gypsumyard.Host{Name: "b", Addr: p.addr()}
	before := runtime.NumGoroutine()
	for range 20 {
		_, err := a.Executor(via).Execute(t.Context(), &gypsumyard.Request{}, discardSink{})
		is.NoErr(err)
		is.True(a.ReleaseDatabase(t.Context(), via, "db") == nil)
		p.closeConns()
		eventually(t, "links are gone", func() bool {
			links, gossips, _, _ := a.snapshot()
			return len(links)+len(gossips) == 0
		})
	}
	eventually(t, "goroutines are gone", func() bool { return runtime.NumGoroutine() <= before })
}
