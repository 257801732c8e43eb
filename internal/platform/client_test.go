package platform_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/gypsumyard/gypsumyard/internal/emulate/store"
	"github.com/gypsumyard/gypsumyard/internal/kernel"
	"github.com/gypsumyard/gypsumyard/internal/platform"
	"github.com/matryer/is"
)

func start(t *testing.T, options ...platform.Option) (*store.Server, *platform.Client) {
	t.Helper()
	s, err := store.New(store.WithDelay(0))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	options = append([]platform.Option{platform.WithRateLimit(1000, 1000), platform.WithTimeout(2 * time.Second)}, options...)
	c := platform.New(s.Addr(), options...)
	t.Cleanup(c.Close)
	return s, c
}

// Guards against updates that ignore the expected version, and against failures
// that cannot be distinguished by their errors.
func TestConditionalUpdates(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	_, c := start(t)
	_, err := c.Get(ctx, "plan-lists/plans")
	is.True(errors.Is(err, gypsumyard.ErrNotFound))
	v1, err := c.Put(ctx, "plan-lists/plans", 0, []byte("a"))
	is.NoErr(err)
	_, err = c.Put(ctx, "plan-lists/plans", 0, []byte("b"))
	is.True(errors.Is(err, gypsumyard.ErrConflict))
	v2, err := c.Put(ctx, "plan-lists/plans", v1, []byte("b"))
	is.NoErr(err)
	is.True(v2 > v1)
	is.True(errors.Is(c.Delete(ctx, "plan-lists/plans", v1), gypsumyard.ErrConflict))
	o, err := c.Get(ctx, "plan-lists/plans")
	is.NoErr(err)
	is.Equal(fmt.Sprintf("%+v", o), fmt.Sprintf("{Name:plan-lists/plans Version:%d Value:[98] Deleted:false}", v2))
	is.NoErr(c.Delete(ctx, "plan-lists/plans", v2))
	_, err = c.Get(ctx, "plan-lists/plans")
	is.True(errors.Is(err, gypsumyard.ErrNotFound))
	v4, err := c.Put(ctx, "plan-lists/plans", 0, make([]byte, platform.MaxValue))
	is.NoErr(err)
	_, err = c.Put(ctx, "plan-lists/plans", v4, make([]byte, platform.MaxValue+1))
	is.True(err != nil)
	list, at, err := c.List(ctx, "plan-")
	is.NoErr(err)
	is.Equal(len(list), 1)
	is.Equal(at, v4)
	_, err = c.Put(ctx, "a//b", 0, nil)
	is.True(err != nil)
}

// Guards against reporting an update as not done although it may have taken
// effect, and against the opposite.
func TestLostAnswersAndRefusals(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s, c := start(t)
	s.DropResponses(1)
	_, err := c.Put(ctx, "a", 0, []byte("x"))
	is.True(errors.Is(err, gypsumyard.ErrOutcomeUnknown))
	o, err := c.Get(ctx, "a")
	is.NoErr(err)
	is.Equal(string(o.Value), "x")

	s.SetOutage(true)
	_, err = c.Put(ctx, "b", 0, nil)
	is.True(errors.Is(err, gypsumyard.ErrUnavailable))
	_, err = c.Get(ctx, "a")
	is.True(errors.Is(err, gypsumyard.ErrUnavailable))
	s.SetOutage(false)
	_, stored := s.Get("b")
	is.True(!stored)

	s.SetDelay(time.Second)
	slow, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	_, err = c.Put(slow, "b", 0, nil)
	is.True(errors.Is(err, gypsumyard.ErrOutcomeUnknown))
	_, err = c.Get(slow, "a")
	is.True(errors.Is(err, gypsumyard.ErrUnavailable))

	s.Close()
	_, err = c.Put(ctx, "b", 0, nil)
	is.True(errors.Is(err, gypsumyard.ErrUnavailable))
}

// Guards against a call rejected by the server's rate limit that takes effect
// or is reported as another failure.
func TestRateLimitIsUnavailable(t *testing.T) {
	is := is.New(t)
	s, err := store.New(store.WithRateLimits(1, 100))
	is.NoErr(err)
	defer s.Close()
	c := platform.New(s.Addr(), platform.WithRateLimit(100, 100))
	defer c.Close()
	_, err = c.Put(context.Background(), "a", 0, nil)
	is.NoErr(err)
	_, err = c.Put(context.Background(), "b", 0, nil)
	is.True(errors.Is(err, gypsumyard.ErrUnavailable))
	is.Equal(s.Calls()["refused"], int64(1))
}

