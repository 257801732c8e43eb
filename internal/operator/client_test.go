package operator

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/gypsumyard/gypsumyard/internal/httpcall"
	"github.com/matryer/is"
)

// Guards against a client that cuts a long response and takes it for the whole one, or
// that loses the status of an error response because its body is long.
func TestLongResponseIsAnError(t *testing.T) {
	is := is.New(t)
	status := http.StatusOK
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, `{"ready":true}`+strings.Repeat(" ", maxBody))
	}))
	defer server.Close()
	c := NewClient(netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), "")
	var long *httpcall.TooLongError
	_, err := c.Status(t.Context())
	is.True(errors.As(err, &long))
	is.Equal(long.Limit, int64(maxBody))

	status = http.StatusConflict
	_, err = c.Status(t.Context())
	var failure *APIError
	is.True(errors.As(err, &failure))
	is.Equal(failure.Code, http.StatusConflict)
	is.True(errors.As(err, &long))
}
