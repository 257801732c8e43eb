package gypsumyard_test

import (
	"testing"

	"github.com/gypsumyard/gypsumyard"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against versions that go back when a restore of the store takes its
// revision back.
func TestVersionOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		era := rapid.Custom(func(t *rapid.T) gypsumyard.Era {
			return gypsumyard.Era(rapid.Uint32Range(0, uint32(gypsumyard.MaxEra)).Draw(t, "era"))
		})
		revision := rapid.Uint64Range(0, 1<<40-1)
		e, f := era.Draw(t, "first"), era.Draw(t, "second")
		r, s := revision.Draw(t, "revision"), revision.Draw(t, "other revision")
		v, w := gypsumyard.NewVersion(e, r), gypsumyard.NewVersion(f, s)
		if v.Era() != e || v.Revision() != r {
			t.Fatalf("%v is not revision %d of era %d", v, r, e)
		}
		if less := e < f || e == f && r < s; (v < w) != less {
			t.Fatalf("%v < %v is not %v", v, w, less)
		}
		if uint64(float64(v)) != uint64(v) {
			t.Fatalf("a JSON number does not hold %v", v)
		}
	})
}

// Guards against versions of a store without eras that read differently in logs than
// its revisions.
func TestVersionString(t *testing.T) {
	is := is.New(t)
	is.Equal(gypsumyard.Version(1207).String(), "1207")
	is.Equal(gypsumyard.NewVersion(2, 1207).String(), "2/1207")
}
