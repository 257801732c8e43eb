package store_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/gypsumyard/gypsumyard/internal/emulate/store"
	"github.com/matryer/is"
)

// Guards against an emulator that accepts what the platform rejects: values over
// 1 MB, updates without an expected version, and updates that conflict.
func TestRefusals(t *testing.T) {
	is := is.New(t)
	s, err := store.New(store.WithDelay(0))
	is.NoErr(err)
	defer s.Close()
	put := func(query string, size int) (status int, body string) {
		url := fmt.Sprintf("http://%s/objects/plan-lists/plans%s", s.Addr(), query)
		r, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(make([]byte, size)))
		is.NoErr(err)
		resp, err := http.DefaultClient.Do(r)
		is.NoErr(err)
		defer resp.Body.Close()
		data, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		return resp.StatusCode, string(data)
	}
	status, _ := put("?expected=0", store.MaxValue+1)
	is.Equal(status, http.StatusRequestEntityTooLarge)
	status, _ = put("", 1)
	is.Equal(status, http.StatusBadRequest)
	status, body := put("?expected=0", store.MaxValue)
	is.Equal(status, http.StatusOK)
	is.Equal(body, "{\"version\":1}\n")
	status, body = put("?expected=0", 3)
	is.Equal(status, http.StatusConflict)
	is.Equal(body, "{\"version\":1}\n")
	o, _ := s.Get("plan-lists/plans")
	is.Equal(len(o.Value), store.MaxValue)
}
