package line

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a truncated, over-long or smuggled line that is accepted as a
// message.
func TestReader(t *testing.T) {
	long := strings.Repeat("x", MaxMessage)
	for _, c := range []struct {
		name, in string
		word     string
		err      error
	}{
		{"whole", "READY I -\r\n", "READY", nil},
		{"word only", "TERMINATE\r\n", "TERMINATE", nil},
		{"longer than the buffer", "ROW " + long[:9000] + "\r\n", "ROW", nil},
		{"nothing", "", "", io.EOF},
		{"cut", "COMPLETE 7.1f", "", io.ErrUnexpectedEOF},
		{"cut before the line feed", "COMPLETE 7.1f\r", "", io.ErrUnexpectedEOF},
		{"no carriage return", "READY I -\n", "", ErrMalformed},
		{"stray carriage return", "QUERY a READ 1\rQUERY b WRITE 1 2\r\n", "", ErrMalformed},
		{"zero byte", "QUERY a\x00 READ 1\r\n", "", ErrMalformed},
		{"too long", "ROW " + long + "\r\n", "", ErrMalformed},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m, err := NewReader(strings.NewReader(c.in), 64).Read()
			is.True(errors.Is(err, c.err) || err == c.err)
			is.Equal(m.Word, c.word)
		})
	}
}

// Guards against accepting statements that an instance would parse differently.
func TestParse(t *testing.T) {
	for text, verb := range map[string]Verb{
		"BEGIN": Begin, "BEGIN READ": Begin, "COMMIT": Commit, "ROLLBACK": Rollback, "READ 1a4": Read, "WRITE 1a4 some data": Write,
		"SET zone north ": Set, "PREPARE s1 WRITE q2c": Prepare, "EXECUTE s1 1a4 x y": Execute, "DEALLOCATE s1": Deallocate,
	} {
		is := is.New(t)
		s, err := Parse(text)
		is.NoErr(err)
		is.Equal(s.Verb, verb)
	}
	for _, text := range []string{
		"", " READ 1", "READ", "READ ", "READ 1 2", "WRITE 1", "WRITE 1 ", "BEGIN WRITE", "COMMIT ", "commit", "AFTER 3.1 READ 1a4",
		"SET a", "PREPARE s1 DROP q", "PREPARE s1 READ", "EXECUTE s1", "DEALLOCATE", "RESET", "STATUS", "PAUSE 4", "DEMOTE 3",
	} {
		if _, err := Parse(text); !errors.Is(err, ErrMalformed) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// Guards against a payload that is changed by encoding and decoding.
func TestPayloadRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := Payload{
			Consistency:   gypsumyard.Consistency(rapid.String().Draw(t, "consistency")),
			RoutePriority: rapid.Int().Draw(t, "priority"),
			Objective:     time.Duration(rapid.Int64().Draw(t, "objective")),
			ID:            rapid.String().Draw(t, "id"),
			Text:          rapid.String().Draw(t, "text"),
			Prepared:      Prepared{Verb(rapid.String().Draw(t, "verb")), rapid.String().Draw(t, "shape")},
		}
		b := in.Marshal()
		out, err := UnmarshalPayload(b)
		if err != nil || out != in {
			t.Fatalf("%v: %+v became %+v", err, in, out)
		}
		if _, err := UnmarshalPayload(b[:rapid.IntRange(0, len(b)-1).Draw(t, "cut")]); err == nil {
			t.Fatal("a truncated payload was accepted")
		}
	})
}

// Guards against positions that are changed by parsing and formatting.
func TestPosition(t *testing.T) {
	is := is.New(t)
	p, err := ParsePosition("3.1209")
	is.NoErr(err)
	is.Equal(p, gypsumyard.Position{Term: 3, Offset: 1209})
	is.Equal(FormatPosition(p), "3.1209")
	p, err = ParsePosition("-")
	is.NoErr(err)
	is.Equal(FormatPosition(p), "-")
	_, err = ParsePosition("3")
	is.True(err != nil)
}

func FuzzParse(f *testing.F) {
	f.Add("EXECUTE s1 1a4 x")
	f.Add("BEGIN READ")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse(text)
		if err == nil && s.Verb == "" {
			t.Fatal("a statement without a verb")
		}
	})
}

// Guards against payloads of sessions without a key that differ from those that earlier
// versions sent, and against a key that is lost on the way.
func TestPayloadKey(t *testing.T) {
	is := is.New(t)
	p := Payload{Consistency: gypsumyard.ConsistencyPrimary, RoutePriority: 1, Objective: time.Second, ID: "5c", Text: "READ 1"}
	recorded := "\x02\x80\xa8\xd6\xb9\x07\x07primary\x025c\x06READ 1\x00\x00"
	is.Equal(string(p.Marshal()), recorded)
	p.KeyHolder, p.Key, p.StateNumber = "miny", gypsumyard.HashKey("key"), 12
	is.True(strings.HasPrefix(string(p.Marshal()), recorded))
	got, err := UnmarshalPayload(p.Marshal())
	is.NoErr(err)
	is.Equal(got, p)
	_, err = UnmarshalPayload(p.Marshal()[:len(recorded)+20])
	is.True(errors.Is(err, ErrMalformed))
}
