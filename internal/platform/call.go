package platform

import (
	"context"
	"fmt"
	"net/http"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/httpcall"
)

// maxResponseBytes bounds the size of a response. It suffices for a list of
// about 190 objects of the maximum size, which base64 makes a third longer.
const maxResponseBytes = 256 * MaxValue

func (c *Client) read(ctx context.Context, url string, out any) error {
	return c.do(ctx, http.MethodGet, url, nil, out)
}

// do makes one call within the rate limit and decodes the response into out.
func (c *Client) do(ctx context.Context, method, url string, body []byte, out any) error {
	if c.ctx.Err() != nil {
		return fmt.Errorf("%w: client closed", gypsumyard.ErrUnavailable)
	}
	if err := c.waitForLimiter(ctx); err != nil {
		return fmt.Errorf("%w: call budget: %w", gypsumyard.ErrUnavailable, err)
	}
	c.calls.Add(1)
	return httpcall.Do(ctx, c.http, httpcall.Call{Method: method, URL: url, Body: body, MaxResponseBytes: maxResponseBytes}, out)
}

// waitForLimiter waits until the rate limit allows another call. It fails at
// once if the wait would exceed the deadline of ctx.
func (c *Client) waitForLimiter(ctx context.Context) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	now := c.clock.Now()
	r := c.limiter.ReserveN(now, 1)
	d := r.DelayFrom(now)
	if d == 0 {
		return nil
	}
	if end, ok := ctx.Deadline(); ok && now.Add(d).After(end) {
		r.CancelAt(now)
		return context.DeadlineExceeded
	}
	if err := c.clock.Sleep(ctx, d); err != nil {
		r.CancelAt(c.clock.Now())
		return err
	}
	return nil
}
