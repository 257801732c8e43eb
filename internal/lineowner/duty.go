package lineowner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"

	"github.com/gypsumyard/gypsumyard"
)

// claims obtains the generation numbers of promotions. A generation is the
// version that the store gives to the object of the group when the claim is
// written: versions grow, are unique in the whole store, and are never given
// twice, even if the answer of a write is lost or the write is carried out late.
type claims struct {
	store  gypsumyard.Store
	prefix string
	holder string
	// started is when this process started.
	started int64

	mu     sync.Mutex
	number int
}

// A claim is the value of the object.
type claim struct {
	Holder string `json:"holder"`
	// Started tells the processes of one holder apart, Number their claims.
	Started int64 `json:"started"`
	Number  int   `json:"number"`
	// Done indicates that no order of the claim is on its way any more.
	Done bool `json:"done,omitempty"`
}

// mine reports whether the claim is that of this process.
func (c *claims) mine(l claim) bool { return l.Holder == c.holder && l.Started == c.started }

// latest returns the latest claim for the group and its version, or the version
// zero if there was none.
func (c *claims) latest(ctx context.Context, group string) (v gypsumyard.Version, l claim, err error) {
	o, err := c.store.Get(ctx, c.prefix+group)
	switch {
	case errors.Is(err, gypsumyard.ErrNotFound):
		return 0, l, nil
	case err != nil:
		return 0, l, fmt.Errorf("read the claim of %s: %w", group, err)
	}
	if err := json.Unmarshal(o.Value, &l); err != nil {
		return 0, l, fmt.Errorf("read the claim of %s: %w", group, err)
	}
	return o.Version, l, nil
}

// take writes a claim in place of the one of the given version and returns its
// generation.
func (c *claims) take(ctx context.Context, group string, before gypsumyard.Version) (gypsumyard.Generation, error) {
	c.mu.Lock()
	c.number++
	n := claim{Holder: c.holder, Started: c.started, Number: c.number}
	c.mu.Unlock()
	return c.write(ctx, group, before, n)
}

// finish tells that no order of the claim is on its way.
func (c *claims) finish(ctx context.Context, group string, g gypsumyard.Generation) error {
	v, l, err := c.latest(ctx, group)
	if err != nil || v != gypsumyard.Version(g) {
		return err
	}
	l.Done = true
	_, err = c.write(ctx, group, v, l)
	return err
}

func (c *claims) write(ctx context.Context, group string, before gypsumyard.Version, n claim) (gen gypsumyard.Generation, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("claim the promotion of %s: %w", group, err)
		}
	}()
	value, err := json.Marshal(n)
	if err != nil {
		return 0, err
	}
	v, err := c.store.Put(ctx, c.prefix+group, before, value)
	if !errors.Is(err, gypsumyard.ErrOutcomeUnknown) {
		return gypsumyard.Generation(v), err
	}
	// The claim may have taken effect without an answer.
	now, l, e := c.latest(ctx, group)
	if e != nil || l != n {
		return 0, errors.Join(err, e)
	}
	return gypsumyard.Generation(now), nil
}
