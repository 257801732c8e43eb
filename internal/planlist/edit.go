package planlist

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// AnyVersion lets an edit replace whatever entry there is.
const AnyVersion = ^uint64(0)

// retryDelay is the wait before an edit is tried again after a failure of the
// store. It doubles up to maxRetryDelay.
const (
	retryDelay    = 50 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// An Edit changes one entry of a list.
type Edit struct {
	Kind Kind
	Name string
	// Value replaces the entry. Nil removes it.
	Value json.RawMessage
	// Expected is the entry's version that the operator saw, zero for an entry
	// that never existed, or AnyVersion.
	Expected uint64
}

// An EditResult reports where and how an edit was applied.
type EditResult struct {
	// Object is the object that holds the edit. Version is the object's
	// version created by the edit, or a later one if the edit was found
	// applied when its answer was lost.
	Object  string             `json:"object"`
	Version gypsumyard.Version `json:"version"`
	// EntryVersion is the entry's version after the edit.
	EntryVersion uint64 `json:"entry-version"`
	// Attempts is the number of updates sent.
	Attempts int `json:"attempts"`
}

// An EntryConflictError indicates that an edit expected another version of the
// entry: somebody else has edited it meanwhile.
type EntryConflictError struct {
	Kind     Kind
	Name     string
	Expected uint64
	Found    uint64
}

// Error names the entry and both versions.
func (e *EntryConflictError) Error() string {
	return fmt.Sprintf("%s entry %q is at version %d, not %d: it was edited meanwhile", e.Kind, e.Name, e.Found, e.Expected)
}

// An Editor applies edits to the store.
type Editor struct {
	store gypsumyard.Store
	clock gypsumyard.Clock
}

// NewEditor returns an editor on the store.
func NewEditor(s gypsumyard.Store, c gypsumyard.Clock) *Editor {
	return &Editor{store: s, clock: c}
}

// Get returns an entry, a tombstone included. It fails with ErrNotFound if the
// entry never existed.
func (e *Editor) Get(ctx context.Context, k Kind, name string) (entry Entry, err error) {
	_, d, err := e.read(ctx, ObjectName(k, name))
	if err != nil {
		return Entry{}, fmt.Errorf("get %s entry %q: %w", k, name, err)
	}
	entry, ok := d.Entries[name]
	if !ok {
		return Entry{}, fmt.Errorf("get %s entry %q: %w", k, name, gypsumyard.ErrNotFound)
	}
	return entry, nil
}

// Apply makes the edit exactly once, however often the store fails or loses an
// answer before ctx ends. It fails with *EntryConflictError if the entry has
// another version than expected, and with ErrOutcomeUnknown if ctx ended
// before the outcome of a sent update was known.
func (e *Editor) Apply(ctx context.Context, edit Edit) (a EditResult, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("edit %s entry %q: %w", edit.Kind, edit.Name, err)
		}
	}()
	if edit.Value != nil {
		if err := Validate(edit.Kind, edit.Name, edit.Value); err != nil {
			return EditResult{}, err
		}
	}
	attempt := attempt{Edit: edit, object: ObjectName(edit.Kind, edit.Name), operation: rand.Text()}
	delay := retryDelay
	for {
		a, err := e.try(ctx, &attempt)
		switch {
		case err == nil:
			return a, nil
		case errors.Is(err, gypsumyard.ErrConflict):
			delay = retryDelay
			continue
		case !retryable(err):
			return EditResult{}, err
		}
		if e.clock.Sleep(ctx, delay) != nil {
			return EditResult{}, attempt.giveUp(err)
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

func retryable(err error) bool {
	return errors.Is(err, gypsumyard.ErrUnavailable) || errors.Is(err, gypsumyard.ErrOutcomeUnknown) ||
		errors.Is(err, context.DeadlineExceeded)
}

// An attempt is the progress of one edit.
type attempt struct {
	Edit
	object    string
	operation string
	// sent counts the updates sent.
	sent int
	// unknown is set while an update may yet take effect unseen. It expected
	// the version unknownAt, so it cannot once the object has another version.
	unknown   bool
	unknownAt gypsumyard.Version
	// editsAtFirst is the object's count of edits before the first update.
	editsAtFirst uint64
}

// giveUp returns the error of an edit whose time is over.
func (a *attempt) giveUp(cause error) error {
	if a.unknown {
		return fmt.Errorf("%w: %v", gypsumyard.ErrOutcomeUnknown, cause)
	}
	return cause
}

// try reads the object and, unless the edit is part of it already, updates it.
func (e *Editor) try(ctx context.Context, a *attempt) (EditResult, error) {
	version, d, err := e.read(ctx, a.object)
	if err != nil {
		return EditResult{}, err
	}
	if a.sent > 0 && d.applied(a.Name, a.operation) {
		return a.applied(version, d), nil
	}
	if a.unknown && d.Edits-a.editsAtFirst > operationsKept {
		return EditResult{}, fmt.Errorf("%w: the object has had %d edits since", gypsumyard.ErrOutcomeUnknown, d.Edits-a.editsAtFirst)
	}
	a.unknown = a.unknown && version == a.unknownAt
	if found := d.Entries[a.Name].Version; a.Expected != AnyVersion && a.Expected != found {
		return EditResult{}, &EntryConflictError{a.Kind, a.Name, a.Expected, found}
	}
	if a.Value == nil && (d.Entries[a.Name].Version == 0 || d.Entries[a.Name].Deleted) {
		return EditResult{}, gypsumyard.ErrNotFound
	}
	if a.sent == 0 {
		a.editsAtFirst = d.Edits
	}
	d.set(a.Name, a.operation, a.Value)
	value, err := d.encode()
	if err != nil {
		return EditResult{}, err
	}
	a.sent++
	created, err := e.store.Put(ctx, a.object, version, value)
	if err != nil {
		if !errors.Is(err, gypsumyard.ErrUnavailable) && !errors.Is(err, gypsumyard.ErrConflict) {
			a.unknown, a.unknownAt = true, version
		}
		return EditResult{}, err
	}
	return a.applied(created, d), nil
}

func (a *attempt) applied(version gypsumyard.Version, d document) EditResult {
	return EditResult{Object: a.object, Version: version, EntryVersion: d.Entries[a.Name].Version, Attempts: a.sent}
}

// read returns an object's version and contents. An object that does not exist
// has version zero and no entries.
func (e *Editor) read(ctx context.Context, object string) (gypsumyard.Version, document, error) {
	o, err := e.store.Get(ctx, object)
	if errors.Is(err, gypsumyard.ErrNotFound) {
		o, err = gypsumyard.Object{}, nil
	}
	if err != nil {
		return 0, document{}, err
	}
	d, err := decodeDocument(o.Value)
	return o.Version, d, err
}
