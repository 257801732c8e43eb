package platform

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"
)

const (
	// defaultCallsPerSecond is the sustained rate of calls.
	defaultCallsPerSecond = 2.0
	// defaultBurst is the number of calls that may be made at once.
	defaultBurst = 10
	// defaultTimeout bounds each call except a watch, including its wait for
	// the rate limiter.
	defaultTimeout = 5 * time.Second
	// defaultWatchWait is how long the server waits for changes before it
	// answers a watch (long polling).
	defaultWatchWait = 30 * time.Second
	// idleTimeout is how long an unused connection stays open.
	idleTimeout = time.Minute
)

// MaxValue is the maximum size of a value in bytes.
const MaxValue = 1 << 20

// An Option configures a Client.
type Option func(*Client)

// WithRateLimit sets the sustained number of calls per second and the number of
// calls that may be made at once. The default is 2 per second and 10 at once.
func WithRateLimit(perSecond float64, burst int) Option {
	return func(c *Client) { c.limiter = rate.NewLimiter(rate.Limit(perSecond), burst) }
}

// WithTimeout bounds each call except a watch, including its wait for the rate
// limiter. The default is 5 s.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithWatchWait sets how long the server waits for changes before it answers a
// watch. The default is 30 s.
func WithWatchWait(d time.Duration) Option { return func(c *Client) { c.watchWait = d } }

// WithClock sets the clock. The default is the system clock.
func WithClock(k gypsumyard.Clock) Option { return func(c *Client) { c.clock = k } }

// A Client calls the platform's service. It does not retry: its users decide
// whether a failed call is repeated.
type Client struct {
	base      url.URL
	http      *http.Client
	transport *http.Transport
	clock     gypsumyard.Clock
	limiter   *rate.Limiter
	timeout   time.Duration
	watchWait time.Duration
	reads     singleflight.Group
	// updates counts the completed updates. It is part of the keys under which
	// reads are coalesced, so that a read never shares the result of a read
	// that began before an update of this host was completed.
	updates atomic.Uint64
	calls   atomic.Int64
	ctx     context.Context
	cancel  context.CancelFunc
}

var (
	_ gypsumyard.Store      = (*Client)(nil)
	_ gypsumyard.HostLister = (*Client)(nil)
)

