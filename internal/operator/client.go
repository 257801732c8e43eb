package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/httpcall"
	"github.com/gypsumyard/gypsumyard/internal/planlist"
)

// An APIError is an error response of the host.
type APIError struct {
	Code int
	ErrorResponse
}

// Error returns the reported message.
func (e *APIError) Error() string { return e.ErrorResponse.Error }

// A Client calls the operators' API of one host.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// clientTimeout limits a call. An edit may take up to 20 s on the host.
const clientTimeout = 30 * time.Second

// NewClient returns a client of the host at addr.
func NewClient(addr netip.AddrPort, token string) *Client {
	return &Client{base: "http://" + addr.String(), token: token, http: &http.Client{Timeout: clientTimeout}}
}

// Status returns the host's status.
func (c *Client) Status(ctx context.Context) (s Status, err error) {
	return s, c.call(ctx, http.MethodGet, "/status", nil, &s)
}

// Drain starts a drain of the host. It does not wait for its end.
func (c *Client) Drain(ctx context.Context) error {
	return c.call(ctx, http.MethodPost, "/drain", nil, nil)
}

// Get returns an entry of a list as the store holds it.
func (c *Client) Get(ctx context.Context, k planlist.Kind, name string) (e EntryResponse, err error) {
	return e, c.call(ctx, http.MethodGet, entryPath(k, name), nil, &e)
}

// Put replaces an entry if its version is the expected one.
func (c *Client) Put(ctx context.Context, k planlist.Kind, name string, expected uint64, value []byte) (a planlist.EditResult, err error) {
	return a, c.call(ctx, http.MethodPut, entryPath(k, name)+expectedQuery(expected), value, &a)
}

// Delete removes an entry if its version is the expected one.
func (c *Client) Delete(ctx context.Context, k planlist.Kind, name string, expected uint64) (a planlist.EditResult, err error) {
	return a, c.call(ctx, http.MethodDelete, entryPath(k, name)+expectedQuery(expected), nil, &a)
}

// InForce reports on which hosts of the region the object's version is in force.
func (c *Client) InForce(ctx context.Context, object string, v gypsumyard.Version) (a InForceResponse, err error) {
	q := url.Values{"object": {object}, "version": {strconv.FormatUint(uint64(v), 10)}}
	return a, c.call(ctx, http.MethodGet, "/in-force?"+q.Encode(), nil, &a)
}

func entryPath(k planlist.Kind, name string) string {
	return "/lists/" + string(k) + "/" + url.PathEscape(name)
}

func expectedQuery(expected uint64) string {
	if expected == planlist.AnyVersion {
		return ""
	}
	return "?expected=" + strconv.FormatUint(expected, 10)
}

// call makes a call and decodes the response into result unless result is nil. An
// error response is an APIError, a response of over maxBody bytes a
// httpcall.TooLongError.
func (c *Client) call(ctx context.Context, method, path string, body []byte, result any) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("%s %s: %w", method, path, err)
		}
	}()
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	if c.token != "" {
		r.Header.Set("Authorization", "Bearer "+c.token)
	}
	response, err := c.http.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := httpcall.ReadBody(response.Body, maxBody)
	if response.StatusCode >= http.StatusBadRequest {
		return errors.Join(decodeError(response, data), err)
	}
	if err != nil {
		return err
	}
	if result == nil {
		return nil
	}
	return json.Unmarshal(data, result)
}

func decodeError(r *http.Response, data []byte) *APIError {
	e := &APIError{Code: r.StatusCode}
	if json.Unmarshal(data, &e.ErrorResponse) != nil {
		e.ErrorResponse = ErrorResponse{Error: r.Status, Kind: "invalid"}
	}
	return e
}
