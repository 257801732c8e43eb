package sqltext_test

import (
	"testing"

	"github.com/gypsumyard/gypsumyard/internal/sqltext"
)

// BenchmarkSplit measures the classification of the most frequent statements of
// sessions, and of a long one.
func BenchmarkSplit(b *testing.B) {
	for name, sql := range map[string]string{
		"look-up": "SELECT rug, kind, knots_per_dm2 FROM valuations WHERE rug = $1",
		"save":    "/* gypsumyard: not-repeatable */ INSERT INTO saves (tag, session, sequence, rug, value_cents) VALUES ($1, $2, $3, $4, $5)",
		"begin":   "BEGIN",
		"join": "SELECT r.id, r.knots, lower(d.name) FROM rugs r JOIN dyes d ON d.rug = r.id WHERE r.id = $1 AND d.name IN ('a', 'b')" +
			" ORDER BY d.name LIMIT 10 /* gypsumyard: max-staleness=30s */",
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				sqltext.Split(sql)
			}
		})
	}
}
