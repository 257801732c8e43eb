package owner_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/emulate/group"
	"github.com/gypsumyard/gypsumyard/internal/owner"
)

func benchmark(b *testing.B, r *gypsumyard.Request, options ...owner.Option) {
	f := start(b, []group.Option{group.WithJournal(0)}, options...)
	w := f.must("s", gypsumyard.StatementWrite, insert(1))
	r.Position = w.result.Position
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(p *testing.PB) {
		q := *r
		for p.Next() {
			if a := f.run(&q); a.err != nil {
				b.Fatal(a.err)
			}
		}
	})
}

// BenchmarkRead measures a validated read whose position is known.
func BenchmarkRead(b *testing.B) {
	r := request("s", gypsumyard.StatementRead, "select id from rugs where id = 1")
	r.PositionKnown = true
	benchmark(b, r)
}

// BenchmarkReadPrimary is BenchmarkRead with every read on the primary.
func BenchmarkReadPrimary(b *testing.B) {
	r := request("s", gypsumyard.StatementRead, "select id from rugs where id = 1")
	r.PositionKnown = true
	benchmark(b, r, owner.WithRouter(func(gypsumyard.Database) gypsumyard.Router { return owner.NewPrimaryRouter() }))
}

// BenchmarkReadBound measures a read that needs a sample of the primary.
func BenchmarkReadBound(b *testing.B) {
	benchmark(b, request("s", gypsumyard.StatementRead, "select id from rugs where id = 1"))
}

// BenchmarkWrite measures a write up to its confirmation.
func BenchmarkWrite(b *testing.B) {
	benchmark(b, request("s", gypsumyard.StatementWrite, "update rugs set knots = 2 where id = 1"))
}

// BenchmarkPeak measures the throughput of distinct reads from 80 sessions
// with 2 slots for each instance, 1 ms of run time and 2 ms of round trip.
func BenchmarkPeak(b *testing.B) { benchmarkPeak(b, true) }

// BenchmarkPeakNoneAhead is BenchmarkPeak without overcommit.
func BenchmarkPeakNoneAhead(b *testing.B) { benchmarkPeak(b, false) }

func benchmarkPeak(b *testing.B, overcommit bool) {
	emulator := []group.Option{
		group.WithJournal(0),
		group.WithRoundTrip(2 * time.Millisecond),
		group.WithSlots(2),
		group.WithConnections(30),
		group.WithStatementCost(time.Millisecond),
	}
	f := start(b, emulator, withHostComponents(), owner.WithOvercommit(overcommit))
	w := f.must("s", gypsumyard.StatementWrite, insert(1))
	time.Sleep(100 * time.Millisecond)
	var n atomic.Int64
	b.SetParallelism(8)
	b.ResetTimer()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			i := n.Add(1)
			r := request(fmt.Sprint("s", i), gypsumyard.StatementRead, fmt.Sprintf("select id from rugs where id = %d", i))
			r.Position, r.PositionKnown, r.Shape = w.result.Position, true, 1
			if a := f.run(r); a.err != nil {
				b.Error(a.err)
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "reads/s")
}

// BenchmarkFailover measures the time from the kill of the primary to the next
// acknowledged write.
func BenchmarkFailover(b *testing.B) {
	f := start(b, []group.Option{group.WithRoundTrip(2 * time.Millisecond), group.WithLag(2*time.Millisecond, time.Millisecond)}, withPromoter())
	for i := range b.N {
		f.must("s", gypsumyard.StatementWrite, insert(2*i))
		dead := f.group.Primary()
		b.StartTimer()
		dead.Kill()
		f.must("s", gypsumyard.StatementWrite, insert(2*i+1))
		b.StopTimer()
		if err := dead.Restart(); err != nil {
			b.Fatal(err)
		}
		eventually(b, "former primary follows", func() bool {
			p, s := f.group.Primary(), dead.Status()
			return p != nil && s.Contains(p.Status().Applied)
		})
	}
}
