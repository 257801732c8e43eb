package peer

import (
	"testing"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/peer/peerpb"
	"google.golang.org/protobuf/proto"
)

// BenchmarkCodec measures the encoding and decoding of the most frequent
// messages, and their encoded size.
func BenchmarkCodec(b *testing.B) {
	now := time.Now()
	r := &gypsumyard.Request{
		Session: "host-001-00004711", Customer: "loom", Login: "valuer", Database: "appraisal-field",
		Class: gypsumyard.StatementRead, Messages: make([]byte, 100), Shape: 1 << 60, Repeatable: true, PositionKnown: true,
		Position: gypsumyard.Position{Term: 3, Offset: 471100}, Deadline: now.Add(time.Second),
	}
	result := gypsumyard.Result{Position: r.Position, TxStatus: 'I', Instance: "appraisal-field-0"}
	b.Run("request", func(b *testing.B) {
		benchmarkCodec(b, func() *peerpb.Frame {
			p := encodeRequest(peerpb.Operation_EXECUTE, r, now)
			p.Messages = r.Messages
			return &peerpb.Frame{Id: 4711, Body: &peerpb.Frame_Request{Request: p}}
		}, func(f *peerpb.Frame) error {
			_, err := decodeRequest(f.GetRequest(), now)
			return err
		})
	})
	b.Run("final", func(b *testing.B) {
		answer := make([]byte, 250)
		benchmarkCodec(b, func() *peerpb.Frame {
			return &peerpb.Frame{Id: 4711, Body: &peerpb.Frame_Final{Final: &peerpb.Final{Data: answer, Result: encodeResult(result)}}}
		}, func(f *peerpb.Frame) error {
			decodeResult(f.GetFinal().GetResult())
			return nil
		})
	})
	b.Run("heartbeat", func(b *testing.B) {
		benchmarkCodec(b, func() *peerpb.Frame {
			return &peerpb.Frame{Body: &peerpb.Frame_Members{Members: &peerpb.Members{From: "entry-00001", Incarnation: 1 << 40, Sequence: 4711, Digest: 1 << 63}}}
		}, func(*peerpb.Frame) error { return nil })
	})
}

func benchmarkCodec(b *testing.B, encode func() *peerpb.Frame, decode func(*peerpb.Frame) error) {
	b.ReportAllocs()
	var buf []byte
	var err error
	for b.Loop() {
		buf, err = proto.MarshalOptions{}.MarshalAppend(buf[:0], encode())
		if err != nil {
			b.Fatal(err)
		}
		var f peerpb.Frame
		if err := proto.Unmarshal(buf, &f); err != nil {
			b.Fatal(err)
		}
		if err := decode(&f); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(buf)), "bytes/message")
}
