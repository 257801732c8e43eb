package httpcall

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

// maxErrorText bounds the bytes of an answer that an error quotes.
const maxErrorText = 200

// A Call is one request.
type Call struct {
	Method string
	URL    string
	Header http.Header
	// Body is sent as JSON. Nil sends none.
	Body []byte
	// MaxResponseBytes bounds the response.
	MaxResponseBytes int64
}

// Do makes the call once and decodes its answer into out unless that is nil. A
// call without an answer fails with ErrUnavailable if nothing can have changed,
// and else with ErrOutcomeUnknown.
func Do(ctx context.Context, client *http.Client, c Call, out any) error {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), c.Method, c.URL, bytes.NewReader(c.Body))
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	for name, values := range c.Header {
		r.Header[name] = values
	}
	if c.Body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	resp, err := client.Do(r)
	if err != nil {
		return lost(c.Method, sent.Load(), err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, c.MaxResponseBytes))
	if err != nil {
		return lost(c.Method, true, err)
	}
	if err := statusError(c.Method, resp.StatusCode, data); err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return lost(c.Method, true, err)
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
	case status >= http.StatusOK && status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusNotFound:
		return gypsumyard.ErrNotFound
	case status == http.StatusConflict:
		return gypsumyard.ErrConflict
	case status == http.StatusGone:
		return gypsumyard.ErrHistoryGone
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		return fmt.Errorf("%w: status %d: %s", gypsumyard.ErrUnavailable, status, text)
	case status >= http.StatusInternalServerError:
		return lost(method, true, fmt.Errorf("status %d: %s", status, text))
	}
	return fmt.Errorf("status %d: %s", status, text)
}
