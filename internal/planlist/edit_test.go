package planlist

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func planValue(name string, share float64) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"name":%q,"share":%g,"limit":1,"max-wait":"1s","max-queue":10,"max-sessions":10}`, name, share))
}

// Guards against an edit that is applied twice, or reported as failed although
// it took effect, when the store fails or answers are lost.
func TestEditIsAppliedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newMemoryStore()
		for range rapid.IntRange(0, 4).Draw(t, "faults") {
			store.putFaults = append(store.putFaults, rapid.SampledFrom([]fault{faultNone, faultRequestLost, faultAnswerLost, faultUnavailable}).Draw(t, "fault"))
		}
		e := NewEditor(store, instantClock{clock.System()})
		for i := range 3 {
			a, err := e.Apply(t.Context(), Edit{Kind: Plans, Name: "gold", Value: planValue("gold", 0.1), Expected: uint64(i)})
			if err != nil {
				t.Fatal(err)
			}
			if a.EntryVersion != uint64(i+1) {
				t.Fatalf("edit %d led to version %d", i, a.EntryVersion)
			}
		}
	})
}

// An instantClock returns from Sleep at once.
type instantClock struct{ gypsumyard.Clock }

func (c instantClock) Sleep(ctx context.Context, _ time.Duration) error { return ctx.Err() }

// Guards against a lost update when different entries of one object are edited
// concurrently.
func TestConcurrentEditsOfDifferentEntries(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	e := NewEditor(store, clock.System())
	var tasks sync.WaitGroup
	for i := range 20 {
		tasks.Go(func() {
			name := fmt.Sprintf("plan-%d", i)
			if _, err := e.Apply(t.Context(), Edit{Kind: Plans, Name: name, Value: planValue(name, 0.1)}); err != nil {
				t.Error(err)
			}
		})
	}
	tasks.Wait()
	_, d, err := e.read(t.Context(), ObjectName(Plans, "any"))
	is.NoErr(err)
	is.Equal(len(d.Entries), 20)
}

// Guards against the second of two concurrent edits of one entry silently
// overwriting the first.
func TestConflictOnTheSameEntry(t *testing.T) {
	is := is.New(t)
	e := NewEditor(newMemoryStore(), clock.System())
	edit := Edit{Kind: Plans, Name: "gold", Value: planValue("gold", 0.1)}
	_, err := e.Apply(t.Context(), edit)
	is.NoErr(err)
	edit.Value = planValue("gold", 0.5)
	_, err = e.Apply(t.Context(), edit)
	var conflict *EntryConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Found, uint64(1))
	entry, err := e.Get(t.Context(), Plans, "gold")
	is.NoErr(err)
	is.True(strings.Contains(string(entry.Value), "0.1"))
}

// Guards against an entry's version restarting after its removal, which would
// let an edit based on a stale version succeed.
func TestRemovalKeepsTheVersion(t *testing.T) {
	is := is.New(t)
	e := NewEditor(newMemoryStore(), clock.System())
	_, err := e.Apply(t.Context(), Edit{Kind: Plans, Name: "gold", Value: planValue("gold", 0.1), Expected: AnyVersion})
	is.NoErr(err)
	_, err = e.Apply(t.Context(), Edit{Kind: Plans, Name: "gold", Expected: 1})
	is.NoErr(err)
	_, err = e.Apply(t.Context(), Edit{Kind: Plans, Name: "gold", Expected: AnyVersion})
	is.True(errors.Is(err, gypsumyard.ErrNotFound))
	a, err := e.Apply(t.Context(), Edit{Kind: Plans, Name: "gold", Value: planValue("gold", 0.1), Expected: 2})
	is.NoErr(err)
	is.Equal(a.EntryVersion, uint64(3))
}

// Guards against validation that reports only the first of several errors.
func TestValidateReportsAll(t *testing.T) {
	is := is.New(t)
	err := Validate(Plans, "gold", json.RawMessage(`{"name":"silver","share":2,"limit":1}`))
	for _, want := range []string{"name must be", "share must be", "max-wait", "max-queue", "max-sessions"} {
		is.True(strings.Contains(err.Error(), want))
	}
	is.True(Validate(Customers, "a", json.RawMessage(`{"name":"a","colour":1}`)) != nil)
}
