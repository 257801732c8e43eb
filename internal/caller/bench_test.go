package caller

import (
	"testing"

	"github.com/gypsumyard/gypsumyard/internal/sqltext"
)

// BenchmarkQuery measures one round trip of a prepared lookup from pgx through
// the server to the fake executor.
func BenchmarkQuery(b *testing.B) {
	f := start(b)
	c := connect(b, f, "")
	var text string
	for b.Loop() {
		if err := c.QueryRow(b.Context(), "select $1::text", "dye").Scan(&text); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkSplit measures the parsing and classification of a typical lookup.
func BenchmarkSplit(b *testing.B) {
	const sql = "select r.id, r.knots, lower(d.name) from rugs r join dyes d on d.rug = r.id where r.id = $1 and d.name in ('a', 'b') order by d.name limit 10 /* gypsumyard: max-staleness=30s */"
	b.ReportAllocs()
	for b.Loop() {
		sqltext.Split(sql)
	}
}
