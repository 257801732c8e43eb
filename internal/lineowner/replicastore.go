package lineowner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"

	"github.com/gypsumyard/gypsumyard"
)

// replicaSetSuffix distinguishes the object with the replica set of a group from the
// one with its claim. No group's name contains it.
const replicaSetSuffix = "~replicas"

// A replica is an instance of a stored replica set.
type replica struct {
	ID      string         `json:"id"`
	Address netip.AddrPort `json:"address"`
	// Started is when the instance's process started, in milliseconds of Unix time.
	Started int64 `json:"started"`
}

// A replicaSet is the stored set of the instances that count in an election of the
// group. A host's list of instances may lack some of them.
type replicaSet struct {
	// version is that of the object. If there is none, it holds only the era.
	version  gypsumyard.Version
	Replicas []replica `json:"replicas"`
	// Term is the latest term of which a host has seen the primary as it wrote the set.
	// The primary of an earlier term has been replaced, whoever follows it.
	Term gypsumyard.Term `json:"term,omitempty"`
	// Acknowledged is the highest position that the writer of the set had acknowledged
	// then. It informs operators; nothing is decided by it.
	Acknowledged gypsumyard.Position `json:"acknowledged,omitzero"`
}

// A replicaSetStore keeps the replica sets in the store.
type replicaSetStore struct {
	store *relayedStore
	eras  gypsumyard.Eras
}

// read returns the stored set of the group, which is empty if there is none.
func (r *replicaSetStore) read(ctx context.Context, group string) (s replicaSet, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("read the replica set of %s: %w", group, err)
		}
	}()
	o, err := r.store.call(ctx, gypsumyard.ClaimCall{Database: group + replicaSetSuffix})
	s.version = o.Version
	if errors.Is(err, gypsumyard.ErrNotFound) {
		r.eras.Observe(o.Version.Era())
		return s, nil
	}
	if err != nil {
		return s, err
	}
	r.eras.Observe(o.Version.Era())
	return s, json.Unmarshal(o.Value, &s)
}

// write replaces the set of the version that s holds, and returns the new version.
func (r *replicaSetStore) write(ctx context.Context, group string, s replicaSet) (v gypsumyard.Version, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("write the replica set of %s: %w", group, err)
		}
	}()
	value, err := json.Marshal(s)
	if err != nil {
		return 0, err
	}
	o, err := r.store.call(ctx, gypsumyard.ClaimCall{Database: group + replicaSetSuffix, Value: value, Expected: s.version})
	if err == nil {
		r.eras.Observe(o.Version.Era())
	}
	return o.Version, err
}
