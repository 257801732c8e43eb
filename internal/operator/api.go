package operator

import (
	"encoding/json"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/planlist"
)

// Status is the response to GET /status.
type Status struct {
	Host gypsumyard.Host `json:"host"`
	// Ready indicates that callers are admitted.
	Ready    bool              `json:"ready"`
	Draining bool              `json:"draining"`
	Members  []gypsumyard.Host `json:"members"`
	// CompleteTo is the version of the store up to which the lists are
	// complete on this host.
	CompleteTo gypsumyard.Version `json:"lists-complete-to"`
	Databases  []DatabaseStatus   `json:"databases"`
}

// DatabaseStatus is the state of one database as this host knows it.
type DatabaseStatus struct {
	Name  string `json:"name"`
	Owner string `json:"owner"`
	// Detail is present on the owner only.
	Detail json.RawMessage `json:"detail,omitempty"`
}

// EntryResponse is the response to GET /lists/{list}/{entry}.
type EntryResponse struct {
	Version uint64          `json:"version"`
	Deleted bool            `json:"deleted,omitempty"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// InForceResponse is the response to GET /in-force.
type InForceResponse struct {
	Everywhere bool                       `json:"everywhere"`
	Hosts      []planlist.HostApplyStatus `json:"hosts"`
}

// ErrorResponse is the body of every error response.
type ErrorResponse struct {
	Error string `json:"error"`
	// Kind is one of conflict, not-found, unavailable, outcome-unknown,
	// not-authorized and invalid.
	Kind string `json:"kind"`
}
