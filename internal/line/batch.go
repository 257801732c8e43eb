package line

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/gypsumyard/gypsumyard"
)

// A Payload is a statement with what an owner needs to run it. It is the content
// of a [gypsumyard.Request] of the line protocol.
type Payload struct {
	Consistency   gypsumyard.Consistency
	RoutePriority int
	// Objective is the latency objective of the route. Zero means none.
	Objective time.Duration
	// ID and Text are those of the caller.
	ID   string
	Text string
	// Prepared is what the name of EXECUTE stands for.
	Prepared Prepared
}

// Marshal encodes the payload.
func (b *Payload) Marshal() []byte {
	out := make([]byte, 0, 64+len(b.ID)+len(b.Text)+len(b.Prepared.Shape))
	for _, n := range []int64{int64(b.RoutePriority), int64(b.Objective)} {
		out = binary.AppendVarint(out, n)
	}
	for _, s := range []string{string(b.Consistency), b.ID, b.Text, string(b.Prepared.Verb), b.Prepared.Shape} {
		out = binary.AppendUvarint(out, uint64(len(s)))
		out = append(out, s...)
	}
	return out
}

// UnmarshalPayload decodes what Marshal has encoded.
func UnmarshalPayload(in []byte) (b Payload, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("decode batch: %w", err)
		}
	}()
	var priority, objective int64
	for _, n := range []*int64{&priority, &objective} {
		v, size := binary.Varint(in)
		if size <= 0 {
			return b, ErrMalformed
		}
		*n = v
		in = in[size:]
	}
	b.RoutePriority, b.Objective = int(priority), time.Duration(objective)
	var consistency, verb string
	for _, s := range []*string{&consistency, &b.ID, &b.Text, &verb, &b.Prepared.Shape} {
		n, size := binary.Uvarint(in)
		if size <= 0 || n > uint64(len(in)-size) {
			return b, ErrMalformed
		}
		*s = string(in[size : size+int(n)])
		in = in[size+int(n):]
	}
	b.Consistency, b.Prepared.Verb = gypsumyard.Consistency(consistency), Verb(verb)
	return b, nil
}
