package objects

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/emulate/memstore"
)

// A PromotionOrder holds the arguments of a call for a promotion.
type PromotionOrder struct {
	Service, ID, Holder string
	Generation          uint64
}

// A Server serves a memstore.Store over HTTP.
type Server struct {
	store   *memstore.Store
	promote func(PromotionOrder) error
	server  http.Server
	addr    netip.AddrPort

	mu    sync.Mutex
	delay time.Duration
}

// Start serves the store on a loopback port. The server calls promote for each
// promotion order.
func Start(store *memstore.Store, promote func(PromotionOrder) error) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{store: store, promote: promote, addr: l.Addr().(*net.TCPAddr).AddrPort()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", s.servePromotion)
	mux.HandleFunc("GET /v1/objects/{kind}", s.list)
	mux.HandleFunc("POST /v1/objects/{kind}", s.create)
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", s.get)
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", s.put)
	mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", s.remove)
	s.server.Handler = s.delayed(mux)
	go func() { _ = s.server.Serve(l) }() // Serve returns after Close.
	return s, nil
}

// Addr returns the address of the server.
func (s *Server) Addr() netip.AddrPort { return s.addr }

// Close stops the server.
func (s *Server) Close() { _ = s.server.Close() }

// SetDelay sets a delay before each call is served.
func (s *Server) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

func (s *Server) delayed(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		d := s.delay
		s.mu.Unlock()
		time.Sleep(d)
		h.ServeHTTP(w, r)
	})
}

type meta struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

type object struct {
	Meta meta            `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

func encode(o gypsumyard.Object) object {
	_, name, _ := strings.Cut(o.Name, "/")
	return object{Meta: meta{name, o.Version.Revision()}, Spec: o.Value}
}

// eraHeader names the header in which the store reports its era.
const eraHeader = "Store-Era"

func writeEra(w http.ResponseWriter, e gypsumyard.Era) {
	if e > 0 { // Era zero stands for a store that does not report its era.
		w.Header().Set(eraHeader, strconv.FormatUint(uint64(e), 10))
	}
}

func writeResponse(w http.ResponseWriter, e gypsumyard.Era, v any) {
	writeEra(w, e)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // A write fails only if the client has disconnected.
}

// writeError responds with the status code for err. For ErrOutcomeUnknown, which
// stands for a lost response, it closes the connection instead.
func (s *Server) writeError(w http.ResponseWriter, err error) {
	writeEra(w, s.store.Era())
	switch {
	case errors.Is(err, gypsumyard.ErrNotFound):
		w.WriteHeader(http.StatusNotFound)
	case errors.Is(err, gypsumyard.ErrConflict):
		w.WriteHeader(http.StatusConflict)
	case errors.Is(err, gypsumyard.ErrHistoryGone):
		w.WriteHeader(http.StatusGone)
	case errors.Is(err, gypsumyard.ErrOutcomeUnknown):
		panic(http.ErrAbortHandler)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	prefix := r.PathValue("kind") + "/"
	if watch := r.FormValue("watch"); watch != "" {
		s.watch(w, r, prefix, watch)
		return
	}
	objects, v, err := s.store.List(r.Context(), prefix)
	if err != nil {
		s.writeError(w, err)
		return
	}
	items := []object{}
	for _, o := range objects {
		items = append(items, encode(o))
	}
	writeResponse(w, v.Era(), map[string]any{"items": items, "hasMore": false, "asOf": v.Revision()})
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request, prefix, watch string) {
	after, _ := strconv.ParseUint(watch, 10, 64)
	ms, _ := strconv.Atoi(r.FormValue("waitMs"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	defer cancel()
	objects, v, err := s.store.Watch(ctx, prefix, gypsumyard.NewVersion(s.store.Era(), after))
	if err != nil && ctx.Err() == nil {
		s.writeError(w, err)
		return
	}
	type event struct {
		Object  object `json:"object"`
		Deleted bool   `json:"deleted"`
	}
	events := []event{}
	for _, o := range objects {
		events = append(events, event{encode(o), o.Deleted})
	}
	writeResponse(w, v.Era(), map[string]any{"events": events, "asOf": v.Revision()})
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	o, err := s.store.Get(r.Context(), r.PathValue("kind")+"/"+r.PathValue("name"))
	if err != nil {
		s.writeError(w, err)
		return
	}
	writeResponse(w, o.Version.Era(), encode(o))
}

func (s *Server) create(w http.ResponseWriter, r *http.Request) {
	s.write(w, r, func(o object) string { return o.Meta.Name })
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	s.write(w, r, func(object) string { return r.PathValue("name") })
}

func (s *Server) write(w http.ResponseWriter, r *http.Request, name func(object) string) {
	var o object
	data, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(data, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o.Meta.Name = name(o)
	v, err := s.store.Put(r.Context(), r.PathValue("kind")+"/"+o.Meta.Name, gypsumyard.Version(o.Meta.Revision), o.Spec)
	if err != nil {
		s.writeError(w, err)
		return
	}
	o.Meta.Revision = v.Revision()
	writeResponse(w, v.Era(), o)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	if err := s.store.Delete(r.Context(), r.PathValue("kind")+"/"+r.PathValue("name"), 0); err != nil {
		s.writeError(w, err)
		return
	}
	writeEra(w, s.store.Era())
}

func (s *Server) servePromotion(w http.ResponseWriter, r *http.Request) {
	var in struct{ Service, ID string }
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	n, _ := strconv.ParseUint(r.Header.Get("Gypsumyard-Fencing-Token"), 10, 64)
	if err := s.promote(PromotionOrder{in.Service, in.ID, r.Header.Get("Gypsumyard-Duty-Holder"), n}); err != nil {
		s.writeError(w, err)
	}
}
