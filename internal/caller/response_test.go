package caller

import (
	"bytes"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"pgregory.net/rapid"
)

// Guards against messages that are lost, duplicated or changed when the
// executor splits the response at an arbitrary byte (I4). The reference
// implementation filters whole messages.
func TestAnswerMatchesNaive(t *testing.T) {
	messages := map[string]pgproto3.BackendMessage{
		"parse":    &pgproto3.ParseComplete{},
		"bind":     &pgproto3.BindComplete{},
		"row":      &pgproto3.DataRow{Values: [][]byte{[]byte("knot"), nil}},
		"long row": &pgproto3.DataRow{Values: [][]byte{bytes.Repeat([]byte{'k'}, 300)}},
		"complete": &pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")},
		"status":   &pgproto3.ParameterStatus{Name: "TimeZone", Value: "UTC"},
		"hidden":   &pgproto3.ParameterStatus{Name: "DateStyle", Value: "ISO"},
		"notice":   &pgproto3.NoticeResponse{Message: "n"},
		"ready":    &pgproto3.ReadyForQuery{TxStatus: 'I'},
	}
	names := []string{"parse", "bind", "row", "long row", "complete", "status", "hidden", "notice", "ready"}
	rapid.Check(t, func(t *rapid.T) {
		f := &responseFilter{session: &session{}, hiddenParams: map[string]bool{"DateStyle": true}, dropAsync: rapid.Bool().Draw(t, "local")}
		hideParse := rapid.Bool().Draw(t, "hide parse")
		var input, want []byte
		for range rapid.IntRange(0, 12).Draw(t, "messages") {
			name := rapid.SampledFrom(names).Draw(t, "message")
			data, err := messages[name].Encode(nil)
			if err != nil {
				t.Fatal(err)
			}
			input = append(input, data...)
			dropped := name == "hidden" || name == "ready" || f.dropAsync && (name == "status" || name == "notice")
			if name == "parse" {
				f.ops = append(f.ops, op{kind: opParse, hidden: hideParse})
				dropped = hideParse
			}
			if !dropped {
				want = append(want, data...)
			}
		}
		for len(input) > 0 {
			n := rapid.IntRange(1, min(len(input), 40)).Draw(t, "chunk")
			if _, err := f.Write(input[:n]); err != nil {
				t.Fatal(err)
			}
			input = input[n:]
		}
		if !bytes.Equal(f.session.out, want) {
			t.Fatalf("got %q, want %q", f.session.out, want)
		}
		if f.midMessage() {
			t.Fatal("response ended in the middle of a message")
		}
	})
}
