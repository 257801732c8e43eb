package sqltext_test

import (
	"strings"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/sqltext"
	"pgregory.net/rapid"
)

// Guards against semicolons and quotes within tokens that are taken for the
// end of a statement. The expected statements are known by construction.
func TestSplitMatchesConstruction(t *testing.T) {
	pieces := []string{
		"'a;b'", "'it''s;'", `'\'`, `E'\';'`, "$$;'$$", "$a$ $b$;$b$ $a$", `"x;""y"`, "/* ; /* ' */ */", "-- ;'\n",
		"U&'\\0041;'", "b'01'", "x$1", "$1", "12.5e-3", "<=", "name", "'a'\n';b'", "(1)", "é", "n';'", "a$b$c",
	}
	rapid.Check(t, func(t *rapid.T) {
		var want []string
		for range rapid.IntRange(1, 4).Draw(t, "statements") {
			words := rapid.SliceOfN(rapid.SampledFrom(pieces), 1, 6).Draw(t, "pieces")
			want = append(want, "x "+strings.Join(words, " "))
		}
		got := sqltext.Split(strings.Join(want, ";"))
		if len(got) != len(want) {
			t.Fatalf("got %d statements, want %d: %q", len(got), len(want), want)
		}
		for i, s := range got {
			if s.Text != want[i] {
				t.Fatalf("statement %d is %q, want %q", i, s.Text, want[i])
			}
		}
	})
}

// Guards against text that makes the lexer hang or panic, statements whose text
// is not part of the input, and classifications that depend on adjacent
// statements.
func FuzzSplit(f *testing.F) {
	for _, sql := range []string{
		"", ";", "select 1; select 2", "select 'a", "/* /*", "$a$", "E'\\", "u&\"", "create function f() begin atomic case end; end; select 1",
		"set search_path = a, 'b'; reset all", "begin; commit and chain", "1e+", "0x", "'a'\n'b'", "with a(b) as (", "(((", "do 'do ''x'''",
	} {
		f.Add(sql)
	}
	f.Fuzz(func(t *testing.T, sql string) {
		for _, s := range sqltext.Split(sql) {
			if !strings.Contains(sql, s.Text) {
				t.Fatalf("statement %q is not part of the text", s.Text)
			}
			again := sqltext.Split(s.Text)
			if len(again) != 1 || again[0].Class != s.Class || again[0].Kind != s.Kind || again[0].Shape != s.Shape {
				t.Fatalf("%q on its own is classified differently: %+v, was %+v", s.Text, again, s)
			}
			if s.Kind == sqltext.KindSet && !s.IsProxyParameter() {
				checkLocal(t, s)
			}
		}
	})
}

// checkLocal checks that LocalText is a single SET LOCAL with the same effect.
func checkLocal(t *testing.T, s sqltext.Statement) {
	local := sqltext.Split(s.LocalText)
	if len(local) != 1 || local[0].Kind != sqltext.KindPlain || local[0].Name != s.Name || local[0].Value != s.Value || local[0].Default != s.Default {
		t.Fatalf("%q is sent as %q: %+v", s.Text, s.LocalText, local)
	}
}

// Guards against text whose analysis takes time that grows faster than its
// length, or more memory than a small multiple of it: any caller may send a
// message of the maximum size.
func TestHostileText(t *testing.T) {
	const size = 4 << 20
	for name, piece := range map[string]string{
		"digits": "1", "parts": "'a'\n", "nested": "$a$ $b$ ", "open comments": "/*", "statements": "select 1;",
		"tokens": "(", "tags": "$a", "temp": "or temp ", "names": "with a(a,", "dashes": "--\n'", "calls": "set_config(",
	} {
		sql := "do " + strings.Repeat(piece, size/len(piece))
		start := time.Now()
		sqltext.Split(sql)
		if took := time.Since(start); took > 20*time.Second {
			t.Errorf("%s: took %v", name, took)
		}
	}
	if s := sqltext.Split("do " + strings.Repeat("( ", 1<<20)); s[0].Kind != sqltext.KindRefused {
		t.Error("statement of too many tokens is not refused")
	}
}
