package lineowner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"

	"github.com/gypsumyard/gypsumyard"
)

// A claimStore allocates the generation numbers of promotions. A generation is
// the version that the store assigns to the group's object when the claim is
// written: versions increase, are unique in the whole store, and are never
// assigned twice, even if the answer to a write is lost or the write is applied
// late. A restore of the store takes revisions back but begins a new era, so
// versions increase across it too.
type claimStore struct {
	store  *relayedStore
	eras   gypsumyard.Eras
	holder string
	// started is when this process started, in nanoseconds of Unix time.
	started int64

	mu         sync.Mutex
	lastNumber int
}

// A claim is the value of the group's object.
type claim struct {
	Holder string `json:"holder"`
	// Started distinguishes the processes of one holder, Number their claims.
	Started int64 `json:"started"`
	Number  int   `json:"number"`
	// Done indicates that no promotion order of the claim is pending any more.
	Done bool `json:"done,omitempty"`
}

// isOwn reports whether the claim was made by this process.
func (c *claimStore) isOwn(l claim) bool { return l.Holder == c.holder && l.Started == c.started }

// latest returns the latest claim for the group and its version. If there is none,
// the version has no revision.
func (c *claimStore) latest(ctx context.Context, group string) (v gypsumyard.Version, l claim, err error) {
	o, err := c.store.call(ctx, gypsumyard.ClaimCall{Database: group})
	switch {
	case errors.Is(err, gypsumyard.ErrNotFound):
		c.eras.Observe(o.Version.Era())
		return o.Version, l, nil
	case err != nil:
		return 0, l, fmt.Errorf("read the claim of %s: %w", group, err)
	}
	c.eras.Observe(o.Version.Era())
	if err := json.Unmarshal(o.Value, &l); err != nil {
		return 0, l, fmt.Errorf("read the claim of %s: %w", group, err)
	}
	return o.Version, l, nil
}

// errStoreRestored indicates that the store was restored from an older copy between
// two steps of an election: claims of other hosts may be lost.
var errStoreRestored = errors.New("store was restored during the election")

// acquire replaces the claim of version previous with a new one and returns its
// generation. It fails with errStoreRestored if the new claim is of another era
// than the previous one: the store compares revisions only, so it may have replaced a
// claim that this host has not seen.
func (c *claimStore) acquire(ctx context.Context, group string, previous gypsumyard.Version) (gypsumyard.Generation, error) {
	c.mu.Lock()
	c.lastNumber++
	n := claim{Holder: c.holder, Started: c.started, Number: c.lastNumber}
	c.mu.Unlock()
	gen, err := c.write(ctx, group, previous, n)
	if err != nil {
		return 0, err
	}
	if err := checkClaimed(gypsumyard.Version(gen), previous); err != nil {
		return 0, fmt.Errorf("claim the promotion of %s: %w", group, err)
	}
	return gen, nil
}

// markDone marks the claim as having no promotion order pending.
func (c *claimStore) markDone(ctx context.Context, group string, g gypsumyard.Generation) error {
	v, l, err := c.latest(ctx, group)
	if err != nil || v != gypsumyard.Version(g) {
		return err
	}
	l.Done = true
	_, err = c.write(ctx, group, v, l)
	return err
}

func (c *claimStore) write(ctx context.Context, group string, previous gypsumyard.Version, n claim) (gen gypsumyard.Generation, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("claim the promotion of %s: %w", group, err)
		}
	}()
	value, err := json.Marshal(n)
	if err != nil {
		return 0, err
	}
	o, err := c.store.call(ctx, gypsumyard.ClaimCall{Database: group, Value: value, Expected: previous})
	if !errors.Is(err, gypsumyard.ErrOutcomeUnknown) {
		return gypsumyard.Generation(o.Version), err
	}
	// The write may have taken effect although its answer was lost.
	current, l, e := c.latest(ctx, group)
	if e != nil || l != n {
		return 0, errors.Join(err, e)
	}
	return gypsumyard.Generation(current), nil
}
