package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/gypsumyard/gypsumyard"
)

const (
	// maxAnswer bounds the bytes of an answer. It holds a list of about
	// 190 objects of the largest size, which base64 makes a third longer.
	maxAnswer = 256 * MaxValue
	// maxErrorText bounds the bytes of an answer that an error quotes.
	maxErrorText = 200
)

func (c *Client) read(ctx context.Context, url string, out any) error {
	return c.do(ctx, http.MethodGet, url, nil, out)
}

// do makes one call within the budget and decodes its answer.
func (c *Client) do(ctx context.Context, method, url string, body []byte, out any) error {
	if c.ctx.Err() != nil {
		return fmt.Errorf("%w: client closed", gypsumyard.ErrUnavailable)
	}
	if err := c.spend(ctx); err != nil {
		return fmt.Errorf("%w: call budget: %w", gypsumyard.ErrUnavailable, err)
	}
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	c.calls.Add(1)
	resp, err := c.http.Do(r)
	if err != nil {
		return lost(method, sent.Load(), err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return lost(method, true, err)
	}
	if err := statusError(method, resp.StatusCode, data); err != nil {
		return err
	}
	if err := json.Unmarshal(data, out); err != nil {
		return lost(method, true, err)
	}
	return nil
}

// spend waits until the budget allows one more call.
func (c *Client) spend(ctx context.Context) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	now := c.clock.Now()
	r := c.budget.ReserveN(now, 1)
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

// lost classifies a call without an answer. Without a connection nothing was
// sent; an update that was sent may have taken effect.
func lost(method string, sent bool, err error) error {
	if sent && method != http.MethodGet {
		return fmt.Errorf("%w: %w", gypsumyard.ErrOutcomeUnknown, err)
	}
	return fmt.Errorf("%w: %w", gypsumyard.ErrUnavailable, err)
}

// statusError returns the error that an HTTP status stands for.
func statusError(method string, status int, data []byte) error {
	text := string(bytes.TrimSpace(data[:min(len(data), maxErrorText)]))
	switch {
	case status == http.StatusOK:
		return nil
	case status == http.StatusNotFound:
		return gypsumyard.ErrNotFound
	case status == http.StatusConflict:
		return gypsumyard.ErrConflict
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		return fmt.Errorf("%w: %s", gypsumyard.ErrUnavailable, text)
	case status >= http.StatusInternalServerError:
		return lost(method, true, fmt.Errorf("status %d: %s", status, text))
	}
	return fmt.Errorf("status %d: %s", status, text)
}
