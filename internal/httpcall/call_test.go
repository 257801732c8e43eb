package httpcall

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/gypsumyard/gypsumyard"
	"github.com/matryer/is"
)

// respond starts a server that sends the same response to each call.
func respond(t *testing.T, status int, body string) (url string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	t.Cleanup(server.Close)
	return server.URL
}

// Guards against a response that is cut at its bound and taken for the whole one.
func TestLongResponseIsAnError(t *testing.T) {
	is := is.New(t)
	const limit = 100
	whole := `{"a":1}` + strings.Repeat(" ", limit-7)
	for _, method := range []string{http.MethodGet, http.MethodPut} {
		var out struct{ A int }
		is.NoErr(Do(t.Context(), http.DefaultClient, Call{Method: method, URL: respond(t, http.StatusOK, whole), MaxResponseBytes: limit}, &out))
		is.Equal(out.A, 1)
		err := Do(t.Context(), http.DefaultClient, Call{Method: method, URL: respond(t, http.StatusOK, whole+" "), MaxResponseBytes: limit}, &out)
		var long *TooLongError
		is.True(errors.As(err, &long))
		is.Equal(long.Limit, int64(limit))
		is.Equal(errors.Is(err, gypsumyard.ErrUnavailable), method == http.MethodGet)
		is.Equal(errors.Is(err, gypsumyard.ErrOutcomeUnknown), method == http.MethodPut)
	}
}

// Guards against a long body that nobody reads and that hides the call's outcome.
func TestLongBodyKeepsTheStatus(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("x", 101)
	call := func(status int) error {
		return Do(t.Context(), http.DefaultClient, Call{Method: http.MethodPut, URL: respond(t, status, body), MaxResponseBytes: 100}, nil)
	}
	is.NoErr(call(http.StatusOK))
	is.True(errors.Is(call(http.StatusConflict), gypsumyard.ErrConflict))
}
