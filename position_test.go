package gypsumyard_test

import (
	"testing"

	"github.com/gypsumyard/gypsumyard"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against reporting a record as present that is on a fork truncated by a
// promotion.
func TestHistoryContains(t *testing.T) {
	is := is.New(t)
	h := gypsumyard.History{{Term: 1, Start: 1}, {Term: 3, Start: 11}}
	is.True(h.Contains(20, gypsumyard.Position{Term: 1, Offset: 10}))
	is.True(!h.Contains(20, gypsumyard.Position{Term: 1, Offset: 11}))
	is.True(!h.Contains(20, gypsumyard.Position{Term: 2, Offset: 5}))
	is.True(h.Contains(20, gypsumyard.Position{Term: 3, Offset: 20}))
	is.True(!h.Contains(20, gypsumyard.Position{Term: 3, Offset: 21}))
}

// Guards against a wrong result of Contains: compares it with a log that is kept
// record by record.
func TestHistoryMatchesLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []gypsumyard.Term
		var h gypsumyard.History
		for term := range rapid.IntRange(0, 5).Draw(t, "terms") {
			n := rapid.IntRange(0, 4).Draw(t, "records")
			if n > 0 {
				h = append(h, gypsumyard.TermStart{Term: gypsumyard.Term(term + 1), Start: gypsumyard.Offset(len(log) + 1)})
			}
			for range n {
				log = append(log, gypsumyard.Term(term+1))
			}
		}
		p := gypsumyard.Position{
			Term:   gypsumyard.Term(rapid.IntRange(1, 6).Draw(t, "term")),
			Offset: gypsumyard.Offset(rapid.IntRange(1, 25).Draw(t, "offset")),
		}
		want := int(p.Offset) <= len(log) && log[p.Offset-1] == p.Term
		if got := h.Contains(gypsumyard.Offset(len(log)), p); got != want {
			t.Fatalf("Contains(%v) = %v, want %v for log %v", p, got, want, log)
		}
	})
}
