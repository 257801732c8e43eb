package planlist

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/clock"
	"github.com/matryer/is"
)

// A scriptedStore is a memoryStore whose calls fail in a given way.
type scriptedStore struct {
	*memoryStore
	// afterPut replaces the error of a Put that has reached the store.
	afterPut func(error) error
	// beforeGet is called before each Get and fails it by an error.
	beforeGet func() error
	gets      int
}

func newScriptedStore() *scriptedStore {
	return &scriptedStore{
		memoryStore: newMemoryStore(),
		afterPut:    func(err error) error { return err },
		beforeGet:   func() error { return nil },
	}
}

func (s *scriptedStore) Put(ctx context.Context, name string, expected gypsumyard.Version, value []byte) (gypsumyard.Version, error) {
	v, err := s.memoryStore.Put(ctx, name, expected, value)
	return v, s.afterPut(err)
}

func (s *scriptedStore) Get(ctx context.Context, name string) (gypsumyard.Object, error) {
	s.gets++
	if err := s.beforeGet(); err != nil {
		return gypsumyard.Object{}, err
	}
	return s.memoryStore.Get(ctx, name)
}

var goldEdit = Edit{Kind: Plans, Name: "gold", Value: planValue("gold", 0.1), Expected: AnyVersion}

// Guards against an edit that is reported as failed although the update was sent and
// may have taken effect, and against the opposite.
func TestEditOfUnknownOutcome(t *testing.T) {
	is := is.New(t)
	refused := errors.New("status 400")
	for _, c := range []struct {
		put, get error
		unknown  bool
	}{
		{put: context.Canceled, unknown: true},
		{put: gypsumyard.ErrOutcomeUnknown, get: refused, unknown: true},
		{put: gypsumyard.ErrOutcomeUnknown, get: context.Canceled, unknown: true},
		{put: refused},
	} {
		s := newScriptedStore()
		s.afterPut = func(error) error { return c.put }
		s.beforeGet = func() error {
			if s.gets > 1 {
				return c.get
			}
			return nil
		}
		_, err := NewEditor(s, instantClock{clock.System()}).Apply(t.Context(), goldEdit)
		is.True(err != nil)
		is.Equal(errors.Is(err, gypsumyard.ErrOutcomeUnknown), c.unknown)
		is.Equal(errors.Is(err, refused), !c.unknown)
	}
}

// Guards against an edit that asks the store until its time is over although the
// object's record of edits can no longer tell whether its update took effect.
func TestEditOutOfTheRecordEnds(t *testing.T) {
	is := is.New(t)
	s := newScriptedStore()
	s.putFaults = []fault{faultRequestLost}
	s.beforeGet = func() error {
		if s.gets == 2 {
			editOften(t, s.memoryStore, maxRecentOperations+1)
		}
		if s.gets > 5 {
			t.Error("the store is still asked")
			return errors.New("end of the test")
		}
		return nil
	}
	_, err := NewEditor(s, instantClock{clock.System()}).Apply(t.Context(), goldEdit)
	is.True(errors.Is(err, gypsumyard.ErrOutcomeUnknown))
	is.Equal(s.gets, 2)
}

// editOften makes edits of another entry of the object that holds goldEdit.
func editOften(t *testing.T, s *memoryStore, n int) {
	t.Helper()
	e := NewEditor(s, clock.System())
	for range n {
		if _, err := e.Apply(t.Context(), Edit{Kind: Plans, Name: "silver", Value: planValue("silver", 0.1), Expected: AnyVersion}); err != nil {
			t.Fatal(err)
		}
	}
}

// A pauseClock records the waits instead of waiting.
type pauseClock struct {
	gypsumyard.Clock
	waits *[]time.Duration
}

func (c pauseClock) Sleep(ctx context.Context, d time.Duration) error {
	*c.waits = append(*c.waits, d)
	return ctx.Err()
}

// Guards against editors that use up the store's rate limit because they repeat an
// edit at once after each conflict, or all after the same time, and against an edit
// that goes on after its time because it always meets a conflict.
func TestConflictsAreSpaced(t *testing.T) {
	is := is.New(t)
	s := newScriptedStore()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s.putFaults = slices.Repeat([]fault{faultConflict}, 20)
	s.beforeGet = func() error {
		if s.gets == 10 {
			cancel()
		}
		if s.gets > 10 {
			t.Error("the store is still asked")
			return errors.New("end of the test")
		}
		return nil
	}
	var waits []time.Duration
	_, err := NewEditor(s, pauseClock{clock.System(), &waits}).Apply(ctx, goldEdit)
	is.True(errors.Is(err, gypsumyard.ErrUnavailable)) // The edit was not applied.
	is.Equal(len(waits), 10)
	for _, d := range waits {
		is.True(d >= initialRetryDelay/2)
		is.True(d <= 2*initialRetryDelay)
	}
	is.True(len(slices.Compact(slices.Sorted(slices.Values(waits)))) > 1)
}