// New returns a client of the service at addr. The client must be closed.
func New(addr netip.AddrPort, options ...Option) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	t := &http.Transport{MaxIdleConnsPerHost: defaultBurst, IdleConnTimeout: idleTimeout}
	c := &Client{
		base:      url.URL{Scheme: "http", Host: addr.String()},
		http:      &http.Client{Transport: t, CheckRedirect: noRedirect},
		transport: t,
		clock:     clock.System(),
		limiter:   rate.NewLimiter(defaultCallsPerSecond, defaultBurst),
		timeout:   defaultTimeout,
		watchWait: defaultWatchWait,
		ctx:       ctx,
		cancel:    cancel,
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// noRedirect disables redirects, so that a redirect is an error. Following one
// could turn an update into a GET.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close cancels the calls in flight. Later calls fail with ErrUnavailable.
func (c *Client) Close() {
	c.cancel()
	c.transport.CloseIdleConnections()
}

// Calls returns the number of calls made.
func (c *Client) Calls() int64 { return c.calls.Load() }

// Get returns the object. It fails with ErrNotFound if there is none.
func (c *Client) Get(ctx context.Context, name string) (o gypsumyard.Object, err error) {
	defer annotate(&err, "get", name)
	o, err = coalesce(ctx, c, "get "+name, func(ctx context.Context) (o gypsumyard.Object, err error) {
		err = c.read(ctx, c.objectURL(name, nil), &o)
		return o, err
	})
	o.Value = bytes.Clone(o.Value)
	return o, err
}

// A listResponse is the response to a list or a watch.
type listResponse struct {
	Objects []gypsumyard.Object `json:"objects"`
	Version gypsumyard.Version  `json:"version"`
}

// List returns the objects whose names begin with prefix and the version of
// the store that they reflect.
func (c *Client) List(ctx context.Context, prefix string) (list []gypsumyard.Object, v gypsumyard.Version, err error) {
	defer annotate(&err, "list", prefix)
	a, err := coalesce(ctx, c, "list "+prefix, func(ctx context.Context) (a listResponse, err error) {
		err = c.read(ctx, c.url("/objects", url.Values{"prefix": {prefix}}), &a)
		return a, err
	})
	for _, o := range a.Objects {
		o.Value = bytes.Clone(o.Value)
		list = append(list, o)
	}
	return list, a.Version, err
}

// Hosts returns the hosts that the platform lists.
func (c *Client) Hosts(ctx context.Context) (list []gypsumyard.Host, err error) {
	defer annotate(&err, "list", "hosts")
	shared, err := coalesce(ctx, c, "hosts", func(ctx context.Context) (list []gypsumyard.Host, err error) {
		err = c.read(ctx, c.url("/hosts", nil), &list)
		return list, err
	})
	return append(list, shared...), err
}

// Put replaces the value if the object's version is expected, and returns the
// new version.
func (c *Client) Put(ctx context.Context, name string, expected gypsumyard.Version, value []byte) (v gypsumyard.Version, err error) {
	defer annotate(&err, "put", name)
	if len(value) > MaxValue {
		return 0, fmt.Errorf("value of %d bytes exceeds %d", len(value), MaxValue)
	}
	return c.update(ctx, http.MethodPut, name, expected, value)
}

// Delete removes the object under the same condition as Put.
func (c *Client) Delete(ctx context.Context, name string, expected gypsumyard.Version) (err error) {
	defer annotate(&err, "delete", name)
	_, err = c.update(ctx, http.MethodDelete, name, expected, nil)
	return err
}

func (c *Client) update(ctx context.Context, method, name string, expected gypsumyard.Version, value []byte) (gypsumyard.Version, error) {
	defer c.updates.Add(1)
	ctx, cancel := c.callContext(ctx, c.timeout)
	defer cancel()
	query := url.Values{"expected": {strconv.FormatUint(uint64(expected), 10)}}
	var a struct {
		Version gypsumyard.Version `json:"version"`
	}
	err := c.do(ctx, method, c.objectURL(name, query), value, &a)
	return a.Version, err
}

// Watch waits until an object whose name begins with prefix has changed after
// the given version.
func (c *Client) Watch(ctx context.Context, prefix string, after gypsumyard.Version) (list []gypsumyard.Object, v gypsumyard.Version, err error) {
	defer annotate(&err, "watch", prefix)
	ctx, cancel := c.callContext(ctx, c.watchWait+c.timeout)
	defer cancel()
	query := url.Values{
		"prefix":  {prefix},
		"after":   {strconv.FormatUint(uint64(after), 10)},
		"timeout": {c.watchWait.String()},
	}
	var a listResponse
	if err := c.do(ctx, http.MethodGet, c.url("/watch", query), nil, &a); err != nil {
		return nil, after, err
	}
	return a.Objects, a.Version, nil
}

// coalesce merges concurrent calls of the same name into one. The call does not
// use the context of its first caller, since other callers may wait for the
// same result.
func coalesce[T any](ctx context.Context, c *Client, name string, call func(context.Context) (T, error)) (T, error) {
	name += " " + strconv.FormatUint(c.updates.Load(), 10)
	ch := c.reads.DoChan(name, func() (any, error) {
		ctx, cancel := c.callContext(context.Background(), c.timeout)
		defer cancel()
		return call(ctx)
	})
	select {
	case r := <-ch:
		return r.Val.(T), r.Err
	case <-ctx.Done():
		var zero T
		return zero, fmt.Errorf("%w: %w", gypsumyard.ErrUnavailable, context.Cause(ctx))
	}
}

// callContext returns a copy of ctx that is also canceled after d and when the
// client is closed.
func (c *Client) callContext(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, d)
	stop := context.AfterFunc(c.ctx, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

func (c *Client) url(path string, query url.Values) string {
	u := c.base
	u.Path, u.RawQuery = path, query.Encode()
	return u.String()
}

func (c *Client) objectURL(name string, query url.Values) string {
	return c.url("/objects/"+name, query)
}

// annotate adds the name of the call and of its object to the error.
func annotate(err *error, call, name string) {
	if *err != nil {
		*err = fmt.Errorf("platform: %s %q: %w", call, name, *err)
	}
}
