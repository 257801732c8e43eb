package dispatch_test

import (
	"bytes"
	"context"
	"io"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/dispatch"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

// stubService is a kernel service that does nothing.
type stubService struct {
	name string
	done chan struct{}
}

func (b stubService) Name() string                                { return b.name }
func (b stubService) Needs() []string                             { return nil }
func (b stubService) Start(context.Context, *kernel.Kernel) error { return nil }
func (b stubService) Stop(context.Context) error                  { close(b.done); return nil }
func (b stubService) Done() <-chan struct{}                       { return b.done }

// members is a scripted membership view: each call of Owner takes the next entry of
// owners.
type members struct {
	stubService
	owners []string
	hosts  []gypsumyard.Host
}

func (m *members) Self() gypsumyard.Host    { return gypsumyard.Host{Name: "self"} }
func (m *members) Hosts() []gypsumyard.Host { return m.hosts }
func (m *members) Changes() <-chan struct{} { return nil }

func (m *members) Owner(string) (gypsumyard.Host, bool) {
	o := m.owners[0]
	if len(m.owners) > 1 {
		m.owners = m.owners[1:]
	}
	return gypsumyard.Host{Name: o}, o != ""
}

// fakePeers runs requests with scripted results: each attempt takes the next
// outcome.
type fakePeers struct {
	stubService
	tried    []string
	outcomes []error
	write    string
}

type fakeHost struct {
	*fakePeers
	name string
}

func (h *fakePeers) Executor(host gypsumyard.Host) gypsumyard.Executor { return fakeHost{h, host.Name} }

func (h *fakePeers) Connected(gypsumyard.Host) bool { return true }

func (h *fakePeers) Connect(context.Context, gypsumyard.Host) error { return nil }

func (a fakeHost) Execute(_ context.Context, _ *gypsumyard.Request, sink gypsumyard.ResponseSink) (gypsumyard.Result, error) {
	a.tried = append(a.tried, a.name)
	_, _ = io.WriteString(sink, a.write)
	err := a.outcomes[0]
	if len(a.outcomes) > 1 {
		a.outcomes = a.outcomes[1:]
	}
	return gypsumyard.Result{Owner: a.name}, err
}

func (a fakeHost) Abandon(context.Context, *gypsumyard.Request) error         { return nil }
func (a fakeHost) CancelStatement(context.Context, *gypsumyard.Request) error { return nil }

// localOwner is the service "owner" of this host.
type localOwner struct {
	stubService
	run fakeHost
}

func (l localOwner) Execute(ctx context.Context, r *gypsumyard.Request, sink gypsumyard.ResponseSink) (gypsumyard.Result, error) {
	return l.run.Execute(ctx, r, sink)
}

func (l localOwner) Abandon(context.Context, *gypsumyard.Request) error         { return nil }
func (l localOwner) CancelStatement(context.Context, *gypsumyard.Request) error { return nil }
func (l localOwner) AcceptRelease(string, string)                               {}

func (l localOwner) ProbeInstance(context.Context, string, string) (gypsumyard.InstanceStatus, error) {
	return gypsumyard.InstanceStatus{}, nil
}

// Guards against a write that is sent twice, against a retry of a request that ran,
// and against a refused request that is not retried at the new owner.
func TestRetries(t *testing.T) {
	fail := func(c gypsumyard.ErrorClass) error { return gypsumyard.Errorf(c, "scripted") }
	read := gypsumyard.Request{Class: gypsumyard.StatementRead, Repeatable: true}
	write := gypsumyard.Request{Class: gypsumyard.StatementWrite, Repeatable: true}
	once := gypsumyard.Request{Class: gypsumyard.StatementRead}
	inTx := gypsumyard.Request{Class: gypsumyard.StatementRead, Repeatable: true, Transaction: "tx", Owner: "b"}
	goneTx := gypsumyard.Request{Transaction: "tx", Owner: "gone"}
	tests := []struct {
		name     string
		request  gypsumyard.Request
		owners   []string
		outcomes []error
		write    string
		tried    string
		class    gypsumyard.ErrorClass
	}{
		{"local", write, []string{"self"}, []error{nil}, "x", "self", ""},
		{"not owner", write, []string{"a", "b"}, []error{fail(gypsumyard.ClassNotOwner), nil}, "", "ab", ""},
		{"draining", write, []string{"a", "b"}, []error{fail(gypsumyard.ClassShutdown), nil}, "", "ab", ""},
		{"not run", write, []string{"a", "a"}, []error{fail(gypsumyard.ClassNotRun), nil}, "", "aa", ""},
		{"unknown write", write, []string{"a"}, []error{fail(gypsumyard.ClassUnknown), nil}, "", "a", gypsumyard.ClassUnknown},
		{"unclassified write", write, []string{"a"}, []error{io.EOF, nil}, "", "a", gypsumyard.ClassUnknown},
		{"unknown read", read, []string{"a"}, []error{fail(gypsumyard.ClassUnknown), nil}, "", "aa", ""},
		{"unknown read, once", once, []string{"a"}, []error{fail(gypsumyard.ClassUnknown), nil}, "", "a", gypsumyard.ClassUnknown},
		{"delivered read", read, []string{"a"}, []error{fail(gypsumyard.ClassUnknown), nil}, "x", "a", gypsumyard.ClassUnknown},
		{"unknown in transaction", inTx, []string{"a"}, []error{fail(gypsumyard.ClassUnknown), nil}, "", "b", gypsumyard.ClassUnknown},
		{"not owner in transaction", inTx, []string{"a"}, []error{fail(gypsumyard.ClassNotOwner), nil}, "", "b", gypsumyard.ClassNotRun},
		{"no retry", read, []string{"a"}, []error{&gypsumyard.Error{Class: gypsumyard.ClassNotRun, RetryAfter: time.Second, NoRetry: true}, nil}, "", "a", gypsumyard.ClassNotRun},
		{"over the limit", read, []string{"a"}, []error{&gypsumyard.Error{Class: gypsumyard.ClassPlan, RetryAfter: time.Second, NoRetry: true}, nil}, "", "a", gypsumyard.ClassPlan},
		{"load", write, []string{"a"}, []error{fail(gypsumyard.ClassLoad), nil}, "", "a", gypsumyard.ClassLoad},
		{"plan", write, []string{"a"}, []error{fail(gypsumyard.ClassPlan), nil}, "", "a", gypsumyard.ClassPlan},
		{"unknown read, then refused", read, []string{"a"}, []error{fail(gypsumyard.ClassUnknown), fail(gypsumyard.ClassLoad)}, "", "aa", gypsumyard.ClassUnknown},
		{"unknown read, then no owner", read, []string{"a", ""}, []error{fail(gypsumyard.ClassUnknown)}, "", "a", gypsumyard.ClassUnknown},
		{"key withdrawn before the retry", write, []string{"a", "b"}, []error{fail(gypsumyard.ClassNotRun), fail(gypsumyard.ClassAuth), nil}, "", "ab", gypsumyard.ClassAuth},
		{"unknown read, then key withdrawn", read, []string{"a"}, []error{fail(gypsumyard.ClassUnknown), fail(gypsumyard.ClassAuth), nil}, "", "aa", gypsumyard.ClassUnknown},
		{"late owner", write, []string{"", "", "a"}, []error{nil}, "", "a", ""},
		{"no owner", write, []string{""}, []error{nil}, "", "", gypsumyard.ClassNotRun},
		{"holder gone", goneTx, []string{"a"}, []error{nil}, "", "", gypsumyard.ClassNotRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m := &members{stubService{"members", make(chan struct{})}, tt.owners, []gypsumyard.Host{{Name: "a"}, {Name: "b"}}}
			h := &fakePeers{stubService: stubService{"peer", make(chan struct{})}, outcomes: tt.outcomes, write: tt.write}
			o := localOwner{stubService{"owner", make(chan struct{})}, fakeHost{h, "self"}}
			log := logrus.New()
			log.SetOutput(io.Discard)
			s := dispatch.New(dispatch.WithLogger(log))
			k, err := kernel.New(m, h, o, s)
			is.NoErr(err)
			is.NoErr(k.Start(t.Context()))
			defer func() { is.NoErr(k.Stop(context.Background())) }()
			tt.request.Deadline = time.Now().Add(300 * time.Millisecond)
			var sink bytes.Buffer
			_, err = s.Execute(t.Context(), &tt.request, &sink)
			tried := ""
			for _, n := range h.tried {
				tried += n
			}
			is.Equal(tried, tt.tried)
			is.Equal(sink.String(), tt.write)
			if tt.class == "" {
				is.NoErr(err)
				return
			}
			is.True(err != nil)
			is.Equal(gypsumyard.ClassOf(err), tt.class)
			if e, ok := err.(*gypsumyard.Error); ok && e.Class == gypsumyard.ClassNotRun {
				is.True(e.RetryAfter > 0)
			}
		})
	}
}
