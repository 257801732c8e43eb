package httpcall

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/matryer/is"
)

// A slowResponse is sent in pieces.
type slowResponse struct {
	// before is the time until the response begins, pause that between two pieces.
	before, pause time.Duration
	pieces        int
}

func (s slowResponse) start(t *testing.T) (url string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(s.before)
		w.WriteHeader(http.StatusOK)
		_, _ = io.WriteString(w, "1")
		for range s.pieces {
			_ = http.NewResponseController(w).Flush()
			time.Sleep(s.pause)
			_, _ = io.WriteString(w, "0")
		}
	}))
	t.Cleanup(server.Close)
	return server.URL
}

// Guards against a response that arrives for longer than the call may wait for its
// beginning and is given up, and against one that stalls or never begins and is not.
func TestSlowResponses(t *testing.T) {
	const wait, maxPause = 200 * time.Millisecond, 300 * time.Millisecond
	for _, c := range []struct {
		name     string
		response slowResponse
		maxPause time.Duration
		ok       bool
	}{
		{"arrives for longer than the deadline", slowResponse{pause: 100 * time.Millisecond, pieces: 6}, maxPause, true},
		{"stalls", slowResponse{pause: time.Second, pieces: 2}, maxPause, false},
		{"begins late", slowResponse{before: 400 * time.Millisecond}, maxPause, false},
		{"without a bound of its own", slowResponse{pause: 100 * time.Millisecond, pieces: 6}, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var progress []gypsumyard.Progress
			ctx := gypsumyard.WithProgress(t.Context(), func(p gypsumyard.Progress) { progress = append(progress, p) })
			ctx, cancel := context.WithTimeout(ctx, wait)
			defer cancel()
			var out int
			err := Do(ctx, http.DefaultClient, Call{Method: http.MethodGet, URL: c.response.start(t), MaxResponseBytes: 100, MaxPause: c.maxPause}, &out)
			if !c.ok {
				is.True(errors.Is(err, gypsumyard.ErrUnavailable))
				is.True(errors.Is(err, context.DeadlineExceeded))
				return
			}
			is.NoErr(err)
			is.Equal(out, 1_000_000)
			is.True(len(progress) > 1)
			is.Equal(progress[len(progress)-1].Arrived, int64(7))
		})
	}
}

// Guards against a call that goes on after its caller has given it up.
func TestCanceledCallEnds(t *testing.T) {
	for name, r := range map[string]slowResponse{
		"before the response": {before: 2 * time.Second},
		"in the response":     {pause: 100 * time.Millisecond, pieces: 20},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			url := r.start(t)
			ctx, cancel := context.WithCancel(t.Context())
			time.AfterFunc(300*time.Millisecond, cancel)
			began := time.Now()
			err := Do(ctx, http.DefaultClient, Call{Method: http.MethodGet, URL: url, MaxResponseBytes: 100, MaxPause: time.Second}, nil)
			is.True(errors.Is(err, context.Canceled))
			is.True(time.Since(began) < time.Second)
		})
	}
}

// Guards against a large response that arrives steadily and counts as stalled, because one
// read waits for as much as its buffer holds.
func TestSteadyResponseDoesNotStall(t *testing.T) {
	const (
		piece    = 4 << 10
		pieces   = 100
		interval = 15 * time.Millisecond
		maxPause = 200 * time.Millisecond
		size     = pieces*piece + 2 // With the quotation marks.
	)
	for name, frame := range map[string][2]string{
		"in one chunk":                  {fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", size), "\r\n0\r\n\r\n"},
		"of known length":               {fmt.Sprintf("Content-Length: %d\r\n\r\n", size), ""},
		"until the end of a connection": {"Connection: close\r\n\r\n", ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				c, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer c.Close()
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+frame[0]+`"`)
				for range pieces {
					time.Sleep(interval)
					_, _ = io.WriteString(c, strings.Repeat("x", piece))
				}
				_, _ = io.WriteString(c, `"`+frame[1])
			}))
			defer server.Close()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			var out string
			is.NoErr(Do(ctx, server.Client(), Call{Method: http.MethodGet, URL: server.URL, MaxResponseBytes: 1 << 20, MaxPause: maxPause}, &out))
			is.Equal(len(out), pieces*piece)
		})
	}
}
