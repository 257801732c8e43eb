package httpcall

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// maxErrorBytes is the maximum number of bytes of a response that are quoted in
// an error.
const maxErrorBytes = 200

// A Call is an HTTP request.
type Call struct {
	Method string
	URL    string
	Header http.Header
	// Body is the JSON body, or nil for none.
	Body []byte
	// ValueLevel, if not zero, is the level of nesting of the values in the response that
	// others have written. One that is nested too deeply to be decoded is decoded as a
	// string.
	ValueLevel int
	// MaxResponseBytes bounds the size of the response body.
	MaxResponseBytes int64
	// MaxPause, if not zero, bounds the pauses while the response arrives. The deadline
	// of the context then applies to its beginning only.
	MaxPause time.Duration
	// ResponseHeader, if not nil, is set to the header of the response, whatever
	// its status.
	ResponseHeader *http.Header
}

// Do makes the call once and decodes the response into out unless out is nil. A
// call without a usable response fails with ErrUnavailable if it cannot have taken
// effect, and with ErrOutcomeUnknown otherwise. The error of a response to decode
// that is longer than its bound also wraps a TooLongError.
func Do(ctx context.Context, client *http.Client, c Call, out any) error {
	if c.MaxPause == 0 {
		return do(ctx, client, c, nil, out)
	}
	t := newTransfer(ctx, c.MaxPause)
	defer t.close()
	err := do(t.ctx, client, c, t, out)
	if cause := context.Cause(t.ctx); err != nil && cause != nil && !errors.Is(err, cause) {
		err = fmt.Errorf("%w: %w", err, cause)
	}
	return err
}

// do is Do within the context. t is nil if the context bounds the whole call.
func do(ctx context.Context, client *http.Client, c Call, t *transfer, out any) error {
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
		return callError(c.Method, sent.Load(), err)
	}
	defer resp.Body.Close()
	if c.ResponseHeader != nil {
		*c.ResponseHeader = resp.Header
	}
	if t != nil {
		t.begin()
	}
	data, err := ReadBody(&body{Reader: resp.Body, call: t, ctx: ctx, size: resp.ContentLength}, c.MaxResponseBytes)
	if err != nil && !errors.As(err, new(*TooLongError)) {
		return callError(c.Method, true, err)
	}
	if err := statusError(c.Method, resp.StatusCode, data); err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	if err != nil {
		return callError(c.Method, true, err)
	}
	if err := decode(data, c.ValueLevel, out); err != nil {
		return callError(c.Method, true, err)
	}
	return nil
}

// callError returns the error of a call without a usable response. Nothing was
// sent if there was no connection; an update that was sent may have taken
// effect.
func callError(method string, sent bool, err error) error {
	if sent && method != http.MethodGet {
		return fmt.Errorf("%w: %w", gypsumyard.ErrOutcomeUnknown, err)
	}
	return fmt.Errorf("%w: %w", gypsumyard.ErrUnavailable, err)
}

// statusError returns the error for an HTTP status, or nil for a success.
func statusError(method string, status int, data []byte) error {
	text := string(bytes.TrimSpace(data[:min(len(data), maxErrorBytes)]))
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
		return callError(method, true, fmt.Errorf("status %d: %s", status, text))
	}
	return fmt.Errorf("status %d: %s", status, text)
}

// A TooLongError reports a response body that is longer than its bound in bytes.
type TooLongError struct{ Limit int64 }

// Error describes the error.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("response is longer than %d bytes", e.Limit)
}

// ReadBody reads a response body of up to limit bytes. Of a longer one it returns
// the first limit bytes and a TooLongError.
func ReadBody(r io.Reader, limit int64) (data []byte, err error) {
	data, err = io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(data)) > limit {
		return data[:limit], &TooLongError{limit}
	}
	return data, err
}
