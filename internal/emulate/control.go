package emulate

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/emulate/engine"
	"github.com/gypsumyard/gypsumyard/internal/emulate/group"
)

// A State is the response to GET /state.
type State struct {
	Groups []GroupState `json:"groups"`
	Store  StoreState   `json:"store"`
}

// A GroupState describes a group.
type GroupState struct {
	Name      string          `json:"name"`
	Instances []InstanceState `json:"instances"`
}

// An InstanceState describes an instance as it would report itself. It is
// available also while a fault keeps clients from reading it.
type InstanceState struct {
	Name            string              `json:"name"`
	Address         netip.AddrPort      `json:"address"`
	Running         bool                `json:"running"`
	Role            gypsumyard.Role     `json:"role"`
	Applied         gypsumyard.Position `json:"applied"`
	History         gypsumyard.History  `json:"history"`
	Fence           gypsumyard.Term     `json:"fence"`
	Leaving         bool                `json:"leaving"`
	Connections     int                 `json:"connections"`
	PeakConnections int                 `json:"peak-connections"`
	Statements      map[string]int64    `json:"statements"`
}

// A StoreState describes the platform's service.
type StoreState struct {
	Address netip.AddrPort    `json:"address"`
	Calls   map[string]int64  `json:"calls"`
	Hosts   []gypsumyard.Host `json:"hosts"`
}

// State returns the state of all emulators.
func (e *Environment) State() State {
	s := State{Store: StoreState{Address: e.store.Addr(), Calls: e.store.Calls(), Hosts: e.store.Hosts()}}
	for _, g := range e.groups {
		gs := GroupState{Name: g.Name()}
		for _, in := range g.Instances() {
			gs.Instances = append(gs.Instances, instanceState(in))
		}
		s.Groups = append(s.Groups, gs)
	}
	return s
}

func instanceState(in *group.Instance) InstanceState {
	st := in.Status()
	open, peak := in.Connections()
	return InstanceState{
		Name:            in.Name(),
		Address:         in.Upstream().Addr,
		Running:         in.Running(),
		Role:            st.Role,
		Applied:         st.Applied,
		History:         st.History,
		Fence:           st.Fence,
		Leaving:         st.Leaving,
		Connections:     open,
		PeakConnections: peak,
		Statements:      in.Counters(),
	}
}

func (e *Environment) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /faults", e.serveFault)
	m.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) { writeResponse(w, e.State()) })
	m.HandleFunc("GET /journal", e.serveJournal)
	m.HandleFunc("GET /records", e.serveRecords)
	m.HandleFunc("GET /rows", e.serveRows)
	return m
}

func (e *Environment) serveFault(w http.ResponseWriter, r *http.Request) {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	var f Fault
	if err := d.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := e.Apply(f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeResponse(w, struct{}{})
}

func (e *Environment) serveJournal(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	g := e.Group(q.Get("group"))
	if g == nil {
		http.Error(w, fmt.Sprintf("no group %q", q.Get("group")), http.StatusNotFound)
		return
	}
	after, err := strconv.ParseInt("0"+q.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
		return
	}
	writeResponse(w, g.Journal(after))
}

func (e *Environment) serveRecords(w http.ResponseWriter, r *http.Request) {
	if in := e.oneInstance(w, r); in != nil {
		writeResponse(w, in.Records())
	}
}

func (e *Environment) serveRows(w http.ResponseWriter, r *http.Request) {
	if in := e.oneInstance(w, r); in != nil {
		rows := in.Rows(r.URL.Query().Get("table"))
		writeResponse(w, append([][]engine.Value{}, rows...))
	}
}

// oneInstance returns the one instance that a request names. If there is no such
// instance, it responds with 404 and returns nil.
func (e *Environment) oneInstance(w http.ResponseWriter, r *http.Request) *group.Instance {
	list, err := e.instances(r.URL.Query().Get("instance"))
	if err == nil && len(list) != 1 {
		err = fmt.Errorf("%d instances are meant, want one", len(list))
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return nil
	}
	return list[0]
}

func writeResponse(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
