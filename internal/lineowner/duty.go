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
}

// take writes a claim for the group. It returns its generation and that of the
// claim before, or zero if there was none.
func (c *claims) take(ctx context.Context, group string) (gen, before gypsumyard.Generation, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("claim the promotion of %s: %w", group, err)
		}
	}()
	name := c.prefix + group
	c.mu.Lock()
	c.number++
	value, err := json.Marshal(claim{c.holder, c.started, c.number})
	c.mu.Unlock()
	if err != nil {
		return 0, 0, err
	}
	var expected gypsumyard.Version
	old, err := c.store.Get(ctx, name)
	switch {
	case err == nil:
		expected = old.Version
	case !errors.Is(err, gypsumyard.ErrNotFound):
		return 0, 0, err
	}
	before = gypsumyard.Generation(expected)
	v, err := c.store.Put(ctx, name, expected, value)
	if errors.Is(err, gypsumyard.ErrOutcomeUnknown) {
		gen, err = c.confirm(ctx, name, value, err)
		return gen, before, err
	}
	return gypsumyard.Generation(v), before, err
}

// current returns the generation of the latest claim for the group. Zero means
// that there was none.
func (c *claims) current(ctx context.Context, group string) (gypsumyard.Generation, error) {
	o, err := c.store.Get(ctx, c.prefix+group)
	if errors.Is(err, gypsumyard.ErrNotFound) {
		return 0, nil
	}
	return gypsumyard.Generation(o.Version), err
}

// confirm finds out whether a claim whose answer was lost has taken effect.
func (c *claims) confirm(ctx context.Context, name string, value []byte, lost error) (gypsumyard.Generation, error) {
	now, err := c.store.Get(ctx, name)
	if err != nil {
		return 0, errors.Join(lost, err)
	}
	var is, want claim
	if err := errors.Join(json.Unmarshal(now.Value, &is), json.Unmarshal(value, &want)); err != nil {
		return 0, errors.Join(lost, err)
	}
	if is != want {
		return 0, lost
	}
	return gypsumyard.Generation(now.Version), nil
}
