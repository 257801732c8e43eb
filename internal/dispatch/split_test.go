package dispatch_test

import (
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

// An owner that runs each request in the same way.
type constantOwner struct {
	localOwner
	err error
}

func (o constantOwner) Execute(context.Context, *gypsumyard.Request, gypsumyard.ResponseSink) (gypsumyard.Result, error) {
	return gypsumyard.Result{}, o.err
}

// startSplitHost starts the dispatcher of a host that owns the database and answers
// each request with err.
func startSplitHost(t *testing.T, err error) *dispatch.Service {
	t.Helper()
	m := &members{stubService{"members", make(chan struct{})}, []string{"self"}, nil}
	peers := &fakePeers{stubService: stubService{"peer", make(chan struct{})}}
	o := constantOwner{localOwner{stubService{"owner", make(chan struct{})}, fakeHost{}}, err}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := dispatch.New(dispatch.WithLogger(log))
	k, e := kernel.New(m, peers, o, s)
	if e != nil {
		t.Fatal(e)
	}
	if e := k.Start(t.Context()); e != nil {
		t.Fatal(e)
	}
	t.Cleanup(func() { _ = k.Stop(context.Background()) })
	return s
}

// Pattern: the network is split, with a database's primary and some hosts on one side
// and its replicas and the other hosts on the other. The owner on the side of the old
// primary knows that no instance leads; callers retry at another host.
//
// Guards against requests that a host keeps until their deadline although it knows
// that it cannot serve them, while another host can.
func TestCallersLeaveSideWithoutPrimary(t *testing.T) {
	is := is.New(t)
	const (
		callers   = 200
		objective = 200 * time.Millisecond
		deadline  = 2 * time.Second
	)
	noPrimary := &gypsumyard.Error{Class: gypsumyard.ClassNotRun, Message: "no instance leads", RetryAfter: 500 * time.Millisecond, NoRetry: true}
	hosts := []*dispatch.Service{startSplitHost(t, noPrimary), startSplitHost(t, nil)}
	var wg sync.WaitGroup
	took := make([]time.Duration, callers)
	for n := range callers {
		wg.Go(func() {
			began := time.Now()
			for _, h := range hosts {
				r := &gypsumyard.Request{Class: gypsumyard.StatementWrite, Deadline: began.Add(deadline)}
				if _, err := h.Execute(t.Context(), r, io.Discard); err == nil {
					took[n] = time.Since(began)
				}
			}
		})
	}
	wg.Wait()
	for _, d := range took {
		is.True(d > 0 && d < objective)
	}
}
