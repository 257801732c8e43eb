package peer

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/peer/peerpb"
)

// BenchmarkRoundTrip measures a request and its answer between two hosts on
// loopback.
func BenchmarkRoundTrip(b *testing.B) {
	for _, size := range []int{100, 10_000, 1_000_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			e := newAnsweringExecutor(b, size)
			b.ReportAllocs()
			for b.Loop() {
				roundTrip(b, e)
			}
		})
	}
}

// BenchmarkParallelRoundTrips measures concurrent requests over one link.
func BenchmarkParallelRoundTrips(b *testing.B) {
	e := newAnsweringExecutor(b, 100)
	b.ReportAllocs()
	b.SetParallelism(16)
	b.ResetTimer()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			roundTrip(b, e)
		}
	})
}

func newAnsweringExecutor(b *testing.B, size int) gypsumyard.Executor {
	data := make([]byte, size)
	o := newFakeOwner(func(_ context.Context, _ *gypsumyard.Request, sink gypsumyard.ResponseSink) (gypsumyard.Result, error) {
		_, err := sink.Write(data)
		return gypsumyard.Result{TxStatus: 'I', Instance: "i"}, err
	})
	_, h := startHost(b, "b", o)
	a, _ := startHost(b, "a")
	e := a.Executor(h)
	roundTrip(b, e)
	return e
}

func roundTrip(b *testing.B, e gypsumyard.Executor) {
	r := gypsumyard.Request{Session: "session", Customer: "customer", Database: "database", Class: gypsumyard.StatementRead, Messages: make([]byte, 200)}
	if _, err := e.Execute(b.Context(), &r, discardSink{}); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkHeartbeat measures a heartbeat and its acknowledgement between two
// hosts on loopback, without the membership tables. The CPU time includes both
// hosts.
func BenchmarkHeartbeat(b *testing.B) {
	s, h := startHost(b, "b")
	s.HandleMembers(func(m *peerpb.Members) *peerpb.Members {
		return &peerpb.Members{Kind: peerpb.MemberKind_HEARTBEAT_ACK, From: "b", Incarnation: m.Incarnation, Sequence: m.Sequence, Digest: m.Digest}
	})
	a, _ := startHost(b, "a")
	acked := make(chan uint64, 1)
	a.HandleMembers(func(m *peerpb.Members) *peerpb.Members {
		acked <- m.Sequence
		return nil
	})
	beat := &peerpb.Members{From: "a", Incarnation: uint64(time.Now().UnixMilli()), Sequence: 1, Digest: 1 << 60}
	a.SendMembers(h, beat)
	<-acked
	b.ReportAllocs()
	before := cpuTime(b)
	for b.Loop() {
		a.SendMembers(h, beat)
		<-acked
	}
	b.ReportMetric(float64((cpuTime(b)-before).Nanoseconds())/float64(b.N), "cpu-ns/op")
}

// cpuTime returns the CPU time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
