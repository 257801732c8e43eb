package httpcall

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a deeply nested value that makes its neighbors unreadable, and against
// brackets in strings that are taken for nesting.
func TestNestedTooDeeply(t *testing.T) {
	is := is.New(t)
	deep := strings.Repeat("[", maxNesting) + strings.Repeat("]", maxNesting)
	text := `[{"a":1},{"b":` + deep + `},{"c":"]}[{\"\\"},[{"d":` + deep + `}],"e",2]`
	var out []json.RawMessage
	is.True(json.Unmarshal([]byte(text), &out) != nil)
	is.True(decode([]byte(text), 0, &out) != nil)
	is.NoErr(decode([]byte(text), 2, &out))
	want := []string{`{"a":1}`, nestedTooDeeply, `{"c":"]}[{\"\\"}`, nestedTooDeeply, `"e"`, `2`}
	is.Equal(len(out), len(want))
	for n := range want {
		is.Equal(string(out[n]), want[n])
	}
	for _, malformed := range []string{`[{"a":1}`, `]`, `{"a":"`, "", `[` + deep} {
		is.True(decode([]byte(malformed), 2, &out) != nil)
	}
}

// Guards against a replacement that changes text which is nested no more deeply than can
// be decoded.
func FuzzWithoutDeep(f *testing.F) {
	f.Add([]byte(`[{"a":[1,"]"]},"\\\"["]`), 2)
	f.Add([]byte(`}{"`), 1)
	f.Fuzz(func(t *testing.T, data []byte, level int) {
		if got := withoutDeep(data, level); len(data) < maxNesting && string(got) != string(data) {
			t.Fatalf("%q has become %q", data, got)
		}
	})
}
