package objects

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/emulate/memstore"
)

// A DesiredState is the operator's object.
type DesiredState struct {
	Version  int       `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
}

// The kinds of routes.
const (
	KindPrimary = "primary"
	KindBounded = "bounded_staleness"
	KindSession = "read_your_writes"
)

// A Route is one database that callers ask for. Times are in milliseconds.
type Route struct {
	Name            string `json:"name"`
	Host            string `json:"host"`
	Kind            string `json:"kind"`
	TimeoutMs       int64  `json:"timeoutMs"`
	TargetLatencyMs int64  `json:"targetLatencyMs"`
	Priority        int    `json:"priority"`
	Service         string `json:"service"`
	MaxStalenessMs  int64  `json:"maxStalenessMs"`
}

// A Service is a database group.
type Service struct {
	Name            string `json:"name"`
	ConnectionLimit int    `json:"connectionLimit"`
	SyncReplicas    int    `json:"syncReplicas"`
}

// Limits holds what applies to all sessions.
type Limits struct {
	TransactionIdleMs int64 `json:"transactionIdleMs"`
}

// An InstanceEntry is what an instance writes of itself.
type InstanceEntry struct {
	Service         string          `json:"service"`
	Address         string          `json:"address"`
	Zone            string          `json:"zone"`
	Version         string          `json:"version"`
	Slots           int             `json:"slots"`
	State           string          `json:"state"`
	ColdRemainingMs int             `json:"coldRemainingMs"`
	DatabaseRole    gypsumyard.Role `json:"databaseRole"`
	Sequence        int             `json:"sequence"`
	Born            int64           `json:"born"`
}

// The states of an instance.
const (
	StateReady   = "ready"
	StateLeaving = "draining"
)

// PutInstance writes the entry of an instance that is reached at the address.
func PutInstance(ctx context.Context, store *memstore.Store, i gypsumyard.ListedInstance, at netip.AddrPort, state string) error {
	return Put(ctx, store, "servers/"+i.ID, InstanceEntry{
		Service: i.Group, Address: at.String(), Zone: i.FailureDomain, Version: "v1", Slots: i.Slots, State: state,
		DatabaseRole: i.Role, Sequence: 1, Born: i.Started.UnixMilli(),
	})
}

// SetDesiredState writes the operator's object.
func SetDesiredState(ctx context.Context, store *memstore.Store, d DesiredState) error {
	return Put(ctx, store, "config/main", d)
}

const (
	// putTimes and putPause bound how long Put waits for a store that is down.
	putTimes = 200
	putPause = 50 * time.Millisecond
)

// Put writes an object, whatever the store's faults.
func Put(ctx context.Context, store *memstore.Store, name string, value any) (err error) {
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("put %s: %w", name, err)
	}
	for range putTimes {
		old, _ := store.Get(ctx, name) // A missing object has version 0.
		if _, err = store.Put(ctx, name, old.Version, data); err == nil {
			return nil
		}
		time.Sleep(putPause)
	}
	return fmt.Errorf("put %s: %w", name, err)
}
