package store

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"golang.org/x/time/rate"
)

// A listResponse is the response to a list and to a watch.
type listResponse struct {
	Objects []gypsumyard.Object `json:"objects"`
	Version gypsumyard.Version  `json:"version"`
}

// An updateResponse is the response to an update. After a conflict it holds the
// object's current version.
type updateResponse struct {
	Version gypsumyard.Version `json:"version"`
}

func (s *Server) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /objects/{name...}", s.call("get", s.reads, s.serveGet))
	m.HandleFunc("GET /objects", s.call("list", s.reads, s.serveList))
	m.HandleFunc("GET /watch", s.call("watch", s.reads, s.serveWatch))
	m.HandleFunc("GET /hosts", s.call("hosts", s.reads, s.serveHosts))
	m.HandleFunc("PUT /objects/{name...}", s.call("put", s.writes, s.servePut))
	m.HandleFunc("DELETE /objects/{name...}", s.call("delete", s.writes, s.serveDelete))
	return m
}

// call returns a handler that counts the call, rejects it during an outage or
// above the rate limit, and otherwise serves it after the response delay.
func (s *Server) call(kind string, limit *rate.Limiter, serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.count(kind)
		delay, outage := s.state()
		select {
		case <-outage:
			s.count("unavailable")
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		default:
		}
		if !limit.Allow() {
			s.count("refused")
			w.Header().Set("Retry-After", "1")
			http.Error(w, "rate limit exceeded", http.StatusTooManyRequests)
			return
		}
		if delay > 0 && s.clock.Sleep(r.Context(), delay) != nil {
			return
		}
		serve(w, r)
	}
}

func (s *Server) serveGet(w http.ResponseWriter, r *http.Request) {
	o, ok := s.objects.get(r.PathValue("name"))
	if !ok {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	writeResponse(w, http.StatusOK, o)
}

func (s *Server) serveList(w http.ResponseWriter, r *http.Request) {
	list, v, _ := s.objects.list(r.URL.Query().Get("prefix"), 0, false)
	writeResponse(w, http.StatusOK, listResponse{Objects: list, Version: v})
}

// serveWatch waits for a change until the watch times out or an outage begins.
func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
		return
	}
	wait := maxWatch
	if t := q.Get("timeout"); t != "" {
		d, err := time.ParseDuration(t)
		if err != nil {
			http.Error(w, "timeout: "+err.Error(), http.StatusBadRequest)
			return
		}
		wait = min(d, maxWatch)
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	_, outage := s.state()
	go func() {
		select {
		case <-outage:
			cancel()
		case <-ctx.Done():
		}
	}()
	list, v := s.objects.watch(ctx, q.Get("prefix"), gypsumyard.Version(after))
	select {
	case <-outage:
		http.Error(w, "outage", http.StatusServiceUnavailable)
	default:
		writeResponse(w, http.StatusOK, listResponse{Objects: list, Version: v})
	}
}

func (s *Server) serveHosts(w http.ResponseWriter, _ *http.Request) {
	writeResponse(w, http.StatusOK, s.Hosts())
}

func (s *Server) servePut(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValue))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		http.Error(w, "value exceeds 1 MB", http.StatusRequestEntityTooLarge)
		return
	}
	if err != nil {
		return
	}
	s.update(w, r, value, false)
}

func (s *Server) serveDelete(w http.ResponseWriter, r *http.Request) { s.update(w, r, nil, true) }

func (s *Server) update(w http.ResponseWriter, r *http.Request, value []byte, deleted bool) {
	expected, err := strconv.ParseUint(r.URL.Query().Get("expected"), 10, 64)
	if err != nil {
		http.Error(w, "expected: "+err.Error(), http.StatusBadRequest)
		return
	}
	v, err := s.objects.update(r.PathValue("name"), gypsumyard.Version(expected), value, deleted)
	if err != nil {
		writeResponse(w, http.StatusConflict, updateResponse{Version: v})
		return
	}
	if s.dropResponse() {
		// The server closes the connection without a response.
		panic(http.ErrAbortHandler)
	}
	writeResponse(w, http.StatusOK, updateResponse{Version: v})
}

func writeResponse(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