// Guards against changes, including deletions, that a watch misses, and against
// a watch that does not end at an outage or when the server stops waiting.
func TestWatch(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s, c := start(t, platform.WithWatchWait(200*time.Millisecond))
	v1 := s.Put("plan-lists/plans", []byte("a"))
	time.AfterFunc(20*time.Millisecond, func() {
		s.Put("catalog/x", nil)
		s.Put("plan-lists/plans", []byte("b"))
	})
	list, v, err := c.Watch(ctx, "plan-lists/", v1)
	is.NoErr(err)
	is.Equal(len(list), 1)
	is.Equal(string(list[0].Value), "b")
	is.NoErr(c.Delete(ctx, "plan-lists/plans", list[0].Version))
	list, v, err = c.Watch(ctx, "plan-lists/", v)
	is.NoErr(err)
	is.True(list[0].Deleted)
	list, after, err := c.Watch(ctx, "plan-lists/", v)
	is.NoErr(err)
	is.Equal(len(list), 0)
	is.Equal(after, v)
	time.AfterFunc(20*time.Millisecond, func() { s.SetOutage(true) })
	_, _, err = c.Watch(ctx, "", v)
	is.True(errors.Is(err, gypsumyard.ErrUnavailable))
}

// Guards against separate calls for concurrent reads of the same object, and
// against a read that shares the result of a read begun before the reader's own
// write.
func TestReadsAreCombined(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s, c := start(t)
	v := s.Put("a", []byte("old"))
	s.SetDelay(100 * time.Millisecond)
	var work sync.WaitGroup
	for range 20 {
		work.Go(func() {
			if _, err := c.Get(ctx, "a"); err != nil {
				t.Error(err)
			}
		})
	}
	time.Sleep(20 * time.Millisecond)
	s.SetDelay(0)
	_, err := c.Put(ctx, "a", v, []byte("new"))
	is.NoErr(err)
	o, err := c.Get(ctx, "a")
	is.NoErr(err)
	is.Equal(string(o.Value), "new")
	work.Wait()
	is.Equal(s.Calls()["get"], int64(2))
}

// Guards against a host that exceeds its rate limit of calls.
func TestBudget(t *testing.T) {
	is := is.New(t)
	fake := clock.NewFake(time.Now())
	s, c := start(t, platform.WithClock(fake), platform.WithRateLimit(2, 3), platform.WithTimeout(time.Minute))
	for range 3 {
		_, err := c.Hosts(context.Background())
		is.NoErr(err)
	}
	fourth := make(chan error, 1)
	go func() {
		_, err := c.Hosts(context.Background())
		fourth <- err
	}()
	for fake.Timers() == 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(s.Calls()["hosts"], int64(3))
	fake.Advance(500 * time.Millisecond)
	is.NoErr(<-fourth)
	is.Equal(s.Calls()["hosts"], int64(4))
	hasty, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := c.Put(hasty, "a", 0, nil)
	is.True(errors.Is(err, gypsumyard.ErrUnavailable))
	is.Equal(s.Calls()["put"], int64(0))
}

// Guards against an emulated host list that has no lag or accepts hosts in
// invalid states.
func TestHostListLags(t *testing.T) {
	is := is.New(t)
	s, c := start(t)
	h := gypsumyard.Host{Name: "h1", Addr: netip.MustParseAddrPort("127.0.0.1:7000"), Region: "r", FailureDomain: "d1", State: gypsumyard.HostLive}
	is.NoErr(s.SetHost(h))
	list, err := c.Hosts(context.Background())
	is.NoErr(err)
	is.Equal(list, []gypsumyard.Host{h})
	s.SetHostLag(50 * time.Millisecond)
	s.RemoveHost("h1")
	is.Equal(len(s.Hosts()), 1)
	time.Sleep(60 * time.Millisecond)
	is.Equal(len(s.Hosts()), 0)
	h.State = gypsumyard.HostDead
	is.True(s.SetHost(h) != nil)
}

// Guards against a service that cannot be looked up by its interfaces, or that
// leaves calls in flight when it stops.
func TestService(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s, _ := start(t)
	k, err := kernel.New(platform.NewService(s.Addr()))
	is.NoErr(err)
	is.NoErr(k.Start(ctx))
	st, err := kernel.Lookup[gypsumyard.Store](k, platform.ServiceName)
	is.NoErr(err)
	_, err = kernel.Lookup[gypsumyard.HostLister](k, platform.ServiceName)
	is.NoErr(err)
	watch := make(chan error, 1)
	go func() {
		_, _, err := st.Watch(ctx, "", 0)
		watch <- err
	}()
	for s.Calls()["watch"] == 0 {
		time.Sleep(time.Millisecond)
	}
	is.NoErr(k.Stop(ctx))
	is.True(errors.Is(<-watch, gypsumyard.ErrUnavailable))
	_, err = st.Get(ctx, "a")
	is.True(errors.Is(err, gypsumyard.ErrUnavailable))
}
