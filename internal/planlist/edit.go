package planlist

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// AnyVersion as Edit.Expected matches every version of the entry.
const AnyVersion = ^uint64(0)

// An edit is retried after a failure of the store with exponential backoff from
// initialRetryDelay to maxRetryDelay, and after a conflict with another edit in about
// initialRetryDelay.
const (
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = 2 * time.Second
)

// An Edit changes one entry of a list.
type Edit struct {
	Kind Kind
	Name string
	// Value is the new value of the entry. Nil removes the entry.
	Value json.RawMessage
	// Expected is the entry's version that the edit is based on, zero for an
	// entry that never existed, or AnyVersion.
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

// An EntryConflictError indicates that the entry is not at the version that the
// edit expected, because of a concurrent edit.
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

// An Editor applies edits to the lists in the store.
type Editor struct {
	store gypsumyard.Store
	clock gypsumyard.Clock
}

// NewEditor returns an Editor that writes to the store.
func NewEditor(s gypsumyard.Store, c gypsumyard.Clock) *Editor {
	return &Editor{store: s, clock: c}
}

// Get returns an entry, which may be a tombstone. It fails with ErrNotFound if
// the entry never existed.
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

// Apply applies the edit exactly once. It retries until ctx ends when the store
// fails or the answer to an update is lost. It fails with *EntryConflictError if
// the entry is not at the expected version, and with ErrOutcomeUnknown if the
// outcome of a sent update is still unknown when ctx ends or can no longer be found
// out.
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
	pending := pendingEdit{Edit: edit, object: ObjectName(edit.Kind, edit.Name), operation: rand.Text()}
	delay := initialRetryDelay
	for {
		a, err := e.try(ctx, &pending)
		switch {
		case err == nil:
			return a, nil
		case errors.Is(err, gypsumyard.ErrConflict):
			// Another edit has succeeded, so the store works.
			err = fmt.Errorf("%w: %w", gypsumyard.ErrUnavailable, err)
			delay = conflictDelay()
		case !retryable(err):
			return EditResult{}, pending.finalError(err)
		}
		if e.clock.Sleep(ctx, delay) != nil {
			return EditResult{}, pending.finalError(err)
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// conflictDelay returns the time before an edit is repeated after a conflict. It is
// random, so that concurrent editors of one object do not meet again.
func conflictDelay() time.Duration { return initialRetryDelay/2 + mathrand.N(initialRetryDelay) }

// errOutOfRecord indicates that the object's record of edits no longer reaches back to
// an update of unknown outcome. Later attempts cannot find out more.
var errOutOfRecord = fmt.Errorf("%w: out of the record of edits", gypsumyard.ErrOutcomeUnknown)

func retryable(err error) bool {
	if errors.Is(err, errOutOfRecord) {
		return false
	}
	return errors.Is(err, gypsumyard.ErrUnavailable) || errors.Is(err, gypsumyard.ErrOutcomeUnknown) ||
		errors.Is(err, context.DeadlineExceeded)
}

// mayHaveTakenEffect reports whether the update that failed with err may have taken
// effect. Errors of other kinds are refusals.
func mayHaveTakenEffect(err error) bool {
	if errors.Is(err, gypsumyard.ErrUnavailable) {
		return false
	}
	return errors.Is(err, gypsumyard.ErrOutcomeUnknown) || errors.Is(err, context.Canceled) ||
		errors.Is(err, context.DeadlineExceeded)
}

// A pendingEdit is the state of an edit across its attempts.
type pendingEdit struct {
	Edit
	object    string
	operation string
	// sent is the number of updates sent.
	sent int
	// inDoubt is set while an update with an unknown outcome may still take
	// effect. The update is conditional on inDoubtVersion, so it can no longer
	// take effect once the object has another version.
	inDoubt        bool
	inDoubtVersion gypsumyard.Version
	// initialEdits is the object's count of edits before the first update.
	initialEdits uint64
}

// finalError returns the error of an edit that is given up because of cause.
func (p *pendingEdit) finalError(cause error) error {
	if p.inDoubt && !errors.Is(cause, gypsumyard.ErrOutcomeUnknown) {
		return fmt.Errorf("%w: %v", gypsumyard.ErrOutcomeUnknown, cause)
	}
	return cause
}

// try reads the object and updates it, unless an earlier attempt has already
// applied the edit.
func (e *Editor) try(ctx context.Context, p *pendingEdit) (EditResult, error) {
	version, d, err := e.read(ctx, p.object)
	if err != nil {
		return EditResult{}, err
	}
	if p.sent > 0 && d.hasOperation(p.Name, p.operation) {
		return p.result(version, d), nil
	}
	if p.inDoubt && d.Edits-p.initialEdits > maxRecentOperations {
		return EditResult{}, fmt.Errorf("%w: the object has had %d edits since", errOutOfRecord, d.Edits-p.initialEdits)
	}
	p.inDoubt = p.inDoubt && version == p.inDoubtVersion
	if found := d.Entries[p.Name].Version; p.Expected != AnyVersion && p.Expected != found {
		return EditResult{}, &EntryConflictError{p.Kind, p.Name, p.Expected, found}
	}
	if p.Value == nil && (d.Entries[p.Name].Version == 0 || d.Entries[p.Name].Deleted) {
		return EditResult{}, gypsumyard.ErrNotFound
	}
	if p.sent == 0 {
		p.initialEdits = d.Edits
	}
	entry, err := p.newValue(d.Entries[p.Name])
	if err != nil {
		return EditResult{}, err
	}
	d.set(p.Name, p.operation, entry)
	value, err := d.encode()
	if err != nil {
		return EditResult{}, err
	}
	p.sent++
	created, err := e.store.Put(ctx, p.object, version, value)
	if err != nil {
		if mayHaveTakenEffect(err) {
			p.inDoubt, p.inDoubtVersion = true, version
		}
		return EditResult{}, err
	}
	return p.result(created, d), nil
}

// newValue returns the value that replaces the old entry, nil to remove it.
func (p *pendingEdit) newValue(old Entry) (json.RawMessage, error) {
	if p.Kind != Databases || p.Value == nil {
		return p.Value, nil
	}
	return databaseValue(old, p.Value)
}

func (p *pendingEdit) result(version gypsumyard.Version, d document) EditResult {
	return EditResult{Object: p.object, Version: version, EntryVersion: d.Entries[p.Name].Version, Attempts: p.sent}
}

// read returns an object's version and contents. A missing object has version
// zero and no entries.
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
