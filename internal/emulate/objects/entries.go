package objects

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/emulate/memstore"
)

// A DesiredState is the stored object that holds the operator's configuration.
type DesiredState struct {
	Version  int       `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
}

// The kinds of routes, which are their consistency levels.
const (
	KindPrimary = "primary"
	KindBounded = "bounded_staleness"
	KindSession = "read_your_writes"
)

// A Route configures one database name to which callers connect. Times are in
// milliseconds.
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

// Limits holds the limits that apply to all sessions.
type Limits struct {
	TransactionIdleMs int64 `json:"transactionIdleMs"`
}

// An InstanceEntry is the stored object in which an instance describes itself.
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

// written counts the entries written, for their sequence numbers.
var written atomic.Int64

// PutInstance writes the entry of an instance with the given address and state.
func PutInstance(ctx context.Context, store *memstore.Store, i gypsumyard.ListedInstance, at netip.AddrPort, state string) error {
	return Put(ctx, store, "servers/"+i.ID, InstanceEntry{
		Service: i.Group, Address: at.String(), Zone: i.FailureDomain, Version: "v1", Slots: i.Slots, State: state,
		DatabaseRole: i.Role, Sequence: int(written.Add(1)), Born: i.Started.UnixMilli(),
	})
}

// PutLossAcceptance writes an operator's acceptance of the loss of instances in the election
// of the group that starts the term.
func PutLossAcceptance(ctx context.Context, store *memstore.Store, group string, term uint64, instances []string) error {
	return Put(ctx, store, "gypsumyard-loss-acceptance/"+group, map[string]any{"term": term, "instances": instances})
}

// SetDesiredState writes the operator's configuration.
func SetDesiredState(ctx context.Context, store *memstore.Store, d DesiredState) error {
	return Put(ctx, store, "config/main", d)
}

const (
	// putAttempts and putRetryDelay bound how long Put retries while the store
	// is down.
	putAttempts   = 200
	putRetryDelay = 50 * time.Millisecond
)

// Put writes an object whatever its version. It retries when an injected fault
// makes a call fail.
func Put(ctx context.Context, store *memstore.Store, name string, value any) (err error) {
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("put %s: %w", name, err)
	}
	for range putAttempts {
		old, _ := store.Get(ctx, name) // The version of a missing object is 0.
		if _, err = store.Put(ctx, name, old.Version, data); err == nil {
			return nil
		}
		time.Sleep(putRetryDelay)
	}
	return fmt.Errorf("put %s: %w", name, err)
}
