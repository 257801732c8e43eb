package dispatch_test

import (
	"bytes"
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/dispatch"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

// view is a membership view in which one host owns all databases.
type view struct {
	stubService
	mu      sync.Mutex
	owner   string
	changed chan struct{}
}

func (v *view) Self() gypsumyard.Host { return gypsumyard.Host{Name: "self"} }

func (v *view) Hosts() []gypsumyard.Host {
	h, _ := v.Owner("")
	return []gypsumyard.Host{h}
}

func (v *view) Changes() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

func (v *view) Owner(string) (gypsumyard.Host, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return gypsumyard.Host{Name: v.owner}, true
}

func (v *view) setOwner(name string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.owner = name
	close(v.changed)
	v.changed = make(chan struct{})
}

// unresponsivePeers gives access to hosts of which "a" accepts connections and never
// answers.
type unresponsivePeers struct{ fakePeers }

func (f *unresponsivePeers) Connected(host gypsumyard.Host) bool { return host.Name != "a" }

func (f *unresponsivePeers) Connect(ctx context.Context, _ gypsumyard.Host) error {
	<-ctx.Done()
	return gypsumyard.Errorf(gypsumyard.ClassNotRun, "connect: %w", ctx.Err())
}

// Guards against requests that wait until their deadline for a connection to an
// unresponsive host, although the database has a new owner, and against a request in
// a transaction that waits for a host that is gone.
func TestConnectEndsWithPlace(t *testing.T) {
	for _, tt := range []struct {
		name        string
		transaction string
		tried       string
	}{{"read", "", "b"}, {"transaction", "tx", ""}} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			v := &view{stubService: stubService{"members", make(chan struct{})}, owner: "a", changed: make(chan struct{})}
			f := &unresponsivePeers{fakePeers{stubService: stubService{"peer", make(chan struct{})}, outcomes: []error{nil}}}
			log := logrus.New()
			log.SetOutput(io.Discard)
			s := dispatch.New(dispatch.WithLogger(log))
			k, err := kernel.New(v, f, s)
			is.NoErr(err)
			is.NoErr(k.Start(t.Context()))
			time.AfterFunc(50*time.Millisecond, func() { v.setOwner("b") })
			r := gypsumyard.Request{Database: "d", Transaction: tt.transaction, Owner: "a", Deadline: time.Now().Add(10 * time.Second)}
			var sink bytes.Buffer
			began := time.Now()
			_, err = s.Execute(t.Context(), &r, &sink)
			is.Equal(err != nil, tt.transaction != "")
			is.True(time.Since(began) < 3*time.Second)
			is.Equal(len(f.tried), len(tt.tried))
		})
	}
}

// Guards against requests that wait longer than their deadline, and so without an end,
// for a connection to a host that the membership view shows as live.
func TestConnectEndsAtDeadline(t *testing.T) {
	const timeout = 200 * time.Millisecond
	for _, transaction := range []string{"", "tx"} {
		t.Run("transaction="+transaction, func(t *testing.T) {
			is := is.New(t)
			v := &view{stubService: stubService{"members", make(chan struct{})}, owner: "a", changed: make(chan struct{})}
			f := &unresponsivePeers{fakePeers{stubService: stubService{"peer", make(chan struct{})}, outcomes: []error{nil}}}
			log := logrus.New()
			log.SetOutput(io.Discard)
			s := dispatch.New(dispatch.WithLogger(log))
			k, err := kernel.New(v, f, s)
			is.NoErr(err)
			is.NoErr(k.Start(t.Context()))
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			r := gypsumyard.Request{Database: "d", Transaction: transaction, Owner: "a", Deadline: time.Now().Add(timeout)}
			var sink bytes.Buffer
			began := time.Now()
			_, err = s.Execute(ctx, &r, &sink)
			is.Equal(gypsumyard.ClassOf(err), gypsumyard.ClassNotRun)
			is.True(time.Since(began) < 5*timeout)
		})
	}
}
